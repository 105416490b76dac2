//! Placement: each job goes to the worker with the lowest cost, so that idle workers are used first.
//!
//! Costs are in milliseconds of expected delay. "Running times" and "latency objectives" in the constants are
//! the typical running time and the latency objective of the job's class.

use super::*;

/// Ready workers that are considered for one job, starting at a random one.
const MAX_SCANNED_WORKERS: usize = 96;
/// For a job with an affinity key, about this many of the workers nearest to the key are considered as well.
const SCANNED_NEAR_KEY: f64 = 8.0;
/// Expected wait, in running times, for each occupied slot of a worker whose free slots are unknown, and for
/// each slot of this scheduler's attempts whose jobs are not known to have started.
const OCCUPIED_SLOT_WAIT: f64 = 0.25;
/// Cost reduction for each free slot, in running times.
const FREE_SLOT_BONUS: f64 = 0.01;
/// Cost reduction, in running times, for a worker that served an attempt just now. It falls to 0 within one
/// running time.
const RECENTLY_FREED_BONUS: f64 = 0.2;
/// Weight of the additional running time at a slow worker.
const SLOWNESS_WEIGHT: f64 = 0.1;
/// Weight of the additional running time beyond [`SLOWNESS_SLACK_FRACTION`], which makes the job late.
const LATENESS_WEIGHT: f64 = 2.0;
/// Fraction of the slack that the additional running time at a slow worker may use.
const SLOWNESS_SLACK_FRACTION: f64 = 0.5;
/// Longest wait at a worker, as a fraction of the smallest slack among the classes that can run there.
const MAX_WAIT_FRACTION: f64 = 0.6;
/// Cost of a worker that certainly fails, in latency objectives.
const FAULT_COST: f64 = 10.0;
/// Cost of a worker that is certainly draining though not listed so yet, in latency objectives.
const DRAIN_COST: f64 = 1.0;
/// Cost of fetching the data of an affinity key, in running times: the fetch occupies a slot.
const FETCH_COST: f64 = 2.5;
/// Fraction of the fetch cost that remains at a worker which was recently sent a job of the same key.
const CACHED_FETCH_FRACTION: f64 = 0.2;
/// A key prefers a fraction of the workers that is this many times the key's fraction of the jobs.
const PREFERRED_WORKERS_FACTOR: f64 = 2.5;
/// With aggregated loads, a job is sent only if its expected wait is at most this fraction of its slack.
const MAX_KNOWN_WAIT_FRACTION: f64 = 0.8;

