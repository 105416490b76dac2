//! Placement: each job goes to the worker of least cost, which is an idle one if there is any.
//!
//! Costs are in milliseconds of expected delay.
use super::*;

const MAX_SCANNED_WORKERS: usize = 96; // for one job, from a random one on
const SCANNED_NEAR_KEY: f64 = 8.0; // beyond those: about this many of the nearest to the job's affinity key
const OCCUPIED_SLOT_WAIT: f64 = 0.25; // running times that each slot in flight, or unstarted, counts for
const FREE_SLOT_GAIN: f64 = 0.01; // running times that each free slot is better by
const FRESHLY_FREED_GAIN: f64 = 0.2; // running times that a slot freed just now is better by
const SLOWNESS_WEIGHT: f64 = 0.1; // of the extra running time at a slow worker
const LATENESS_WEIGHT: f64 = 2.0; // of the part of it that makes a job late
const SLOWNESS_SLACK: f64 = 0.5; // fraction of the slack that extra running time may take
const MAX_WAIT: f64 = 0.6; // fraction of the least slack, of the classes that may run at a worker
const FAULT_COST: f64 = 10.0; // latency objectives that a worker sure to fail counts for
const DRAIN_COST: f64 = 1.0; // latency objectives that a worker sure to be draining unlisted counts for
const FETCH_COST: f64 = 2.5; // running times that fetching a key's data counts for: it occupies a slot
const CACHED_FETCH_FRACTION: f64 = 0.2; // of that cost, where a job of the key was sent lately
const PREFERRED_MARGIN: f64 = 2.5; // times a key's fraction of the jobs: the fraction of workers it prefers
const ADMITTED_WAIT: f64 = 0.8; // fraction of the slack that a wait known from aggregated loads may take

impl Dispatcher {
    pub(super) fn select_worker(&mut self, now: Millis, id: JobId) -> Option<WorkerId> {
        let job = self.jobs.get(&id)?;
        let (kind, scope) = (self.settings.classes[job.class].kind, self.retry_scope(now, job));
        if scope == RetryScope::Nowhere || job.attempts.len() >= self.settings.max_attempts {
            return None;
        }
        let work = job.run_time * job.slots;
        let key = job.key;
        let count = self.ready.ids.len();
        let rank = |key: u64, hash: u64| rendezvous_distance(key, hash) * count as f64;
        let is_near = |hash: u64| key.is_some_and(|key| rank(key, hash) < SCANNED_NEAR_KEY);
        let start = if count == 0 { 0 } else { self.rng.usize(..count) };
        let scanned = if key.is_some() { count } else { count.min(MAX_SCANNED_WORKERS) };
        let mut best: Option<(f64, Millis, WorkerId)> = None;
        for step in 0..scanned {
            let index = (start + step) % count;
            if step >= MAX_SCANNED_WORKERS && !is_near(self.ready.name_hashes[index]) {
                continue;
            }
            let worker_id = self.ready.ids[index];
            let worker = &self.workers[worker_id];
            let is_suitable = kind.is_none_or(|kind| kind == worker.kind) && now >= worker.backoff_until;
            if !is_suitable || !scope.allows(worker, &self.workers) {
                continue;
            }
            let job = &self.jobs[&id];
            let wait = self.expected_wait(now, worker_id, job);
            if !self.admits_wait(now, worker, job, wait) {
                continue;
            }
            let cost = wait + self.placement_cost(now, worker, job);
            let is_better = best.is_none_or(|(least, ..)| cost < least);
            if is_better && self.slow_start_admits(now, worker_id, work) {
                best = Some((cost, wait, worker_id));
            }
        }
        // Where the slots of all schedulers are known, a job that would wait too long lets others pass.
        let is_known = self.peer_loads.has_aggregated(now);
        let max_wait = if is_known { ADMITTED_WAIT * self.slack(&self.jobs[&id]) } else { f64::INFINITY };
        best.filter(|&(_, wait, _)| wait <= max_wait).map(|(_, _, worker)| worker)
    }

