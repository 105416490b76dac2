//! Final answers and timers.
use super::*;

impl Dispatcher {
    /// Ends a job that was not served.
    pub(super) fn finish(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.answered) else { return };
        if self.may_refuse(job) {
            let aims = 0.5 + self.rng.f64();
            let wait = if job.lane == 0 {
                self.settings.classes[job.class].latency_objective
            } else {
                f64::INFINITY
            };
            let wait = (aims * wait).min(self.settings.max_retry_after);
            let retry_after = (self.settings.retry_after && wait > 0.0).then_some(wait);
            out.push(Action::Reject { job: id, retry_after });
        } else {
            out.push(Action::Fail { job: id });
        }
        self.close(id);
    }

    /// Nobody waits any more: what is still out is called off, so that its slots serve others.
    pub(super) fn client_gone(&mut self, id: JobId, out: &mut Vec<Action>) {
        if let Some(job) = self.jobs.get(&id).filter(|_| self.settings.cancellation) {
            out.extend(job.in_flight().map(|(attempt, _)| Action::CancelAttempt { job: id, attempt }));
        }
        self.close(id);
    }

    /// Forgets an ended job once nothing of it is out.
    pub(super) fn close(&mut self, id: JobId) {
        self.unqueue(id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.answered = true;
        if !job.has_attempt_in_flight() {
            self.jobs.remove(&id);
        }
    }

    pub(super) fn sweep(&mut self, now: Millis, out: &mut Vec<Action>) {
        while let Some(id) = self.due.pop(now) {
            self.come_due(now, id, out);
        }
        if now >= self.budget.tick_at {
            self.budget.tick_at = now + TICK * (0.9 + 0.2 * self.rng.f64());
            self.tick(now);
        }
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP;
            self.note_overdue(now);
            self.call_back_overtaken(out);
            self.peers.forget_silent(now - HEARD_LIFE);
            if !self.peers.direct() {
                let load = |worker: &Worker, id| (self.peers.load(id) + worker.own, self.slots(worker));
                let loads = self.ready.ids.iter().map(|&id| load(&self.workers[id], id)).collect();
                self.peers.pour(loads, STALE / self.mean_run());
            }
            if self.settings.peer_messages && self.peers.direct() {
                self.tell_loads(out);
            }
        }
        if now >= self.ask_at {
            self.ask_at = f64::INFINITY;
            out.push(Action::WatchEndpoints { on: true });
        }
    }

    pub(super) fn come_due(&mut self, now: Millis, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.answered && !job.streaming) else { return };
        let ungranted = job.queued && now + CLOCK_STEP >= job.queue_deadline;
        if ungranted || now + CLOCK_STEP >= job.deadline + self.settings.answer_slack / 2.0 {
            self.finish(id, out);
        }
    }

    /// Where workers start jobs in the order of their coming, one not started long after a later one was is
    /// on no queue: its request or notes were lost on the way. It is called back where it may be sent again.
    pub(super) fn call_back_overtaken(&self, out: &mut Vec<Action>) {
        if !self.settings.cancellation || !self.settings.starts_in_order {
            return;
        }
        for (&id, job) in self.jobs.iter().filter(|(_, job)| !job.answered) {
            let effect = self.settings.classes[job.class].effect;
            for (attempt, sent) in job.in_flight().filter(|(_, attempt)| attempt.started_at.is_none()) {
                let overtaken = self.workers[sent.worker].start_sent > sent.sent_at + OVERTAKEN;
                if overtaken
                    && effect != Effect::NonIdempotent
                    && job.attempts.len() < self.settings.max_attempts
                {
                    out.push(Action::CancelAttempt { job: id, attempt });
                }
            }
        }
    }

    /// Attempts that take far longer than usual tell against their workers before they end, but only once.
    pub(super) fn note_overdue(&mut self, now: Millis) {
        for job in self.jobs.values_mut() {
            let usual = self.runs[job.class].usual;
            for attempt in job.attempts.iter_mut().filter(|attempt| attempt.in_flight && !attempt.is_overdue)
            {
                let ratio = (now - attempt.started_at.unwrap_or(attempt.sent_at)) / usual;
                let worker = &mut self.workers[attempt.worker];
                if ratio > OVERDUE * (1.0 + worker.slowness.value_at(now, SLOW_LIFE)).max(1.0) {
                    attempt.is_overdue = true;
                    worker.slowness.note(now, SLOW_LIFE, LEARN, ratio.min(SLOW_MOST));
                }
            }
        }
    }

    /// Keeps one timer set for whatever comes due next.
    pub(super) fn arm(&mut self, now: Millis, out: &mut Vec<Action>) {
        let stuck = if self.stuck_until > now { self.stuck_until } else { f64::INFINITY };
        let next = self.due.next().min(self.budget.tick_at).min(self.sweep_at).min(self.ask_at).min(stuck);
        if next < self.armed {
            self.armed = next;
            out.push(Action::SetTimer { after: (next - now).max(0.0) });
        }
    }
}
