//! The settings that a dispatcher starts with: the classes of jobs, the tenants, and what workers and
//! schedulers can do.

mod document;

use crate::units::Millis;
pub use document::SettingsDocument;

/// Whether a job may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be executed any number of times.
    Repeatable,
    /// Carries an idempotency key. The workers of one deduplication scope discard retries with the same key
    /// during the deduplication window.
    Idempotent,
    /// Must not be executed twice.
    NonIdempotent,
}

/// The set of workers that recognise one another's idempotency keys.
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
    /// For idempotent classes: the workers that discard retries of a job that one of them has received.
    pub deduplication_scope: DeduplicationScope,
    /// For idempotent classes: how long workers discard retries, counted from the start of the first attempt
    /// that may have run.
    pub deduplication_window: Millis,
    /// An answer within this time, plus `stretch` times the job's own running time, earns the full weight.
    pub latency_objective: Millis,
    /// Multiple of a job's own running time that is added to its latency objective. The dispatcher treats
    /// values below 1 as 1.
    pub stretch: f64,
    /// How long a client waits for an answer.
    pub deadline: Millis,
    /// The value of one answer relative to other classes.
    pub priority_weight: f64,
    /// The fraction of the weight that an answer between the latency objective and the deadline earns.
    pub late_weight: f64,
    /// Whether the answer is streamed.
    pub streamed: bool,
    /// The only machine kind that runs this class; `None` if any kind does.
    pub kind: Option<u32>,
    /// Priority of its jobs in a worker's queue.
    pub priority: i64,
}

impl Class {
    /// How long a job with this running time can wait and still meet its latency objective, which grows with
    /// the running time.
    pub(crate) fn slack(&self, run_time: Millis) -> Millis {
        (self.latency_objective + (self.stretch - 1.0).max(0.0) * run_time).max(1.0)
    }
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its fraction of the capacity, 0 to 1.
    pub quota_fraction: f64,
    /// Its quota in jobs per second, summed over all schedulers; 0 if it has none.
    pub quota_per_second: f64,
}

/// Meaning of the weights in the worker list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// The weights are ignored.
    None,
    /// The worker's size, exact or approximate.
    Size,
    /// The worker's size divided by one plus its requests in flight per core, as of some time ago.
    Live,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// Workers send no load reports.
    None,
    /// Load reports come with responses and with health checks.
    Responses,
    /// Load reports come only with health checks.
    HealthChecks,
}

/// The settings of a dispatcher. They are fixed at its start, except that events update
/// [`Settings::schedulers`] and [`Settings::zone_costs`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// This scheduler's number, counted from 0.
    pub ordinal: u32,
    /// The number of schedulers that share the workers.
    pub schedulers: u32,
    /// The zone of this scheduler.
    pub zone: u32,
    /// The classes; a class is identified by its index.
    pub classes: Vec<Class>,
    /// The tenants, identified by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// The endpoint list is sent only on request, so the dispatcher has to poll it or open a watch.
    pub list_on_request: bool,
    /// Meaning of the weights in the worker list.
    pub weights: Weights,
    /// Where load reports come from.
    pub report_source: ReportSource,
    /// Workers report when a job starts.
    pub reports_job_start: bool,
    /// Workers start jobs in order of arrival.
    pub starts_in_order: bool,
    /// Time between progress reports of a running job; 0 if workers send none.
    pub progress_interval: Millis,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Workers answer health checks.
    pub health_checks: bool,
    /// Schedulers may send messages to one another.
    pub peer_messages: bool,
    /// A job may have two attempts in flight at once.
    pub hedged_requests: bool,
    /// Clients whose job is rejected are told how long to wait before a retry.
    pub retry_after: bool,
    /// The longest such wait that clients respect.
    pub max_retry_after: Millis,
    /// The maximum number of attempts for one job.
    pub max_attempts: usize,
    /// Timeout for establishing a connection.
    pub connect_timeout: Millis,
    /// Grace period after a client's deadline in which a final answer still counts.
    pub answer_slack: Millis,
    /// If the list is sent only on request: the longest time between two polls while no watch is open.
    pub max_poll_interval: Millis,
    /// How long a worker may still be sent jobs after it was reported as draining or gone.
    pub drain_grace: Millis,
    /// The fraction of its capacity that a worker has when it starts.
    pub initial_capacity_fraction: f64,
    /// How long a worker takes to reach its full capacity.
    pub warm_up_duration: Millis,
    /// A worker that is warming up fails when it is sent more than this multiple of its current capacity for
    /// `overload_duration`.
    pub overload_multiple: f64,
    /// See `overload_multiple`.
    pub overload_duration: Millis,
    /// The priority weight of a job beyond its tenant's quota, as a fraction of its class's weight.
    pub over_quota_weight: f64,
    /// Cost of an attempt that crosses zones.
    pub cross_zone_fee: f64,
    /// Placement cost of a worker in each zone according to the traffic plan, by zone number and in latency
    /// objectives; empty if there is no plan.
    pub zone_costs: Vec<f64>,
    /// Cost of open connections, for an average of one hundred per worker.
    pub connection_fee: f64,
    /// Cost of health checks, for an average of one per job.
    pub health_check_fee: f64,
}

/// Placement cost of a worker in another zone when there is no traffic plan, in latency objectives.
const CROSS_ZONE_COST: f64 = 0.05;

impl Settings {
    /// Ensures that there is at least one scheduler and one tenant. A tenant that is added here has no quota.
    pub(crate) fn normalized(mut self) -> Self {
        self.schedulers = self.schedulers.max(1);
        if self.tenants.is_empty() {
            self.tenants.push(Tenant { quota_fraction: 1.0, quota_per_second: 0.0 });
        }
        self
    }

    /// The value of an answer to a job of this class.
    pub(crate) fn answer_weight(&self, class: usize, is_within_quota: bool, is_late: bool) -> f64 {
        let Class { priority_weight, late_weight, .. } = self.classes[class];
        let quota_factor = if is_within_quota { 1.0 } else { self.over_quota_weight };
        let lateness_factor = if is_late { late_weight } else { 1.0 };
        priority_weight * quota_factor * lateness_factor
    }

    /// The fraction of its capacity that a worker is certain to have at this age; 1 once it has warmed up.
    pub(crate) fn capacity_fraction(&self, age: Millis) -> f64 {
        let warmed_up = (age / self.warm_up_duration.max(1.0)).clamp(0.0, 1.0);
        let initial = self.initial_capacity_fraction;
        initial + (1.0 - initial) * warmed_up
    }

    /// Placement cost of a worker in this zone, in latency objectives.
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
