//! The scheduler's core: it owns the decision module, the jobs and their dispatches, and one ordered queue of
//! what is to be done. It knows no sockets and no HTTP, so that any front can bring jobs to it.
//!
//! A front tells it that a job arrived or that a client is gone, and is told the answer. Those who carry out
//! dispatches, watch discovery or hear peers tell it what happened. Events are queued and played one at a
//! time, each one's orders before the next event: the module is never re-entered.

use brackenledge_policy::{
    Action, Class, Dispatcher, Effect, Event, JobId, ListKind, LoadReport, Millis, NewJob, Outcome, Response,
    Settings, WorkerEntry, WorkerId,
};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

pub mod drain;
pub mod shutdown;
pub mod stats;

use stats::{End, Figures};

/// One dispatch: the job, and the attempt's number.
pub type DispatchId = (JobId, usize);
/// A client as its front knows it.
pub type ClientId = usize;

/// What a backend server needs to be told of a job; the core only passes it on.
#[derive(Debug)]
pub struct Request {
    /// The client's id of it, unique among open jobs.
    pub id: String,
    /// The path and query it was sent to.
    pub target: String,
    /// By which backend servers know repeats.
    pub idempotency_key: Option<String>,
    /// The body's type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// What running it again would do.
    pub effect: Effect,
    /// Whoever brought it is told how each dispatch ended.
    pub watched: bool,
}

/// A job as a front brings it. The core gives it its id.
pub struct Arrival {
    /// Who brought it.
    pub client: ClientId,
    /// What the decision module is told; its id is given by the engine.
    pub job: NewJob,
    /// What the backend server is told.
    pub request: Request,
}

/// A job's final answer.
#[derive(Debug)]
pub enum Answer {
    /// What the backend server made.
    Served(String),
    /// Refused: trying again is harmless.
    Denied {
        /// How long the client should stay away.
        retry_after: Option<Millis>,
    },
    /// Failed: nothing is promised.
    Failed,
}

/// The times that bind a dispatch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Its request's last byte leaves before this, or never: a repeat of a keyed job is dropped by the backend servers
    /// within the class's window only, and a connection may come up long after it was asked for.
    pub leave_by: Millis,
    /// When to stop waiting for it.
    pub until: Millis,
}

/// What is to be done, in order.
pub enum Command {
    /// Give a client its job's final answer.
    Answer {
        /// The client.
        client: ClientId,
        /// The job.
        job: JobId,
        /// The answer.
        answer: Answer,
    },
    /// Send a request to a backend server.
    Dispatch {
        /// Names the dispatch from now on.
        id: DispatchId,
        /// The server.
        worker: WorkerId,
        /// The request.
        request: Rc<Request>,
        /// Its times.
        times: Times,
    },
    /// Give up a dispatch.
    Cancel {
        /// The dispatch.
        id: DispatchId,
    },
    /// Nobody waits for its job any more: take a dispatch back if its last byte has not left. What has left goes on
    /// unless the decision module gives it up, where the settings let it.
    TakeBack {
        /// The dispatch.
        id: DispatchId,
    },
    /// A dispatch of a watched job has ended.
    Ended {
        /// The dispatch.
        id: DispatchId,
        /// It is known that the job never ran by it.
        never_ran: bool,
    },
    /// Call [`Core::wake`] after this long.
    Wake {
        /// How far from now, in milliseconds.
        after: Millis,
    },
    /// Subscribe to changes of the server table, or end that.
    Watch {
        /// Whether to subscribe.
        on: bool,
    },
    /// Ask for the whole server table once.
    FetchList,
    /// Ask a server for its load.
    Probe {
        /// The server.
        worker: WorkerId,
    },
    /// Send a message to one scheduler or to all.
    Tell {
        /// The receiver's number; `None`: all.
        to: Option<u32>,
        /// At most 256 bytes.
        text: String,
    },
    /// Close the idle connections to a server.
    CloseIdle {
        /// The server.
        worker: WorkerId,
    },
    /// A line for the log.
    Log(String),
}

/// What became of the jobs since the start.
#[derive(Clone, Copy, Default)]
pub struct Counts {
    /// Given what a backend server made.
    pub served: u64,
    /// Refused.
    pub denied: u64,
    /// Failed.
    pub failed: u64,
    /// Their clients left first.
    pub gone: u64,
}

