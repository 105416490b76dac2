//! Every decision of a dispatcher. Its settings, events and actions are defined beside it.
//! Jobs queue per tenant, deficit round-robin drains them into a slot budget, AIMD tunes that budget by the
//! delay until jobs start, and each job goes to an idle worker first.
mod answers;
mod attempts;
mod budget;
mod membership;
mod placement;
mod queues;
use crate::action::Action;
use crate::event::{AttemptResult, Event, LoadReport, NewJob, Outcome, PriorExecution};
use crate::job::{Attempt, Job};
use crate::keys::KeyShares;
use crate::measure::{DecayingSum, Due, ReadySet, RunTime, Slowness, Trouble, distance, hash, quantiles};
use crate::peers::{Peers, turn};
use crate::settings::{Class, DeduplicationScope, Effect, Settings, Tenant, Weights};
use crate::shares::{RATE_TIME, Shares};
use crate::tenants::{LANES, TenantQueue, tenant_queues};
use crate::units::{JobId, Millis, WorkerId};
use crate::worker_list::{ListKind, Readiness, WorkerEntry};
use attempts::Resend;
use fastrand::Rng;
use std::collections::{BTreeMap, VecDeque};

// Budget. The post's figures are kept where one gateway was meant; per-worker caps are split by dispatchers.
const CAP_FLOOR: f64 = 1.0; // slots per worker, all dispatchers together; cutting below it relieves nothing
const CAP_CEILING: f64 = 8.0; // same unit; what calm times grew meets the next burst, and workers queue it
const TICK: Millis = 1_000.0; // the post's 5 s is a tenth of the troubles' length here
const WINDOW: Millis = 6_000.0; // delays older than this say nothing of the present
const HOLD_TICKS: u32 = 1; // after a cut; with more, bursts end before the budget fits them
const QUANTILE: f64 = 0.8; // of the delays; the post's p99 is the single worst of a quiet window
const BAND: (f64, f64) = (0.8, 1.2); // of the aim: below grow, above cut
const CUT: f64 = 0.8; // the post found a half too much; every dispatcher cuts at once here
const GROW: f64 = 0.5; // slots per worker and tick, all dispatchers together
const GROW_BOUND: f64 = 0.25; // part of itself that a budget grows by when it held jobs back
const EVIDENCE: usize = 20; // delays needed before a cut
const FULL_DELAY: f64 = 2.0; // a 'full' answer's delay, in aims
const BASE_RISE: f64 = 1.0005; // per job, by which the shortest running time is forgotten
const FLOOR_LOAD: (f64, f64) = (0.8, 1.5); // slots for work within shares: times its mean, its root
const OVER_MOST: f64 = 0.7; // part of the budget open to work beyond shares, at most and first
const OVER_STEPS: (f64, f64) = (0.05, 0.5); // by which that part grows a tick, and its cut
const OVER_QUANTILE: f64 = 0.95; // of the delays of work within shares: spare room is what leaves it in time

// Tenant queues.
const GRANT: f64 = 0.2; // aims that a job may wait for a grant: held longer, it starts too late to be in time
const STUCK: Millis = 5.0; // before jobs that no worker could take are tried again
const LOOK_PAST: usize = 4; // queued jobs tried behind one that no worker can take now

