//! The simulator's wire: JSON lines to the module's terms and back. Names here are the wire's.

use brackenledge_policy::settings::SettingsDocument;
use brackenledge_policy::{
    Action, Event, ListKind, LoadReport, NewJob, Outcome, Readiness, WorkerEntry, WorkerId,
};
use serde::{Deserialize, Serialize};

/// One line in.
#[derive(Deserialize)]
pub struct Batch {
    #[serde(rename = "sim-time")]
    pub sim_time: f64,
    pub round: u64,
    pub happened: Vec<Happening>,
}

/// One line out.
#[derive(Serialize)]
pub struct Reply<'a> {
    pub round: u64,
    pub outbox: &'a [Order],
}

/// An event as the wire has it.
#[derive(Deserialize)]
pub enum Happening {
    Directory {
        slot: usize,
        #[serde(rename = "members-list")]
        members: Vec<Member>,
    },
    Boot {
        dispatcher: String,
        #[serde(rename = "rng-seed")]
        seed: u64,
        settings: Box<SettingsDocument>,
    },
    Kill {
        dispatcher: String,
    },
    BackendsChanged {
        dispatcher: String,
        kind: WireListKind,
        slot: Option<usize>,
    },
    Ask(Ask),
    Opened {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        leg: usize,
    },
    Change {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        leg: usize,
        sort: u32,
        #[serde(default)]
        value: f64,
    },
    Response {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        leg: usize,
        code: u32,
        #[serde(default)]
        settled: bool,
        telemetry: Option<Telemetry>,
    },
    TimedOutClient {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
    },
    Timer {
        dispatcher: String,
    },
    StatusBack {
        dispatcher: String,
        runner: String,
        code: u32,
        telemetry: Option<Telemetry>,
    },
    Inbox {
        dispatcher: String,
        from: u32,
        data: String,
    },
}

impl Happening {
    /// The instance that the event is for; a directory is for all.
    pub fn dispatcher(&self) -> Option<&str> {
        match self {
            Happening::Directory { .. } => None,
            Happening::Boot { dispatcher, .. }
            | Happening::Kill { dispatcher }
            | Happening::BackendsChanged { dispatcher, .. }
            | Happening::Ask(Ask { dispatcher, .. })
            | Happening::Opened { dispatcher, .. }
            | Happening::Change { dispatcher, .. }
            | Happening::Response { dispatcher, .. }
            | Happening::TimedOutClient { dispatcher, .. }
            | Happening::Timer { dispatcher }
            | Happening::StatusBack { dispatcher, .. }
            | Happening::Inbox { dispatcher, .. } => Some(dispatcher),
        }
    }
}

/// A request that has come in.
#[derive(Deserialize)]
pub struct Ask {
    pub dispatcher: String,
    #[serde(rename = "op-id")]
    job: u32,
    category: usize,
    #[serde(default)]
    realm: usize,
    #[serde(rename = "name-key")]
    key: Option<String>,
    left: f64,
    effort: Option<f64>,
    #[serde(default = "one")]
    slots: f64,
    #[serde(default)]
    mem: f64,
    #[serde(default, rename = "is-retry")]
    is_retry: bool,
}

fn one() -> f64 {
    1.0
}

impl From<Ask> for Event {
    fn from(ask: Ask) -> Event {
        Event::Job(NewJob {
            id: ask.job,
            class: ask.category,
            tenant: ask.realm,
            affinity_key: ask.key,
            time_left: ask.left,
            expected_run_time: ask.effort,
            slots: ask.slots,
            memory: ask.mem,
            is_retry: ask.is_retry,
            prior_execution: None,
        })
    }
}

/// The kinds of list event.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub enum WireListKind {
    Delta,
    Full,
    Cached,
    Failed,
}

impl From<WireListKind> for ListKind {
    fn from(kind: WireListKind) -> ListKind {
        match kind {
            WireListKind::Delta => ListKind::Delta,
            WireListKind::Full => ListKind::Full,
            WireListKind::Cached => ListKind::Cached,
            WireListKind::Failed => ListKind::Failed,
        }
    }
}