impl Dispatcher {
    /// The worker with the lowest cost for a job; `None` if none can take the job now.
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
        // With aggregated loads the wait is known; a job that would wait too long stays queued, and the jobs
        // behind it are tried.
        let is_aggregated = self.peer_loads.has_aggregated(now);
        let max_wait =
            if is_aggregated { MAX_KNOWN_WAIT_FRACTION * self.slack(&self.jobs[&id]) } else { f64::INFINITY };
        best.filter(|&(_, wait, _)| wait <= max_wait).map(|(_, _, worker)| worker)
    }

    /// Whether a job may be sent to a worker where it is expected to wait this long. Any wait is admitted if
    /// late answers of its class have a weight, if the worker's slots are unknown, or with aggregated loads.
    /// Otherwise a job that was late on arrival must not wait at all, and any other job must meet its latency
    /// objective and leave other jobs time to meet theirs.
    fn admits_wait(&self, now: Millis, worker: &Worker, job: &Job, wait: Millis) -> bool {
        let is_limited = self.known_slots(worker) > 0.0 && !self.peer_loads.has_aggregated(now);
        let end = now + wait + self.expected_run_time(now, worker, job);
        match self.settings.classes[job.class].late_weight {
            late_weight if late_weight > 0.0 || !is_limited => true,
            _ if job.is_late => wait <= 0.0,
            _ => end <= job.objective_deadline && wait <= self.max_wait(worker),
        }
    }

    /// How long any job may wait at a worker, so that jobs of the most urgent class can meet their latency
    /// objective there.
    fn max_wait(&self, worker: &Worker) -> Millis {
        let run_time = MIN_RUN_TIME_FRACTION * self.overall_run_time.typical;
        let runs_here = |class: &&Class| class.kind.is_none_or(|kind| kind == worker.kind);
        let slacks = self.settings.classes.iter().filter(runs_here).map(|class| class.slack(run_time));
        MAX_WAIT_FRACTION * slacks.fold(f64::INFINITY, f64::min)
    }

    /// How long a job is expected to wait at a worker. The bonuses for free slots and for a recently freed
    /// slot can make it negative.
    pub(super) fn expected_wait(&self, now: Millis, id: WorkerId, job: &Job) -> f64 {
        let worker = &self.workers[id];
        let typical = self.run_times[job.class].typical;
        let mean_run_time = self.overall_run_time.typical * worker.relative_run_time(now, &self.settings);
        let queue_wait = match self.free_slots(now, id, worker) {
            Some(free) if free >= job.slots => -FREE_SLOT_BONUS * free * typical,
            Some(free) => (job.slots - free) / self.known_slots(worker).max(1.0) * mean_run_time,
            None => {
                let age = now - worker.slot_freed_at;
                let freed_bonus = RECENTLY_FREED_BONUS * typical * (1.0 - age / typical).max(0.0);
                let occupied = worker.in_flight_slots + self.peer_loads.remote_slots(id);
                OCCUPIED_SLOT_WAIT * typical * occupied / worker.size - freed_bonus
            }
        };
        let unstarted = if self.settings.reports_job_start { worker.unstarted_slots } else { 0.0 };
        let start_wait = worker.start_wait.value_at(now, typical) + unstarted * OCCUPIED_SLOT_WAIT * typical;
        queue_wait + start_wait
    }

    /// How long a job is expected to run at a worker.
    pub(super) fn expected_run_time(&self, now: Millis, worker: &Worker, job: &Job) -> Millis {
        job.run_time * worker.relative_run_time(now, &self.settings)
    }

    /// The cost of sending a job to a worker, without the expected wait.
    fn placement_cost(&self, now: Millis, worker: &Worker, job: &Job) -> f64 {
        let typical = self.run_times[job.class].typical;
        let objective = self.settings.classes[job.class].latency_objective;
        let zone = self.zones.get(&worker.zone);
        let zone_faults = zone.map_or(0.0, |zone| zone.faults.value_at(now, FaultScore::DECAY_TIME));
        let fault_rate = worker.faults.failure_rate(now) + zone_faults;
        let cross_zone = self.settings.cross_zone_cost(worker.zone) * objective;
        let fetch = job.key.map_or(0.0, |key| self.fetch_cost(worker, key, job.key_popularity, typical));
        let extra_run_time = self.expected_run_time(now, worker, job) - job.run_time;
        let late = (extra_run_time - SLOWNESS_SLACK_FRACTION * self.slack(job)).max(0.0);
        let slowness_cost = SLOWNESS_WEIGHT * extra_run_time + LATENESS_WEIGHT * late;
        let risk = (FAULT_COST * fault_rate + DRAIN_COST * worker.drain_probability) * objective;
        slowness_cost + risk + cross_zone + fetch
    }

    /// The cost of fetching the data of a key at a worker: zero at the key's preferred workers, of which a
    /// popular key has more, and rising with the worker's rendezvous distance beyond them.
    fn fetch_cost(&self, worker: &Worker, key: u64, popularity: f64, run_time: Millis) -> f64 {
        let preferred = popularity * PREFERRED_WORKERS_FACTOR;
        let beyond = (rendezvous_distance(key, worker.name_hash) - preferred).max(0.0);
        let rank = self.ready.ids.len() as f64 * beyond;
        let is_cached = worker.recent_keys.contains(&key);
        let fraction = if is_cached { CACHED_FETCH_FRACTION } else { 1.0 };
        FETCH_COST * run_time * rank / (rank + 1.0) * fraction
    }
}
