//! What a dispatcher knows of the workers and their zones. Nothing is decided here.

use crate::measure::{DecayingSum, FaultScore, RunTimeRatio, SlotEstimate, SlownessEstimate};
use crate::peers::SlotsByHash;
use crate::settings::Settings;
use crate::token_bucket::TokenBucket;
use crate::units::Millis;
use crate::worker_list::{Readiness, WorkerEntry};
use std::collections::VecDeque;

/// The fraction of the capacity that a worker is not certain to have which it most likely has.
const LIKELY_CAPACITY: f64 = 0.4;
/// No worker is taken for faster than ten standard cores.
const MIN_RELATIVE_RUN_TIME: f64 = 0.1;
/// No worker is taken to have less than this part of its capacity.
const MIN_CAPACITY_FRACTION: f64 = 0.05;

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
    /// All its slots, and those that other schedulers occupied, as last reported; `None`: reports don't tell.
    pub(crate) reported_slots: SlotEstimate,
    pub(crate) remote_slots: Option<f64>,
    pub(crate) reported_at: Millis,
    /// When it was last asked for a load report.
    pub(crate) health_checked_at: Millis,
    /// Affinity keys of the last jobs sent here, the latest first: their data is most likely cached.
    pub(crate) recent_keys: VecDeque<u64>,
    /// Work that it may still be sent while it is warming up.
    pub(crate) allowance: TokenBucket,
}

impl Worker {
    /// A worker that no list has named yet.
    pub(crate) fn unlisted() -> Self {
        Worker { readiness: Readiness::Gone, size: 1.0, ..Worker::default() }
    }

    /// Its process has started anew: what was observed of the earlier one says nothing.
    pub(crate) fn restart(&mut self, now: Millis, slowness: SlownessEstimate) {
        self.allowance = TokenBucket::empty(now);
        self.slowness = slowness;
        self.faults = FaultScore::default();
        self.reported_at = 0.0;
        self.recent_keys.clear();
    }

    /// Its id has passed on to another worker.
    pub(crate) fn replace(&mut self, name_hash: u64, slowness: SlownessEstimate) {
        *self = Worker { name_hash, slowness, allowance: self.allowance, ..Worker::unlisted() };
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

    /// The fraction of its capacity that it has for certain, at least [`MIN_CAPACITY_FRACTION`]; 1 once it is warm.
    pub(crate) fn capacity_fraction(&self, now: Millis, settings: &Settings) -> f64 {
        let fraction = self.started_at.map_or(1.0, |started_at| settings.capacity_fraction(now - started_at));
        fraction.max(MIN_CAPACITY_FRACTION)
    }

    /// How long it runs a job now, in comparison with a standard core.
    pub(crate) fn relative_run_time(&self, now: Millis, settings: &Settings) -> f64 {
        let when_warm = (1.0 + self.slowness.value_at(now)).max(MIN_RELATIVE_RUN_TIME);
        let certain = self.capacity_fraction(now, settings);
        when_warm / (certain + LIKELY_CAPACITY * (1.0 - certain))
    }

    /// A job of this key was sent here.
    pub(crate) fn remember_key(&mut self, key: u64, max_keys: usize) {
        self.recent_keys.retain(|&known| known != key);
        self.recent_keys.push_front(key);
        self.recent_keys.truncate(max_keys);
    }

    /// The slots in flight here as other schedulers are told; faults count too.
    pub(crate) fn stated_slots(&self, now: Millis) -> SlotsByHash {
        let slots = self.in_flight_slots + self.faults.equivalent_slots(now);
        SlotsByHash { name_hash: self.name_hash, slots }
    }

    /// An attempt that occupies slots has started here.
    pub(crate) fn occupy(&mut self, slots: f64) {
        self.in_flight_slots += slots;
        self.unstarted_slots += slots;
    }

    /// The job of an attempt that was sent then has started.
    pub(crate) fn on_job_started(&mut self, sent_at: Millis, slots: f64) {
        self.last_started_sent_at = self.last_started_sent_at.max(sent_at);
        self.recent_fulls = self.recent_fulls.saturating_sub(1);
        self.mark_started(slots);
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

/// A kind of machine.
#[derive(Clone, Copy)]
pub(crate) struct MachineKind {
    /// The slots of its workers.
    pub(crate) slots: SlotEstimate,
    /// How long its workers run a job, in comparison with a standard core.
    pub(crate) relative_run_time: f64,
}

impl MachineKind {
    /// Work that its workers do in a unit of time once they have warmed up; 0: not known.
    pub(crate) fn capacity(&self) -> f64 {
        self.slots.0 / self.relative_run_time.max(MIN_RELATIVE_RUN_TIME)
    }

    /// Takes in the running time of a job that did not wait.
    pub(crate) fn observe_run_time(&mut self, weight: f64, observed: RunTimeRatio) {
        self.relative_run_time = observed.update(self.relative_run_time, weight);
    }
}

impl Default for MachineKind {
    fn default() -> Self {
        MachineKind { slots: SlotEstimate::default(), relative_run_time: 1.0 }
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
