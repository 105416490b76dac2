//! The engine: its inputs, the queue of events for the decision module and the queue of commands for the
//! drivers.

use crate::attempt::{AttemptId, InFlight};
use crate::command::Command;
use crate::job::{Answer, ClientId, Job, JobRequest, NewAttempt};
use crate::stats::{JobEnd, JobStats};
use brackenledge_policy::{
    Action, AttemptResult, Class, Dispatcher, Effect, Event, JobId, ListKind, LoadReport, Millis, NewJob,
    Outcome, Settings, WorkerEntry, WorkerId,
};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Owns the decision module and all open jobs. Inputs only queue events and commands; after each input the
/// caller calls [`Engine::poll_command`] until it returns `None`.
pub struct Engine {
    dispatcher: Dispatcher,
    max_attempts: usize,
    /// Indexed by class (see [`retry_window`]).
    retry_windows: Vec<Millis>,
    jobs: HashMap<JobId, Job>,
    last_job: JobId,
    submitted_slots: f64,
    pending: usize,
    stats: JobStats,
    events: VecDeque<Event>,
    commands: VecDeque<Command>,
    /// Actions of the decision module for one event. Empty between events; kept to reuse its allocation.
    actions: Vec<Action>,
}

/// Client and class of a job that has just ended.
struct EndedJob {
    client: ClientId,
    class: usize,
}

/// How long after the first attempt of a job of this class the request of a retry may be written; infinite
/// unless the class is idempotent. The decision module has other limits on retries; this one bounds the delay
/// from its decision to the last byte of the request.
fn retry_window(class: &Class) -> Millis {
    if class.effect == Effect::Idempotent { class.deduplication_window } else { f64::INFINITY }
}

