//! Attempts and their outcomes.
use super::*;

impl Dispatcher {
    pub(super) fn send(&mut self, now: Millis, id: JobId, to: WorkerId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.attempts.push(Attempt { worker: to, sent_at: now, in_flight: true, ..Attempt::default() });
        job.queued = false;
        let (slots, work, key) = (job.slots, self.runs[job.class].usual * job.slots, job.key);
        let worker = &mut self.workers[to];
        if let Some(key) = key {
            worker.keys.retain(|&kept| kept != key);
            worker.keys.push_front(key);
            worker.keys.truncate(KEPT);
        }
        self.message_credit += MESSAGES;
        worker.own += slots;
        worker.unstarted += slots;
        worker.freed_at = 0.0;
        worker.allowance -= work;
        self.budget.used += slots;
        self.changed = true;
        self.due.push(job.deadline + self.settings.answer_slack / 2.0, id);
        out.push(Action::StartAttempt { job: id, worker: to, timeout: None });
    }

    pub(super) fn started(&mut self, now: Millis, id: JobId, number: usize) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(attempt) = job.attempts.get_mut(number).filter(|a| a.in_flight && a.started_at.is_none())
        else {
            return;
        };
        attempt.started_at = Some(now);
        let (slots, lane, class, sent) = (job.slots, job.lane, job.class, attempt.sent_at);
        let worker = &mut self.workers[attempt.worker];
        worker.start_sent = worker.start_sent.max(sent);
        worker.fulls = worker.fulls.saturating_sub(1);
        worker.unstarted = (worker.unstarted - slots).max(0.0);
        let zone = self.zones.entry(worker.zone).or_default();
        let trip = zone.trip.map_or(now - sent, |trip| trip.min(now - sent));
        zone.trip = Some(trip);
        let delay = now - sent - trip;
        worker.wait = DecayingSum { sum: delay, at: now };
        self.note_delay(now, lane, delay / self.slack(class));
    }

    pub(super) fn response(&mut self, now: Millis, end: AttemptResult, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&end.job) else { return };
        let Some(attempt) = job.attempts.get_mut(end.attempt).filter(|attempt| attempt.in_flight) else {
            return;
        };
        attempt.in_flight = false;
        attempt.may_have_run = !end.outcome.never_ran();
        job.answered |= end.job_answered;
        let worker = &mut self.workers[attempt.worker];
        worker.own = (worker.own - job.slots).max(0.0);
        if attempt.started_at.is_none() {
            worker.unstarted = (worker.unstarted - job.slots).max(0.0);
        }
        self.budget.used = (self.budget.used - job.slots).max(0.0);
        self.changed = true;
        let (to, answered) = (attempt.worker, job.answered);
        if let Some(report) = end.report {
            self.note_report(now, to, report);
        }
        self.learn_outcome(now, &end);
        if answered {
            self.close(end.job);
        } else if end.outcome == Outcome::BadRequest {
            // No refusal either: what can't be used now won't be later.
            out.push(Action::Fail { job: end.job });
            self.close(end.job);
        } else if !self.jobs[&end.job].has_attempt_in_flight() {
            self.next_step(now, end.job, out);
        }
    }

    /// What an outcome tells of the worker, the class and the budget.
    pub(super) fn learn_outcome(&mut self, now: Millis, end: &AttemptResult) {
        let job = &self.jobs[&end.job];
        let Attempt { worker: to, sent_at, started_at, .. } = job.attempts[end.attempt];
        let (lane, index) = (job.lane, job.class);
        let (run, aim) = (self.runs[index].usual, self.settings.classes[index].latency_objective.max(1.0));
        let worker = &mut self.workers[to];
        match end.outcome {
            Outcome::Served => {
                let took = now - started_at.unwrap_or(sent_at);
                worker.slowness.note(now, SLOW_LIFE, LEARN, (took / run).min(SLOW_MOST));
                worker.trouble.note(now, false);
                worker.freed_at = now;
                worker.fulls = worker.fulls.saturating_sub(1);
                // Only work that was served counts: bounced attempts would swell what cold workers are sent.
                self.work_done.add(now, RATE_TIME, run * job.slots);
                self.runs[index].learn(took, LEARN / 5.0, BASE_RISE);
                if started_at.is_none() {
                    let delay = self.stand_in(now, to, index, sent_at);
                    self.note_delay(now, lane, delay);
                }
            }
            Outcome::Full => {
                // Storms of retries against a full fleet help nobody: each refusal in a row doubles the wait.
                worker.fulls = (worker.fulls + 1).min(FULL_DOUBLINGS);
                let wait = run * OWN_STEP * f64::from(1 << worker.fulls) * (0.5 + self.rng.f64());
                worker.full_until = now + wait;
                worker.wait = DecayingSum { sum: aim, at: now };
                self.note_delay(now, lane, FULL_DELAY);
            }
            Outcome::WorkerError | Outcome::ConnectFailed | Outcome::Reset => {
                // One failure among many is the network's or the job's, not the worker's.
                worker.trouble.note(now, true);
                if end.outcome == Outcome::ConnectFailed {
                    let zone = self.zones.entry(worker.zone).or_default();
                    zone.trouble.add(now, Trouble::LIFE, ZONE_STEP);
                }
            }
            Outcome::Timeout | Outcome::Cancelled | Outcome::NeverSent | Outcome::BadRequest => {}
        }
    }

    /// How long a usual job of a class can wait and still be in time: the aim grows with a job's own work.
    pub(super) fn slack(&self, class: usize) -> Millis {
        let Class { latency_objective: aim, stretch, .. } = self.settings.classes[class];
        (aim + (stretch - 1.0).max(0.0) * self.runs[class].usual).max(1.0)
    }

    pub(super) fn mean_run(&self) -> Millis {
        self.runs.iter().map(|run| run.usual).sum::<f64>() / self.runs.len().max(1) as f64
    }

    /// Where workers don't tell of starts: the wait that a report implies, else completion over deadline.
    pub(super) fn stand_in(&self, now: Millis, to: WorkerId, class: usize, sent: Millis) -> f64 {
        let worker = &self.workers[to];
        let aim = self.settings.classes[class].latency_objective.max(1.0);
        match self.free_slots(now, to, worker) {
            Some(free) => (-free).max(0.0) / worker.slots.max(1.0) * self.mean_run() / aim,
            None => (now - sent) / self.settings.classes[class].deadline.max(1.0),
        }
    }

    /// Where a job may be sent, given what became of its earlier attempts.
    pub(super) fn resend(&self, now: Millis, job: &Job) -> Resend {
        let class = &self.settings.classes[job.class];
        let Some(risky) = job.first_possible_run() else { return Resend::Anywhere };
        match class.effect {
            Effect::Repeatable => Resend::Anywhere,
            Effect::NonIdempotent => Resend::Never,
            Effect::Idempotent if now >= risky.sent_at + class.deduplication_window => Resend::Never,
            Effect::Idempotent if class.deduplication_scope == DeduplicationScope::All => Resend::Anywhere,
            Effect::Idempotent => Resend::Beside(risky.worker, class.deduplication_scope),
        }
    }

    /// Whether telling the client that trying again is harmless would be true.
    pub(super) fn may_refuse(&self, job: &Job) -> bool {
        let class = &self.settings.classes[job.class];
        match class.effect {
            Effect::Repeatable => true,
            Effect::Idempotent if class.deduplication_scope == DeduplicationScope::All => true,
            _ => job.first_possible_run().is_none(),
        }
    }

    /// A job with nothing out and no answer yet: back to its queue's head, or to its end.
    pub(super) fn next_step(&mut self, now: Millis, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let again = job.attempts.len() < self.settings.max_attempts && self.resend(now, job) != Resend::Never;
        let grace = now + 0.5 * self.settings.classes[job.class].latency_objective;
        let until = job.queue_deadline.max(grace).min(job.deadline - DEADLINE_MARGIN);
        if !again || now >= until {
            self.finish(id, out);
            return;
        }
        let (tenant, lane) = (job.tenant, job.lane);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.queued = true;
            job.queue_deadline = until;
        }
        self.due.push(until, id);
        self.tenants[tenant].lanes[lane].queue.push_front(id);
    }
}

/// Where a job may be sent again.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Resend {
    Anywhere,
    Beside(WorkerId, DeduplicationScope),
    Never,
}

impl Resend {
    pub(super) fn allows(self, id: WorkerId, workers: &[Worker]) -> bool {
        match self {
            Resend::Anywhere => true,
            Resend::Beside(at, DeduplicationScope::Zone) => {
                workers.get(at).map(|w| w.zone) == Some(workers[id].zone)
            }
            Resend::Beside(at, _) => workers.get(at).map(|w| w.cell) == Some(workers[id].cell),
            Resend::Never => false,
        }
    }
}
