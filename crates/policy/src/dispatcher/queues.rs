//! The tenants' queues, and deficit round-robin (Shreedhar and Varghese, 1995). A queued job is in one lane
//! of its tenant, and has no attempt in flight.
use super::*;

const MAX_QUEUE_TIME: f64 = 0.4; // fraction of the slack: a job that waits longer starts too late
const CAPACITY_RETRY_INTERVAL: Millis = 5.0; // before jobs that no worker could take are tried again
const MAX_SKIPPED_JOBS: usize = 4; // of a tenant, that no worker can take now, in one turn
const MAX_IDLE_ROUNDS: usize = 8; // rounds of all tenants without a start
const MAX_CREDIT_TURNS: f64 = 8.0; // turns whose credit a tenant can save up

/// How a tenant's turn ended.
enum Turn {
    Done { has_started: bool, lacks_credit: bool },
    BudgetExhausted,
}

impl Dispatcher {
    pub(super) fn enqueue_job(&mut self, now: Millis, new: NewJob, actions: &mut Vec<Action>) {
        let id = new.id;
        let job = self.new_job(now, new);
        let Job { tenant, lane, .. } = job;
        // The last job of the least weight in a full queue gives way to one of a greater weight.
        let queue = &self.tenant_queues[tenant];
        let is_full = queue.depth() >= queue.max_depth;
        let displaced = queue.last_job_below(lane).filter(|_| is_full);
        self.job_timers.push(job.queue_deadline, id);
        self.expected_run_times.observe(job.run_time, RUN_TIME_WEIGHT, 1.0);
        if job.is_within_quota {
            self.record_quota_work(now, self.run_times[job.class].shortest * job.slots);
        }
        self.jobs.insert(id, job);
        if let Some(displaced) = displaced {
            self.reject_or_fail(displaced, actions);
        }
        let fits = !is_full || displaced.is_some();
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
        let prior = new.prior_execution.map(|prior| Attempt::of_earlier_scheduler(now, prior));
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
        // A client's retry is to be answered by the objective of its first request.
        let first_requested_at = now - self.request_ages.observe(class, new.time_left);
        job.objective_at = first_requested_at + job.run_time + self.slack(&job);
        job.is_late = now + LEAST_RUN_TIME * job.run_time > job.objective_at;
        job.lane = self.lanes.lane(self.settings.answer_weight(class, job.is_within_quota, job.is_late));
        let queue_deadline = now + MAX_QUEUE_TIME * self.slack(&job);
        job.queue_deadline = queue_deadline.min(job.deadline - DEADLINE_MARGIN);
        job
    }

    /// Starts attempts of queued jobs while the budget allows, those of the greatest weight first.
    pub(super) fn dispatch_queued_jobs(&mut self, now: Millis, actions: &mut Vec<Action>) {
        // Workers that had no capacity a moment ago have none now; a look for each event costs too much.
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
            let LaneTurn { tenant, is_credited } = self.turns[lane];
            let queue = &mut self.tenant_queues[tenant];
            let credit = queue.weight / min_weight;
            if !is_credited {
                queue.lanes[lane].credit += credit;
            }
            self.turns[lane].is_credited = true;
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
            self.turns[lane] = LaneTurn { tenant: (tenant + 1) % tenants, is_credited: false };
        }
    }

    /// Starts attempts of a tenant's jobs as far as its credit allows.
    fn dispatch_turn(&mut self, now: Millis, lane: usize, tenant: usize, actions: &mut Vec<Action>) -> Turn {
        let (mut has_started, mut lacks_credit) = (false, false);
        let mut skipped = 0;
        while skipped < MAX_SKIPPED_JOBS {
            let queue = &self.tenant_queues[tenant].lanes[lane];
            let Some(&id) = queue.jobs.get(skipped) else { break };
            let Some(job) = self.jobs.get(&id) else { break };
            let (slots, is_discounted) = (job.slots, job.is_discounted());
            if queue.credit < slots {
                lacks_credit = true;
                break;
            }
            if !self.budget_admits(slots, is_discounted) {
                self.budget.held_back |= !is_discounted;
                return Turn::BudgetExhausted;
            }
            // A job that no worker can take now must not hold up the ones behind it.
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