impl Engine {
    /// An engine without jobs. `seed` seeds the random choices of the decision module.
    pub fn new(now: Millis, settings: Settings, seed: u64) -> Self {
        Engine {
            max_attempts: settings.max_attempts,
            retry_windows: settings.classes.iter().map(retry_window).collect(),
            stats: JobStats::new(settings.classes.len()),
            dispatcher: Dispatcher::new(now, settings, seed),
            jobs: HashMap::new(),
            last_job: 0,
            submitted_slots: 0.0,
            pending: 0,
            events: VecDeque::new(),
            commands: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Number of jobs whose clients wait for an answer.
    pub fn pending_jobs(&self) -> usize {
        self.pending
    }

    /// Number of jobs that are pending or have an attempt in flight.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Counts since the start: how jobs ended, and how many attempts were sent.
    pub fn stats(&self) -> &JobStats {
        &self.stats
    }

    /// Total slots of all jobs submitted since the start; each job counts at least 1.
    pub fn submitted_slots(&self) -> f64 {
        self.submitted_slots
    }

    /// Counts a job of this class that a frontend rejected without submitting it: too many jobs were open, or
    /// the scheduler was draining or shutting down.
    pub fn rejected_at_admission(&mut self, class: usize) {
        self.stats.record(class, JobEnd::Rejected);
    }

    /// Submits a job. Returns its id, which the frontend uses to abandon it and which its answer carries.
    /// Returns `None` if a job with the same request id is open: that job may belong to another client and
    /// must not be affected, and a worker would take the new job for a second execution of it.
    pub fn submit_job(&mut self, now: Millis, submitted: JobRequest) -> Option<JobId> {
        if self.jobs.values().any(|job| job.request.id == submitted.request.id) {
            return None;
        }
        let id = self.next_job_id();
        let JobRequest { client, job, request } = submitted;
        self.jobs.insert(id, Job::new(now, client, &job, request));
        self.submitted_slots += job.slots.max(1.0);
        self.pending += 1;
        self.events.push_back(Event::Job(NewJob { id, ..job }));
        Some(id)
    }

    /// The next id in sequence. Once the counter has wrapped around, ids of open jobs are skipped.
    fn next_job_id(&mut self) -> JobId {
        loop {
            self.last_job = self.last_job.wrapping_add(1);
            if !self.jobs.contains_key(&self.last_job) {
                return self.last_job;
            }
        }
    }

    /// Ends a job without an answer: its client has disconnected, or does not wait for the answer for another
    /// reason.
    pub fn abandon_job(&mut self, id: JobId) {
        if self.end_job(id).is_some() {
            self.stats.abandoned += 1;
            self.events.push_back(Event::ClientDisconnected { job: id });
            self.withdraw_attempts(id);
        }
    }

    /// Answers all pending jobs because the process is about to exit, and withdraws their unsent attempts. A
    /// job whose request no worker can have received completely is rejected with `retry_after`; any other
    /// fails.
    pub fn fail_pending(&mut self, retry_after: Option<Millis>) {
        let pending = self.jobs.iter().filter(|(_, job)| job.is_pending());
        let mut ids: Vec<JobId> = pending.map(|(&id, _)| id).collect();
        ids.sort_unstable();
        for id in ids {
            let never_ran = self.jobs[&id].never_ran();
            self.events.push_back(Event::ClientDisconnected { job: id });
            self.answer(id, if never_ran { Answer::Rejected { retry_after } } else { Answer::Failed });
        }
    }

    /// The request of an attempt has been written completely.
    pub fn attempt_sent(&mut self, id: AttemptId) {
        self.stats.sent_attempts += 1;
        if let Some(attempt) = self.attempt_in_flight(id) {
            attempt.mark_sent();
        }
    }

    /// The worker has started to run the job of an attempt.
    pub fn attempt_started(&mut self, AttemptId { job, attempt }: AttemptId) {
        self.events.push_back(Event::JobStarted { job, attempt });
    }

    /// The worker reports progress on an attempt; `done` is the completed fraction, 0 to 1.
    pub fn attempt_progressed(&mut self, AttemptId { job, attempt }: AttemptId, done: f64) {
        self.events.push_back(Event::JobProgress { job, attempt, done });
    }

    /// An attempt returned a result. The first result of a job is its answer.
    pub fn attempt_served(&mut self, id: AttemptId, result: String, report: Option<LoadReport>) {
        self.end_with_answer(id.job, Answer::Served(result));
        self.attempt_ended(id, Outcome::Served, report);
        self.withdraw_attempts(id.job);
    }

    /// An attempt ended. Later calls for the same attempt do nothing.
    pub fn attempt_ended(&mut self, id: AttemptId, outcome: Outcome, report: Option<LoadReport>) {
        let Some(attempt) = self.attempt_in_flight(id) else { return };
        attempt.end(!outcome.never_ran());
        let Some(job) = self.jobs.get(&id.job) else { return };
        let job_answered = !job.is_pending();
        if job.request.reports_attempts {
            self.commands.push_back(Command::AttemptEnded { id, never_ran: outcome.never_ran() });
        }
        let AttemptId { job, attempt } = id;
        self.events.push_back(Event::AttemptEnded(AttemptResult {
            job,
            attempt,
            outcome,
            job_answered,
            report,
        }));
    }

    /// The endpoint table has changed; `kind` says what `entries` holds.
    pub fn update_workers(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) {
        self.events.push_back(Event::Workers { kind, entries });
    }

    /// A health check ended.
    pub fn health_check_ended(&mut self, worker: WorkerId, outcome: Outcome, report: Option<LoadReport>) {
        self.events.push_back(Event::HealthChecked { worker, outcome, report });
    }

    /// A message from the scheduler with ordinal `from` has arrived.
    pub fn handle_message(&mut self, from: u16, text: String) {
        self.events.push_back(Event::PeerMessage { from: u32::from(from), text });
    }

    /// Sets the placement costs of the workers of each zone, in latency objectives and indexed by zone; empty
    /// if there is no zone routing plan.
    pub fn set_zone_costs(&mut self, costs: Vec<f64>) {
        self.events.push_back(Event::ZoneCosts { costs });
    }

    /// Sets the number of active schedulers that share the workers, including this one.
    pub fn set_active_schedulers(&mut self, schedulers: u32) {
        self.events.push_back(Event::ActiveSchedulers { schedulers });
    }

    /// A timer set by [`Command::SetTimer`] has expired.
    pub fn handle_timeout(&mut self) {
        self.events.push_back(Event::Timer);
    }

    /// Returns the next command, handling queued events until there is one; `None` if no event is left.
    pub fn poll_command(&mut self, now: Millis) -> Option<Command> {
        loop {
            if let Some(command) = self.commands.pop_front() {
                return Some(command);
            }
            let event = self.events.pop_front()?;
            self.handle_event(now, event);
        }
    }

    fn handle_event(&mut self, now: Millis, event: Event) {
        let ended_job = match &event {
            Event::AttemptEnded(AttemptResult { job, .. }) | Event::ClientDisconnected { job } => Some(*job),
            _ => None,
        };
        let mut actions = std::mem::take(&mut self.actions);
        self.dispatcher.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(now, action);
        }
        self.actions = actions;
        if let Some(job) = ended_job {
            self.remove_if_finished(job);
        }
    }

    fn execute(&mut self, now: Millis, action: Action) {
        let command = match action {
            Action::StartAttempt { job, worker, timeout } => {
                return self.start_attempt(now, job, worker, timeout);
            }
            Action::Reject { job, retry_after } => return self.answer(job, Answer::Rejected { retry_after }),
            Action::Fail { job } => return self.answer(job, Answer::Failed),
            Action::CancelAttempt { job, attempt } => {
                Command::CancelAttempt { id: AttemptId { job, attempt } }
            }
            Action::SetTimer { after } => Command::SetTimer { after },
            Action::WatchEndpoints { on } => Command::WatchEndpoints { on },
            Action::PollEndpoints => Command::PollEndpoints,
            Action::HealthCheck { worker } => Command::HealthCheck { worker },
            Action::SendMessage { to: Some(to), text } => match u16::try_from(to) {
                Ok(to) => Command::SendMessage { to, text },
                // Ordinals are 16 bits wide, so that there is no such scheduler.
                Err(_) => return,
            },
            Action::SendMessage { to: None, text } => Command::Broadcast { text },
            Action::CloseIdleConnections { worker } => Command::CloseIdleConnections { worker },
            Action::Log(text) => Command::Log(text),
        };
        self.commands.push_back(command);
    }

    /// Starts an attempt. If the job has ended, its write deadline has passed or the attempt limit is
    /// reached, the attempt ends at once with [`Outcome::NeverSent`]. Either way the decision module gets
    /// exactly one result for it.
    fn start_attempt(&mut self, now: Millis, job_id: JobId, worker: WorkerId, timeout: Option<Millis>) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        let NewAttempt { number, deadlines } = job.start_attempt(now, timeout, self.retry_windows[job.class]);
        let is_too_late = now >= deadlines.write_deadline;
        let must_not_run = !job.is_pending() || is_too_late || number >= self.max_attempts;
        let request = Rc::clone(&job.request);
        let id = AttemptId { job: job_id, attempt: number };
        if must_not_run {
            self.attempt_ended(id, Outcome::NeverSent, None);
            return;
        }
        self.commands.push_back(Command::StartAttempt { id, worker, request, deadlines });
    }

