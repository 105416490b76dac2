//! The simulator's wire: JSON lines to the module's terms and back. Names here are the wire's.

use brackenledge::{
    Action, Class, Effect, Event, Group, ListKind, LoadReport, NewJob, Outcome, Readiness, Reports, Settings,
    Tenant, Weights, WorkerEntry, WorkerId,
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
        settings: Box<WireSettings>,
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
            key: ask.key,
            time_left: ask.left,
            effort: ask.effort,
            slots: ask.slots,
            memory: ask.mem,
            is_retry: ask.is_retry,
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
            launched: (self.launched > 0.0).then_some(self.launched),
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
            held: t.concurrent,
            waiting: t.depth,
            busy: t.load_share,
            free_slots: t.x0,
            free_memory: t.x1,
            errors: t.err_ps,
        }
    }
}

/// An outcome code in the module's terms.
pub fn outcome(code: u32) -> Result<Outcome, String> {
    Ok(match code {
        200 => Outcome::Ok,
        502 => Outcome::Error,
        429 => Outcome::Full,
        408 => Outcome::Timeout,
        521 => Outcome::ConnectFailed,
        520 => Outcome::Reset,
        444 => Outcome::Cancelled,
        409 => Outcome::Moot,
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
        Action::Send { job, worker, timeout } => {
            Order::Place { dispatcher, job, cap: timeout, runner: names[worker].clone() }
        }
        Action::Cancel { job, attempt } => Order::Cancel { dispatcher, job, leg: attempt },
        Action::Refuse { job, retry_after } => Order::TurnAway { dispatcher, job, retry_after },
        Action::Fail { job } => Order::ReportFailure { dispatcher, job },
        Action::Wake { after } => Order::WakeMe { dispatcher, label: "sweep", sleep_for: after },
        Action::Watch { on } => Order::StreamChanges { dispatcher, on },
        Action::FetchList => Order::GetList { dispatcher },
        Action::Probe { worker } => Order::Sample { dispatcher, runner: names[worker].clone() },
        Action::Tell { to, text } => Order::Share { dispatcher, dest: to, data: text },
        Action::CloseIdle { worker } => Order::CloseIdle { dispatcher, runner: names[worker].clone() },
        Action::Log(words) => Order::Trace { dispatcher, words },
    }
}

/// The settings of a `Boot`; keys that may be absent have the value that claims least.
#[derive(Deserialize)]
pub struct WireSettings {
    #[serde(default)]
    ordinal: u32,
    #[serde(default = "one_u32")]
    balancers: u32,
    #[serde(default)]
    zone: u32,
    classes: Vec<WireClass>,
    #[serde(default)]
    tenants: Vec<WireTenant>,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    weights: String,
    #[serde(default)]
    report: WireReport,
    #[serde(default)]
    specifics: Specifics,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    obligations: Obligations,
    #[serde(default, rename = "over-share-worth")]
    over_share_worth: f64,
    #[serde(default)]
    fees: Fees,
}

fn one_u32() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireClass {
    effect: WireEffect,
    #[serde(default)]
    group: WireGroup,
    #[serde(default)]
    window: f64,
    goal_time: f64,
    hard_limit: f64,
    aim_stretch: Option<f64>,
    #[serde(default = "one")]
    importance: f64,
    #[serde(default)]
    late_value: f64,
    #[serde(default)]
    streamed: bool,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum WireEffect {
    Pure,
    Token,
    SideEffect,
}

#[derive(Deserialize, Clone, Copy, Default)]
#[serde(rename_all = "lowercase")]
enum WireGroup {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireTenant {
    #[serde(default)]
    fraction: f64,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
struct WireReport {
    #[serde(default)]
    source: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Specifics {
    class_kind: Vec<i64>,
    class_priority: Vec<i64>,
    class_stretch: Vec<f64>,
    progress: f64,
    tells_start: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Limits {
    cancelling: bool,
    connect_timeout: f64,
    max_attempts: Option<usize>,
    max_retry_after: f64,
    peer_messages: bool,
    probes: bool,
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Obligations {
    answer_slack: f64,
    ask_within: Option<f64>,
    cold_share: f64,
    drain_grace: f64,
    fall_multiple: Option<f64>,
    overload_for: Option<f64>,
    warm_within: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Fees {
    cross_zone: f64,
    origin: f64,
    connection: f64,
    probe: f64,
}

impl From<WireSettings> for Settings {
    fn from(wire: WireSettings) -> Settings {
        let specifics = &wire.specifics;
        let class = |(index, c): (usize, &WireClass)| Class {
            effect: match c.effect {
                WireEffect::Pure => Effect::Safe,
                WireEffect::Token => Effect::Keyed,
                WireEffect::SideEffect => Effect::Unsafe,
            },
            group: match c.group {
                WireGroup::All => Group::All,
                WireGroup::Zone => Group::Zone,
                WireGroup::Cell => Group::Cell,
            },
            window: c.window,
            aim: c.goal_time,
            stretch: specifics.class_stretch.get(index).copied().or(c.aim_stretch).unwrap_or(0.0),
            deadline: c.hard_limit,
            worth: c.importance,
            late_worth: c.late_value,
            streamed: c.streamed,
            kind: specifics.class_kind.get(index).and_then(|&kind| u32::try_from(kind).ok()),
            priority: specifics.class_priority.get(index).copied().unwrap_or(0),
        };
        let base = Settings::default();
        let (limits, duties) = (&wire.limits, &wire.obligations);
        Settings {
            ordinal: wire.ordinal,
            dispatchers: wire.balancers,
            zone: wire.zone,
            classes: wire.classes.iter().enumerate().map(class).collect(),
            tenants: (wire.tenants.iter())
                .map(|t| Tenant { share: t.fraction, quota: t.quota_per_s })
                .collect(),
            list_on_request: wire.discovery == "on_request",
            weights: match wire.weights.as_str() {
                "nominal" | "rough" => Weights::Size,
                "live" => Weights::Live,
                _ => Weights::None,
            },
            reports: match wire.report.source.as_str() {
                "answers" => Reports::Answers,
                "probe" => Reports::Probes,
                _ => Reports::None,
            },
            tells_start: specifics.tells_start,
            progress_every: specifics.progress,
            cancelling: limits.cancelling,
            probes: limits.probes,
            messages: limits.peer_messages,
            second_copies: limits.second_copies,
            retry_after: limits.retry_after,
            max_retry_after: limits.max_retry_after,
            max_attempts: limits.max_attempts.unwrap_or(base.max_attempts),
            connect_timeout: limits.connect_timeout,
            answer_slack: duties.answer_slack,
            ask_within: duties.ask_within.unwrap_or(base.ask_within),
            drain_grace: duties.drain_grace,
            cold_share: duties.cold_share,
            warm_within: duties.warm_within.unwrap_or(base.warm_within),
            fall_multiple: duties.fall_multiple.unwrap_or(base.fall_multiple),
            overload_for: duties.overload_for.unwrap_or(base.overload_for),
            over_share_worth: wire.over_share_worth,
            cross_zone_fee: wire.fees.cross_zone,
            fetch_fee: wire.fees.origin,
            connection_fee: wire.fees.connection,
            probe_fee: wire.fees.probe,
        }
    }
}
