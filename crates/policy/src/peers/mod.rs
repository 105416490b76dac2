//! The loads of the other schedulers, and the messages by which schedulers state them.
//!
//! The schedulers of a small cluster send their loads to one another; those of a large one aggregate them. Messages may
//! be lost, repeated or forged: none of them costs more than a wrong estimate of a worker's free slots for a short
//! time.
//!
//! | module | its job |
//! | --- | --- |
//! | `load_message` | the text of the messages |
//! | `aggregation` | who adds up the loads of a large cluster, and what it sends when |

mod aggregation;
mod load_message;

use crate::hashing::{hash, rendezvous_distance};
use crate::units::{Millis, WorkerId};
use aggregation::{Aggregation, ROUND_INTERVAL};
use load_message::{LoadMessage, LoadMessageKind, TaggedSlots, WorkerSlots, WorkerTag, encode_loads};
pub use load_message::{is_aggregated_loads, split_aggregated_loads};
use std::collections::BTreeMap;

/// Up to this many schedulers send their loads to one another.
const MAX_DIRECT_SCHEDULERS: u32 = 9;

/// A message for another scheduler, or for all.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OutgoingMessage {
    /// The receiver's number; `None`: all.
    pub(crate) to: Option<u32>,
    pub(crate) text: String,
}

impl OutgoingMessage {
    fn to_all(texts: Vec<String>) -> Vec<OutgoingMessage> {
        texts.into_iter().map(|text| OutgoingMessage { to: None, text }).collect()
    }
}

/// Slots that this scheduler occupies at a worker, which is named by its name's hash.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotsByHash {
    pub(crate) name_hash: u64,
    pub(crate) slots: f64,
}

impl From<SlotsByHash> for TaggedSlots {
    fn from(own: SlotsByHash) -> TaggedSlots {
        TaggedSlots { tag: WorkerTag::of_hash(own.name_hash), slots: own.slots }
    }
}

/// A worker's slots, and those of them that schedulers occupy, this one included.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerLoad {
    pub(crate) occupied: f64,
    pub(crate) slots: f64,
}

/// This scheduler's position, 0 to 1, in the order in which all schedulers may use a worker now. The order is another
/// one in each round of the aggregation.
pub(crate) fn turn_position(now: Millis, worker_hash: u64, ordinal: u32) -> f64 {
    let round = (now / ROUND_INTERVAL) as u64;
    rendezvous_distance(worker_hash ^ round, hash(&ordinal.to_string()))
}

/// The level up to which the lowest of some loads rise when this much is added to them, always to the lowest.
fn water_fill_level(mut loads: Vec<f64>, added: f64) -> f64 {
    loads.sort_by(f64::total_cmp);
    let (mut sum, mut level) = (added, f64::INFINITY);
    for (index, load) in loads.iter().enumerate() {
        if *load >= level {
            break;
        }
        sum += load;
        level = sum / (index + 1) as f64;
    }
    level
}

/// What another scheduler stated of its own slots.
#[derive(Default)]
struct PeerReport {
    received_at: Millis,
    slots: Vec<WorkerSlots>,
    /// In a large cluster: all entries, also those for workers that are not known here. Other schedulers may know them.
    entries: Vec<TaggedSlots>,
}

/// The slots that other schedulers occupy.
#[derive(Default)]
pub(crate) struct PeerLoads {
    /// By the scheduler's number.
    reports: BTreeMap<u32, PeerReport>,
    worker_by_tag: BTreeMap<WorkerTag, WorkerId>,
    tag_by_worker: Vec<Option<WorkerTag>>,
    /// By worker: the sum over `reports`.
    reported_slots: Vec<f64>,
    /// In a large cluster.
    aggregation: Option<Aggregation>,
    /// The load to which the least loaded workers will have risen by the next aggregated loads.
    expected_level: f64,
}

impl PeerLoads {
    /// Nothing is known yet.
    pub(crate) fn new(now: Millis, ordinal: u32, schedulers: u32) -> Self {
        let is_large = schedulers > MAX_DIRECT_SCHEDULERS;
        let aggregation = is_large.then(|| Aggregation::new(now, ordinal, schedulers));
        PeerLoads { aggregation, ..PeerLoads::default() }
    }

    /// Assigns an id to the worker of this name.
    pub(crate) fn add_worker(&mut self, id: WorkerId, name_hash: u64) {
        let tag = WorkerTag::of_hash(name_hash);
        if self.worker_by_tag.get(&tag) != Some(&id) {
            // The id may have belonged to another worker, whose slots are not those of this one.
            self.tag_by_worker.resize(self.tag_by_worker.len().max(id + 1), None);
            if let Some(old) = self.tag_by_worker[id].replace(tag)
                && self.worker_by_tag.get(&old) == Some(&id)
            {
                self.worker_by_tag.remove(&old);
            }
            self.worker_by_tag.insert(tag, id);
        }
        self.reported_slots.resize(self.reported_slots.len().max(id + 1), 0.0);
    }

    /// Slots that the other schedulers stated that they occupy at a worker.
    pub(crate) fn remote_slots(&self, worker: WorkerId) -> f64 {
        match &self.aggregation {
            Some(aggregation) if !aggregation.is_aggregator() => aggregation.remote_slots(worker),
            _ => self.reported_slots.get(worker).copied().unwrap_or(0.0),
        }
    }

