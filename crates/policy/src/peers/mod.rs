//! The loads that other schedulers put on the workers, and the messages in which schedulers report them.
//!
//! In a small cluster each scheduler sends its loads to all others. In a large one an aggregator collects and
//! broadcasts them. Messages may be lost, repeated or forged: the worst effect of any of them is a wrong
//! estimate of a worker's free slots for a short time.
//!
//! | module | content |
//! | --- | --- |
//! | `load_message` | message format |
//! | `aggregation` | choice of the aggregator of a large cluster, and when it sends what |

mod aggregation;
mod load_message;

use crate::hashing::{hash, rendezvous_distance};
use crate::units::{Millis, WorkerId};
use aggregation::{Aggregation, ROUND_INTERVAL};
use load_message::{LoadMessage, LoadMessageKind, TaggedSlots, WorkerSlots, WorkerTag, encode_loads};
pub use load_message::{is_aggregated_loads, split_aggregated_loads};
use std::collections::BTreeMap;

/// Maximum number of schedulers in a small cluster, where each sends its loads to all others.
const MAX_DIRECT_SCHEDULERS: u32 = 9;

/// A message to one other scheduler or to all of them.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OutgoingMessage {
    /// The receiver's number; `None` for all schedulers.
    pub(crate) to: Option<u32>,
    pub(crate) text: String,
}

impl OutgoingMessage {
    fn to_all(texts: Vec<String>) -> Vec<OutgoingMessage> {
        texts.into_iter().map(|text| OutgoingMessage { to: None, text }).collect()
    }
}

/// Slots that this scheduler occupies at a worker, which is identified by the hash of its name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotsByHash {
    pub(crate) name_hash: u64,
    pub(crate) slots: f64,
}

impl From<SlotsByHash> for TaggedSlots {
    fn from(own: SlotsByHash) -> TaggedSlots {
        TaggedSlots { tag: WorkerTag::from_hash(own.name_hash), slots: own.slots }
    }
}

/// A worker's slots, and how many of them all schedulers occupy, including this one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerLoad {
    pub(crate) occupied: f64,
    pub(crate) slots: f64,
}

/// This scheduler's position, 0 to 1, in the order in which all schedulers may use a worker now. The order
/// changes pseudo-randomly with each aggregation round.
pub(crate) fn turn_position(now: Millis, worker_hash: u64, ordinal: u32) -> f64 {
    let round = (now / ROUND_INTERVAL) as u64;
    rendezvous_distance(worker_hash ^ round, hash(&ordinal.to_string()))
}

/// Water-filling: the level to which the lowest loads rise when `added` is always added to the lowest.
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

/// The slots that another scheduler reported that it occupies.
#[derive(Default)]
struct PeerReport {
    received_at: Millis,
    /// The entries for workers that are known here.
    slots: Vec<WorkerSlots>,
    /// In a large cluster: all entries. Other schedulers may know workers that are not known here.
    entries: Vec<TaggedSlots>,
}

/// The slots that other schedulers occupy at each worker.
#[derive(Default)]
pub(crate) struct PeerLoads {
    /// The latest report of each scheduler, by its number.
    reports: BTreeMap<u32, PeerReport>,
    worker_by_tag: BTreeMap<WorkerTag, WorkerId>,
    tag_by_worker: Vec<Option<WorkerTag>>,
    /// By worker: the sum of the slots in `reports`.
    reported_slots: Vec<f64>,
    /// `None` in a small cluster.
    aggregation: Option<Aggregation>,
    /// The load to which the least loaded workers are expected to rise before the next aggregated loads.
    expected_level: f64,
}

impl PeerLoads {
    /// Creates the state of a scheduler that has not received any loads.
    pub(crate) fn new(now: Millis, ordinal: u32, schedulers: u32) -> Self {
        let is_large = schedulers > MAX_DIRECT_SCHEDULERS;
        let aggregation = is_large.then(|| Aggregation::new(now, ordinal, schedulers));
        PeerLoads { aggregation, ..PeerLoads::default() }
    }

