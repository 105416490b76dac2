//! Every decision of a dispatcher; what it only remembers or measures stands beside this module.
//!
//! **Invariant.** A job gets one final answer. No attempt of it starts after that, or at a worker where its
//! class's effect forbids a further execution.
//!
//! Jobs queue by tenant (`queues`); deficit round-robin takes them into a budget of slots, which AIMD adjusts
//! by the delay until jobs start (`budget`); each job goes to the worker of least cost (`placement`, `loads`,
//! `workers`); attempts that fail are retried (`attempts`), and jobs that can't be served are answered
//! (`answers`).
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

const SWEEP_INTERVAL: Millis = 200.0; // between looks at late attempts, and load messages of a small cluster
const CLOCK_RESOLUTION: Millis = 0.01; // a driver's clock may be rounded by as much
const POLL_SPREAD: f64 = 0.2; // of the longest interval: when the first poll, or one after a failure, is made
const OBSERVATION_WEIGHT: f64 = 0.15; // of one more observation of a worker
const LEAST_RUN_TIME: f64 = 0.5; // fraction of the expected running time that fast workers need at least
const DEADLINE_MARGIN: Millis = 1.0; // queued jobs end this long before clients stop waiting

/// A dispatcher. See the crate's page for how to drive it.
pub struct Dispatcher {
    settings: Settings,
    rng: Rng,
    workers: Vec<Worker>,
    ready: ReadyWorkers,
    zones: BTreeMap<u32, Zone>,
    tenant_queues: Vec<TenantQueue>,
    quotas: TenantQuotas,
    lanes: PriorityLanes,
    turns: Vec<LaneTurn>,
    budget: SlotBudget,
    run_times: Vec<RunTimeEstimate>, // by class
    served_work: DecayingSum,        // in slot-milliseconds
    jobs: BTreeMap<JobId, Job>,
    job_timers: TimerQueue,
    poll_at: Millis,
    sweep_at: Millis,
    timer_at: Millis,          // the driver's timer that was set last
    no_capacity_until: Millis, // no worker had capacity a moment ago: queued jobs wait until then
    peer_loads: PeerLoads,
    key_popularity: KeyPopularity,
    message_credit: f64, // load messages that attempts have paid for
    slots_changed: bool, // those in flight, since they were last stated to others
    kinds: BTreeMap<u32, MachineKind>,
    request_ages: RequestAges,
    expected_run_times: RunTimeEstimate, // of all jobs, before they run
}

impl Dispatcher {
    /// A dispatcher that knows nothing yet.
    pub fn new(now: Millis, settings: Settings, seed: u64) -> Self {
        let settings = settings.normalized();
        let run_time = |class: &Class| RunTimeEstimate::assume(class.latency_objective.max(1.0));
        let lanes = PriorityLanes::new(&settings);
        let objectives: Millis = settings.classes.iter().map(|class| class.latency_objective).sum();
        let mut rng = Rng::with_seed(seed);
        let poll_delay = POLL_SPREAD * settings.max_poll_interval * rng.f64();
        Dispatcher {
            rng,
            workers: Vec::new(),
            ready: ReadyWorkers::default(),
            zones: BTreeMap::new(),
            tenant_queues: tenant_queues(&settings, lanes.count()),
            quotas: TenantQuotas::new(now, &settings),
            turns: vec![LaneTurn::default(); lanes.count()],
            lanes,
            budget: budget::initial_budget(now, &settings),
            run_times: settings.classes.iter().map(run_time).collect(),
            served_work: DecayingSum::default(),
            jobs: BTreeMap::new(),
            job_timers: TimerQueue::default(),
            poll_at: if settings.list_on_request { now + poll_delay } else { f64::INFINITY },
            sweep_at: now + SWEEP_INTERVAL,
            timer_at: f64::INFINITY,
            no_capacity_until: 0.0,
            peer_loads: PeerLoads::new(now, settings.ordinal, settings.schedulers),
            key_popularity: KeyPopularity::default(),
            message_credit: 0.0,
            slots_changed: false,
            kinds: BTreeMap::new(),
            request_ages: RequestAges::new(settings.classes.len()),
            expected_run_times: RunTimeEstimate::assume(objectives / settings.classes.len().max(1) as f64),
            settings,
        }
    }

    /// Takes in an event and appends the actions that follow from it.
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
        // A timer that expires a clock's resolution early is the one that was set.
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
        if now >= self.poll_at {
            self.poll_at = f64::INFINITY;
            actions.push(Action::WatchEndpoints { on: true });
        }
    }

    /// Keeps one timer set for whatever is due next.
    fn set_timer(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let retry_at = if self.no_capacity_until > now { self.no_capacity_until } else { f64::INFINITY };
        let next = self.job_timers.next_expiry().min(self.budget.adjust_at).min(self.sweep_at);
        let next = next.min(self.poll_at).min(retry_at);
        if next < self.timer_at {
            self.timer_at = next;
            actions.push(Action::SetTimer { after: (next - now).max(0.0) });
        }
    }

    /// How long a job can wait and still be in time.
    fn slack(&self, job: &Job) -> Millis {
        self.settings.classes[job.class].slack(job.run_time)
    }
}