struct Job {
    client: ClientId,
    class: usize,
    deadline: Millis,
    answered: bool,
    request: Rc<Request>,
    dispatches: Vec<Dispatch>,
}

/// One dispatch of a job.
struct Dispatch {
    sent: Millis,
    state: DispatchState,
}

#[derive(Clone, Copy, PartialEq)]
enum DispatchState {
    /// It is out, and its last byte has not left.
    Unwritten,
    /// It is out and may run.
    Written,
    /// It is not out any more.
    Ended { may_have_run: bool },
}

impl DispatchState {
    fn is_out(self) -> bool {
        !matches!(self, DispatchState::Ended { .. })
    }
}

impl Job {
    fn any_out(&self) -> bool {
        self.dispatches.iter().any(|dispatch| dispatch.state.is_out())
    }

    /// Whether a backend server may have run it, or may yet.
    fn may_have_run(&self) -> bool {
        let risky = [DispatchState::Written, DispatchState::Ended { may_have_run: true }];
        self.dispatches.iter().any(|dispatch| risky.contains(&dispatch.state))
    }

    /// Whether no backend server can have it whole. Of a watched job others may know of more than is known here.
    fn never_ran(&self) -> bool {
        !(self.may_have_run() || self.request.watched && self.any_out())
    }

    /// When the first dispatch was sent that is out or may have run.
    fn first_risk(&self) -> Option<Millis> {
        let safe = DispatchState::Ended { may_have_run: false };
        self.dispatches.iter().find(|dispatch| dispatch.state != safe).map(|dispatch| dispatch.sent)
    }
}

/// How long after its first dispatch a job of this class may be repeated. What else binds repeats is the decision
/// module's affair; here is what may pass between its decision and the last byte.
fn repeats_within(class: &Class) -> Millis {
    if class.effect == Effect::Keyed { class.window } else { f64::INFINITY }
}

/// See the module's page.
pub struct Core {
    dispatcher: Dispatcher,
    max_attempts: usize,
    /// For each class: how long after its first dispatch a job's repeats may leave.
    windows: Vec<Millis>,
    jobs: HashMap<JobId, Job>,
    last_job: JobId,
    arrived_slots: f64,
    owed: usize,
    counts: Counts,
    figures: Figures,
    events: VecDeque<Event>,
    commands: VecDeque<Command>,
    actions: Vec<Action>,
}

