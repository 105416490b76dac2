//! Updates of the worker list, and slow start: while a worker is warming up, all schedulers together send it
//! no more than the allowed multiple (`overload_multiple`) of its current capacity in each overload window
//! (`overload_duration`).

use super::*;

/// Fraction of the allowed work that is sent on average.
const SLOW_START_RATE: f64 = 0.35;
/// Fraction of the work allowed in one overload window that may be sent at once.
const SLOW_START_BURST: f64 = 0.35;
/// Fraction of the jobs allowed in one overload window that may be in flight at a time; each scheduler sends
/// at most one of them.
const SLOW_START_SENDERS: f64 = 0.3;

impl Dispatcher {
    pub(super) fn update_workers(&mut self, now: Millis, kind: ListKind, entries: Vec<WorkerEntry>) {
        match kind {
            ListKind::Failed => {
                let delay = (0.5 + self.rng.f64()) * WATCH_JITTER * self.settings.max_poll_interval;
                self.watch_at = if self.settings.list_on_request { now + delay } else { f64::INFINITY };
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
        let slowness = SlownessEstimate::assume(now, self.machine_kind(entry.kind).relative_run_time);
        let worker = &mut self.workers[entry.id];
        if entry.started_at.is_some() && entry.started_at != worker.started_at {
            worker.restart(now, slowness);
        }
        let name_hash = hash(&entry.name);
        if worker.name_hash != name_hash {
            // The id was reassigned: its previous worker was dropped from the list long ago.
            worker.replace(name_hash, slowness);
        }
        self.peer_loads.add_worker(entry.id, name_hash);
        self.ready.set(entry.id, name_hash, entry.readiness == Readiness::Ready);
        worker.update(&entry);
        if self.settings.weights == Weights::Size && entry.weight > 0.0 {
            worker.size = entry.weight;
        }
    }

    /// Whether slow start allows this much work to be sent to a worker now. A warm worker has no limit.
    pub(super) fn slow_start_admits(&mut self, now: Millis, id: WorkerId, work: f64) -> bool {
        let capacity = self.workers[id].capacity_fraction(now, &self.settings);
        if capacity >= 1.0 {
            return true;
        }
        match self.peer_loads.aggregated_slots(now, id) {
            Some(remote_slots) => self.is_slow_start_sender(now, id, capacity, remote_slots),
            None => self.slow_start_bucket_admits(now, id, capacity, work),
        }
    }

    /// Slow start with aggregated loads, by which each scheduler knows the work in flight of all. The number
    /// of schedulers that may each send one job falls with the occupied slots; which of them they are changes
    /// in each aggregation round.
    fn is_slow_start_sender(&self, now: Millis, id: WorkerId, capacity: f64, remote_slots: f64) -> bool {
        let worker = &self.workers[id];
        let occupied = remote_slots + worker.in_flight_slots;
        let Settings { overload_multiple, overload_duration, schedulers, ordinal, .. } = self.settings;
        let window_jobs = overload_multiple * capacity * overload_duration / self.overall_run_time.typical;
        let senders = SLOW_START_SENDERS * window_jobs * self.known_slots(worker) - 2.0 * occupied;
        let position = turn_position(now, worker.name_hash, ordinal) * f64::from(schedulers);
        worker.in_flight_slots == 0.0 && position < senders
    }

    /// Slow start without aggregated loads: a scheduler knows its own work only, and limits it by a token
    /// bucket to an equal share of what the worker may be sent. The capacity of the warm worker is taken from
    /// the slots and the speed of its machine kind, or from the work of this scheduler that was recently
    /// served per ready worker if that is more. A job larger than the bucket is not sent to this worker.
    fn slow_start_bucket_admits(&mut self, now: Millis, id: WorkerId, capacity: f64, work: f64) -> bool {
        let Settings { overload_multiple, overload_duration, schedulers, .. } = self.settings;
        let served = self.served_work.value_at(now, RATE_DECAY_TIME) / RATE_DECAY_TIME;
        let served_per_worker = served / self.ready.ids.len().max(1) as f64;
        let kind_capacity = self.machine_kind(self.workers[id].kind).capacity() / f64::from(schedulers);
        let allowed = overload_multiple * capacity * served_per_worker.max(kind_capacity);
        let bucket_size = SLOW_START_BURST * allowed * overload_duration;
        work <= self.workers[id].slow_start_tokens.refill(now, SLOW_START_RATE * allowed, bucket_size)
    }
}