    /// Assigns an id to the worker whose name has this hash.
    pub(crate) fn add_worker(&mut self, id: WorkerId, name_hash: u64) {
        let tag = WorkerTag::from_hash(name_hash);
        if self.worker_by_tag.get(&tag) != Some(&id) {
            // The id may have belonged to another worker, whose tag must not refer to this one.
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

    /// Slots at a worker that the other schedulers last reported as occupied by them.
    pub(crate) fn remote_slots(&self, worker: WorkerId) -> f64 {
        match &self.aggregation {
            Some(aggregation) if !aggregation.is_aggregator() => aggregation.remote_slots(worker),
            _ => self.reported_slots.get(worker).copied().unwrap_or(0.0),
        }
    }

    /// Estimates the level to which the schedulers will fill the least loaded workers before the next
    /// aggregated loads arrive. Until then all schedulers see the same workers as least loaded and send their
    /// jobs there (Dahlin, "Interpreting Stale Load Information", 1999). Assumes that as many jobs arrive as
    /// end. `run_times`: the number of jobs that one slot completes until then.
    pub(crate) fn update_expected_level(&mut self, loads: &[WorkerLoad], run_times: f64) {
        let ending: f64 = loads.iter().map(|load| load.occupied.min(load.slots) * run_times).sum();
        self.expected_level = water_fill_level(loads.iter().map(|load| load.occupied).collect(), ending);
    }

    /// Slots that the other schedulers are expected to occupy at a worker when it is this scheduler's turn to
    /// use it. `own`: the slots of this scheduler there.
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

    /// Whether the cluster is small, so that each scheduler sends its loads to all others.
    pub(crate) fn is_direct(&self) -> bool {
        self.aggregation.is_none()
    }

    /// Whether the loads of all other schedulers are known, given the total number of schedulers.
    pub(crate) fn is_complete(&self, now: Millis, schedulers: u32) -> bool {
        match &self.aggregation {
            Some(aggregation) => aggregation.is_valid(now),
            None => self.reports.len() + 1 >= schedulers as usize,
        }
    }

    /// Whether there are valid aggregated loads.
    pub(crate) fn has_aggregated(&self, now: Millis) -> bool {
        self.aggregation.as_ref().is_some_and(|aggregation| aggregation.is_valid(now))
    }

    /// Slots that the other schedulers occupy at a worker; `None` without valid aggregated loads.
    pub(crate) fn aggregated_slots(&self, now: Millis, worker: WorkerId) -> Option<f64> {
        self.has_aggregated(now).then(|| self.remote_slots(worker))
    }

    /// The number of other schedulers that recently sent their loads to this one. It is 0 in a large cluster:
    /// only the aggregator receives reports there, and what they say is not known to the other schedulers.
    pub(crate) fn direct_peers(&self) -> usize {
        if self.is_direct() { self.reports.len() } else { 0 }
    }

    /// Handles a message. Text that is not a valid load message is ignored, and so are entries for workers
    /// that are not known here. `own`: the slots of this scheduler at a worker.
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
                self.remove_report(from);
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

    /// In a large cluster: the messages that are due now. `own`: the slots of this scheduler by worker,
    /// iterated only if something is sent. `changed`: whether they have changed since the last call.
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

    /// In a small cluster: the messages that report these slots; empty if `own` is empty.
    pub(crate) fn direct_messages(own: impl Iterator<Item = SlotsByHash>) -> Vec<String> {
        let entries: Vec<TaggedSlots> = own.map(TaggedSlots::from).collect();
        if entries.is_empty() { Vec::new() } else { encode_loads(LoadMessageKind::Own, &entries) }
    }

    /// Removes loads that were last reported before `cutoff`.
    pub(crate) fn expire(&mut self, cutoff: Millis) {
        if let Some(aggregation) = &mut self.aggregation {
            aggregation.expire(cutoff);
        }
        let expired = self.reports.iter().filter(|(_, report)| report.received_at < cutoff);
        let expired: Vec<u32> = expired.map(|(&from, _)| from).collect();
        for from in expired {
            self.remove_report(from);
        }
    }

    fn remove_report(&mut self, from: u32) {
        let Some(report) = self.reports.remove(&from) else { return };
        for WorkerSlots { worker, slots } in report.slots {
            self.reported_slots[worker] = (self.reported_slots[worker] - slots).max(0.0);
        }
    }
}

#[cfg(test)]
mod tests;