    /// Estimates to which level the schedulers will have filled the workers by the next aggregated loads. Until then
    /// all see the same workers as the least loaded, and send their jobs there (Dahlin, "Interpreting stale load
    /// information", 1999). As many jobs arrive as end; `run_times`: how many of them a slot serves until then.
    pub(crate) fn update_expected_level(&mut self, loads: &[WorkerLoad], run_times: f64) {
        let ending: f64 = loads.iter().map(|load| load.occupied.min(load.slots) * run_times).sum();
        self.expected_level = water_fill_level(loads.iter().map(|load| load.occupied).collect(), ending);
    }

    /// Slots that the other schedulers will occupy at a worker until this one's turn there.
    pub(crate) fn expected_remote_slots(&self, now: Millis, id: WorkerId, name_hash: u64, own: f64) -> f64 {
        let remote = self.remote_slots(id);
        match &self.aggregation {
            Some(aggregation) => {
                let rise = (self.expected_level - remote - own).max(0.0);
                remote + turn_position(now, name_hash, aggregation.ordinal()) * rise
            }
            None => remote,
        }
    }

    /// Whether the cluster is small, so that its schedulers send their loads to one another.
    pub(crate) fn is_direct(&self) -> bool {
        self.aggregation.is_none()
    }

    /// Whether the loads of all schedulers are known, where there are this many.
    pub(crate) fn is_complete(&self, now: Millis, schedulers: u32) -> bool {
        match &self.aggregation {
            Some(aggregation) => aggregation.is_valid(now),
            None => self.reports.len() + 1 >= schedulers as usize,
        }
    }

    /// Whether valid aggregated loads state what the other schedulers occupy.
    pub(crate) fn has_aggregated(&self, now: Millis) -> bool {
        self.aggregation.as_ref().is_some_and(|aggregation| aggregation.is_valid(now))
    }

    /// Slots that the other schedulers occupy at a worker, if valid aggregated loads state it.
    pub(crate) fn aggregated_slots(&self, now: Millis, worker: WorkerId) -> Option<f64> {
        self.has_aggregated(now).then(|| self.remote_slots(worker))
    }

    /// How many other schedulers sent their loads to this one of late. What an aggregator receives is not known to the
    /// others as well, and does not count.
    pub(crate) fn direct_peers(&self) -> usize {
        if self.is_direct() { self.reports.len() } else { 0 }
    }

    /// Takes in a message. Any other text is ignored, and so are entries for workers that are not known here. `own`:
    /// the slots of this scheduler at a worker.
    pub(crate) fn handle_message(
        &mut self,
        now: Millis,
        from: u32,
        text: &str,
        own: impl Fn(WorkerId) -> f64,
    ) {
        let Ok(LoadMessage { kind, entries }) = LoadMessage::decode(text) else { return };
        match kind {
            LoadMessageKind::Aggregated => self.on_aggregated(now, from, &entries, own),
            LoadMessageKind::Own => {
                self.forget_report(from);
                self.on_report(now, from, entries);
            }
            LoadMessageKind::OwnContinued => self.on_report(now, from, entries),
        }
    }

    fn on_aggregated(
        &mut self,
        now: Millis,
        from: u32,
        entries: &[TaggedSlots],
        own: impl Fn(WorkerId) -> f64,
    ) {
        let Some(aggregation) = &mut self.aggregation else { return };
        if !aggregation.on_aggregated(now, from, !entries.is_empty(), self.reported_slots.len()) {
            return;
        }
        for entry in entries {
            if let Some(&worker) = self.worker_by_tag.get(&entry.tag) {
                aggregation.set_total(now, WorkerSlots { worker, slots: entry.slots }, own(worker));
            }
        }
    }

    fn on_report(&mut self, now: Millis, from: u32, entries: Vec<TaggedSlots>) {
        let report = self.reports.entry(from).or_default();
        report.received_at = now;
        for entry in &entries {
            if let Some(&worker) = self.worker_by_tag.get(&entry.tag) {
                self.reported_slots[worker] += entry.slots;
                report.slots.push(WorkerSlots { worker, slots: entry.slots });
            }
        }
        if self.aggregation.is_some() {
            report.entries.extend(entries);
        }
    }

    /// In a large cluster: the messages that are due now. `own`: the slots of this scheduler by worker, of which some
    /// have `changed`; it is iterated only where something is sent.
    pub(crate) fn poll_messages(
        &mut self,
        now: Millis,
        changed: bool,
        own: impl Iterator<Item = SlotsByHash>,
    ) -> Vec<OutgoingMessage> {
        let Some(aggregation) = &mut self.aggregation else { return Vec::new() };
        let entries = self.reports.values().flat_map(|report| &report.entries);
        aggregation.poll_messages(now, changed, entries, own)
    }

    /// In a small cluster: the messages that state these slots, none if there are none.
    pub(crate) fn direct_messages(own: impl Iterator<Item = SlotsByHash>) -> Vec<String> {
        let entries: Vec<TaggedSlots> = own.map(TaggedSlots::from).collect();
        if entries.is_empty() { Vec::new() } else { encode_loads(LoadMessageKind::Own, &entries) }
    }

    /// Forgets what was stated before `then`, and not again since.
    pub(crate) fn expire(&mut self, then: Millis) {
        if let Some(aggregation) = &mut self.aggregation {
            aggregation.expire(then);
        }
        let silent = self.reports.iter().filter(|(_, report)| report.received_at < then);
        let silent: Vec<u32> = silent.map(|(&from, _)| from).collect();
        for from in silent {
            self.forget_report(from);
        }
    }

    fn forget_report(&mut self, from: u32) {
        let Some(report) = self.reports.remove(&from) else { return };
        for WorkerSlots { worker, slots } in report.slots {
            self.reported_slots[worker] = (self.reported_slots[worker] - slots).max(0.0);
        }
    }
}

#[cfg(test)]
mod tests;
