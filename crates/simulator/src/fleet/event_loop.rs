//! What happens in a fleet as virtual time passes: arrivals, timers, messages, and the ends of attempts.
//!
//! Each event goes to one scheduler, whose actions are executed at once, in their order, and may lead to further events
//! at the same time.

use super::Fleet;
use super::workers::Attempt;
use crate::event_queue::to_micros;
use crate::statistics::Broadcast;
use brackenledge_policy::{Action, AttemptResult, Event, JobId, Millis, NewJob, Outcome, WorkerId};

/// The exponent that makes few keys frequent: the cube gives the first of 300 keys 15% of the jobs.
const KEY_SKEW: i32 = 3;
/// Tenants of the settings here.
const TENANT_COUNT: usize = 2;
const MILLIS_PER_SECOND: Millis = 1_000.0;

/// What happens next, at its time.
pub(super) enum FleetEvent {
    JobArrival,
    Timer { scheduler: usize },
    Message { to: usize, from: u32, text: String },
    AttemptEnd { worker: WorkerId, attempt: Attempt },
}

impl Fleet {
    /// Lets virtual time pass.
    pub fn run_for(&mut self, duration: Millis) {
        let until = self.now + duration;
        while let Some((at, event)) = self.events.pop_due(until) {
            self.now = self.now.max(at);
            match event {
                FleetEvent::Timer { scheduler } => self.handle_event(scheduler, Event::Timer),
                FleetEvent::Message { to, from, text } => {
                    self.handle_event(to, Event::PeerMessage { from, text });
                }
                FleetEvent::JobArrival => self.job_arrives(),
                FleetEvent::AttemptEnd { worker, attempt } => self.attempt_ends(worker, attempt),
            }
        }
        self.now = until;
        self.checker.check_deadlines(self.now);
    }

    pub(super) fn schedule_after(&mut self, delay: Millis, event: FleetEvent) {
        self.events.schedule(to_micros(self.now + delay), event);
    }

    /// Gives a scheduler an event, if it is running, and executes its actions.
    pub(super) fn handle_event(&mut self, scheduler: usize, event: Event) {
        let Some(state) = &mut self.schedulers[scheduler] else { return };
        for action in state.handle(self.now, event, &self.workers) {
            self.execute_action(scheduler, action);
        }
    }

    fn execute_action(&mut self, scheduler: usize, action: Action) {
        match action {
            Action::SetTimer { after } => self.schedule_after(after, FleetEvent::Timer { scheduler }),
            Action::StartAttempt { job, worker, .. } => self.send_attempt(scheduler, job, worker),
            Action::SendMessage { to, text } => self.send_message(scheduler, to, &text),
            Action::Reject { job, .. } => {
                let is_first = self.checker.job_answered(self.now, job).is_some();
                self.statistics.rejected += usize::from(is_first);
            }
            Action::Fail { job } => {
                let is_first = self.checker.job_answered(self.now, job).is_some();
                self.statistics.failed += usize::from(is_first);
            }
            _ => {}
        }
    }

    fn send_attempt(&mut self, scheduler: usize, job: JobId, worker: WorkerId) {
        self.statistics.attempts += 1;
        self.warming_workers.attempt_sent(self.now, worker);
        let number = self.failed_attempts.get(&(scheduler, job)).copied().unwrap_or(0);
        let attempt = Attempt { scheduler, job, number };
        if self.workers.submit(self.now, worker, attempt) {
            self.start_attempt(worker, attempt);
        }
    }

    /// Sends a message to one scheduler or to all others.
    pub(super) fn send_message(&mut self, from: usize, to: Option<u32>, text: &str) {
        self.checker.message_sent(self.now, text.len());
        let receivers: Vec<usize> = match to {
            Some(to) => vec![to as usize],
            None => (0..self.schedulers.len()).filter(|&other| other != from).collect(),
        };
        if to.is_none() {
            self.statistics.broadcasts.push(Broadcast { at: self.now, scheduler: from });
        }
        self.statistics.messages += receivers.len();
        for to in receivers {
            if self.rng.f64() >= self.message_loss {
                let message = FleetEvent::Message { to, from: from as u32, text: text.to_owned() };
                self.schedule_after(self.message_latency, message);
            }
        }
    }

    fn start_attempt(&mut self, worker: WorkerId, attempt: Attempt) {
        let key = self.job_keys[&attempt.job];
        let capacity = self.warming_workers.capacity_fraction(&self.settings, self.now, worker);
        let run_time = self.workers.run_time(worker, key, capacity, &mut self.rng);
        self.schedule_after(run_time, FleetEvent::AttemptEnd { worker, attempt });
        let started = Event::JobStarted { job: attempt.job, attempt: attempt.number };
        self.handle_event(attempt.scheduler, started);
    }

    fn job_arrives(&mut self) {
        let scheduler = self.rng.usize(..self.schedulers.len());
        self.job_count += 1;
        self.statistics.jobs += 1;
        let key = (self.rng.f64().powi(KEY_SKEW) * f64::from(self.key_count)) as u32;
        self.job_keys.insert(self.job_count, key);
        let job = NewJob {
            affinity_key: Some(format!("k{key}")),
            id: self.job_count,
            tenant: self.rng.usize(..TENANT_COUNT),
            time_left: self.settings.classes[0].deadline,
            slots: 1.0,
            ..NewJob::default()
        };
        if self.schedulers[scheduler].is_some() {
            self.checker.job_arrived(self.now, job.id, scheduler);
        } else {
            self.statistics.lost += 1;
        }
        self.handle_event(scheduler, Event::Job(job));
        let interval = -(1.0 - self.rng.f64()).ln() * MILLIS_PER_SECOND / self.arrival_rate;
        self.schedule_after(interval, FleetEvent::JobArrival);
    }

    fn attempt_ends(&mut self, worker: WorkerId, attempt: Attempt) {
        if let Some(next) = self.workers.release_slot(worker) {
            self.statistics.queue_time += self.now - next.queued_at;
            self.start_attempt(worker, next.attempt);
        }
        let report = self.workers.load_report(worker, &mut self.rng);
        let Attempt { scheduler, job, number } = attempt;
        let is_failed = self.workers.is_failing(worker);
        if is_failed {
            self.statistics.failed_attempts += 1;
            self.failed_attempts.insert((scheduler, job), number + 1);
        } else if self.checker.is_pending(job, scheduler) {
            self.job_served(job);
        }
        let outcome = if is_failed { Outcome::WorkerError } else { Outcome::Served };
        let result =
            AttemptResult { job, attempt: number, outcome, job_answered: !is_failed, report: Some(report) };
        self.handle_event(scheduler, Event::AttemptEnded(result));
    }

    fn job_served(&mut self, job: JobId) {
        let Some(latency) = self.checker.job_answered(self.now, job) else { return };
        let class = &self.settings.classes[0];
        let max_latency = class.latency_objective + class.stretch * self.workers.mean_run_time;
        self.statistics.served += 1;
        self.statistics.in_time += usize::from(latency <= max_latency);
    }
}
