//! The worker list, and slow start: all schedulers together send no worker that is warming up more than the
//! allowed multiple of its present capacity.
use super::*;

const SLOW_START_MARGIN: f64 = 0.4; // fraction of the allowed work that is used: sizes differ, estimates err
const SLOW_START_TAKERS: f64 = 0.3; // fraction of a span's jobs that schedulers may send at a time, one each
const SLOW_START_MAX_JOB: f64 = 0.75; // the largest job, as a fraction of all the work of a span

impl Dispatcher {
    pub(super) fn update_workers(&mut self, now: Millis, kind: ListKind, entries: Vec<WorkerEntry>) {
        match kind {
            ListKind::Failed => {
                let delay = (0.5 + self.rng.f64()) * POLL_SPREAD * self.settings.max_poll_interval;
                self.poll_at = if self.settings.list_on_request { now + delay } else { f64::INFINITY };
                return;
            }
            ListKind::Full => {
                self.workers.iter_mut().for_each(|worker| worker.readiness = Readiness::Gone);
                self.ready = ReadyWorkers::default();
            }
            ListKind::Cached | ListKind::Delta => {}
        }
        for entry in entries {
            self.update_worker(now, entry);
        }
    }

    fn update_worker(&mut self, now: Millis, entry: WorkerEntry) {
        while self.workers.len() <= entry.id {
            self.workers.push(Worker::unlisted());
        }
        let phase = self.rng.f64() * self.mean_run_time();
        let worker = &mut self.workers[entry.id];
        if entry.started_at.is_some() && entry.started_at != worker.started_at {
            // Schedulers learn of a start together: a random phase keeps their first jobs apart.
            worker.allowance = -phase;
            worker.allowance_updated_at = now;
            worker.slowness = SlownessEstimate::default();
            worker.faults = FaultScore::default();
            worker.reported_at = 0.0;
            worker.recent_keys.clear();
        }
        let name_hash = hash(&entry.name);
        if worker.name_hash != name_hash {
            // The id belonged to a worker that was forgotten long ago.
            let Worker { allowance, allowance_updated_at, .. } = *worker;
            *worker = Worker { name_hash, allowance, allowance_updated_at, ..Worker::unlisted() };
        }
        self.peer_loads.add_worker(entry.id, name_hash);
        self.ready.set(entry.id, name_hash, entry.readiness == Readiness::Ready);
        worker.update(&entry);
        if self.settings.weights == Weights::Size && entry.weight > 0.0 {
            worker.size = entry.weight;
        }
    }

    /// The fraction of its capacity that a worker has for certain; 1 once it has warmed up.
    fn capacity_fraction(&self, now: Millis, worker: &Worker) -> f64 {
        let Some(started_at) = worker.started_at else { return 1.0 };
        let warmed_up = ((now - started_at) / self.settings.warm_up_duration.max(1.0)).clamp(0.0, 1.0);
        let initial = self.settings.initial_capacity_fraction;
        initial + (1.0 - initial) * warmed_up
    }

    /// Work per millisecond that this scheduler may send a worker that is warming up: the allowed multiple of
    /// its present capacity, where a warm worker does what all do on average; so the sum over all schedulers
    /// does not depend on their number. Workers that are warming up count in the average: in a rollout few do
    /// not.
    fn slow_start_rate(&self, now: Millis, capacity: f64) -> f64 {
        let served = self.served_work.value_at(now, RATE_DECAY_TIME) / RATE_DECAY_TIME;
        let per_worker = served / self.ready.ids.len().max(1) as f64;
        SLOW_START_MARGIN * self.settings.overload_multiple * capacity * per_worker
    }

    /// Whether a worker may be sent this much work now. A warm one may.
    pub(super) fn slow_start_admits(&mut self, now: Millis, id: WorkerId, work: f64) -> bool {
        let capacity = self.capacity_fraction(now, &self.workers[id]);
        if capacity >= 1.0 {
            return true;
        }
        match self.peer_loads.aggregated_slots(now, id) {
            Some(remote_slots) => self.is_slow_start_taker(now, id, capacity, remote_slots),
            None => self.slow_start_allowance_admits(now, id, capacity, work),
        }
    }

    /// Where all schedulers know what all send: a few of them, others in each round, may use what is left.
    fn is_slow_start_taker(&self, now: Millis, id: WorkerId, capacity: f64, remote_slots: f64) -> bool {
        let worker = &self.workers[id];
        let occupied = remote_slots + worker.in_flight_slots;
        let Settings { overload_multiple, overload_duration, schedulers, ordinal, .. } = self.settings;
        let span_jobs = overload_multiple * capacity * overload_duration / self.mean_run_time();
        let takers = SLOW_START_TAKERS * span_jobs * self.known_slots(worker) - 2.0 * occupied;
        let position = turn_position(now, worker.name_hash, ordinal) * f64::from(schedulers);
        worker.in_flight_slots == 0.0 && position < takers
    }

    /// Where each scheduler knows its own work alone: the allowance fills at the rate above, and jobs
    /// overdraw it. What is not used within a span is lost, and the next comes at random, or all schedulers
    /// would use saved allowances together. A job too large for the worker's whole span is not for it at all.
    fn slow_start_allowance_admits(&mut self, now: Millis, id: WorkerId, capacity: f64, work: f64) -> bool {
        let rate = self.slow_start_rate(now, capacity);
        let span_work = rate * self.settings.overload_duration;
        let mean_run_time = self.mean_run_time();
        let worker = &mut self.workers[id];
        worker.allowance += rate * (now - worker.allowance_updated_at);
        worker.allowance_updated_at = now;
        if worker.allowance > span_work {
            worker.allowance = -2.0 * mean_run_time * self.rng.f64();
        }
        let max_work = SLOW_START_MAX_JOB * span_work * f64::from(self.settings.schedulers);
        worker.allowance >= 0.0 && work <= max_work
    }
}