    fn attempt_in_flight(&mut self, id: AttemptId) -> Option<InFlight<'_>> {
        self.jobs.get_mut(&id.job)?.attempt_in_flight(id.attempt)
    }

    /// Answers a job that has no result. The decision module does not know which attempts have been sent, so
    /// that a job whose request no worker can have received completely is rejected even if the decision
    /// module fails it.
    fn answer(&mut self, id: JobId, answer: Answer) {
        let never_ran =
            self.jobs.get(&id).is_some_and(|job| !job.request.reports_attempts && job.never_ran());
        let answer = match answer {
            Answer::Failed if never_ran => Answer::Rejected { retry_after: None },
            answer => answer,
        };
        if self.end_with_answer(id, answer) {
            self.withdraw_attempts(id);
        }
        self.remove_if_finished(id);
    }

    /// Ends a pending job with this answer. Returns whether the job was pending.
    fn end_with_answer(&mut self, id: JobId, answer: Answer) -> bool {
        let Some(EndedJob { client, class }) = self.end_job(id) else { return false };
        self.stats.record(class, answer.job_end());
        self.commands.push_back(Command::Answer { client, job: id, answer });
        true
    }

    /// Ends a pending job; `None` if it is not pending.
    fn end_job(&mut self, id: JobId) -> Option<EndedJob> {
        let job = self.jobs.get_mut(&id)?;
        let client = job.take_client()?;
        self.pending -= 1;
        Some(EndedJob { client, class: job.class })
    }

    /// Withdraws the attempts of a job that has ended, so that none that is still unsent is sent later.
    fn withdraw_attempts(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let withdrawn = job.attempts_in_flight().map(|attempt| AttemptId { job: id, attempt });
        self.commands.extend(withdrawn.map(|id| Command::WithdrawAttempt { id }));
    }

    /// Removes a job that has ended and has no attempt in flight.
    fn remove_if_finished(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(Job::is_finished) {
            self.jobs.remove(&id);
        }
    }
}
