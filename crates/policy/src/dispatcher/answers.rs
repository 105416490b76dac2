//! Final answers of jobs that are not served, and attempts that take too long. A job is rejected only if a
//! retry by its client is safe; otherwise it fails.

use super::*;

/// An attempt that has not started is overtaken once its worker has started one that was sent later by more
/// than this.
const OVERTAKEN_MARGIN: Millis = 300.0;
/// An attempt is overdue, and counts as slow for its worker, after this many times its expected duration at
/// that worker.
const OVERDUE_RATIO: f64 = 3.0;

impl Dispatcher {
    /// Gives a job that was not served its final answer.
    pub(super) fn reject_or_fail(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.answered) else { return };
        if self.may_reject(job) {
            let spread = 0.5 + self.rng.f64();
            let objective = self.settings.classes[job.class].latency_objective;
            let pause = if job.is_within_quota { objective } else { f64::INFINITY };
            let pause = (spread * pause).min(self.settings.max_retry_after);
            let retry_after = (self.settings.retry_after && pause > 0.0).then_some(pause);
            actions.push(Action::Reject { job: id, retry_after });
        } else {
            actions.push(Action::Fail { job: id });
        }
        self.close_job(id);
    }

    /// Whether a retry by the client is safe: the job may be executed again, or no attempt can have run.
    fn may_reject(&self, job: &Job) -> bool {
        let class = &self.settings.classes[job.class];
        match (class.effect, class.deduplication_scope) {
            (Effect::Repeatable, _) | (Effect::Idempotent, DeduplicationScope::All) => true,
            _ => job.first_possible_run().is_none(),
        }
    }

    /// Closes a job whose client has disconnected. If cancellation is enabled, its attempts in flight are
    /// cancelled, so that their slots become free.
    pub(super) fn on_client_disconnected(&mut self, id: JobId, actions: &mut Vec<Action>) {
        if let Some(job) = self.jobs.get(&id).filter(|_| self.settings.cancellation) {
            let in_flight = job.in_flight();
            actions.extend(in_flight.map(|(attempt, _)| Action::CancelAttempt { job: id, attempt }));
        }
        self.close_job(id);
    }

    /// Takes a job out of the queue and marks it as answered. Its state is removed if none of its attempts is
    /// in flight, or else when this is called again after the last one has ended.
    pub(super) fn close_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if std::mem::take(&mut job.queued) {
            self.tenant_queues[job.tenant].lanes[job.lane].jobs.retain(|&queued| queued != id);
        }
        job.answered = true;
        if !job.has_attempt_in_flight() {
            self.jobs.remove(&id);
        }
    }

    /// Rejects or fails a job that is still queued at its queue deadline, or whose client deadline has passed
    /// by half of the answer slack, unless its response has begun to stream.
    pub(super) fn on_job_timer(&mut self, now: Millis, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.answered && !job.streaming) else { return };
        let now = now + CLOCK_RESOLUTION;
        let answer_deadline = job.deadline + self.settings.answer_slack / 2.0;
        if job.queued && now >= job.queue_deadline || now >= answer_deadline {
            self.reject_or_fail(id, actions);
        }
    }

    /// If workers start jobs in the order of arrival, an attempt that has not started long after a later one
    /// is not in the worker's queue: its request or the report of its start was lost. It is cancelled if the
    /// job can be retried.
    pub(super) fn cancel_overtaken_attempts(&self, actions: &mut Vec<Action>) {
        if !self.settings.cancellation || !self.settings.starts_in_order {
            return;
        }
        for (&id, job) in self.jobs.iter().filter(|(_, job)| !job.answered) {
            let is_repeatable = self.settings.classes[job.class].effect != Effect::NonIdempotent;
            let may_retry = is_repeatable && job.attempts.len() < self.settings.max_attempts;
            let unstarted = job.in_flight().filter(|(_, attempt)| attempt.started_at.is_none());
            for (number, attempt) in unstarted {
                let last_started_sent_at = self.workers[attempt.worker].last_started_sent_at;
                if may_retry && last_started_sent_at > attempt.sent_at + OVERTAKEN_MARGIN {
                    actions.push(Action::CancelAttempt { job: id, attempt: number });
                }
            }
        }
    }

    /// Records attempts in flight that take far longer than expected as slow for their workers, once each.
    pub(super) fn record_overdue_attempts(&mut self, now: Millis) {
        for job in self.jobs.values_mut() {
            let in_flight = job.attempts.iter_mut().filter(|attempt| attempt.in_flight);
            for attempt in in_flight.filter(|attempt| !attempt.is_overdue) {
                let ratio = (now - attempt.started_at.unwrap_or(attempt.sent_at)) / attempt.expected_duration;
                let slowness = &mut self.workers[attempt.worker].slowness;
                let expected = (1.0 + slowness.value_at(now)).max(1.0);
                if ratio > OVERDUE_RATIO * expected {
                    attempt.is_overdue = true;
                    slowness.observe(now, OBSERVATION_WEIGHT, RunTimeRatio::overdue(ratio));
                }
            }
        }
    }
}
