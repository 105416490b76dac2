//! The tenants' queues, and deficit round-robin (Shreedhar and Varghese, 1995). A queued job is in one lane
//! of its tenant, and has no attempt in flight.
use super::*;

const MAX_QUEUE_TIME: f64 = 0.2; // fraction of the slack: a job that waits longer starts too late to be in time
const CAPACITY_RETRY_INTERVAL: Millis = 5.0; // before jobs that no worker could take are tried again
const MAX_SKIPPED_JOBS: usize = 4; // of a tenant, that no worker can take now, in one turn
const MAX_IDLE_ROUNDS: usize = 8; // rounds of all tenants without a start
const MAX_CREDIT_TURNS: f64 = 8.0; // turns whose credit a tenant can save up

/// How a tenant's turn ended.
enum Turn {
    Done { has_started: bool },
    BudgetExhausted,
}

impl Dispatcher {
    pub(super) fn enqueue_job(&mut self, now: Millis, new: NewJob, actions: &mut Vec<Action>) {
        let class = new.class.min(self.settings.classes.len() - 1);
        let tenant = new.tenant.min(self.tenant_queues.len() - 1);
        let lane = if self.quotas.admit(now, tenant) { WITHIN_QUOTA } else { OVER_QUOTA };
        // The jobs of the greatest weight go first, and the last of a full queue gives way to them.
        let weight = |class: usize| self.settings.classes[class].priority_weight;
        let queued_weight = |id: &JobId| self.jobs.get(id).map_or(0.0, |job| weight(job.class));
        let queue = &self.tenant_queues[tenant].lanes[lane].jobs;
        let place = queue.iter().take_while(|id| queued_weight(id) >= weight(class)).count();
        let is_full = queue.len() >= self.tenant_queues[tenant].max_depth;
        let displaced = queue.back().copied().filter(|_| is_full && place < queue.len());
        let fits = !is_full || displaced.is_some();
        let key = new.affinity_key.as_deref().map(hash);
        let deadline = now + new.time_left;
        let prior = new.prior_execution.map(|prior| Attempt::of_earlier_scheduler(now, prior));
        let mut job = Job {
            class,
            tenant,
            lane,
            key,
            key_popularity: key.map_or(0.0, |key| self.key_popularity.record(now, key)),
            deadline,
            slots: new.slots.max(1.0),
            run_time: new.expected_run_time.unwrap_or(self.run_times[class].typical),
            queued: fits,
            attempts: prior.into_iter().collect(),
            ..Job::default()
        };
        let queue_deadline = now + MAX_QUEUE_TIME * self.slack(&job);
        job.queue_deadline = queue_deadline.min(deadline - DEADLINE_MARGIN);
        self.job_timers.push(job.queue_deadline, new.id);
        if lane == WITHIN_QUOTA {
            self.record_quota_work(now, self.run_times[class].shortest * job.slots);
        }
        self.jobs.insert(new.id, job);
        if let Some(displaced) = displaced {
            self.reject_or_fail(displaced, actions);
        }
        if fits && self.retry_scope(now, &self.jobs[&new.id]) != RetryScope::Nowhere {
            self.tenant_queues[tenant].lanes[lane].jobs.insert(place, new.id);
        } else {
            self.reject_or_fail(new.id, actions);
        }
    }

    /// Starts attempts of queued jobs while the budget allows, those within their tenants' quotas first.
    pub(super) fn dispatch_queued_jobs(&mut self, now: Millis, actions: &mut Vec<Action>) {
        // Workers that had no capacity a moment ago have none now; a look for each event costs too much.
        if now < self.no_capacity_until {
            return;
        }
        for lane in 0..LANES {
            self.dispatch_lane(now, lane, actions);
        }
    }

    fn dispatch_lane(&mut self, now: Millis, lane: usize, actions: &mut Vec<Action>) {
        let tenants = self.tenant_queues.len();
        let min_weight = self.tenant_queues.iter().map(|queue| queue.weight).fold(f64::INFINITY, f64::min);
        let has_jobs = |queue: &TenantQueue| !queue.lanes[lane].jobs.is_empty();
        let mut idle_turns = 0;
        while idle_turns < tenants * MAX_IDLE_ROUNDS && self.tenant_queues.iter().any(has_jobs) {
            let LaneTurn { tenant, is_credited } = self.turns[lane];
            let queue = &mut self.tenant_queues[tenant];
            let credit = queue.weight / min_weight;
            if !is_credited {
                queue.lanes[lane].credit += credit;
            }
            self.turns[lane].is_credited = true;
            match self.dispatch_turn(now, lane, tenant, actions) {
                Turn::BudgetExhausted => {
                    self.budget.held_back |= lane == WITHIN_QUOTA;
                    return;
                }
                Turn::Done { has_started: true } => idle_turns = 1,
                Turn::Done { has_started: false } => idle_turns += 1,
            }
            let queue = &mut self.tenant_queues[tenant].lanes[lane];
            let credit_left = if queue.jobs.is_empty() { 0.0 } else { queue.credit };
            queue.credit = credit_left.min(MAX_CREDIT_TURNS * credit);
            self.turns[lane] = LaneTurn { tenant: (tenant + 1) % tenants, is_credited: false };
        }
    }

    /// Starts attempts of a tenant's jobs as far as its credit allows.
    fn dispatch_turn(&mut self, now: Millis, lane: usize, tenant: usize, actions: &mut Vec<Action>) -> Turn {
        let mut has_started = false;
        let mut skipped = 0;
        while skipped < MAX_SKIPPED_JOBS {
            let queue = &self.tenant_queues[tenant].lanes[lane];
            let Some(&id) = queue.jobs.get(skipped) else { break };
            let slots = self.jobs.get(&id).map_or(1.0, |job| job.slots);
            if queue.credit < slots {
                break;
            }
            if !self.budget_admits(lane, slots) {
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
        Turn::Done { has_started }
    }
}