// Placement. Costs are in milliseconds of expected delay.
const SCAN_MOST: usize = 96; // workers taken at random for one job, and this many of the nearest to its key:
const SCAN_HOMES: f64 = 8.0;
const OWN_STEP: f64 = 0.25; // running times that each own slot on a worker counts for
const SPEED_PART: (f64, f64) = (0.1, 2.0); // weight of a slower run: while in time, and beyond
const TROUBLE_COST: f64 = 10.0; // aims that a worker sure to fail counts for
const DOUBT_COST: f64 = 1.0; // aims that a server sure to drain unheard counts for
const FETCH_COST: f64 = 2.5; // running times that fetching what a key needs counts for: it holds a slot
const HOME_MARGIN: f64 = 2.5; // homes of a key, over its part of the work times the ready workers
const KEPT_PART: f64 = 0.2; // of that cost where the worker got a job with this key lately
const ADMIT: f64 = 0.8; // part of the slack that the wait told by sums may take; longer waits make all late
const STALE: Millis = 300.0; // in which sums grow old, and what was sent since is on its way
const KEPT: usize = 4; // keys that a worker is taken to keep of those we sent it
const FRESH_GAIN: f64 = 0.2; // running times that a slot freed just now is better by
const FULL_DOUBLINGS: u32 = 4; // of the wait after a 'full', at most
const MESSAGES: f64 = 1.0; // load messages, counted by receiver, that each job sent pays for: they are short
const HEARD_LIFE: Millis = 1_500.0; // what another dispatcher told counts for so long
const REPORT_LIFE: Millis = 3_000.0; // a report older than this counts for nothing
const LEARN: f64 = 0.15; // weight of one more observation of a worker
const ZONE_STEP: f64 = 0.05; // distrust of a zone for each connection that failed there
const OVERTAKEN: Millis = 300.0; // by which a job that started was sent later than one that did not
const SLOW_LIFE: Millis = 6_000.0; // in which slowness that is not seen any more fades to a third
const OVERDUE: f64 = 3.0; // usual running times after which a job tells against its worker
const SLOW_MOST: f64 = 10.0; // usual running times that a job counts for at most

// Cold workers, list calls, answers.
const COLD_MARGIN: f64 = 0.4; // part of the cold allowance used: sizes differ, and estimates err
const COLD_TAKERS: f64 = 0.3; // part of a span's jobs that dispatchers may send at a time, one each
const COLD_LUMP: f64 = 0.75; // largest job for a cold worker, as part of all that it may be sent in a span
const ASK_SPREAD: f64 = 0.2; // part of ask-within in which the first call, or one after a failure, is made
const SWEEP: Millis = 200.0; // between looks at overdue attempts, and load messages
const CLOCK_STEP: Millis = 0.01; // timers may be rounded by as much
const DEADLINE_MARGIN: Millis = 1.0; // queued jobs end this long before the client gives up

#[derive(Default)]
struct Worker {
    hash: u64,
    zone: u32,
    kind: u32,
    cell: u32,
    readiness: Readiness,
    size: f64,
    started_at: Option<Millis>,
    drain_probability: f64,
    /// Slots that our attempts hold here, and those of them not known to have started.
    own: f64,
    unstarted: f64,
    /// Running time here over the usual one, less 1, as last seen and when.
    slowness: Slowness,
    trouble: Trouble,
    /// Wait for a start as last seen, fading.
    wait: DecayingSum,
    freed_at: Millis,
    /// When the job that started last of all was sent here.
    start_sent: Millis,
    full_until: Millis,
    fulls: u32,
    /// Slots in all, and those that others held, as last reported.
    slots: f64,
    others: f64,
    reported_at: Millis,
    /// Keys of the jobs sent here last, the latest first: what they need is most likely still here.
    keys: VecDeque<u64>,
    /// Work that it may still be sent while cold.
    allowance: f64,
    allowance_at: Millis,
}

impl Worker {
    /// Slots held here as the others are told; what failed counts too.
    fn shown(&self, now: Millis) -> f64 {
        self.own + self.trouble.slots(now)
    }
}

/// A zone's connect failures, fading, and the shortest time seen from sending to the note of a start.
#[derive(Default)]
struct Zone {
    trouble: DecayingSum,
    trip: Option<Millis>,
}

#[derive(Default)]
struct Budget {
    cap: f64,
    used: f64,
    delays: VecDeque<(Millis, f64)>,
    tick_at: Millis,
    hold: u32,
    bound: bool,
    /// Work that arrived within shares, in slot-milliseconds, and the slots that it needs.
    within: DecayingSum,
    floor: f64,
    /// Part of the budget open to work beyond a tenant's share.
    over: f64,
}

