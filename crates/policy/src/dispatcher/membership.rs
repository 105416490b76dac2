//! Membership: the list, drains, the cold allowance.
use super::*;

impl Dispatcher {
    pub(super) fn learn_workers(&mut self, now: Millis, kind: ListKind, entries: Vec<WorkerEntry>) {
        match kind {
            ListKind::Failed => {
                let wait = (0.5 + self.rng.f64()) * ASK_SPREAD * self.settings.max_poll_interval;
                self.ask_at = if self.settings.list_on_request { now + wait } else { f64::INFINITY };
                return;
            }
            ListKind::Full => {
                self.workers.iter_mut().for_each(|worker| worker.readiness = Readiness::Gone);
                self.ready = ReadySet::default();
            }
            ListKind::Cached | ListKind::Delta => {}
        }
        for entry in entries {
            self.learn_worker(now, entry);
        }
    }

    pub(super) fn learn_worker(&mut self, now: Millis, entry: WorkerEntry) {
        while self.workers.len() <= entry.id {
            self.workers.push(Worker { readiness: Readiness::Gone, size: 1.0, ..Worker::default() });
        }
        let phase = self.rng.f64() * self.mean_run();
        let worker = &mut self.workers[entry.id];
        let restarted = entry.started_at.is_some() && entry.started_at != worker.started_at;
        if restarted {
            // Dispatchers hear of a start together: a random phase keeps their first jobs apart.
            worker.allowance = -phase;
            worker.allowance_at = now;
            worker.slowness = Slowness::default();
            worker.trouble = Trouble::default();
            worker.reported_at = 0.0;
            worker.keys.clear();
        }
        let hash = hash(&entry.name);
        if worker.hash != hash {
            // The number of a server that was forgotten long ago serves another one.
            let (allowance, allowance_at) = (worker.allowance, worker.allowance_at);
            *worker = Worker { hash, size: 1.0, allowance, allowance_at, ..Worker::default() };
        }
        self.peers.know(entry.id, worker.hash);
        worker.zone = entry.zone;
        worker.kind = entry.kind;
        worker.cell = entry.cell;
        worker.readiness = entry.readiness;
        self.ready.set(entry.id, hash, entry.readiness == Readiness::Ready);
        worker.started_at = entry.started_at;
        worker.drain_probability = entry.drain_probability;
        if self.settings.weights == Weights::Size && entry.weight > 0.0 {
            worker.size = entry.weight;
        }
    }

    /// The part of its capacity that a worker has for certain; 1 when it is warm.
    pub(super) fn warmth(&self, now: Millis, worker: &Worker) -> f64 {
        let Some(started_at) = worker.started_at else { return 1.0 };
        let age = ((now - started_at) / self.settings.warm_up_duration.max(1.0)).clamp(0.0, 1.0);
        self.settings.initial_capacity_fraction + (1.0 - self.settings.initial_capacity_fraction) * age
    }

    /// Work per millisecond that a cold worker may be sent from here: the stated multiple of what it can do
    /// now, a warm one bearing what all do on average. Over all dispatchers that is the fleet's load per
    /// worker, so no number of them pushes one over. Cold ones count in it: in a deploy few are warm.
    pub(super) fn cold_rate(&self, now: Millis, warmth: f64) -> f64 {
        let per_worker =
            self.work_done.value_at(now, RATE_TIME) / RATE_TIME / self.ready.ids.len().max(1) as f64;
        COLD_MARGIN * self.settings.overload_multiple * warmth * per_worker
    }

    /// Whether a worker may be sent this much work now. The allowance fills at that rate; jobs overdraw it.
    /// A chance not taken within one span is lost and the next comes at random, or all dispatchers would save
    /// theirs up and spend them together. A job too large for the worker's whole span is not for it at all.
    pub(super) fn cold_permits(&mut self, now: Millis, id: WorkerId, work: f64) -> bool {
        let warmth = self.warmth(now, &self.workers[id]);
        if warmth >= 1.0 {
            return true;
        }
        if let Some(known) = self.peers.load_told(now, id) {
            // All know what all hold there: a few of them, others each time, may fill the room that is left.
            let worker = &self.workers[id];
            let (slots, held) = (self.slots(worker), known + worker.own);
            let span =
                self.settings.overload_multiple * warmth * self.settings.overload_duration / self.mean_run();
            let takers = COLD_TAKERS * span * slots - 2.0 * held;
            return worker.own == 0.0
                && turn(now, worker.hash, self.settings.ordinal) * f64::from(self.settings.schedulers)
                    < takers;
        }
        let rate = self.cold_rate(now, warmth);
        let span = rate * self.settings.overload_duration;
        let mean = self.mean_run();
        let worker = &mut self.workers[id];
        worker.allowance += rate * (now - worker.allowance_at);
        worker.allowance_at = now;
        if worker.allowance > span {
            worker.allowance = -2.0 * mean * self.rng.f64();
        }
        worker.allowance >= 0.0 && work <= COLD_LUMP * span * f64::from(self.settings.schedulers)
    }
}
