//! The state of workers, machine kinds and zones. The decisions on them are made in the dispatcher.

use crate::measure::{DecayingSum, FaultScore, RunTimeRatio, SlotEstimate, SlownessEstimate};
use crate::peers::SlotsByHash;
use crate::settings::Settings;
use crate::token_bucket::TokenBucket;
use crate::units::Millis;
use crate::worker_list::{Readiness, WorkerEntry};
use std::collections::VecDeque;

/// Fraction of the capacity not yet guaranteed that a worker which is warming up is expected to have.
const LIKELY_CAPACITY_FRACTION: f64 = 0.4;
/// Lower limit of the relative running time: no worker is assumed to be more than ten times as fast as a
/// standard core.
const MIN_RELATIVE_RUN_TIME: f64 = 0.1;
/// Lower limit of the fraction of its capacity that a worker is assumed to have.
const MIN_CAPACITY_FRACTION: f64 = 0.05;

/// A worker.
#[derive(Default)]
pub(crate) struct Worker {
    pub(crate) name_hash: u64,
    pub(crate) zone: u32,
    pub(crate) kind: u32,
    pub(crate) cell: u32,
    pub(crate) readiness: Readiness,
    /// Its size relative to other workers; 1 unless workers are weighted by size.
    pub(crate) size: f64,
    /// When its process started; `None` if that was long ago.
    pub(crate) started_at: Option<Millis>,
    /// Probability that it is draining although the list does not say so yet.
    pub(crate) drain_probability: f64,
    /// Slots that this scheduler's attempts occupy at the worker.
    pub(crate) in_flight_slots: f64,
    /// Those of `in_flight_slots` whose jobs are not known to have started.
    pub(crate) unstarted_slots: f64,
    pub(crate) slowness: SlownessEstimate,
    pub(crate) faults: FaultScore,
    /// How long the last job that started at the worker had waited there, in milliseconds; decays. After a
    /// rejection because the worker was full, one latency objective.
    pub(crate) start_wait: DecayingSum,
    /// When the last served attempt freed its slots; 0 once another attempt was sent.
    pub(crate) slot_freed_at: Millis,
    /// The latest send time among the attempts whose jobs have started.
    pub(crate) last_started_sent_at: Millis,
    /// No job is sent to the worker before this time, as it rejected an attempt because it was full.
    pub(crate) backoff_until: Millis,
    /// Recent rejections because the worker was full, up to `MAX_BACKOFF_DOUBLINGS`; each started and each
    /// served job subtracts one.
    pub(crate) recent_rejections: u32,
    /// All slots of the worker, by its load reports.
    pub(crate) reported_slots: SlotEstimate,
    /// Slots that other schedulers occupied, by the last load report that contained the requests in flight;
    /// `None` before the first such report.
    pub(crate) reported_remote_slots: Option<f64>,
    /// When the last load report arrived; 0 if none has arrived from this process.
    pub(crate) reported_at: Millis,
    /// When the last health check was requested.
    pub(crate) health_checked_at: Millis,
    /// Hashed affinity keys of the last jobs sent to the worker, newest first: it most likely has their data
    /// cached.
    pub(crate) recent_keys: VecDeque<u64>,
    /// Slow start: work, in slot-milliseconds, that this scheduler may still send.
    pub(crate) slow_start_tokens: TokenBucket,
}

impl Worker {
    /// A worker that has not been listed yet.
    pub(crate) fn unlisted() -> Self {
        Worker { readiness: Readiness::Gone, size: 1.0, ..Worker::default() }
    }

    /// Resets what was observed of the previous process, after the worker's process was restarted.
    pub(crate) fn restart(&mut self, now: Millis, slowness: SlownessEstimate) {
        self.slow_start_tokens = TokenBucket::empty(now);
        self.slowness = slowness;
        self.faults = FaultScore::default();
        self.reported_at = 0.0;
        self.recent_keys.clear();
    }

    /// Resets the state, except for the slow-start tokens, after the id was reassigned to another worker.
    pub(crate) fn replace(&mut self, name_hash: u64, slowness: SlownessEstimate) {
        *self =
            Worker { name_hash, slowness, slow_start_tokens: self.slow_start_tokens, ..Worker::unlisted() };
    }

    /// Copies the attributes of its list entry, except the weight.
    pub(crate) fn update(&mut self, entry: &WorkerEntry) {
        self.zone = entry.zone;
        self.kind = entry.kind;
        self.cell = entry.cell;
        self.readiness = entry.readiness;
        self.started_at = entry.started_at;
        self.drain_probability = entry.drain_probability;
    }