/// A dispatcher. See the crate's page for how to drive it.
pub struct Dispatcher {
    settings: Settings,
    rng: Rng,
    workers: Vec<Worker>,
    ready: ReadySet,
    zones: BTreeMap<u32, Zone>,
    tenants: Vec<TenantQueue>,
    shares: Shares,
    turn: [usize; LANES],
    visited: [bool; LANES],
    budget: Budget,
    runs: Vec<RunTime>,
    work_done: DecayingSum,
    jobs: BTreeMap<JobId, Job>,
    due: Due,
    ask_at: Millis,
    sweep_at: Millis,
    peers: Peers,
    key_shares: KeyShares,
    message_credit: f64,
    /// What we hold has changed since it was told.
    changed: bool,
    kind_slots: BTreeMap<u32, f64>,
    armed: Millis,
    stuck_until: Millis,
}

impl Dispatcher {
    /// A dispatcher that knows nothing yet.
    pub fn new(now: Millis, settings: Settings, seed: u64) -> Self {
        let mut settings = Settings { schedulers: settings.schedulers.max(1), ..settings };
        if settings.tenants.is_empty() {
            settings.tenants.push(Tenant { quota_fraction: 1.0, quota_per_second: 0.0 });
        }
        // Low at first, it would turn away the load that comes to a restarted dispatcher as others stop.
        let cap = CAP_CEILING / if settings.peer_messages { 1.0 } else { f64::from(settings.schedulers) };
        let tenants = tenant_queues(&settings);
        let runs =
            settings.classes.iter().map(|class| RunTime::guess(class.latency_objective.max(1.0))).collect();
        let budget = Budget { cap, tick_at: now + TICK, over: OVER_MOST, ..Budget::default() };
        let mut rng = Rng::with_seed(seed);
        let ask_in = ASK_SPREAD * settings.max_poll_interval * rng.f64();
        let ask_at = if settings.list_on_request { now + ask_in } else { f64::INFINITY };
        Dispatcher {
            rng,
            shares: Shares::new(now, &settings),
            workers: Vec::new(),
            ready: ReadySet::default(),
            zones: BTreeMap::new(),
            tenants,
            turn: [0; LANES],
            visited: [false; LANES],
            budget,
            runs,
            work_done: DecayingSum::default(),
            jobs: BTreeMap::new(),
            due: Due::default(),
            ask_at,
            sweep_at: now + SWEEP,
            peers: Peers::new(now, settings.ordinal, settings.schedulers),
            key_shares: KeyShares::default(),
            message_credit: 0.0,
            changed: false,
            kind_slots: BTreeMap::new(),
            armed: f64::INFINITY,
            stuck_until: 0.0,
            settings,
        }
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Workers { kind, entries } => self.learn_workers(now, kind, entries),
            Event::Job(job) => self.take(now, job, out),
            Event::JobStarted { job, attempt } => self.started(now, job, attempt),
            Event::PeerMessage { from, text } => {
                self.peers.hear(now, from, &text, |id| self.workers[id].shown(now))
            }
            Event::ZoneCosts { costs } => self.settings.zone_costs = costs,
            Event::ActiveSchedulers { schedulers } => self.settings.schedulers = schedulers.max(1),
            Event::StreamOpened { job, .. } => {
                self.jobs.entry(job).and_modify(|job| job.streaming = true);
            }
            Event::AttemptEnded(response) => self.response(now, response, out),
            Event::ClientDisconnected { job } => self.client_gone(job, out),
            Event::Timer => {
                // The clock may be rounded: a timer that came a hair early is still the one set.
                if now >= self.armed - CLOCK_STEP {
                    self.armed = f64::INFINITY;
                }
                self.sweep(now, out);
            }
            Event::HealthChecked { worker, report: Some(report), .. } => {
                self.note_report(now, worker, report)
            }
            Event::JobProgress { .. } | Event::HealthChecked { .. } => {}
        }
        self.drain(now, out);
        self.tell_relay(now, out);
        self.arm(now, out);
    }
}
