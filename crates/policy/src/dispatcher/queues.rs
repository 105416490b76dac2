//! Per-tenant job queues, served by deficit round-robin (Shreedhar and Varghese, 1995). A queued job is in
//! exactly one priority lane of its tenant and has no attempt in flight.

use super::*;

/// Fraction of its slack that a job may spend in the queue; a job that waits longer starts too late.
const MAX_QUEUE_TIME_FRACTION: f64 = 0.4;
/// Pause of all dispatch after a tenant's turn in which [`MAX_SKIPPED_JOBS`] jobs found no worker.
const CAPACITY_RETRY_INTERVAL: Millis = 5.0;
/// A tenant's turn ends after this many jobs that no worker can take now.
const MAX_SKIPPED_JOBS: usize = 4;
/// Rounds over all tenants without a started attempt after which dispatch ends, even if a tenant is still
/// saving credit for its next job.
const MAX_IDLE_ROUNDS: usize = 8;
/// A tenant can accumulate the credit of at most this many turns.
const MAX_CREDIT_TURNS: f64 = 8.0;

/// Result of a tenant's turn.
enum Turn {
    /// `lacks_credit`: whether the turn ended as the credit was too low for the next job.
    Done {
        has_started: bool,
        lacks_credit: bool,
    },
    BudgetExhausted,
}

impl Dispatcher {
    pub(super) fn enqueue_job(&mut self, now: Millis, new: NewJob, actions: &mut Vec<Action>) {
        let id = new.id;
        let job = self.new_job(now, new);
        let Job { tenant, lane, .. } = job;
        // A job that arrives at a full queue evicts the last job of the lowest weight, if its own is higher.
        let queue = &self.tenant_queues[tenant];
        let is_full = queue.depth() >= queue.max_depth;
        let evicted = queue.last_job_below(lane).filter(|_| is_full);
        self.job_timers.push(job.queue_deadline, id);
        self.overall_run_time.observe(job.run_time, RUN_TIME_WEIGHT, 1.0);
        if job.is_within_quota {
            self.record_quota_work(now, self.run_times[job.class].shortest * job.slots);
        }
        self.jobs.insert(id, job);
        if let Some(evicted) = evicted {
            self.reject_or_fail(evicted, actions);
        }
        let fits = !is_full || evicted.is_some();
        if fits && self.retry_scope(now, &self.jobs[&id]) != RetryScope::Nowhere {
            self.tenant_queues[tenant].lanes[lane].jobs.push_back(id);
            self.jobs.entry(id).and_modify(|job| job.queued = true);
        } else {
            self.reject_or_fail(id, actions);
        }
    }

    fn new_job(&mut self, now: Millis, new: NewJob) -> Job {
        let class = new.class.min(self.settings.classes.len() - 1);
        let tenant = new.tenant.min(self.tenant_queues.len() - 1);
        let key = new.affinity_key.as_deref().map(hash);
        let prior = new.prior_execution.map(|prior| Attempt::from_prior_execution(now, prior));
        let hint = new.expected_run_time.filter(|hint| hint.is_finite() && *hint > 0.0);
        let mut job = Job {
            class,
            tenant,
            is_within_quota: self.quotas.take_token(now, tenant),
            key,
            key_popularity: key.map_or(0.0, |key| self.key_popularity.record(now, key)),
            deadline: now + new.time_left,
            slots: new.slots.max(1.0),
            run_time: hint.unwrap_or(self.run_times[class].typical),
            attempts: prior.into_iter().collect(),
            ..Job::default()
        };
        // The latency objective of a retried request counts from the client's first request.
        let first_requested_at = now - self.request_ages.observe(class, new.time_left);
        job.objective_deadline = first_requested_at + job.run_time + self.slack(&job);
        job.is_late = now + MIN_RUN_TIME_FRACTION * job.run_time > job.objective_deadline;
        job.lane = self.lanes.lane(self.settings.answer_weight(class, job.is_within_quota, job.is_late));
        let queue_deadline = now + MAX_QUEUE_TIME_FRACTION * self.slack(&job);
        job.queue_deadline = queue_deadline.min(job.deadline - DEADLINE_MARGIN);
        job
    }