    /// Whether a job may be sent to a worker where it is expected to wait so long. Where late answers are
    /// worth nothing and the worker's slots are known, it must be in time, and let others be.
    fn admits_wait(&self, now: Millis, worker: &Worker, job: &Job, wait: Millis) -> bool {
        let is_known = self.known_slots(worker) > 0.0 && !self.peer_loads.has_aggregated(now);
        let end = now + wait + self.expected_run_time(now, worker, job);
        match self.settings.classes[job.class].late_weight {
            late_weight if late_weight > 0.0 || !is_known => true,
            _ if job.is_late => wait <= 0.0,
            _ => end <= job.objective_at && wait <= self.max_wait(worker),
        }
    }

    /// How long any job may wait at a worker, so that those of the most urgent class can be in time there.
    fn max_wait(&self, worker: &Worker) -> Millis {
        let run_time = LEAST_RUN_TIME * self.expected_run_times.typical;
        let runs_here = |class: &&Class| class.kind.is_none_or(|kind| kind == worker.kind);
        let slacks = self.settings.classes.iter().filter(runs_here).map(|class| class.slack(run_time));
        MAX_WAIT * slacks.fold(f64::INFINITY, f64::min)
    }

    /// How long a job is expected to wait at a worker; negative at one with free slots.
    pub(super) fn expected_wait(&self, now: Millis, id: WorkerId, job: &Job) -> f64 {
        let worker = &self.workers[id];
        let typical = self.run_times[job.class].typical;
        let mean_run_time = self.expected_run_times.typical * worker.relative_run_time(now, &self.settings);
        let queue = match self.free_slots(now, id, worker) {
            Some(free) if free >= job.slots => -FREE_SLOT_GAIN * free * typical,
            Some(free) => (job.slots - free) / self.known_slots(worker).max(1.0) * mean_run_time,
            None => {
                let age = now - worker.freed_at;
                let freshness = FRESHLY_FREED_GAIN * typical * (1.0 - age / typical).max(0.0);
                let occupied = worker.in_flight_slots + self.peer_loads.remote_slots(id);
                OCCUPIED_SLOT_WAIT * typical * occupied / worker.size - freshness
            }
        };
        let unstarted = if self.settings.reports_job_start { worker.unstarted_slots } else { 0.0 };
        let waits = worker.start_wait.value_at(now, typical) + unstarted * OCCUPIED_SLOT_WAIT * typical;
        queue + waits
    }

    /// How long a job is expected to run at a worker.
    pub(super) fn expected_run_time(&self, now: Millis, worker: &Worker, job: &Job) -> Millis {
        job.run_time * worker.relative_run_time(now, &self.settings)
    }

    /// What sending a job to a worker is expected to cost it, beside the wait.
    fn placement_cost(&self, now: Millis, worker: &Worker, job: &Job) -> f64 {
        let typical = self.run_times[job.class].typical;
        let objective = self.settings.classes[job.class].latency_objective;
        let zone = self.zones.get(&worker.zone);
        let zone_faults = zone.map_or(0.0, |zone| zone.faults.value_at(now, FaultScore::DECAY_TIME));
        let fault_rate = worker.faults.failure_rate(now) + zone_faults;
        let distance = self.settings.cross_zone_cost(worker.zone) * objective;
        let fetch = job.key.map_or(0.0, |key| self.fetch_cost(worker, key, job.key_popularity, typical));
        let slower = self.expected_run_time(now, worker, job) - job.run_time;
        let late = (slower - SLOWNESS_SLACK * self.slack(job)).max(0.0);
        let slower = SLOWNESS_WEIGHT * slower + LATENESS_WEIGHT * late;
        let risk = (FAULT_COST * fault_rate + DRAIN_COST * worker.drain_probability) * objective;
        slower + risk + distance + fetch
    }

    /// What fetching the data of a key costs at a worker: nothing at its preferred workers, of which a
    /// popular key has many, and more the further the worker is from them.
    fn fetch_cost(&self, worker: &Worker, key: u64, popularity: f64, run_time: Millis) -> f64 {
        let preferred = popularity * PREFERRED_MARGIN;
        let beyond = (rendezvous_distance(key, worker.name_hash) - preferred).max(0.0);
        let rank = self.ready.ids.len() as f64 * beyond;
        let is_cached = worker.recent_keys.contains(&key);
        let fraction = if is_cached { CACHED_FETCH_FRACTION } else { 1.0 };
        FETCH_COST * run_time * rank / (rank + 1.0) * fraction
    }
}
