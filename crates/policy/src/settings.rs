//! What a dispatcher is told at its start: the classes of jobs, the tenants, and what workers and schedulers can do.

mod document;

use crate::units::Millis;
pub use document::SettingsDocument;

/// Whether a job may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be executed any number of times.
    Repeatable,
    /// Carries an idempotency key, by which the workers of one scope drop retries for a while.
    Idempotent,
    /// Must never be executed twice.
    NonIdempotent,
}

/// Which workers recognise one another's idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// One class of jobs.
#[derive(Clone, Debug)]
pub struct Class {
    /// Whether its jobs may be executed more than once.
    pub effect: Effect,
    /// For idempotent classes: which workers drop retries.
    pub deduplication_scope: DeduplicationScope,
    /// For idempotent classes: how long they do, from the start of the first attempt that may have run.
    pub deduplication_window: Millis,
    /// An answer within this, plus `stretch` times the job's own running time, earns the full weight.
    pub latency_objective: Millis,
    /// How much of its own running time is added to a job's latency objective.
    pub stretch: f64,
    /// After this long the client stops waiting.
    pub deadline: Millis,
    /// What one answer is worth, in comparison with other classes.
    pub priority_weight: f64,
    /// The fraction of the weight that an answer between latency objective and deadline earns.
    pub late_weight: f64,
    /// The answer is streamed.
    pub streamed: bool,
    /// The only machine kind that runs this class; `None`: any.
    pub kind: Option<u32>,
    /// Its priority in a worker's queue.
    pub priority: i64,
}

impl Class {
    /// How long a job of this running time can wait and still be in time. The latency objective grows with it.
    pub(crate) fn slack(&self, run_time: Millis) -> Millis {
        (self.latency_objective + (self.stretch - 1.0).max(0.0) * run_time).max(1.0)
    }
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its fraction of the capacity, 0 to 1.
    pub quota_fraction: f64,
    /// Jobs a second, over all schedulers, that lie within its quota; 0: it has none.
    pub quota_per_second: f64,
}

/// What the weights of listed workers mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Nothing.
    None,
    /// The worker's size, exact or approximate.
    Size,
    /// The size, divided by one more than the requests in flight per core a while ago.
    Live,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// There are none.
    None,
    /// They come with responses and with health checks.
    Responses,
    /// They come with health checks alone.
    HealthChecks,
}

/// All that a dispatcher is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This scheduler's number among them, from 0.
    pub ordinal: u32,
    /// How many schedulers share the workers.
    pub schedulers: u32,
    /// The zone of this scheduler.
    pub zone: u32,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// The tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// The endpoint list comes only on request.
    pub list_on_request: bool,
    /// What listed weights mean.
    pub weights: Weights,
    /// Where load reports come from.
    pub report_source: ReportSource,
    /// Workers report when a job starts.
    pub reports_job_start: bool,
    /// Workers start jobs in the order of their arrival.
    pub starts_in_order: bool,
    /// Time between progress reports of a running job; 0: there are none.
    pub progress_interval: Millis,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Workers answer health checks.
    pub health_checks: bool,
    /// Schedulers may send one another messages.
    pub peer_messages: bool,
    /// A job may have two attempts in flight at once.
    pub hedged_requests: bool,
    /// Rejected clients are told how long to wait before a retry.
    pub retry_after: bool,
    /// The longest such wait that clients respect.
    pub max_retry_after: Millis,
    /// Attempts allowed for one job.
    pub max_attempts: usize,
    /// Establishing a connection takes no longer than this.
    pub connect_timeout: Millis,
    /// How long after a client's deadline a final answer still counts.
    pub answer_slack: Millis,
    /// Where the list comes on request: longest time between polls without a watch.
    pub max_poll_interval: Millis,
    /// How long after it was reported as draining or gone a worker may still be sent jobs.
    pub drain_grace: Millis,
    /// The fraction of its capacity that a worker has at its start.
    pub initial_capacity_fraction: f64,
    /// How long a worker takes to reach its full capacity.
    pub warm_up_duration: Millis,
    /// A worker that is warming up fails when it is sent more than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... over this long.
    pub overload_duration: Millis,
    /// The priority weight of a job beyond its tenant's quota, as a fraction of its class's.
    pub over_quota_weight: f64,
    /// Cost of an attempt that crosses zones.
    pub cross_zone_fee: f64,
    /// What a worker of each zone costs by the traffic plan, in latency objectives; empty: there is no plan.
    pub zone_costs: Vec<f64>,
    /// Cost of an open connection, per hundred a worker.
    pub connection_fee: f64,
    /// Cost of a health check for every job.
    pub health_check_fee: f64,
}

/// What a worker of another zone costs where there is no traffic plan, in latency objectives.
const CROSS_ZONE_COST: f64 = 0.05;

impl Settings {
    /// The same with at least one scheduler and one tenant, which has no quota.
    pub(crate) fn complete(mut self) -> Self {
        self.schedulers = self.schedulers.max(1);
        if self.tenants.is_empty() {
            self.tenants.push(Tenant { quota_fraction: 1.0, quota_per_second: 0.0 });
        }
        self
    }

    /// What an answer to a job of this class is worth.
    pub(crate) fn weight(&self, class: usize, is_within_quota: bool, is_late: bool) -> f64 {
        let Class { priority_weight, late_weight, .. } = self.classes[class];
        let of_quota = if is_within_quota { 1.0 } else { self.over_quota_weight };
        let of_lateness = if is_late { late_weight } else { 1.0 };
        priority_weight * of_quota * of_lateness
    }

    /// The fraction of its capacity that a worker has for certain this long after its start; 1 once it has warmed up.
    pub(crate) fn capacity_fraction(&self, age: Millis) -> f64 {
        let warmed_up = (age / self.warm_up_duration.max(1.0)).clamp(0.0, 1.0);
        let initial = self.initial_capacity_fraction;
        initial + (1.0 - initial) * warmed_up
    }

    /// What a worker of this zone costs for its zone, in latency objectives.
    pub fn cross_zone_cost(&self, zone: u32) -> f64 {
        let unplanned = if zone == self.zone { 0.0 } else { CROSS_ZONE_COST };
        self.zone_costs.get(zone as usize).copied().unwrap_or(unplanned)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            ordinal: 0,
            schedulers: 1,
            zone: 0,
            classes: vec![Class::default()],
            tenants: Vec::new(),
            list_on_request: false,
            weights: Weights::None,
            report_source: ReportSource::None,
            reports_job_start: false,
            starts_in_order: false,
            progress_interval: 0.0,
            cancellation: false,
            health_checks: false,
            peer_messages: false,
            hedged_requests: false,
            retry_after: false,
            max_retry_after: 0.0,
            max_attempts: 1,
            connect_timeout: 250.0,
            answer_slack: 5.0,
            max_poll_interval: 10_000.0,
            drain_grace: 0.0,
            initial_capacity_fraction: 0.1,
            warm_up_duration: 30_000.0,
            overload_multiple: 2.0,
            overload_duration: 1_000.0,
            over_quota_weight: 0.1,
            cross_zone_fee: 0.0,
            zone_costs: Vec::new(),
            connection_fee: 0.0,
            health_check_fee: 0.0,
        }
    }
}

impl Default for Class {
    fn default() -> Self {
        Class {
            effect: Effect::NonIdempotent,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window: 0.0,
            latency_objective: 1_000.0,
            stretch: 0.0,
            deadline: 10_000.0,
            priority_weight: 1.0,
            late_weight: 0.0,
            streamed: false,
            kind: None,
            priority: 0,
        }
    }
}
