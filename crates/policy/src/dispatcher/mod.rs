//! The dispatcher makes all scheduling decisions. The state and the estimates that it decides on are kept in
//! the modules next to this one.
//!
//! **Invariant.** A job gets exactly one final answer. No attempt of the job starts after that answer, nor at
//! a worker where the effect of the job's class forbids another execution.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `queues` | per-tenant queues, served by deficit round-robin |
//! | `budget` | limit on the occupied slots, adjusted by AIMD from the delay until jobs start |
//! | `placement` | choice of the worker with the lowest cost for a job |
//! | `loads` | free slots of the workers, health checks, load messages between schedulers |
//! | `workers` | updates of the worker list, slow start |
//! | `attempts` | starts, results and retries of attempts |
//! | `answers` | rejection or failure of jobs that cannot be served, cancellation of attempts |

mod answers;
mod attempts;
mod budget;
mod loads;
mod placement;
mod queues;
mod workers;

use crate::hashing::{hash, rendezvous_distance};
use crate::job::{Attempt, Job};
use crate::key_popularity::KeyPopularity;
use crate::measure::{DecayingSum, FaultScore, RunTimeEstimate, RunTimeRatio, SlownessEstimate, quantiles};
use crate::peers::{OutgoingMessage, PeerLoads, SlotsByHash, WorkerLoad, turn_position};
use crate::ready_workers::ReadyWorkers;
use crate::request_ages::RequestAges;
use crate::retry_scope::RetryScope;
use crate::slot_budget::SlotBudget;
use crate::tenant_queues::{LaneTurn, PriorityLanes, TenantQueue, tenant_queues};
use crate::tenant_quotas::{RATE_DECAY_TIME, TenantQuotas};
use crate::timer_queue::TimerQueue;
use crate::worker::{MachineKind, Worker, Zone};
use crate::{
    Action, AttemptResult, Class, DeduplicationScope, Effect, Event, JobId, ListKind, LoadReport, Millis,
    NewJob, Outcome, Readiness, ReportSource, Settings, Weights, WorkerEntry, WorkerId,
};
use attempts::RUN_TIME_WEIGHT;
use fastrand::Rng;
use std::collections::BTreeMap;

/// Interval of the periodic work: detection of overdue and overtaken attempts, health checks, expiry of other
/// schedulers' loads, and, in a small cluster, load messages.
const SWEEP_INTERVAL: Millis = 200.0;
/// The caller's clock may be rounded by up to this much.
const CLOCK_RESOLUTION: Millis = 0.01;
/// The watch of the endpoint list starts after a random delay of up to this fraction of the longest poll
/// interval. After a failure it is started again after half to one and a half times this fraction.
const WATCH_JITTER: f64 = 0.2;
/// Weight of a new observation in the moving averages of a worker.
const OBSERVATION_WEIGHT: f64 = 0.15;
/// The fastest workers need at least this fraction of a job's expected running time.
const MIN_RUN_TIME_FRACTION: f64 = 0.5;
/// Jobs leave the queue this long before their clients stop waiting.
const DEADLINE_MARGIN: Millis = 1.0;

/// Decides what is done with each job. The crate documentation shows how to drive it.
pub struct Dispatcher {
    settings: Settings,
    rng: Rng,
    workers: Vec<Worker>,
    ready: ReadyWorkers,
    zones: BTreeMap<u32, Zone>,
    tenant_queues: Vec<TenantQueue>,
    quotas: TenantQuotas,
    lanes: PriorityLanes,
    /// By lane: the tenant whose turn it is.
    lane_turns: Vec<LaneTurn>,
    budget: SlotBudget,
    /// Observed running times, by class.
    run_times: Vec<RunTimeEstimate>,
    /// Work of recently served attempts, in slot-milliseconds.
    served_work: DecayingSum,
    jobs: BTreeMap<JobId, Job>,
    job_timers: TimerQueue,
    /// When to start the watch of the endpoint list; infinite if it is not due.
    watch_at: Millis,
    sweep_at: Millis,
    /// When the timer that was last requested from the caller expires; infinite if none is set.
    timer_at: Millis,
    /// No queued job is tried before this time, as a tenant's turn ended with jobs that no worker could take.
    no_capacity_until: Millis,
    peer_loads: PeerLoads,
    key_popularity: KeyPopularity,
    /// Load messages that may be sent in a small cluster, counted per receiver. Each started attempt adds to
    /// it.
    message_credit: f64,
    /// Whether the slots in flight have changed since they were last reported to other schedulers.
    slots_changed: bool,
    machine_kinds: BTreeMap<u32, MachineKind>,
    request_ages: RequestAges,
    /// Expected running time of the arriving jobs of all classes.
    overall_run_time: RunTimeEstimate,
}

