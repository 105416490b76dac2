//! Final answers of jobs that are not served, and attempts that take too long. A job is rejected only if a
//! retry by its client can do no harm.
use super::*;

const OVERTAKEN_MARGIN: Millis = 300.0; // by which a job that started was sent later than one that did not
const OVERDUE_RATIO: f64 = 3.0; // typical running times after which an attempt counts against its worker

impl Dispatcher {
    /// Answers a job that was not served.
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

    /// Whether it is true that a retry by the client does no harm.
    fn may_reject(&self, job: &Job) -> bool {
        let class = &self.settings.classes[job.class];
        match (class.effect, class.deduplication_scope) {
            (Effect::Repeatable, _) | (Effect::Idempotent, DeduplicationScope::All) => true,
            _ => job.first_possible_run().is_none(),
        }
    }

    /// No client waits any more: attempts in flight are cancelled, so that their slots serve others.
    pub(super) fn on_client_disconnected(&mut self, id: JobId, actions: &mut Vec<Action>) {
        if let Some(job) = self.jobs.get(&id).filter(|_| self.settings.cancellation) {
            let in_flight = job.in_flight();
            actions.extend(in_flight.map(|(attempt, _)| Action::CancelAttempt { job: id, attempt }));
        }
        self.close_job(id);
    }

    /// Ends a job; it is forgotten once none of its attempts is in flight.
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

    /// A job has waited for an attempt as long as it may, or its client's deadline has passed.
    pub(super) fn on_job_timer(&mut self, now: Millis, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.answered && !job.streaming) else { return };
        let now = now + CLOCK_RESOLUTION;
        let answer_deadline = job.deadline + self.settings.answer_slack / 2.0;
        if job.queued && now >= job.queue_deadline || now >= answer_deadline {
            self.reject_or_fail(id, actions);
        }
    }

    /// Where workers start jobs in order of arrival, one not started long after a later one is on no queue:
    /// its request or the report of its start was lost. It is cancelled if it can be retried.
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

    /// Attempts that take far longer than usual count against their workers before they end, but only once.
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
