//! Starts of attempts, the evaluation of their outcomes, and retries. After an attempt that may have run, a
//! job is retried only at workers that would recognise its idempotency key; a job that must never run twice
//! is not retried at all.

use super::*;

/// Number of affinity keys, of the jobs last sent to a worker, whose data it is assumed to have cached.
const MAX_CACHED_KEYS: usize = 4;
/// Load messages, counted per receiver, that each started attempt allows to be sent.
const MESSAGES_PER_ATTEMPT: f64 = 1.0;
/// Factor by which the shortest running time of a class rises with each result.
const SHORTEST_RUN_TIME_RISE: f64 = 1.0005;
/// Weight of a new observation in the typical running time of a class.
pub(super) const RUN_TIME_WEIGHT: f64 = OBSERVATION_WEIGHT / 5.0;
/// Weight of a new observation in the relative running time of a machine kind.
const KIND_WEIGHT: f64 = OBSERVATION_WEIGHT / 5.0;
/// Start delay, as a multiple of the job's slack, that is recorded for an attempt rejected by a full worker.
const FULL_WORKER_DELAY: f64 = 2.0;
/// Pause after a rejection by a full worker, in typical running times of the job's class, before it is
/// multiplied by a random factor of 0.5 to 1.5; it doubles with each rejection, the first one included.
const FULL_BACKOFF: f64 = 0.25;
/// Limit on the doublings of that pause.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Increase of the failure rate of all workers of a zone by each failed connection.
const ZONE_FAULT_WEIGHT: f64 = 0.05;
/// Time that a retry may wait in the queue, as a fraction of the latency objective, even if the job's queue
/// deadline has passed.
const MIN_RETRY_TIME_FRACTION: f64 = 0.5;

impl Dispatcher {
    pub(super) fn start_attempt(&mut self, now: Millis, id: JobId, to: WorkerId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        // If workers report when a job starts, the measured running time does not include the wait.
        let includes_wait = !self.settings.reports_job_start;
        let expected_wait = if includes_wait { self.expected_wait(now, to, job).max(0.0) } else { 0.0 };
        let capacity = self.workers[to].capacity_fraction(now, &self.settings);
        let expected_duration = job.run_time / capacity + expected_wait;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.attempts.push(Attempt { expected_wait, expected_duration, ..Attempt::start(now, to) });
        job.queued = false;
        let worker = &mut self.workers[to];
        if let Some(key) = job.key {
            worker.remember_key(key, MAX_CACHED_KEYS);
        }
        worker.occupy(job.slots);
        worker.slot_freed_at = 0.0;
        worker.slow_start_tokens.take(job.run_time * job.slots);
        self.message_credit += MESSAGES_PER_ATTEMPT;
        self.budget.used_slots += job.slots;
        self.slots_changed = true;
        self.job_timers.push(job.deadline + self.settings.answer_slack / 2.0, id);
        actions.push(Action::StartAttempt { job: id, worker: to, timeout: None });
    }