impl Dispatcher {
    /// Creates a dispatcher with an empty worker list. `seed` determines all its random choices.
    pub fn new(now: Millis, settings: Settings, seed: u64) -> Self {
        let settings = settings.normalized();
        let run_time = |class: &Class| RunTimeEstimate::assume(class.latency_objective.max(1.0));
        let lanes = PriorityLanes::new(&settings);
        let objectives: Millis = settings.classes.iter().map(|class| class.latency_objective).sum();
        let mut rng = Rng::with_seed(seed);
        let watch_delay = WATCH_JITTER * settings.max_poll_interval * rng.f64();
        Dispatcher {
            rng,
            workers: Vec::new(),
            ready: ReadyWorkers::default(),
            zones: BTreeMap::new(),
            tenant_queues: tenant_queues(&settings, lanes.count()),
            quotas: TenantQuotas::new(now, &settings),
            lane_turns: vec![LaneTurn::default(); lanes.count()],
            lanes,
            budget: budget::initial_budget(now, &settings),
            run_times: settings.classes.iter().map(run_time).collect(),
            served_work: DecayingSum::default(),
            jobs: BTreeMap::new(),
            job_timers: TimerQueue::default(),
            watch_at: if settings.list_on_request { now + watch_delay } else { f64::INFINITY },
            sweep_at: now + SWEEP_INTERVAL,
            timer_at: f64::INFINITY,
            no_capacity_until: 0.0,
            peer_loads: PeerLoads::new(now, settings.ordinal, settings.schedulers),
            key_popularity: KeyPopularity::default(),
            message_credit: 0.0,
            slots_changed: false,
            machine_kinds: BTreeMap::new(),
            request_ages: RequestAges::new(settings.classes.len()),
            overall_run_time: RunTimeEstimate::assume(objectives / settings.classes.len().max(1) as f64),
            settings,
        }
    }

    /// Processes an event that happened at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Workers { kind, entries } => self.update_workers(now, kind, entries),
            Event::Job(job) => self.enqueue_job(now, job, actions),
            Event::JobStarted { job, attempt } => self.on_job_started(now, job, attempt),
            Event::PeerMessage { from, text } => self.on_peer_message(now, from, &text),
            Event::ZoneCosts { costs } => self.settings.zone_costs = costs,
            Event::ActiveSchedulers { schedulers } => self.settings.schedulers = schedulers.max(1),
            Event::StreamOpened { job, .. } => {
                self.jobs.entry(job).and_modify(|job| job.streaming = true);
            }
            Event::AttemptEnded(result) => self.on_attempt_ended(now, result, actions),
            Event::ClientDisconnected { job } => self.on_client_disconnected(job, actions),
            Event::Timer => self.handle_timeout(now, actions),
            Event::HealthChecked { worker, report, .. } => self.on_load_report(now, worker, report),
            Event::JobProgress { .. } => {}
        }
        self.dispatch_queued_jobs(now, actions);
        self.send_aggregation_messages(now, actions);
        self.set_timer(now, actions);
    }

    fn handle_timeout(&mut self, now: Millis, actions: &mut Vec<Action>) {
        // A rounded clock may report the expiry slightly before `timer_at`.
        if now >= self.timer_at - CLOCK_RESOLUTION {
            self.timer_at = f64::INFINITY;
        }
        while let Some(id) = self.job_timers.pop_expired(now) {
            self.on_job_timer(now, id, actions);
        }
        if now >= self.budget.adjust_at {
            self.adjust_budget(now);
        }
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.record_overdue_attempts(now);
            self.cancel_overtaken_attempts(actions);
            self.exchange_loads(now, actions);
            self.check_health(now, actions);
        }
        if now >= self.watch_at {
            self.watch_at = f64::INFINITY;
            actions.push(Action::WatchEndpoints { on: true });
        }
    }

    /// Requests a timer if something is due before the timer that is already set.
    fn set_timer(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let retry_at = if self.no_capacity_until > now { self.no_capacity_until } else { f64::INFINITY };
        let next = self.job_timers.next_expiry().min(self.budget.adjust_at).min(self.sweep_at);
        let next = next.min(self.watch_at).min(retry_at);
        if next < self.timer_at {
            self.timer_at = next;
            actions.push(Action::SetTimer { after: (next - now).max(0.0) });
        }
    }

    /// How long a job can wait and still meet its latency objective.
    fn slack(&self, job: &Job) -> Millis {
        self.settings.classes[job.class].slack(job.run_time)
    }
}
