//! Placement: an idle worker first.
use super::*;

impl Dispatcher {
    pub(super) fn choose(&mut self, now: Millis, id: JobId) -> Option<WorkerId> {
        let job = self.jobs.get(&id)?;
        let (kind, limit) = (self.settings.classes[job.class].kind, self.resend(now, job));
        if limit == Resend::Never || job.attempts.len() >= self.settings.max_attempts {
            return None;
        }
        let work = self.runs[job.class].usual * job.slots;
        let count = self.ready.ids.len();
        let start = if count == 0 { 0 } else { self.rng.usize(..count) };
        let mut best: Option<(f64, WorkerId)> = None;
        let homes = job.key;
        let near = |hash: u64| homes.is_some_and(|key| distance(key, hash) * (count as f64) < SCAN_HOMES);
        for step in 0..if homes.is_some() { count } else { count.min(SCAN_MOST) } {
            let place = (start + step) % count;
            if step >= SCAN_MOST && !near(self.ready.hashes[place]) {
                continue;
            }
            let id_here = self.ready.ids[place];
            let worker = &self.workers[id_here];
            if kind.is_some_and(|kind| kind != worker.kind) || now < worker.full_until {
                continue;
            }
            if !limit.allows(id_here, &self.workers) {
                continue;
            }
            let cost = self.cost(now, id_here, &self.jobs[&id]);
            if best.is_none_or(|(least, _)| cost < least) && self.cold_permits(now, id_here, work) {
                best = Some((cost, id_here));
            }
        }
        // Where what all hold is known, a job that would wait too long makes room for those that need not.
        let told = !self.peers.direct() && self.peers.complete(now, self.settings.schedulers);
        let job = &self.jobs[&id];
        let most = if told { ADMIT * self.slack(job.class) } else { f64::INFINITY };
        best.map(|best| best.1).filter(|&worker| self.wait(now, worker, job) <= most)
    }

    /// How long a job is expected to wait at a worker, in milliseconds; less than none at one with room.
    pub(super) fn wait(&self, now: Millis, id: WorkerId, job: &Job) -> f64 {
        let worker = &self.workers[id];
        let run = self.runs[job.class].usual;
        let queue = match self.free_slots(now, id, worker) {
            Some(free) if free >= job.slots => -0.01 * free * run,
            Some(free) => (job.slots - free) / self.slots(worker).max(1.0) * self.mean_run(),
            None => {
                let age = now - worker.freed_at;
                let fresh = FRESH_GAIN * run * (1.0 - age / run).max(0.0);
                OWN_STEP * run * (worker.own + self.peers.load(id)) / worker.size - fresh
            }
        };
        let waits = worker.wait.value_at(now, run)
            + if self.settings.reports_job_start { worker.unstarted * OWN_STEP * run } else { 0.0 };
        queue + waits
    }

    /// What sending a job to a worker is expected to cost it, in milliseconds.
    pub(super) fn cost(&self, now: Millis, id: WorkerId, job: &Job) -> f64 {
        let worker = &self.workers[id];
        let (run, aim) = (self.runs[job.class].usual, self.settings.classes[job.class].latency_objective);
        let zone = self.zones.get(&worker.zone).map_or(0.0, |zone| zone.trouble.value_at(now, Trouble::LIFE));
        let trouble = worker.trouble.part(now) + zone;
        let away = self.settings.cross_zone_cost(worker.zone) * aim;
        let fetch = job.key.map_or(0.0, |key| {
            let homes = job.key_popularity * HOME_MARGIN;
            let rank = self.ready.ids.len() as f64 * (distance(key, worker.hash) - homes).max(0.0);
            let kept = worker.keys.contains(&key);
            FETCH_COST * run * rank / (rank + 1.0) * if kept { KEPT_PART } else { 1.0 }
        });
        let slower = worker.slowness.value_at(now, SLOW_LIFE) * run;
        let late = (slower - 0.5 * self.slack(job.class)).max(0.0);
        let slower = SPEED_PART.0 * slower + SPEED_PART.1 * late;
        let wait = self.wait(now, id, job);
        wait + slower + (TROUBLE_COST * trouble + DOUBT_COST * worker.drain_probability) * aim + away + fetch
    }

    /// Tells the others how many slots we hold where; each job sent pays for a part of a message.
    pub(super) fn tell_loads(&mut self, out: &mut Vec<Action>) {
        let held = self.ready.ids.iter().map(|&id| &self.workers[id]).filter(|worker| worker.own > 0.0);
        let texts = Peers::tell(held.map(|worker| (worker.hash, worker.own)));
        let price = texts.len() as f64 * f64::from(self.settings.schedulers - 1);
        if price > 0.0 && self.message_credit >= price {
            self.message_credit = 0.0;
            out.extend(texts.into_iter().map(|text| Action::SendMessage { to: None, text }));
        }
    }

    /// In a large tier one dispatcher is told by all, and tells all.
    pub(super) fn tell_relay(&mut self, now: Millis, out: &mut Vec<Action>) {
        let changed = std::mem::take(&mut self.changed);
        if self.settings.peer_messages {
            let ready = self.ready.ids.iter().map(|&id| &self.workers[id]);
            let texts = self.peers.relay(now, changed, ready.map(|w| (w.hash, w.shown(now))));
            out.extend(texts.into_iter().map(|(to, text)| Action::SendMessage { to, text }));
        }
    }

    /// Free slots as far as the others' messages, or else a fresh report, and our own doings since tell.
    pub(super) fn free_slots(&self, now: Millis, id: WorkerId, worker: &Worker) -> Option<f64> {
        // What all the others told of themselves is newer than a report, and exact.
        let all_heard = self.peers.complete(now, self.settings.schedulers);
        let others =
            if all_heard { self.peers.expected(now, id, worker.hash, worker.own) } else { worker.others };
        let slots = self.slots(worker);
        let known = slots > 0.0 && (all_heard || now - worker.reported_at < REPORT_LIFE);
        known.then_some(slots - others - worker.own)
    }

    /// A worker's slots as reported, or else those of its kind.
    pub(super) fn slots(&self, worker: &Worker) -> f64 {
        let known = worker.slots > 0.0 || self.peers.direct();
        if known { worker.slots } else { self.kind_slots.get(&worker.kind).copied().unwrap_or(0.0) }
    }

    pub(super) fn note_report(&mut self, now: Millis, id: WorkerId, report: LoadReport) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let (Some(free), held) = (report.free_slots, report.in_flight.unwrap_or(0.0)) else { return };
        if !(free.is_finite() && held.is_finite()) {
            return;
        }
        if free >= 0.5 {
            // One taken between an end and the next start counts the queue too: none moves this by far.
            let seen = (free + held).round().clamp(1.0, 1_000.0);
            let near = |slots: f64| if slots > 0.0 { slots + (seen - slots).clamp(-1.0, 1.0) } else { seen };
            worker.slots = near(worker.slots);
            let slots = self.kind_slots.entry(worker.kind).or_default();
            *slots = near(*slots);
        }
        worker.others = (held.max(worker.slots - free) - worker.own).max(0.0);
        worker.reported_at = now;
    }
}
