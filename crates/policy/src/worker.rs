//! What a dispatcher knows of the workers and their zones. Nothing is decided here.

use crate::measure::{DecayingSum, FaultScore, SlotEstimate, SlownessEstimate};
use crate::units::Millis;
use crate::worker_list::{Readiness, WorkerEntry};
use std::collections::VecDeque;

/// A worker.
#[derive(Default)]
pub(crate) struct Worker {
    pub(crate) name_hash: u64,
    pub(crate) zone: u32,
    pub(crate) kind: u32,
    pub(crate) cell: u32,
    pub(crate) readiness: Readiness,
    /// Its size in comparison with others.
    pub(crate) size: f64,
    pub(crate) started_at: Option<Millis>,
    pub(crate) drain_probability: f64,
    /// Slots that this scheduler's attempts occupy here, and those of them whose jobs are not known to have started.
    pub(crate) in_flight_slots: f64,
    pub(crate) unstarted_slots: f64,
    pub(crate) slowness: SlownessEstimate,
    pub(crate) faults: FaultScore,
    /// The wait of the last job that started here; it decays.
    pub(crate) start_wait: DecayingSum,
    /// When an attempt was last served here.
    pub(crate) freed_at: Millis,
    /// When the latest attempt that has started here was sent.
    pub(crate) last_started_sent_at: Millis,
    /// No job is sent here until then, since it reported that it is full.
    pub(crate) backoff_until: Millis,
    /// How often it was full of late; each start and result takes one off.
    pub(crate) recent_fulls: u32,
    /// All its slots, and those that other schedulers occupied, as last reported.
    pub(crate) reported_slots: SlotEstimate,
    pub(crate) remote_slots: f64,
    pub(crate) reported_at: Millis,
    /// Affinity keys of the last jobs sent here, the latest first: their data is most likely cached.
    pub(crate) recent_keys: VecDeque<u64>,
    /// Work that it may still be sent while it is warming up, and when that was last refilled.
    pub(crate) allowance: f64,
    pub(crate) allowance_updated_at: Millis,
}

impl Worker {
    /// A worker that no list has named yet.
    pub(crate) fn unlisted() -> Self {
        Worker { readiness: Readiness::Gone, size: 1.0, ..Worker::default() }
    }

    /// Takes over what the list says of it, but for its weight.
    pub(crate) fn update(&mut self, entry: &WorkerEntry) {
        self.zone = entry.zone;
        self.kind = entry.kind;
        self.cell = entry.cell;
        self.readiness = entry.readiness;
        self.started_at = entry.started_at;
        self.drain_probability = entry.drain_probability;
    }

    /// A job of this key was sent here.
    pub(crate) fn remember_key(&mut self, key: u64, max_keys: usize) {
        self.recent_keys.retain(|&known| known != key);
        self.recent_keys.push_front(key);
        self.recent_keys.truncate(max_keys);
    }

    /// An attempt that occupies slots has started here.
    pub(crate) fn occupy(&mut self, slots: f64) {
        self.in_flight_slots += slots;
        self.unstarted_slots += slots;
    }

    /// An attempt's job has started.
    pub(crate) fn mark_started(&mut self, slots: f64) {
        self.unstarted_slots = (self.unstarted_slots - slots).max(0.0);
    }

    /// An attempt has ended, after its job had started or before.
    pub(crate) fn release(&mut self, slots: f64, had_started: bool) {
        self.in_flight_slots = (self.in_flight_slots - slots).max(0.0);
        if !had_started {
            self.mark_started(slots);
        }
    }
}

/// A zone.
#[derive(Default)]
pub(crate) struct Zone {
    /// Connections that failed of late, weighted.
    pub(crate) faults: DecayingSum,
    /// The shortest time seen between the sending of an attempt and the report of its job's start.
    pub(crate) min_start_latency: Option<Millis>,
}

impl Zone {
    /// Takes in the time between the sending of an attempt and the report of its job's start; the shortest one so far.
    pub(crate) fn record_start_latency(&mut self, latency: Millis) -> Millis {
        *self
            .min_start_latency
            .insert(self.min_start_latency.map_or(latency, |shortest| shortest.min(latency)))
    }
}
