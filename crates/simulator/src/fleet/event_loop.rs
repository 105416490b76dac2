//! The event loop of a simulated fleet: arrivals, timers, messages, and ends of attempts in virtual time.
//!
//! Each event goes to one scheduler. Its actions are executed at once and in order, and may cause further
//! events at the same time.

use super::Fleet;
use super::workers::Attempt;
use crate::event_queue::to_micros;
use crate::statistics::Broadcast;
use brackenledge_policy::{Action, AttemptResult, Event, JobId, Millis, NewJob, Outcome, WorkerId};

/// Exponent applied to a uniform random number to select a key, which makes few keys frequent. With a cube,
/// 15% of the jobs have the first of 300 keys.
const KEY_SKEW: i32 = 3;
/// Number of tenants in the [settings](super::settings()) of the simulated schedulers.
const TENANT_COUNT: usize = 2;
const MILLIS_PER_SECOND: Millis = 1_000.0;

/// A scheduled event.
pub(super) enum FleetEvent {
    JobArrival,
    Timer { scheduler: usize },
    Message { to: usize, from: u32, text: String },
    AttemptEnd { worker: WorkerId, attempt: Attempt },
}

impl Fleet {
    /// Advances the virtual clock by `duration` and processes all events that are due until then.
    pub fn run_for(&mut self, duration: Millis) {
        let until = self.now + duration;
        while let Some((at, event)) = self.events.pop_due(until) {
            self.now = self.now.max(at);
            match event {
                FleetEvent::Timer { scheduler } => self.handle_event(scheduler, Event::Timer),
                FleetEvent::Message { to, from, text } => {
                    self.handle_event(to, Event::PeerMessage { from, text });
                }
                FleetEvent::JobArrival => self.handle_job_arrival(),
                FleetEvent::AttemptEnd { worker, attempt } => self.handle_attempt_end(worker, attempt),
            }
        }
        self.now = until;
        self.checker.check_deadlines(self.now);
    }

    pub(super) fn schedule_after(&mut self, delay: Millis, event: FleetEvent) {
        self.events.schedule(to_micros(self.now + delay), event);
    }

    /// Passes an event to a scheduler and executes the resulting actions. Does nothing if it has been killed.
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
                let is_first = self.checker.record_answer(self.now, job).is_some();
                self.statistics.rejected += usize::from(is_first);
            }
            Action::Fail { job } => {
                let is_first = self.checker.record_answer(self.now, job).is_some();
                self.statistics.failed += usize::from(is_first);
            }
            _ => {}
        }
    }

    fn send_attempt(&mut self, scheduler: usize, job: JobId, worker: WorkerId) {
        self.statistics.attempts += 1;
        self.warming_workers.record_attempt(self.now, worker);
        let number = self.failed_attempts.get(&(scheduler, job)).copied().unwrap_or(0);
        let attempt = Attempt { scheduler, job, number };
        if self.workers.submit(self.now, worker, attempt) {
            self.start_attempt(worker, attempt);
        }
    }

    /// Sends a message to one scheduler, or to all others if `to` is `None`. Each copy may be lost.
    pub(super) fn send_message(&mut self, from: usize, to: Option<u32>, text: &str) {
        self.checker.check_message_length(self.now, text.len());
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

    fn handle_job_arrival(&mut self) {
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
            self.checker.record_arrival(self.now, job.id, scheduler);
        } else {
            self.statistics.lost += 1;
        }
        self.handle_event(scheduler, Event::Job(job));
        let interval = -(1.0 - self.rng.f64()).ln() * MILLIS_PER_SECOND / self.arrival_rate;
        self.schedule_after(interval, FleetEvent::JobArrival);
    }

    fn handle_attempt_end(&mut self, worker: WorkerId, attempt: Attempt) {
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
            self.record_served_job(job);
        }
        let outcome = if is_failed { Outcome::WorkerError } else { Outcome::Served };
        let result =
            AttemptResult { job, attempt: number, outcome, job_answered: !is_failed, report: Some(report) };
        self.handle_event(scheduler, Event::AttemptEnded(result));
    }

    fn record_served_job(&mut self, job: JobId) {
        let Some(latency) = self.checker.record_answer(self.now, job) else { return };
        let class = &self.settings.classes[0];
        let max_latency = class.latency_objective + class.stretch * self.workers.mean_run_time;
        self.statistics.served += 1;
        self.statistics.in_time += usize::from(latency <= max_latency);
    }
}