    /// The guaranteed fraction of its capacity, at least [`MIN_CAPACITY_FRACTION`]; 1 once it has warmed up.
    pub(crate) fn capacity_fraction(&self, now: Millis, settings: &Settings) -> f64 {
        let fraction = self.started_at.map_or(1.0, |started_at| settings.capacity_fraction(now - started_at));
        fraction.max(MIN_CAPACITY_FRACTION)
    }

    /// Its current running time of a job relative to a standard core.
    pub(crate) fn relative_run_time(&self, now: Millis, settings: &Settings) -> f64 {
        let when_warm = (1.0 + self.slowness.value_at(now)).max(MIN_RELATIVE_RUN_TIME);
        let guaranteed = self.capacity_fraction(now, settings);
        when_warm / (guaranteed + LIKELY_CAPACITY_FRACTION * (1.0 - guaranteed))
    }

    /// Records that a job with this key was sent to the worker.
    pub(crate) fn remember_key(&mut self, key: u64, max_keys: usize) {
        self.recent_keys.retain(|&known| known != key);
        self.recent_keys.push_front(key);
        self.recent_keys.truncate(max_keys);
    }

    /// The occupied slots that are reported to other schedulers: those in flight, and the equivalent slots of
    /// recent faults.
    pub(crate) fn advertised_slots(&self, now: Millis) -> SlotsByHash {
        let slots = self.in_flight_slots + self.faults.equivalent_slots(now);
        SlotsByHash { name_hash: self.name_hash, slots }
    }

    /// Adds the slots of an attempt that was sent to the worker.
    pub(crate) fn occupy(&mut self, slots: f64) {
        self.in_flight_slots += slots;
        self.unstarted_slots += slots;
    }

    /// Records that the job of an attempt has started. `sent_at`: when the attempt was sent.
    pub(crate) fn on_job_started(&mut self, sent_at: Millis, slots: f64) {
        self.last_started_sent_at = self.last_started_sent_at.max(sent_at);
        self.recent_rejections = self.recent_rejections.saturating_sub(1);
        self.mark_started(slots);
    }

    /// Removes the slots of a started job from the unstarted ones.
    pub(crate) fn mark_started(&mut self, slots: f64) {
        self.unstarted_slots = (self.unstarted_slots - slots).max(0.0);
    }

    /// Removes the slots of an attempt that has ended. `had_started`: whether its job's start was reported.
    pub(crate) fn release(&mut self, slots: f64, had_started: bool) {
        self.in_flight_slots = (self.in_flight_slots - slots).max(0.0);
        if !had_started {
            self.mark_started(slots);
        }
    }
}

/// What is known of the workers of one machine kind.
#[derive(Clone, Copy)]
pub(crate) struct MachineKind {
    /// The slots of its workers.
    pub(crate) slots: SlotEstimate,
    /// The running time of a job at its workers relative to a standard core.
    pub(crate) relative_run_time: f64,
}

impl MachineKind {
    /// Work that one of its workers does per unit of time once it has warmed up; 0 if unknown.
    pub(crate) fn capacity(&self) -> f64 {
        self.slots.0 / self.relative_run_time.max(MIN_RELATIVE_RUN_TIME)
    }

    /// Updates the relative running time with that of a job that did not wait.
    pub(crate) fn observe_run_time(&mut self, weight: f64, observed: RunTimeRatio) {
        self.relative_run_time = observed.update(self.relative_run_time, weight);
    }
}

impl Default for MachineKind {
    fn default() -> Self {
        MachineKind { slots: SlotEstimate::default(), relative_run_time: 1.0 }
    }
}

/// What is known of the connections to one zone.
#[derive(Default)]
pub(crate) struct Zone {
    /// Recently failed connections, weighted; added to the failure rate of each worker of the zone.
    pub(crate) faults: DecayingSum,
    /// Shortest observed time between sending an attempt and the report that its job started.
    pub(crate) min_start_latency: Option<Millis>,
}

impl Zone {
    /// Records the time between sending an attempt and the report that its job started. Returns the shortest
    /// one so far.
    pub(crate) fn record_start_latency(&mut self, latency: Millis) -> Millis {
        *self
            .min_start_latency
            .insert(self.min_start_latency.map_or(latency, |shortest| shortest.min(latency)))
    }
}