/// A directory entry.
#[derive(Deserialize)]
pub struct Member {
    pub runner: String,
    #[serde(default)]
    area: u32,
    #[serde(default)]
    kind: u32,
    #[serde(default)]
    pack: u32,
    readiness: WireReadiness,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    launched: f64,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum WireReadiness {
    Active,
    Leaving,
    Left,
}

impl Member {
    /// This line in the module's terms, for an instance that numbers the runner `id`.
    pub fn entry(&self, id: WorkerId) -> WorkerEntry {
        WorkerEntry {
            id,
            name: self.runner.clone(),
            zone: self.area,
            kind: self.kind,
            cell: self.pack,
            readiness: match self.readiness {
                WireReadiness::Active => Readiness::Ready,
                WireReadiness::Leaving => Readiness::Draining,
                WireReadiness::Left => Readiness::Gone,
            },
            weight: self.weight,
            started_at: (self.launched > 0.0).then_some(self.launched),
            drain_probability: 0.0,
        }
    }
}

/// A load report.
#[derive(Deserialize)]
pub struct Telemetry {
    concurrent: Option<f64>,
    depth: Option<f64>,
    load_share: Option<f64>,
    err_ps: Option<f64>,
    x0: Option<f64>,
    x1: Option<f64>,
}

impl From<Telemetry> for LoadReport {
    fn from(t: Telemetry) -> LoadReport {
        LoadReport {
            in_flight: t.concurrent,
            queued: t.depth,
            utilization: t.load_share,
            free_slots: t.x0,
            free_memory: t.x1,
            errors_per_second: t.err_ps,
        }
    }
}

/// An outcome code in the module's terms.
pub fn outcome(code: u32) -> Result<Outcome, String> {
    Ok(match code {
        200 => Outcome::Served,
        502 => Outcome::WorkerError,
        429 => Outcome::Full,
        408 => Outcome::Timeout,
        521 => Outcome::ConnectFailed,
        520 => Outcome::Reset,
        444 => Outcome::Cancelled,
        409 => Outcome::NeverSent,
        other => return Err(format!("unknown outcome code {other}")),
    })
}

/// An action as the wire has it.
#[derive(Serialize)]
pub enum Order {
    Place {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        #[serde(skip_serializing_if = "Option::is_none")]
        cap: Option<f64>,
        runner: String,
    },
    Cancel {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        leg: usize,
    },
    TurnAway {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
        #[serde(rename = "retry-after", skip_serializing_if = "Option::is_none")]
        retry_after: Option<f64>,
    },
    ReportFailure {
        dispatcher: String,
        #[serde(rename = "op-id")]
        job: u32,
    },
    WakeMe {
        dispatcher: String,
        label: &'static str,
        #[serde(rename = "sleep-for")]
        sleep_for: f64,
    },
    StreamChanges {
        dispatcher: String,
        on: bool,
    },
    GetList {
        dispatcher: String,
    },
    Sample {
        dispatcher: String,
        runner: String,
    },
    Share {
        dispatcher: String,
        dest: Option<u32>,
        data: String,
    },
    CloseIdle {
        dispatcher: String,
        runner: String,
    },
    Trace {
        dispatcher: String,
        words: String,
    },
    Fatal {
        dispatcher: String,
        words: String,
    },
}

impl Order {
    /// The instance that gives the order.
    pub fn dispatcher(&self) -> &str {
        match self {
            Order::Place { dispatcher, .. }
            | Order::Cancel { dispatcher, .. }
            | Order::TurnAway { dispatcher, .. }
            | Order::ReportFailure { dispatcher, .. }
            | Order::WakeMe { dispatcher, .. }
            | Order::StreamChanges { dispatcher, .. }
            | Order::GetList { dispatcher }
            | Order::Sample { dispatcher, .. }
            | Order::Share { dispatcher, .. }
            | Order::CloseIdle { dispatcher, .. }
            | Order::Trace { dispatcher, .. }
            | Order::Fatal { dispatcher, .. } => dispatcher,
        }
    }
}

/// An action of the instance `dispatcher`, whose runners are called `names`.
pub fn order(dispatcher: &str, names: &[String], action: Action) -> Order {
    let dispatcher = dispatcher.to_owned();
    match action {
        Action::StartAttempt { job, worker, timeout } => {
            Order::Place { dispatcher, job, cap: timeout, runner: names[worker].clone() }
        }
        Action::CancelAttempt { job, attempt } => Order::Cancel { dispatcher, job, leg: attempt },
        Action::Reject { job, retry_after } => Order::TurnAway { dispatcher, job, retry_after },
        Action::Fail { job } => Order::ReportFailure { dispatcher, job },
        Action::SetTimer { after } => Order::WakeMe { dispatcher, label: "sweep", sleep_for: after },
        Action::WatchEndpoints { on } => Order::StreamChanges { dispatcher, on },
        Action::PollEndpoints => Order::GetList { dispatcher },
        Action::HealthCheck { worker } => Order::Sample { dispatcher, runner: names[worker].clone() },
        Action::SendMessage { to, text } => Order::Share { dispatcher, dest: to, data: text },
        Action::CloseIdleConnections { worker } => {
            Order::CloseIdle { dispatcher, runner: names[worker].clone() }
        }
        Action::Log(words) => Order::Trace { dispatcher, words },
    }
}
