//! The engine itself: its inputs, and the queues of events for the decision module and of commands for the drivers.

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

/// Holds the decision module and all open jobs. Inputs only queue what they cause; [`Engine::poll_command`] is called
/// afterwards until it returns `None`.
pub struct Engine {
    dispatcher: Dispatcher,
    max_attempts: usize,
    /// By class: how long after the first attempt a retry may be written.
    retry_windows: Vec<Millis>,
    jobs: HashMap<JobId, Job>,
    last_job: JobId,
    submitted_slots: f64,
    pending: usize,
    stats: JobStats,
    events: VecDeque<Event>,
    commands: VecDeque<Command>,
    /// The decision module's answer to one event; empty in between, kept for its capacity.
    actions: Vec<Action>,
}

/// The client and the class of a job that has just ended.
struct EndedJob {
    client: ClientId,
    class: usize,
}

/// How long after its first attempt a job of this class may be retried. What else limits retries is the decision
/// module's; this bounds what passes between its decision and the last byte.
fn retry_window(class: &Class) -> Millis {
    if class.effect == Effect::Idempotent { class.deduplication_window } else { f64::INFINITY }
}

impl Engine {
    /// An engine without jobs.
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

    /// Jobs without an answer whose clients wait.
    pub fn pending_jobs(&self) -> usize {
        self.pending
    }

    /// Jobs that are held: pending, or with an attempt in flight.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// How jobs ended since the start, and the attempts that were sent.
    pub fn stats(&self) -> &JobStats {
        &self.stats
    }

    /// Slots of all jobs submitted since the start.
    pub fn submitted_slots(&self) -> f64 {
        self.submitted_slots
    }

    /// A frontend rejected a job of this class before it submitted it: too many were in flight.
    pub fn rejected_at_admission(&mut self, class: usize) {
        self.stats.record(class, JobEnd::Rejected);
    }

    /// Submits a job; returns the id by which its frontend can abandon it and is told the answer. `None`: a job with the
    /// same request id is open, maybe another client's. That one must not be touched, and a worker that is sent the id
    /// again takes it for a second execution.
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

    /// Ids are never reused, except that the counter wraps; then those of open jobs are skipped.
    fn next_job_id(&mut self) -> JobId {
        loop {
            self.last_job = self.last_job.wrapping_add(1);
            if !self.jobs.contains_key(&self.last_job) {
                return self.last_job;
            }
        }
    }

    /// A job's client disconnected, or nobody waits for its answer for another reason: it gets none.
    pub fn abandon_job(&mut self, id: JobId) {
        if self.end_job(id).is_some() {
            self.stats.abandoned += 1;
            self.events.push_back(Event::ClientDisconnected { job: id });
            self.withdraw_attempts(id);
        }
    }

    /// Answers every pending job, since the process is about to end, and withdraws its unsent attempts. A job whose request
    /// no worker can have received completely is rejected with this `Retry-After`; any other fails.
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

    /// An attempt's request has been written completely.
    pub fn attempt_sent(&mut self, id: AttemptId) {
        self.stats.sent_attempts += 1;
        if let Some(attempt) = self.attempt_in_flight(id) {
            attempt.mark_sent();
        }
    }

    /// A worker has started to run an attempt.
    pub fn attempt_started(&mut self, AttemptId { job, attempt }: AttemptId) {
        self.events.push_back(Event::JobStarted { job, attempt });
    }

    /// A worker has done this share of an attempt, 0 to 1.
    pub fn attempt_progressed(&mut self, AttemptId { job, attempt }: AttemptId, done: f64) {
        self.events.push_back(Event::JobProgress { job, attempt, done });
    }

    /// An attempt was served. The first of a job is its answer.
    pub fn attempt_served(&mut self, id: AttemptId, result: String, report: Option<LoadReport>) {
        self.end_with_answer(id.job, Answer::Served(result));
        self.attempt_ended(id, Outcome::Served, report);
        self.withdraw_attempts(id.job);
    }

    /// An attempt ended. Each one ends once: later calls for it do nothing.
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

    /// The endpoint table has changed.
    pub fn update_workers(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) {
        self.events.push_back(Event::Workers { kind, entries });
    }

    /// A health check ended.
    pub fn health_check_ended(&mut self, worker: WorkerId, outcome: Outcome, report: Option<LoadReport>) {
        self.events.push_back(Event::HealthChecked { worker, outcome, report });
    }

    /// A message came from another scheduler.
    pub fn handle_message(&mut self, from: u16, text: String) {
        self.events.push_back(Event::PeerMessage { from: u32::from(from), text });
    }

    /// Sets each zone's route cost, in latency objectives; empty: there is no traffic plan.
    pub fn set_zone_costs(&mut self, costs: Vec<f64>) {
        self.events.push_back(Event::ZoneCosts { costs });
    }

    /// Sets the number of active schedulers that share the workers, this one included.
    pub fn set_active_schedulers(&mut self, schedulers: u32) {
        self.events.push_back(Event::ActiveSchedulers { schedulers });
    }

    /// A timer of [`Command::SetTimer`] has expired.
    pub fn handle_timeout(&mut self) {
        self.events.push_back(Event::Timer);
    }

    /// The next command; events are handled until there is one. `None`: nothing is left to do now.
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
            self.forget_finished(job);
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
                // No scheduler has such an ordinal.
                Err(_) => return,
            },
            Action::SendMessage { to: None, text } => Command::Broadcast { text },
            Action::CloseIdleConnections { worker } => Command::CloseIdleConnections { worker },
            Action::Log(text) => Command::Log(text),
        };
        self.commands.push_back(command);
    }

    /// Starts an attempt, or ends it at once as never sent: its job is answered, it would be written too late, or the job
    /// has had all its attempts. Either way the decision module gets one result for it.
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

    /// Answers a job without a result. The decision module does not know which attempts have been sent: a job whose request
    /// no worker can have received completely is rejected even where the module says that it failed.
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
        self.forget_finished(id);
    }

    /// Ends a pending job with this answer; whether it was pending.
    fn end_with_answer(&mut self, id: JobId, answer: Answer) -> bool {
        let Some(EndedJob { client, class }) = self.end_job(id) else { return false };
        self.stats.record(class, answer.job_end());
        self.commands.push_back(Command::Answer { client, job: id, answer });
        true
    }

    /// Ends a pending job; `None`: it is not pending.
    fn end_job(&mut self, id: JobId) -> Option<EndedJob> {
        let job = self.jobs.get_mut(&id)?;
        let client = job.take_client()?;
        self.pending -= 1;
        Some(EndedJob { client, class: job.class })
    }

    /// An attempt of an ended job that has not been sent by now must not be sent later.
    fn withdraw_attempts(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let withdrawn = job.attempts_in_flight().map(|attempt| AttemptId { job: id, attempt });
        self.commands.extend(withdrawn.map(|id| Command::WithdrawAttempt { id }));
    }

    /// Forgets a job once it is answered and none of its attempts is in flight.
    fn forget_finished(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(Job::is_finished) {
            self.jobs.remove(&id);
        }
    }
}
