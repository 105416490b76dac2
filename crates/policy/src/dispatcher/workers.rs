//! The worker list, and slow start: all schedulers together send no worker that is warming up more than the
//! allowed multiple of its present capacity.
use super::*;

const SLOW_START_RATE: f64 = 0.35; // fraction of the allowed work that is sent on average
const SLOW_START_BURST: f64 = 0.35; // fraction of a span's allowed work that may be sent at once
const SLOW_START_TAKERS: f64 = 0.3; // fraction of a span's jobs that schedulers may send at a time, one each

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
        let slowness = SlownessEstimate::assume(now, self.kind(entry.kind).relative_run_time);
        let worker = &mut self.workers[entry.id];
        if entry.started_at.is_some() && entry.started_at != worker.started_at {
            worker.restart(now, slowness);
        }
        let name_hash = hash(&entry.name);
        if worker.name_hash != name_hash {
            // The id belonged to a worker that was forgotten long ago.
            worker.replace(name_hash, slowness);
        }
        self.peer_loads.add_worker(entry.id, name_hash);
        self.ready.set(entry.id, name_hash, entry.readiness == Readiness::Ready);
        worker.update(&entry);
        if self.settings.weights == Weights::Size && entry.weight > 0.0 {
            worker.size = entry.weight;
        }
    }

    /// Whether a worker may be sent this much work now. A warm one may.
    pub(super) fn slow_start_admits(&mut self, now: Millis, id: WorkerId, work: f64) -> bool {
        let capacity = self.workers[id].capacity_fraction(now, &self.settings);
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
        let span_jobs = overload_multiple * capacity * overload_duration / self.expected_run_times.typical;
        let takers = SLOW_START_TAKERS * span_jobs * self.known_slots(worker) - 2.0 * occupied;
        let position = turn_position(now, worker.name_hash, ordinal) * f64::from(schedulers);
        worker.in_flight_slots == 0.0 && position < takers
    }

    /// Where each scheduler knows its own work alone, it has an equal part of what the worker may be sent, in
    /// a token bucket. A warm worker does what its slots and its kind's speed allow, or else what all do on
    /// average. A job larger than the bucket is not for this worker at all.
    fn slow_start_allowance_admits(&mut self, now: Millis, id: WorkerId, capacity: f64, work: f64) -> bool {
        let Settings { overload_multiple, overload_duration, schedulers, .. } = self.settings;
        let served = self.served_work.value_at(now, RATE_DECAY_TIME) / RATE_DECAY_TIME;
        let served_per_worker = served / self.ready.ids.len().max(1) as f64;
        let of_kind = self.kind(self.workers[id].kind).capacity() / f64::from(schedulers);
        let allowed = overload_multiple * capacity * served_per_worker.max(of_kind);
        let bucket_size = SLOW_START_BURST * allowed * overload_duration;
        work <= self.workers[id].allowance.refill(now, SLOW_START_RATE * allowed, bucket_size)
    }
}