    pub(super) fn on_job_started(&mut self, now: Millis, id: JobId, number: usize) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let attempt = job.in_flight_mut(number).filter(|attempt| attempt.started_at.is_none());
        let Some(attempt) = attempt else { return };
        attempt.started_at = Some(now);
        let attempt = *attempt;
        let worker = &mut self.workers[attempt.worker];
        worker.on_job_started(attempt.sent_at, job.slots);
        let zone = self.zones.entry(worker.zone).or_default();
        let delay = now - attempt.sent_at - zone.record_start_latency(now - attempt.sent_at);
        worker.start_wait = DecayingSum::new(now, delay);
        let job = &self.jobs[&id];
        self.record_start_delay(now, job.has_reduced_weight(), delay / self.slack(job));
    }

    pub(super) fn on_attempt_ended(&mut self, now: Millis, end: AttemptResult, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&end.job) else { return };
        let Some(attempt) = job.in_flight_mut(end.attempt) else { return };
        attempt.end(end.outcome);
        let attempt = *attempt;
        job.answered |= end.job_answered;
        self.workers[attempt.worker].release(job.slots, attempt.started_at.is_some());
        self.budget.used_slots = (self.budget.used_slots - job.slots).max(0.0);
        self.slots_changed = true;
        self.on_load_report(now, attempt.worker, end.report);
        self.record_outcome(now, end.job, attempt, end.outcome);
        let job = &self.jobs[&end.job];
        if job.answered {
            self.close_job(end.job);
        } else if end.outcome == Outcome::BadRequest {
            // Failed rather than rejected, as a retry by the client would not help either.
            actions.push(Action::Fail { job: end.job });
            self.close_job(end.job);
        } else if !job.has_attempt_in_flight() {
            self.retry_or_answer(now, end.job, actions);
        }
    }

    /// Updates the estimates of the worker, the class and the budget with an outcome.
    fn record_outcome(&mut self, now: Millis, id: JobId, attempt: Attempt, outcome: Outcome) {
        let job = &self.jobs[&id];
        let (has_reduced_weight, class, work) =
            (job.has_reduced_weight(), job.class, job.run_time * job.slots);
        let worker = &mut self.workers[attempt.worker];
        match outcome {
            Outcome::Served => {
                worker.faults.record(now, false);
                worker.slot_freed_at = now;
                worker.recent_rejections = worker.recent_rejections.saturating_sub(1);
                self.record_run_time(now, class, work, attempt);
                // If workers do not report when a job starts, the start delay is the time that the attempt
                // took beyond the expected running time.
                if attempt.started_at.is_none() {
                    let job = &self.jobs[&id];
                    let delay = (now - attempt.sent_at - job.run_time).max(0.0);
                    self.record_start_delay(now, has_reduced_weight, delay / self.slack(job));
                }
            }
            Outcome::Full => {
                // Further attempts at a full worker would only be rejected: each rejection doubles the pause.
                worker.recent_rejections = (worker.recent_rejections + 1).min(MAX_BACKOFF_DOUBLINGS);
                let first_pause = self.run_times[class].typical * FULL_BACKOFF;
                let pause = first_pause * f64::from(1 << worker.recent_rejections) * (0.5 + self.rng.f64());
                worker.backoff_until = now + pause;
                let objective = self.settings.classes[class].latency_objective.max(1.0);
                worker.start_wait = DecayingSum::new(now, objective);
                self.record_start_delay(now, has_reduced_weight, FULL_WORKER_DELAY);
            }
            Outcome::WorkerError | Outcome::ConnectFailed | Outcome::Reset => {
                // A single failure among many attempts is caused by the network or the job rather than by the
                // worker, so that only the failure rate counts.
                worker.faults.record(now, true);
                if outcome == Outcome::ConnectFailed {
                    let zone = self.zones.entry(worker.zone).or_default();
                    zone.faults.add(now, FaultScore::DECAY_TIME, ZONE_FAULT_WEIGHT);
                }
            }
            Outcome::Timeout | Outcome::Cancelled | Outcome::NeverSent | Outcome::BadRequest => {}
        }
    }

    fn record_run_time(&mut self, now: Millis, class: usize, work: f64, attempt: Attempt) {
        let typical = self.run_times[class].typical;
        let run_time = now - attempt.started_at.unwrap_or(attempt.sent_at);
        let observed = RunTimeRatio::new(run_time, attempt.expected_duration, typical);
        let worker = &mut self.workers[attempt.worker];
        worker.slowness.observe(now, OBSERVATION_WEIGHT, observed);
        if attempt.expected_wait == 0.0 {
            self.machine_kinds.entry(worker.kind).or_default().observe_run_time(KIND_WEIGHT, observed);
        }
        // Only served work counts: rejected attempts would raise the amount that slow start allows.
        self.served_work.add(now, RATE_DECAY_TIME, work);
        self.run_times[class].observe(run_time, RUN_TIME_WEIGHT, SHORTEST_RUN_TIME_RISE);
    }

    /// The workers that a job may be sent to, given the outcomes of its earlier attempts.
    pub(super) fn retry_scope(&self, now: Millis, job: &Job) -> RetryScope {
        RetryScope::after(now, &self.settings.classes[job.class], job.first_possible_run())
    }

    /// Queues a job that has no attempt in flight and no final answer for a retry, or rejects or fails it.
    fn retry_or_answer(&mut self, now: Millis, id: JobId, actions: &mut Vec<Action>) {
        let job = &self.jobs[&id];
        let has_attempts = job.attempts.len() < self.settings.max_attempts;
        let may_retry = has_attempts && self.retry_scope(now, job) != RetryScope::Nowhere;
        let retry_time = MIN_RETRY_TIME_FRACTION * self.settings.classes[job.class].latency_objective;
        let queue_deadline = job.queue_deadline.max(now + retry_time).min(job.deadline - DEADLINE_MARGIN);
        if !may_retry || now >= queue_deadline {
            self.reject_or_fail(id, actions);
        } else if let Some(job) = self.jobs.get_mut(&id) {
            job.requeue(queue_deadline);
            self.job_timers.push(queue_deadline, id);
            self.tenant_queues[job.tenant].lanes[job.lane].jobs.push_front(id);
        }
    }
}
