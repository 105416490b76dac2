//! Aggregation of the loads of a large cluster by one of its schedulers.
//!
//! If all schedulers of a large cluster sent their loads to all others, each job would cost one message to
//! every other scheduler. Instead one of them, the aggregator, receives the loads of all others and
//! broadcasts the sums a few times per second. There is no election: the scheduler that broadcasts sums is
//! the aggregator. When its messages stop, the scheduler with the next number takes over. Of two aggregators,
//! the one with the higher number stops; until then the only cost is an additional message.

use super::load_message::{LoadMessageKind, TaggedSlots, WorkerSlots, WorkerTag, encode_loads};
use super::{OutgoingMessage, SlotsByHash};
use crate::units::{Millis, WorkerId};
use std::collections::BTreeMap;

/// Time between two broadcasts of the aggregator.
pub(super) const ROUND_INTERVAL: Millis = 200.0;
/// One in this many rounds lists all workers in use, because messages may be lost. The other rounds list only
/// workers whose load has changed.
const FULL_ROUND_INTERVAL: u32 = 5;
/// The aggregator's successor takes over after this time without a message from it.
const AGGREGATOR_TIMEOUT: Millis = 450.0;
/// Each further scheduler, in the order of the numbers, waits this much longer than the one before it.
const SUCCESSION_INTERVAL: Millis = 60.0;
/// How long aggregated loads are valid.
const AGGREGATED_TTL: Millis = 1_000.0;
/// A scheduler repeats its report to the aggregator after this time if its loads have not changed.
const REPORT_INTERVAL: Millis = 600.0;

/// Slots that the other schedulers occupy at a worker.
#[derive(Clone, Copy)]
struct RemoteSlots {
    slots: f64,
    received_at: Millis,
}

/// One scheduler's state of the aggregation.
pub(super) struct Aggregation {
    ordinal: u32,
    schedulers: u32,
    /// The sender of the last aggregated loads, which may be this scheduler.
    aggregator: Option<u32>,
    /// When the aggregator last sent a message.
    aggregator_active_at: Millis,
    /// When the loads expire. They are invalid at the start, and until a new aggregator has received reports.
    valid_until: Millis,
    /// By worker; empty until aggregated loads have arrived.
    remote_slots: Vec<RemoteSlots>,
    /// When this scheduler last reported its loads to the aggregator.
    reported_at: Millis,
    /// As the aggregator: the loads that were last broadcast.
    broadcast: BTreeMap<WorkerTag, f64>,
    /// As the aggregator: number of rounds so far.
    rounds: u32,
    /// As the aggregator: when the next round is due.
    next_round_at: Millis,
}

impl Aggregation {
    pub(super) fn new(now: Millis, ordinal: u32, schedulers: u32) -> Self {
        Aggregation {
            ordinal,
            schedulers,
            aggregator: None,
            aggregator_active_at: now - AGGREGATOR_TIMEOUT,
            valid_until: f64::NEG_INFINITY,
            remote_slots: Vec::new(),
            reported_at: f64::NEG_INFINITY,
            broadcast: BTreeMap::new(),
            rounds: 0,
            next_round_at: now,
        }
    }

    /// This scheduler's number.
    pub(super) fn ordinal(&self) -> u32 {
        self.ordinal
    }

    /// Whether this scheduler is the aggregator.
    pub(super) fn is_aggregator(&self) -> bool {
        self.aggregator == Some(self.ordinal)
    }

    /// Whether the aggregated loads are valid.
    pub(super) fn is_valid(&self, now: Millis) -> bool {
        now < self.valid_until
    }

    /// Slots that the other schedulers occupy at a worker according to the aggregated loads.
    pub(super) fn remote_slots(&self, worker: WorkerId) -> f64 {
        self.remote_slots.get(worker).map_or(0.0, |remote| remote.slots)
    }

    /// Handles a message with aggregated loads. Returns whether its entries are to be used: of two active
    /// aggregators, only the one with the lower number counts.
    pub(super) fn on_aggregated(
        &mut self,
        now: Millis,
        from: u32,
        has_entries: bool,
        workers: usize,
    ) -> bool {
        let is_active = now < self.aggregator_active_at + AGGREGATOR_TIMEOUT;
        if is_active && self.aggregator.is_some_and(|aggregator| aggregator < from) {
            return false;
        }
        if self.aggregator != Some(from) {
            // A new aggregator has no reports yet, so this scheduler sends one immediately.
            self.reported_at = f64::NEG_INFINITY;
        }
        self.aggregator = Some(from);
        self.aggregator_active_at = now;
        if has_entries {
            self.valid_until = now + AGGREGATED_TTL;
        }
        self.remote_slots.resize(workers, RemoteSlots { slots: 0.0, received_at: now });
        true
    }