impl Core {
    /// A core that holds no job.
    pub fn new(now: Millis, settings: Settings, seed: u64) -> Self {
        let figures = Figures::new(settings.classes.len());
        Core {
            max_attempts: settings.max_attempts,
            windows: settings.classes.iter().map(repeats_within).collect(),
            dispatcher: Dispatcher::new(now, settings, seed),
            jobs: HashMap::new(),
            last_job: 0,
            arrived_slots: 0.0,
            owed: 0,
            counts: Counts::default(),
            figures,
            events: VecDeque::new(),
            commands: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Jobs that are owed an answer.
    pub fn owed(&self) -> usize {
        self.owed
    }

    /// Jobs that are known still: owed an answer, or with a dispatch out.
    pub fn open(&self) -> usize {
        self.jobs.len()
    }

    /// What became of the jobs so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What became of the jobs of each class so far, and the dispatches written whole.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// A front refused a job of this class before the core took it: too many were held.
    pub fn refused_at_door(&mut self, class: usize) {
        self.counts.denied += 1;
        self.figures.ended(class, End::Throttled);
    }

    /// A dispatch's request has been written whole to its backend server.
    pub fn dispatch_written(&mut self, id: DispatchId) {
        self.figures.relayed += 1;
        if let Some(dispatch) = self.out(id) {
            dispatch.state = DispatchState::Written;
        }
    }

    /// A job arrived. It is given a number, by which its front can take it back and is told the answer. `None`:
    /// a job with its request's id is still open, maybe another client's. That one must not be touched, and a
    /// backend server that is sent the id again takes it for a second run.
    pub fn job_arrived(&mut self, now: Millis, new: Arrival) -> Option<JobId> {
        if self.jobs.values().any(|job| job.request.id == new.request.id) {
            return None;
        }
        // Ids are never reused within a life, bar a wrap of the counter past jobs that still live.
        loop {
            self.last_job = self.last_job.wrapping_add(1);
            if !self.jobs.contains_key(&self.last_job) {
                break;
            }
        }
        let id = self.last_job;
        let Arrival { client, job, request } = new;
        let held = Job {
            client,
            class: job.class,
            deadline: now + job.time_left,
            answered: false,
            request: Rc::new(request),
            // What another scheduler had out counts as the first.
            dispatches: (job.ran.iter())
                .map(|&(_, ago)| Dispatch {
                    sent: now - ago,
                    state: DispatchState::Ended { may_have_run: true },
                })
                .collect(),
        };
        self.jobs.insert(id, held);
        self.arrived_slots += job.slots.max(1.0);
        self.owed += 1;
        self.events.push_back(Event::Job(NewJob { id, ..job }));
        Some(id)
    }

    /// A job's client is gone: nothing is owed for it any more.
    pub fn client_gone(&mut self, id: JobId) {
        if self.settle(id).is_some() {
            self.counts.gone += 1;
            self.events.push_back(Event::ClientGone { job: id });
            self.take_back(id);
        }
    }

    /// The program is about to end: every job that is owed an answer gets it now. One that no backend server can have
    /// whole is refused, with this time to stay away, and what has not left for it is taken back; of any other nothing
    /// is promised.
    pub fn give_up_all(&mut self, retry_after: Option<Millis>) {
        let mut owed: Vec<JobId> =
            self.jobs.iter().filter(|(_, job)| !job.answered).map(|(&id, _)| id).collect();
        owed.sort_unstable();
        for id in owed {
            let never_ran = self.jobs[&id].never_ran();
            self.events.push_back(Event::ClientGone { job: id });
            self.answer(id, if never_ran { Answer::Denied { retry_after } } else { Answer::Failed });
        }
    }

    /// A dispatch's job has started to run.
    pub fn dispatch_started(&mut self, (job, attempt): DispatchId) {
        self.events.push_back(Event::Started { job, attempt });
    }

    /// A dispatch's job has come this far, 0 to 1.
    pub fn dispatch_progress(&mut self, (job, attempt): DispatchId, done: f64) {
        self.events.push_back(Event::Progress { job, attempt, done });
    }

    /// A dispatch was served. The first of a job is its answer.
    pub fn dispatch_served(&mut self, id: DispatchId, result: String, report: Option<LoadReport>) {
        if let Some((client, class)) = self.settle(id.0) {
            self.counts.served += 1;
            self.figures.ended(class, End::Fulfilled);
            self.commands.push_back(Command::Answer { client, job: id.0, answer: Answer::Served(result) });
        }
        self.dispatch_ended(id, Outcome::Ok, report);
        self.take_back(id.0);
    }

    /// A dispatch ended. Each one ends once: what is not out any more can't end again.
    pub fn dispatch_ended(&mut self, id: DispatchId, outcome: Outcome, report: Option<LoadReport>) {
        let Some(dispatch) = self.out(id) else { return };
        dispatch.state = DispatchState::Ended { may_have_run: !outcome.never_ran() };
        let Some(job) = self.jobs.get(&id.0) else { return };
        let settled = job.answered;
        if job.request.watched {
            self.commands.push_back(Command::Ended { id, never_ran: outcome.never_ran() });
        }
        self.events.push_back(Event::Response(Response {
            job: id.0,
            attempt: id.1,
            outcome,
            settled,
            report,
        }));
    }

    /// Word of the backend servers.
    pub fn servers(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) {
        self.events.push_back(Event::Workers { kind, entries });
    }

    /// A probe ended.
    pub fn probed(&mut self, worker: WorkerId, outcome: Outcome, report: Option<LoadReport>) {
        self.events.push_back(Event::Probed { worker, outcome, report });
    }

    /// A message came from another scheduler.
    pub fn message(&mut self, from: u32, text: String) {
        self.events.push_back(Event::Message { from, text });
    }

    /// Zones cost this from now on, in aims; none: there is no plan for them.
    pub fn zones(&mut self, prices: Vec<f64>) {
        self.events.push_back(Event::Zones { prices });
    }

    /// Slots of all jobs that have arrived.
    pub fn arrived_slots(&self) -> f64 {
        self.arrived_slots
    }

    /// So many schedulers are to be reckoned with from now on.
    pub fn living(&mut self, dispatchers: u32) {
        self.events.push_back(Event::Living { dispatchers });
    }

    /// A timer has come due.
    pub fn wake(&mut self) {
        self.events.push_back(Event::Timer);
    }

    /// The next thing to do; events are played until there is one. `None`: all is done for now.
    pub fn poll_command(&mut self, now: Millis) -> Option<Command> {
        loop {
            if let Some(order) = self.commands.pop_front() {
                return Some(order);
            }
            let event = self.events.pop_front()?;
            let ended = match &event {
                Event::Response(Response { job, .. }) | Event::ClientGone { job } => Some(*job),
                _ => None,
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.dispatcher.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.order(now, action);
            }
            self.actions = actions;
            if let Some(job) = ended {
                self.forget_ended(job);
            }
        }
    }

    fn order(&mut self, now: Millis, action: Action) {
        let order = match action {
            Action::Send { job, worker, timeout } => {
                self.dispatch(now, job, worker, timeout);
                return;
            }
            Action::Refuse { job, retry_after } => {
                self.answer(job, Answer::Denied { retry_after });
                return;
            }
            Action::Fail { job } => {
                self.answer(job, Answer::Failed);
                return;
            }
            Action::Cancel { job, attempt } => Command::Cancel { id: (job, attempt) },
            Action::Wake { after } => Command::Wake { after },
            Action::Watch { on } => Command::Watch { on },
            Action::FetchList => Command::FetchList,
            Action::Probe { worker } => Command::Probe { worker },
            Action::Tell { to, text } => Command::Tell { to, text },
            Action::CloseIdle { worker } => Command::CloseIdle { worker },
            Action::Log(text) => Command::Log(text),
        };
        self.commands.push_back(order);
    }

    /// Starts a dispatch, or ends it at once as moot: its job is finished, its time has run out, or it has
    /// had all its attempts. Either way the module gets one response for it.
    fn dispatch(&mut self, now: Millis, id: JobId, worker: WorkerId, timeout: Option<Millis>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let attempt = job.dispatches.len();
        let window_ends = job.first_risk().map_or(f64::INFINITY, |sent| sent + self.windows[job.class]);
        job.dispatches.push(Dispatch { sent: now, state: DispatchState::Unwritten });
        let until = timeout.filter(|&t| t != 0.0).map_or(job.deadline, |t| (now + t).min(job.deadline));
        let times = Times { leave_by: until.min(window_ends), until };
        if job.answered || now >= times.leave_by || attempt >= self.max_attempts {
            self.dispatch_ended((id, attempt), Outcome::Moot, None);
            return;
        }
        let request = Rc::clone(&job.request);
        self.commands.push_back(Command::Dispatch { id: (id, attempt), worker, request, times });
    }

    /// A dispatch that is out.
    fn out(&mut self, (job, attempt): DispatchId) -> Option<&mut Dispatch> {
        let dispatch = self.jobs.get_mut(&job)?.dispatches.get_mut(attempt)?;
        dispatch.state.is_out().then_some(dispatch)
    }

    fn answer(&mut self, id: JobId, answer: Answer) {
        // The decision module does not know which of its dispatches have left: a job that no backend server can have
        // whole is refused, whatever the module took for granted, and what is out for it is taken back.
        let never_ran = self.jobs.get(&id).is_some_and(|job| !job.request.watched && job.never_ran());
        let answer = match answer {
            Answer::Failed if never_ran => Answer::Denied { retry_after: None },
            answer => answer,
        };
        if let Some((client, class)) = self.settle(id) {
            let denied = matches!(answer, Answer::Denied { .. });
            *(if denied { &mut self.counts.denied } else { &mut self.counts.failed }) += 1;
            self.figures.ended(class, if denied { End::Throttled } else { End::Faulted });
            self.commands.push_back(Command::Answer { client, job: id, answer });
            self.take_back(id);
        }
        self.forget_ended(id);
    }

    /// What is out for a job that is owed nothing any more and has not left by now must not leave later.
    fn take_back(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let out = job.dispatches.iter().enumerate().filter(|(_, dispatch)| dispatch.state.is_out());
        self.commands.extend(out.map(|(attempt, _)| Command::TakeBack { id: (id, attempt) }));
    }

    /// Ends what is owed for a job: its client and class; `None`: nothing was.
    fn settle(&mut self, id: JobId) -> Option<(ClientId, usize)> {
        let job = self.jobs.get_mut(&id).filter(|job| !job.answered)?;
        job.answered = true;
        self.owed -= 1;
        Some((job.client, job.class))
    }

    /// Forgets an answered job once none of its dispatches is out.
    fn forget_ended(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(|job| job.answered && !job.any_out()) {
            self.jobs.remove(&id);
        }
    }
}