    /// Starts attempts of queued jobs while the budget allows, in descending order of the jobs' weights.
    pub(super) fn dispatch_queued_jobs(&mut self, now: Millis, actions: &mut Vec<Action>) {
        // If no worker could take several jobs a moment ago, a new search for every event would cost too
        // much.
        if now < self.no_capacity_until {
            return;
        }
        for lane in 0..self.lanes.count() {
            self.dispatch_lane(now, lane, actions);
        }
    }

    fn dispatch_lane(&mut self, now: Millis, lane: usize, actions: &mut Vec<Action>) {
        let tenants = self.tenant_queues.len();
        let min_weight = self.tenant_queues.iter().map(|queue| queue.weight).fold(f64::INFINITY, f64::min);
        let has_jobs = |queue: &TenantQueue| !queue.lanes[lane].jobs.is_empty();
        let (mut idle_turns, mut max_idle_turns) = (0, tenants);
        while idle_turns < max_idle_turns && self.tenant_queues.iter().any(has_jobs) {
            let LaneTurn { tenant, is_credited } = self.lane_turns[lane];
            let queue = &mut self.tenant_queues[tenant];
            let credit = queue.weight / min_weight;
            if !is_credited {
                queue.lanes[lane].credit += credit;
            }
            self.lane_turns[lane].is_credited = true;
            match self.dispatch_turn(now, lane, tenant, actions) {
                Turn::BudgetExhausted => return,
                Turn::Done { has_started: true, .. } => (idle_turns, max_idle_turns) = (1, tenants),
                Turn::Done { lacks_credit, .. } => {
                    idle_turns += 1;
                    if lacks_credit {
                        max_idle_turns = tenants * MAX_IDLE_ROUNDS;
                    }
                }
            }
            let queue = &mut self.tenant_queues[tenant].lanes[lane];
            let credit_left = if queue.jobs.is_empty() { 0.0 } else { queue.credit };
            queue.credit = credit_left.min(MAX_CREDIT_TURNS * credit);
            self.lane_turns[lane] = LaneTurn { tenant: (tenant + 1) % tenants, is_credited: false };
        }
    }

    /// Starts attempts of a tenant's jobs of one lane while its credit and the budget allow.
    fn dispatch_turn(&mut self, now: Millis, lane: usize, tenant: usize, actions: &mut Vec<Action>) -> Turn {
        let (mut has_started, mut lacks_credit) = (false, false);
        let mut skipped = 0;
        while skipped < MAX_SKIPPED_JOBS {
            let queue = &self.tenant_queues[tenant].lanes[lane];
            let Some(&id) = queue.jobs.get(skipped) else { break };
            let Some(job) = self.jobs.get(&id) else { break };
            let (slots, has_reduced_weight) = (job.slots, job.has_reduced_weight());
            if queue.credit < slots {
                lacks_credit = true;
                break;
            }
            if !self.budget_admits(slots, has_reduced_weight) {
                self.budget.held_back |= !has_reduced_weight;
                return Turn::BudgetExhausted;
            }
            // A job that no worker can take now must not block the jobs behind it.
            let Some(worker) = self.select_worker(now, id) else {
                skipped += 1;
                continue;
            };
            let queue = &mut self.tenant_queues[tenant].lanes[lane];
            queue.jobs.remove(skipped);
            queue.credit -= slots;
            has_started = true;
            self.start_attempt(now, id, worker, actions);
        }
        if skipped == MAX_SKIPPED_JOBS {
            self.no_capacity_until = now + CAPACITY_RETRY_INTERVAL;
        }
        Turn::Done { has_started, lacks_credit }
    }
}