    /// Sets the slots that the other schedulers occupy at a worker: `total` minus `own`.
    pub(super) fn set_total(&mut self, now: Millis, total: WorkerSlots, own: f64) {
        let slots = (total.slots - own).max(0.0);
        self.remote_slots[total.worker] = RemoteSlots { slots, received_at: now };
    }

    /// Resets slots that were last reported before `cutoff`. That a worker is idle again is reported only
    /// once, and that message may have been lost.
    pub(super) fn expire(&mut self, cutoff: Millis) {
        for remote in self.remote_slots.iter_mut().filter(|remote| remote.received_at < cutoff) {
            remote.slots = 0.0;
        }
    }

    /// The messages that are due. `reports`: the slots that the other schedulers reported. `own`: the slots
    /// of this scheduler. `changed`: whether they have changed since the last call.
    pub(super) fn poll_messages<'a>(
        &mut self,
        now: Millis,
        changed: bool,
        reports: impl Iterator<Item = &'a TaggedSlots>,
        own: impl Iterator<Item = SlotsByHash>,
    ) -> Vec<OutgoingMessage> {
        if self.is_aggregator() && now >= self.next_round_at {
            self.start_round(now);
            return self.aggregate(now, reports, own);
        }
        if !self.is_aggregator() && now >= self.aggregator_active_at + self.succession_timeout() {
            self.start_round(now);
            return self.announce();
        }
        let is_due = changed || now >= self.reported_at + REPORT_INTERVAL;
        match self.aggregator {
            Some(aggregator) if is_due && !self.is_aggregator() => self.report(now, aggregator, own),
            _ => Vec::new(),
        }
    }

    /// How long this scheduler waits for a message from the aggregator before it takes over. Before the first
    /// message, scheduler 0 waits the shortest.
    fn succession_timeout(&self) -> Millis {
        let aggregator = self.aggregator.unwrap_or(self.schedulers - 1);
        let schedulers_between = (self.ordinal + 2 * self.schedulers - aggregator - 1) % self.schedulers;
        AGGREGATOR_TIMEOUT + SUCCESSION_INTERVAL * f64::from(schedulers_between)
    }

    fn start_round(&mut self, now: Millis) {
        self.aggregator_active_at = now;
        self.next_round_at = now + ROUND_INTERVAL;
    }

    /// Becomes the aggregator. It has no reports yet; the other schedulers send them in reply to its first
    /// message, which has no entries.
    fn announce(&mut self) -> Vec<OutgoingMessage> {
        self.aggregator = Some(self.ordinal);
        self.broadcast = BTreeMap::new();
        self.rounds = 0;
        OutgoingMessage::to_all(encode_loads(LoadMessageKind::Aggregated, &[]))
    }

    fn aggregate<'a>(
        &mut self,
        now: Millis,
        reports: impl Iterator<Item = &'a TaggedSlots>,
        own: impl Iterator<Item = SlotsByHash>,
    ) -> Vec<OutgoingMessage> {
        self.valid_until = now + AGGREGATED_TTL;
        self.rounds += 1;
        let mut totals: BTreeMap<WorkerTag, f64> = BTreeMap::new();
        for entry in reports.copied().chain(own.map(TaggedSlots::from)) {
            *totals.entry(entry.tag).or_default() += entry.slots;
        }
        // A worker that no scheduler uses any more is listed once, with 0 slots.
        for &tag in self.broadcast.keys() {
            totals.entry(tag).or_insert(0.0);
        }
        let is_full_round = self.rounds % FULL_ROUND_INTERVAL == 1;
        let last = |tag: &WorkerTag| self.broadcast.get(tag).copied().unwrap_or(0.0);
        let is_listed = |tag: &WorkerTag, slots: f64| last(tag) != slots || is_full_round && slots > 0.0;
        let listed = totals.iter().filter(|(tag, slots)| is_listed(tag, **slots));
        let entries: Vec<TaggedSlots> = listed.map(|(&tag, &slots)| TaggedSlots { tag, slots }).collect();
        totals.retain(|_, slots| *slots > 0.0);
        self.broadcast = totals;
        OutgoingMessage::to_all(encode_loads(LoadMessageKind::Aggregated, &entries))
    }

    fn report(
        &mut self,
        now: Millis,
        aggregator: u32,
        own: impl Iterator<Item = SlotsByHash>,
    ) -> Vec<OutgoingMessage> {
        self.reported_at = now;
        let entries: Vec<TaggedSlots> = own.filter(|own| own.slots > 0.0).map(TaggedSlots::from).collect();
        let texts = encode_loads(LoadMessageKind::Own, &entries);
        texts.into_iter().map(|text| OutgoingMessage { to: Some(aggregator), text }).collect()
    }
}
