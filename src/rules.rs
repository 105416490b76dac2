//! Every decision of a dispatcher. Settings, events and actions are defined in `interface.rs`.
//!
//! Jobs queue per tenant, deficit round-robin drains them into a slot budget, AIMD tunes that budget by the
//! delay until jobs start, and each job goes to an idle worker first. Order below: constants, membership,
//! tenant queues, budget, placement, attempts and outcomes, final answers and timers.

use crate::interface::*;
use crate::measure::{Fading, ReadySet, RunTime, distance, hash, micros};
use crate::peers::Peers;
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

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
const DEPTHS: (usize, usize) = (32, 16); // jobs queued at most: weights above the median, and the others
const LANES: usize = 2; // within the tenant's share, and beyond it
const RATE_TIME: Millis = 10_000.0; // memory of arrival and work rates
const PRIOR: f64 = 5.0; // arrivals that the assumption of an even spread weighs as much as
const PART_MARGIN: f64 = 1.4; // tenants use less than their share, so a part seen through them is larger
const BURST: Millis = 1_500.0; // of its quota a tenant may bring at once and stay within its share
const GRANT: f64 = 0.2; // aims that a job may wait for a grant: held longer, it starts too late to be in time
const STUCK: Millis = 5.0; // before jobs that no worker could take are tried again
const LOOK_PAST: usize = 4; // queued jobs tried behind one that no worker can take now

// Placement. Costs are in milliseconds of expected delay.
const SCAN_MOST: usize = 96; // workers taken at random for one job, and this many of the nearest to its key:
const SCAN_HOMES: f64 = 8.0;
const OWN_STEP: f64 = 0.25; // running times that each own slot on a worker counts for
const SPEED_PART: (f64, f64) = (0.1, 2.0); // weight of a slower run: while in time, and beyond
const TROUBLE_COST: f64 = 10.0; // aims that a worker sure to fail counts for
const AWAY_COST: f64 = 0.05; // aims that another zone counts for
const DOUBT_COST: f64 = 1.0; // aims that a server sure to drain unheard counts for
const FETCH_COST: f64 = 5.0; // running times that fetching what a key needs counts for: it holds a slot
const KEPT_PART: f64 = 0.2; // of that cost where the worker got a job with this key lately
const KEPT: usize = 4; // keys that a worker is taken to keep of those we sent it
const FRESH_GAIN: f64 = 0.2; // running times that a slot freed just now is better by
const FULL_DOUBLINGS: u32 = 4; // of the wait after a 'full', at most
const MESSAGES: f64 = 1.0; // load messages, counted by receiver, that each job sent pays for: they are short
const HEARD_LIFE: Millis = 1_500.0; // what another dispatcher told counts for so long
const REPORT_LIFE: Millis = 3_000.0; // a report older than this counts for nothing
const LEARN: f64 = 0.15; // weight of one more observation of a worker
const TROUBLE_PRIOR: f64 = 2.0; // attempts gone well that every worker is taken to have had lately
const ZONE_STEP: f64 = 0.05; // distrust of a zone for each connection that failed there
const TROUBLE_LIFE: Millis = 5_000.0; // in which distrust fades to a third, so that a trial is made
const OVERTAKEN: Millis = 300.0; // by which a job that started was sent later than one that did not
const SLOW_LIFE: Millis = 6_000.0; // in which slowness that is not seen any more fades to a third
const OVERDUE: f64 = 3.0; // usual running times after which a job tells against its worker
const SLOW_MOST: f64 = 10.0; // usual running times that a job counts for at most

// Cold workers, list calls, answers.
const COLD_MARGIN: f64 = 0.4; // part of the cold allowance used: sizes differ, and estimates err
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
    launched: Option<Millis>,
    doubt: f64,
    /// Slots that our attempts hold here, and those of them not known to have started.
    own: f64,
    unstarted: f64,
    /// Running time here over the usual one, less 1, as last seen and when.
    excess: Fading,
    /// Attempts that failed, and all that ended, fading.
    failures: Fading,
    endings: Fading,
    /// Wait for a start as last seen, fading.
    wait: Fading,
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
    /// Running time here over the usual one, less 1. Slowness that is not seen any more fades, or a worker
    /// that was slow once would be left out for good.
    fn excess(&self, now: Millis) -> f64 {
        if self.excess.sum > 0.0 { self.excess.now(now, SLOW_LIFE) } else { self.excess.sum }
    }

    /// Takes in a running time, in usual ones.
    fn note_run(&mut self, now: Millis, ratio: f64) {
        let excess = self.excess(now);
        self.excess = Fading { sum: excess + LEARN * (ratio.min(SLOW_MOST) - 1.0 - excess), at: now };
    }
}

/// A zone's connect failures, fading, and the shortest time seen from sending to the note of a start.
#[derive(Default)]
struct Zone {
    trouble: Fading,
    trip: Option<Millis>,
}

struct Lane {
    queue: VecDeque<JobId>,
    credit: f64,
}

struct TenantQueue {
    weight: f64,
    quota: f64,
    depth: usize,
    tokens: f64,
    tokens_at: Millis,
    arrivals: Fading,
    lanes: [Lane; LANES],
}

#[derive(Clone, Copy)]
struct Attempt {
    worker: WorkerId,
    sent: Millis,
    started: Option<Millis>,
    out: bool,
    may_have_run: bool,
    overdue: bool,
}

#[derive(Default)]
struct Job {
    class: usize,
    tenant: usize,
    lane: usize,
    key: Option<u64>,
    deadline: Millis,
    grant_until: Millis,
    slots: f64,
    queued: bool,
    answered: bool,
    streaming: bool,
    attempts: Vec<Attempt>,
}

impl Job {
    /// The first attempt that may have run or may still run.
    fn risk(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.out || attempt.may_have_run)
    }
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
    within: Fading,
    floor: f64,
    /// Part of the budget open to work beyond a tenant's share.
    over: f64,
}

/// A dispatcher. See the crate's page for how to drive it.
pub struct Dispatcher {
    settings: Settings,
    rng: Rng,
    booted: Millis,
    workers: Vec<Worker>,
    ready: ReadySet,
    zones: BTreeMap<u32, Zone>,
    tenants: Vec<TenantQueue>,
    turn: [usize; LANES],
    visited: [bool; LANES],
    budget: Budget,
    runs: Vec<RunTime>,
    work_done: Fading,
    jobs: BTreeMap<JobId, Job>,
    due: BinaryHeap<Reverse<(u64, JobId)>>,
    ask_at: Millis,
    sweep_at: Millis,
    peers: Peers,
    message_credit: f64,
    armed: Millis,
    stuck_until: Millis,
}

impl Dispatcher {
    /// A dispatcher that knows nothing yet.
    pub fn new(now: Millis, settings: Settings, seed: u64) -> Self {
        let settings = Settings { dispatchers: settings.dispatchers.max(1), ..settings };
        // Low at first, it would turn away the load that comes to a restarted dispatcher as others stop.
        let cap = CAP_CEILING / if settings.messages { 1.0 } else { f64::from(settings.dispatchers) };
        let tenants = tenant_queues(&settings, now);
        let runs = settings.classes.iter().map(|class| RunTime::guess(class.aim.max(1.0))).collect();
        let budget = Budget { cap, tick_at: now + TICK, over: OVER_MOST, ..Budget::default() };
        let mut rng = Rng::with_seed(seed);
        let ask_in = ASK_SPREAD * settings.ask_within * rng.f64();
        let ask_at = if settings.list_on_request { now + ask_in } else { f64::INFINITY };
        Dispatcher {
            rng,
            booted: now,
            workers: Vec::new(),
            ready: ReadySet::default(),
            zones: BTreeMap::new(),
            tenants,
            turn: [0; LANES],
            visited: [false; LANES],
            budget,
            runs,
            work_done: Fading::default(),
            jobs: BTreeMap::new(),
            due: BinaryHeap::new(),
            ask_at,
            sweep_at: now + SWEEP,
            peers: Peers::default(),
            message_credit: 0.0,
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
            Event::Started { job, attempt } => self.started(now, job, attempt),
            Event::Message { from, text } => self.peers.hear(now, from, &text),
            Event::StreamOpened { job, .. } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.streaming = true;
                }
            }
            Event::Response(response) => self.response(now, response, out),
            Event::ClientGone { job } => self.client_gone(job, out),
            Event::Timer => {
                // The clock may be rounded: a timer that came a hair early is still the one set.
                if now >= self.armed - CLOCK_STEP {
                    self.armed = f64::INFINITY;
                }
                self.sweep(now, out);
            }
            Event::Probed { worker, report: Some(report), .. } => self.note_report(now, worker, report),
            Event::Progress { .. } | Event::Probed { .. } => {}
        }
        self.drain(now, out);
        self.arm(now, out);
    }

    // ---- Membership: the list, drains, the cold allowance.

    fn learn_workers(&mut self, now: Millis, kind: ListKind, entries: Vec<WorkerEntry>) {
        match kind {
            ListKind::Failed => {
                let wait = (0.5 + self.rng.f64()) * ASK_SPREAD * self.settings.ask_within;
                self.ask_at = if self.settings.list_on_request { now + wait } else { f64::INFINITY };
                return;
            }
            ListKind::Full => {
                self.workers.iter_mut().for_each(|worker| worker.readiness = Readiness::Gone);
                self.ready = ReadySet::default();
            }
            ListKind::Cached | ListKind::Delta => {}
        }
        for entry in entries {
            self.learn_worker(now, entry);
        }
    }

    fn learn_worker(&mut self, now: Millis, entry: WorkerEntry) {
        while self.workers.len() <= entry.id {
            self.workers.push(Worker { readiness: Readiness::Gone, size: 1.0, ..Worker::default() });
        }
        let phase = self.rng.f64() * self.mean_run();
        let worker = &mut self.workers[entry.id];
        let restarted = entry.launched.is_some() && entry.launched != worker.launched;
        if restarted {
            // Dispatchers hear of a start together: a random phase keeps their first jobs apart.
            worker.allowance = -phase;
            worker.allowance_at = now;
            worker.excess = Fading::default();
            (worker.failures, worker.endings) = Default::default();
            worker.reported_at = 0.0;
            worker.keys.clear();
        }
        let hash = hash(&entry.name);
        if worker.hash != hash {
            // The number of a server that was forgotten long ago serves another one.
            let (allowance, allowance_at) = (worker.allowance, worker.allowance_at);
            *worker = Worker { hash, size: 1.0, allowance, allowance_at, ..Worker::default() };
        }
        self.peers.know(entry.id, worker.hash);
        worker.zone = entry.zone;
        worker.kind = entry.kind;
        worker.cell = entry.cell;
        worker.readiness = entry.readiness;
        self.ready.set(entry.id, hash, entry.readiness == Readiness::Ready);
        worker.launched = entry.launched;
        worker.doubt = entry.doubt;
        if self.settings.weights == Weights::Size && entry.weight > 0.0 {
            worker.size = entry.weight;
        }
    }

    /// The part of its capacity that a worker has for certain; 1 when it is warm.
    fn warmth(&self, now: Millis, worker: &Worker) -> f64 {
        let Some(launched) = worker.launched else { return 1.0 };
        let age = ((now - launched) / self.settings.warm_within.max(1.0)).clamp(0.0, 1.0);
        self.settings.cold_share + (1.0 - self.settings.cold_share) * age
    }

    /// Work per millisecond that a cold worker may be sent by this dispatcher: the stated multiple of what it
    /// can do now, where a warm worker is taken to bear what all do on average. Summed over the dispatchers
    /// that is the fleet's load per worker, so no number of them pushes one over. Cold workers count in the
    /// average: in a rolling deploy few are warm, and what those get is no measure.
    fn cold_rate(&self, now: Millis, warmth: f64) -> f64 {
        let per_worker = self.work_done.now(now, RATE_TIME) / RATE_TIME / self.ready.ids.len().max(1) as f64;
        COLD_MARGIN * self.settings.fall_multiple * warmth * per_worker
    }

    /// Whether a worker may be sent this much work now. The allowance fills at that rate and is overdrawn by
    /// each job. A chance not taken within one span is lost and the next comes at random: else all
    /// dispatchers would save theirs up and spend them together when the worker looks idle. A job too large
    /// for the whole worker's span is not for it at all.
    fn cold_permits(&mut self, now: Millis, id: WorkerId, work: f64) -> bool {
        let warmth = self.warmth(now, &self.workers[id]);
        if warmth >= 1.0 {
            return true;
        }
        let rate = self.cold_rate(now, warmth);
        let span = rate * self.settings.overload_for;
        let mean = self.mean_run();
        let worker = &mut self.workers[id];
        worker.allowance += rate * (now - worker.allowance_at);
        worker.allowance_at = now;
        if worker.allowance > span {
            worker.allowance = -2.0 * mean * self.rng.f64();
        }
        worker.allowance >= 0.0 && work <= COLD_LUMP * span * f64::from(self.settings.dispatchers)
    }

    // ---- Tenant queues and deficit round-robin.

    fn take(&mut self, now: Millis, new: NewJob, out: &mut Vec<Action>) {
        let class = new.class.min(self.settings.classes.len() - 1);
        let tenant = new.tenant.min(self.tenants.len() - 1);
        let lane = usize::from(!self.within_share(now, tenant));
        let deadline = now + new.time_left;
        let grant = now + GRANT * self.settings.classes[class].aim;
        let worth = |class: usize| self.settings.classes[class].worth;
        let held = |id: &JobId| self.jobs.get(id).map_or(0.0, |job| worth(job.class));
        let queue = &self.tenants[tenant].lanes[lane].queue;
        // What is worth most for its work goes first, and the last of a full queue gives way to it.
        let place = queue.iter().take_while(|id| held(id) >= worth(class)).count();
        let full = queue.len() >= self.tenants[tenant].depth;
        let last = queue.back().copied().filter(|_| full && place < queue.len());
        let fits = !full || last.is_some();
        let job = Job {
            class,
            tenant,
            lane,
            key: new.key.as_deref().map(hash),
            deadline,
            grant_until: grant.min(deadline - DEADLINE_MARGIN),
            slots: new.slots.max(1.0),
            queued: fits,
            ..Job::default()
        };
        self.due.push(Reverse((micros(job.grant_until), new.id)));
        if lane == 0 {
            self.budget.within.add(now, RATE_TIME, self.runs[class].shortest * job.slots);
            let mean = self.budget.within.sum / self.seen_for(now).max(TICK);
            self.budget.floor = FLOOR_LOAD.0 * mean + FLOOR_LOAD.1 * mean.sqrt();
        }
        self.jobs.insert(new.id, job);
        if let Some(last) = last {
            self.finish(last, out);
        }
        if fits {
            self.tenants[tenant].lanes[lane].queue.insert(place, new.id);
        } else {
            self.finish(new.id, out);
        }
    }

    /// Takes a token of the tenant's quota, scaled to the part of all traffic that this dispatcher sees.
    fn within_share(&mut self, now: Millis, tenant: usize) -> bool {
        self.tenants[tenant].arrivals.add(now, RATE_TIME, 1.0);
        let part = self.traffic_part(now);
        let queue = &mut self.tenants[tenant];
        if queue.quota <= 0.0 {
            return true;
        }
        let rate = queue.quota * part / 1_000.0;
        let most = (rate * BURST).max(2.0);
        queue.tokens = (queue.tokens + rate * (now - queue.tokens_at)).min(most);
        queue.tokens_at = now;
        let within = queue.tokens >= 1.0;
        queue.tokens -= f64::from(u8::from(within));
        within
    }

    /// The time that a fading count stands for: its life, or less soon after the start.
    fn seen_for(&self, now: Millis) -> Millis {
        RATE_TIME * (1.0 - (-(now - self.booted) / RATE_TIME).exp())
    }

    /// This dispatcher's part of all traffic, seen through the middle one of the tenants' rates over quotas.
    fn traffic_part(&self, now: Millis) -> f64 {
        let even = 1.0 / f64::from(self.settings.dispatchers);
        let seen_for = self.seen_for(now);
        let part = |queue: &TenantQueue| {
            let per_ms = queue.quota / 1_000.0;
            (queue.arrivals.now(now, RATE_TIME) + PRIOR) / (per_ms * seen_for + PRIOR / even)
        };
        let mut parts: Vec<f64> = self.tenants.iter().filter(|q| q.quota > 0.0).map(part).collect();
        parts.sort_by(f64::total_cmp);
        parts.get(parts.len() / 2).map_or(even, |middle| (middle * PART_MARGIN).min(1.0))
    }

    /// Sends queued jobs while the budget allows, work within tenants' shares first.
    fn drain(&mut self, now: Millis, out: &mut Vec<Action>) {
        // Workers that had no room a moment ago have none now; looking again for each event costs too much.
        if now < self.stuck_until {
            return;
        }
        for lane in 0..LANES {
            self.drain_lane(now, lane, out);
        }
    }

    fn drain_lane(&mut self, now: Millis, lane: usize, out: &mut Vec<Action>) {
        let tenants = self.tenants.len();
        let quantum = self.tenants.iter().map(|t| t.weight).fold(f64::INFINITY, f64::min);
        let mut fruitless = 0;
        while fruitless < tenants * 8 && self.tenants.iter().any(|t| !t.lanes[lane].queue.is_empty()) {
            let turn = self.turn[lane];
            let queue = &mut self.tenants[turn];
            let weight = queue.weight / quantum;
            let state = &mut queue.lanes[lane];
            if !self.visited[lane] {
                state.credit += weight;
            }
            self.visited[lane] = true;
            let mut skipped = 0;
            while skipped < LOOK_PAST {
                let state = &self.tenants[turn].lanes[lane];
                let Some(&id) = state.queue.get(skipped) else { break };
                let slots = self.jobs.get(&id).map_or(1.0, |job| job.slots);
                if state.credit < slots {
                    break;
                }
                if !self.budget_has_room(lane, slots) {
                    self.budget.bound |= lane == 0;
                    return;
                }
                // A job that no worker can take now must not hold up the ones behind it.
                let Some(worker) = self.choose(now, id) else {
                    skipped += 1;
                    continue;
                };
                let state = &mut self.tenants[turn].lanes[lane];
                state.queue.remove(skipped);
                state.credit -= slots;
                fruitless = 0;
                self.send(now, id, worker, out);
            }
            if skipped == LOOK_PAST {
                self.stuck_until = now + STUCK;
            }
            let state = &mut self.tenants[turn].lanes[lane];
            if state.queue.is_empty() {
                state.credit = 0.0;
            }
            state.credit = state.credit.min(8.0 * weight);
            fruitless += 1;
            self.turn[lane] = (turn + 1) % tenants;
            self.visited[lane] = false;
        }
    }

    fn unqueue(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.queued) {
            job.queued = false;
            self.tenants[job.tenant].lanes[job.lane].queue.retain(|&queued| queued != id);
        }
    }

    // ---- The budget.

    fn budget_has_room(&self, lane: usize, slots: f64) -> bool {
        let whole = self.budget.cap * self.ready.ids.len() as f64;
        let limit = if lane == 0 { whole.max(self.budget.floor) } else { self.budget.over * whole };
        self.budget.used == 0.0 && lane == 0 || self.budget.used + slots <= limit
    }

    fn note_delay(&mut self, now: Millis, lane: usize, aims: f64) {
        if lane == 0 && aims.is_finite() {
            self.budget.delays.push_back((now, aims));
        }
    }

    fn tick(&mut self, now: Millis) {
        let dispatchers = f64::from(self.settings.dispatchers);
        let queued = self.tenants.iter().any(|t| t.lanes.iter().any(|lane| !lane.queue.is_empty()));
        let budget = &mut self.budget;
        while budget.delays.front().is_some_and(|&(at, _)| at < now - WINDOW) {
            budget.delays.pop_front();
        }
        let mut delays: Vec<f64> = budget.delays.iter().map(|&(_, delay)| delay).collect();
        delays.sort_by(f64::total_cmp);
        let quantile = |part: f64| delays.get((delays.len() as f64 * part) as usize).copied().unwrap_or(0.0);
        let (delay, tail) = (quantile(QUANTILE), quantile(OVER_QUANTILE));
        if tail > BAND.1 && delays.len() >= EVIDENCE {
            budget.over *= OVER_STEPS.1;
        } else if tail < BAND.0 {
            budget.over = (budget.over + OVER_STEPS.0).min(OVER_MOST);
        }
        // Whoever is left carries the others' part too.
        let live = if self.settings.messages { self.peers.heard() as f64 + 1.0 } else { dispatchers };
        let (least, most) = (CAP_FLOOR / dispatchers, CAP_CEILING / live.min(dispatchers));
        let bound = std::mem::take(&mut budget.bound);
        if delay > BAND.1 && budget.hold == 0 && delays.len() >= EVIDENCE {
            budget.cap = (budget.cap * CUT).max(least);
            budget.hold = HOLD_TICKS;
        } else if delay < BAND.0 && (queued || budget.used > 0.0) {
            // A budget that held jobs back while workers had room is far off, and grows in proportion.
            let step = if bound { GROW_BOUND * budget.cap } else { 0.0 };
            budget.cap += step.max(GROW / dispatchers);
            budget.hold = budget.hold.saturating_sub(1);
        } else {
            budget.hold = budget.hold.saturating_sub(1);
        }
        budget.cap = budget.cap.min(most);
    }

    // ---- Placement: an idle worker first.

    fn choose(&mut self, now: Millis, id: JobId) -> Option<WorkerId> {
        let job = self.jobs.get(&id)?;
        let (kind, limit) = (self.settings.classes[job.class].kind, self.resend(now, job));
        if limit == Resend::Never || job.attempts.len() >= self.settings.max_attempts {
            return None;
        }
        let work = self.runs[job.class].usual * job.slots;
        let count = self.ready.ids.len();
        let start = if count == 0 { 0 } else { self.rng.usize(..count) };
        let mut best: Option<(f64, WorkerId)> = None;
        let homes = job.key;
        let near = |hash: u64| homes.is_some_and(|key| distance(key, hash) * (count as f64) < SCAN_HOMES);
        for step in 0..if homes.is_some() { count } else { count.min(SCAN_MOST) } {
            let place = (start + step) % count;
            if step >= SCAN_MOST && !near(self.ready.hashes[place]) {
                continue;
            }
            let id_here = self.ready.ids[place];
            let worker = &self.workers[id_here];
            if kind.is_some_and(|kind| kind != worker.kind) || now < worker.full_until {
                continue;
            }
            if !limit.allows(id_here, &self.workers) {
                continue;
            }
            let cost = self.cost(now, id_here, &self.jobs[&id]);
            if best.is_none_or(|(least, _)| cost < least) && self.cold_permits(now, id_here, work) {
                best = Some((cost, id_here));
            }
        }
        best.map(|(_, worker)| worker)
    }

    /// What sending a job to a worker is expected to cost it, in milliseconds.
    fn cost(&self, now: Millis, id: WorkerId, job: &Job) -> f64 {
        let worker = &self.workers[id];
        let (run, aim) = (self.runs[job.class].usual, self.settings.classes[job.class].aim);
        let queue = match self.free_slots(now, id, worker) {
            Some(free) if free >= job.slots => -0.01 * free * run,
            Some(free) => (job.slots - free) / worker.slots.max(1.0) * self.mean_run(),
            None => {
                let age = now - worker.freed_at;
                let fresh = FRESH_GAIN * run * (1.0 - age / run).max(0.0);
                OWN_STEP * run * (worker.own + self.peers.load(id)) / worker.size - fresh
            }
        };
        let waits = worker.wait.now(now, run)
            + if self.settings.tells_start { worker.unstarted * OWN_STEP * run } else { 0.0 };
        let zone = self.zones.get(&worker.zone).map_or(0.0, |zone| zone.trouble.now(now, TROUBLE_LIFE));
        let failures = worker.failures.now(now, TROUBLE_LIFE);
        let trouble = failures / (worker.endings.now(now, TROUBLE_LIFE) + TROUBLE_PRIOR) + zone;
        let away = if worker.zone == self.settings.zone { 0.0 } else { AWAY_COST * aim };
        let fetch = match job.key {
            Some(key) => {
                let rank = distance(key, worker.hash) * self.ready.ids.len() as f64;
                let kept = worker.keys.contains(&key);
                FETCH_COST * run * rank / (rank + 1.0) * if kept { KEPT_PART } else { 1.0 }
            }
            _ => 0.0,
        };
        let slower = worker.excess(now) * run;
        let late = (slower - 0.5 * self.slack(job.class)).max(0.0);
        let slower = SPEED_PART.0 * slower + SPEED_PART.1 * late;
        queue + waits + slower + (TROUBLE_COST * trouble + DOUBT_COST * worker.doubt) * aim + away + fetch
    }

    /// Tells the other dispatchers how many slots we hold where: an idle worker is one that nobody loads.
    /// Each job sent pays for a part of a message, so the price stays in proportion at any size.
    fn tell_loads(&mut self, out: &mut Vec<Action>) {
        let held = self.ready.ids.iter().map(|&id| &self.workers[id]).filter(|worker| worker.own > 0.0);
        let texts = Peers::tell(held.map(|worker| (worker.hash, worker.own)));
        let price = texts.len() as f64 * f64::from(self.settings.dispatchers - 1);
        if price > 0.0 && self.message_credit >= price {
            self.message_credit = 0.0;
            out.extend(texts.into_iter().map(|text| Action::Tell { to: None, text }));
        }
    }

    /// Free slots as far as the others' messages, or else a fresh report, and our own doings since tell.
    fn free_slots(&self, now: Millis, id: WorkerId, worker: &Worker) -> Option<f64> {
        // What all the others told of themselves is newer than a report, and exact.
        let all_heard = self.peers.heard() + 1 >= self.settings.dispatchers as usize;
        let others = if all_heard { self.peers.load(id) } else { worker.others };
        let known = worker.slots > 0.0 && (all_heard || now - worker.reported_at < REPORT_LIFE);
        known.then_some(worker.slots - others - worker.own)
    }

    fn note_report(&mut self, now: Millis, id: WorkerId, report: LoadReport) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let (Some(free), held) = (report.free_slots, report.held.unwrap_or(0.0)) else { return };
        if !(free.is_finite() && held.is_finite()) {
            return;
        }
        if free >= 0.5 {
            worker.slots = worker.slots.max((free + held).round().clamp(1.0, 1_000.0));
        }
        worker.others = (held.max(worker.slots - free) - worker.own).max(0.0);
        worker.reported_at = now;
    }

    // ---- Attempts and their outcomes.

    fn send(&mut self, now: Millis, id: JobId, to: WorkerId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let attempt =
            Attempt { worker: to, sent: now, started: None, out: true, may_have_run: false, overdue: false };
        job.attempts.push(attempt);
        job.queued = false;
        let (slots, work) = (job.slots, self.runs[job.class].usual * job.slots);
        let key = job.key;
        let worker = &mut self.workers[to];
        if let Some(key) = key {
            worker.keys.retain(|&kept| kept != key);
            worker.keys.push_front(key);
            worker.keys.truncate(KEPT);
        }
        self.message_credit += MESSAGES;
        worker.own += slots;
        worker.unstarted += slots;
        worker.freed_at = 0.0;
        worker.allowance -= work;
        self.budget.used += slots;
        self.due.push(Reverse((micros(job.deadline + self.settings.answer_slack / 2.0), id)));
        out.push(Action::Send { job: id, worker: to, timeout: None });
    }

    fn started(&mut self, now: Millis, id: JobId, number: usize) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(attempt) = job.attempts.get_mut(number).filter(|a| a.out && a.started.is_none()) else {
            return;
        };
        attempt.started = Some(now);
        let (slots, lane, class, sent) = (job.slots, job.lane, job.class, attempt.sent);
        let worker = &mut self.workers[attempt.worker];
        worker.start_sent = worker.start_sent.max(sent);
        worker.fulls = worker.fulls.saturating_sub(1);
        worker.unstarted = (worker.unstarted - slots).max(0.0);
        let zone = self.zones.entry(worker.zone).or_default();
        let trip = zone.trip.map_or(now - sent, |trip| trip.min(now - sent));
        zone.trip = Some(trip);
        let delay = now - sent - trip;
        worker.wait = Fading { sum: delay, at: now };
        self.note_delay(now, lane, delay / self.slack(class));
    }

    fn response(&mut self, now: Millis, end: Response, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&end.job) else { return };
        let Some(attempt) = job.attempts.get_mut(end.attempt).filter(|attempt| attempt.out) else { return };
        attempt.out = false;
        attempt.may_have_run = !end.outcome.never_ran();
        job.answered |= end.settled;
        let worker = &mut self.workers[attempt.worker];
        worker.own = (worker.own - job.slots).max(0.0);
        if attempt.started.is_none() {
            worker.unstarted = (worker.unstarted - job.slots).max(0.0);
        }
        self.budget.used = (self.budget.used - job.slots).max(0.0);
        let (to, answered) = (attempt.worker, job.answered);
        if let Some(report) = end.report {
            self.note_report(now, to, report);
        }
        self.learn_outcome(now, &end);
        if answered {
            self.close(end.job);
        } else if end.outcome == Outcome::Rejected {
            // No refusal either: what can't be used now won't be later.
            out.push(Action::Fail { job: end.job });
            self.close(end.job);
        } else if !self.jobs[&end.job].attempts.iter().any(|attempt| attempt.out) {
            self.next_step(now, end.job, out);
        }
    }

    /// What an outcome tells of the worker, the class and the budget.
    fn learn_outcome(&mut self, now: Millis, end: &Response) {
        let job = &self.jobs[&end.job];
        let Attempt { worker: to, sent, started, .. } = job.attempts[end.attempt];
        let (lane, index) = (job.lane, job.class);
        let (run, aim) = (self.runs[index].usual, self.settings.classes[index].aim.max(1.0));
        let worker = &mut self.workers[to];
        match end.outcome {
            Outcome::Ok => {
                let took = now - started.unwrap_or(sent);
                worker.note_run(now, took / run);
                worker.endings.add(now, TROUBLE_LIFE, 1.0);
                worker.freed_at = now;
                worker.fulls = worker.fulls.saturating_sub(1);
                // Only work that was served counts: bounced attempts would swell what cold workers are sent.
                self.work_done.add(now, RATE_TIME, run * job.slots);
                self.runs[index].learn(took, LEARN / 5.0, BASE_RISE);
                if started.is_none() {
                    let delay = self.stand_in(now, to, index, sent);
                    self.note_delay(now, lane, delay);
                }
            }
            Outcome::Full => {
                // Storms of retries against a full fleet help nobody: each refusal in a row doubles the wait.
                worker.fulls = (worker.fulls + 1).min(FULL_DOUBLINGS);
                let wait = run * OWN_STEP * f64::from(1 << worker.fulls) * (0.5 + self.rng.f64());
                worker.full_until = now + wait;
                worker.wait = Fading { sum: aim, at: now };
                self.note_delay(now, lane, FULL_DELAY);
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => {
                // One failure among many attempts is the network's or the job's, not the worker's.
                worker.failures.add(now, TROUBLE_LIFE, 1.0);
                worker.endings.add(now, TROUBLE_LIFE, 1.0);
                if end.outcome == Outcome::ConnectFailed {
                    let zone = self.zones.entry(worker.zone).or_default();
                    zone.trouble.add(now, TROUBLE_LIFE, ZONE_STEP);
                }
            }
            Outcome::Timeout | Outcome::Cancelled | Outcome::Moot | Outcome::Rejected => {}
        }
    }

    /// How long a usual job of a class can wait and still be in time: the aim grows with a job's own work.
    fn slack(&self, class: usize) -> Millis {
        let Class { aim, stretch, .. } = self.settings.classes[class];
        (aim + (stretch - 1.0).max(0.0) * self.runs[class].usual).max(1.0)
    }

    fn mean_run(&self) -> Millis {
        self.runs.iter().map(|run| run.usual).sum::<f64>() / self.runs.len().max(1) as f64
    }

    /// Where workers don't tell of starts: the wait that a report implies, else completion over deadline.
    fn stand_in(&self, now: Millis, to: WorkerId, class: usize, sent: Millis) -> f64 {
        let worker = &self.workers[to];
        let aim = self.settings.classes[class].aim.max(1.0);
        match self.free_slots(now, to, worker) {
            Some(free) => (-free).max(0.0) / worker.slots.max(1.0) * self.mean_run() / aim,
            None => (now - sent) / self.settings.classes[class].deadline.max(1.0),
        }
    }

    /// Where a job may be sent, given what became of its earlier attempts.
    fn resend(&self, now: Millis, job: &Job) -> Resend {
        let class = &self.settings.classes[job.class];
        let Some(risky) = job.risk() else { return Resend::Anywhere };
        match class.effect {
            Effect::Safe => Resend::Anywhere,
            Effect::Unsafe => Resend::Never,
            Effect::Keyed if now >= risky.sent + class.window => Resend::Never,
            Effect::Keyed if class.group == Group::All => Resend::Anywhere,
            Effect::Keyed => Resend::Beside(risky.worker, class.group),
        }
    }

    /// Whether telling the client that trying again is harmless would be true.
    fn may_refuse(&self, job: &Job) -> bool {
        let class = &self.settings.classes[job.class];
        match class.effect {
            Effect::Safe => true,
            Effect::Keyed if class.group == Group::All => true,
            _ => job.risk().is_none(),
        }
    }

    /// A job with nothing out and no answer yet: back to its queue's head, or to its end.
    fn next_step(&mut self, now: Millis, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let again = job.attempts.len() < self.settings.max_attempts && self.resend(now, job) != Resend::Never;
        let grace = now + 0.5 * self.settings.classes[job.class].aim;
        let until = job.grant_until.max(grace).min(job.deadline - DEADLINE_MARGIN);
        if !again || now >= until {
            self.finish(id, out);
            return;
        }
        let (tenant, lane) = (job.tenant, job.lane);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.queued = true;
            job.grant_until = until;
        }
        self.due.push(Reverse((micros(until), id)));
        self.tenants[tenant].lanes[lane].queue.push_front(id);
    }

    // ---- Final answers and timers.

    /// Ends a job that was not served.
    fn finish(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.answered) else { return };
        if self.may_refuse(job) {
            let aims = 0.5 + self.rng.f64();
            let wait = if job.lane == 0 { self.settings.classes[job.class].aim } else { f64::INFINITY };
            let wait = (aims * wait).min(self.settings.max_retry_after);
            let retry_after = (self.settings.retry_after && wait > 0.0).then_some(wait);
            out.push(Action::Refuse { job: id, retry_after });
        } else {
            out.push(Action::Fail { job: id });
        }
        self.close(id);
    }

    /// Nobody waits any more: what is still out is called off, so that its slots serve others.
    fn client_gone(&mut self, id: JobId, out: &mut Vec<Action>) {
        if let Some(job) = self.jobs.get(&id).filter(|_| self.settings.cancelling) {
            let attempts = job.attempts.iter().enumerate().filter(|(_, attempt)| attempt.out);
            out.extend(attempts.map(|(attempt, _)| Action::Cancel { job: id, attempt }));
        }
        self.close(id);
    }

    /// Forgets an ended job once nothing of it is out.
    fn close(&mut self, id: JobId) {
        self.unqueue(id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.answered = true;
        if !job.attempts.iter().any(|attempt| attempt.out) {
            self.jobs.remove(&id);
        }
    }

    fn sweep(&mut self, now: Millis, out: &mut Vec<Action>) {
        while let Some(&Reverse((_, id))) = self.due.peek().filter(|r| r.0.0 <= micros(now)) {
            self.due.pop();
            self.come_due(now, id, out);
        }
        if now >= self.budget.tick_at {
            self.budget.tick_at = now + TICK * (0.9 + 0.2 * self.rng.f64());
            self.tick(now);
        }
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP;
            self.note_overdue(now);
            self.call_back_overtaken(out);
            self.peers.forget_silent(now - HEARD_LIFE);
            if self.settings.messages {
                self.tell_loads(out);
            }
        }
        if now >= self.ask_at {
            self.ask_at = f64::INFINITY;
            out.push(Action::Watch { on: true });
        }
    }

    fn come_due(&mut self, now: Millis, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.answered && !job.streaming) else { return };
        let ungranted = job.queued && now + CLOCK_STEP >= job.grant_until;
        if ungranted || now + CLOCK_STEP >= job.deadline + self.settings.answer_slack / 2.0 {
            self.finish(id, out);
        }
    }

    /// Where workers start jobs in the order of their coming, one not started long after a later one was is
    /// on no queue: its request or notes were lost on the way. It is called back where it may be sent again.
    fn call_back_overtaken(&self, out: &mut Vec<Action>) {
        if !self.settings.cancelling || !self.settings.starts_in_order {
            return;
        }
        for (&id, job) in self.jobs.iter().filter(|(_, job)| !job.answered) {
            let effect = self.settings.classes[job.class].effect;
            for (attempt, sent) in
                job.attempts.iter().enumerate().filter(|(_, a)| a.out && a.started.is_none())
            {
                let overtaken = self.workers[sent.worker].start_sent > sent.sent + OVERTAKEN;
                if overtaken && effect != Effect::Unsafe && job.attempts.len() < self.settings.max_attempts {
                    out.push(Action::Cancel { job: id, attempt });
                }
            }
        }
    }

    /// Attempts that take far longer than usual tell against their workers before they end, but once: one
    /// long or lost job must not make its worker as slow as itself.
    fn note_overdue(&mut self, now: Millis) {
        for job in self.jobs.values_mut() {
            let usual = self.runs[job.class].usual;
            for attempt in job.attempts.iter_mut().filter(|attempt| attempt.out && !attempt.overdue) {
                let ratio = (now - attempt.started.unwrap_or(attempt.sent)) / usual;
                let worker = &mut self.workers[attempt.worker];
                if ratio > OVERDUE * (1.0 + worker.excess(now)).max(1.0) {
                    attempt.overdue = true;
                    worker.note_run(now, ratio);
                }
            }
        }
    }

    /// Keeps one timer set for whatever comes due next.
    fn arm(&mut self, now: Millis, out: &mut Vec<Action>) {
        let job = self.due.peek().map_or(f64::INFINITY, |r| r.0.0 as f64 / 1_000.0);
        let stuck = if self.stuck_until > now { self.stuck_until } else { f64::INFINITY };
        let next = job.min(self.budget.tick_at).min(self.sweep_at).min(self.ask_at).min(stuck);
        if next < self.armed {
            self.armed = next;
            out.push(Action::Wake { after: (next - now).max(0.0) });
        }
    }
}

/// Where a job may be sent again.
#[derive(Clone, Copy, PartialEq)]
enum Resend {
    Anywhere,
    Beside(WorkerId, Group),
    Never,
}

impl Resend {
    fn allows(self, id: WorkerId, workers: &[Worker]) -> bool {
        match self {
            Resend::Anywhere => true,
            Resend::Beside(first, Group::Zone) => workers[first].zone == workers[id].zone,
            Resend::Beside(first, _) => workers[first].cell == workers[id].cell,
            Resend::Never => false,
        }
    }
}

fn tenant_queues(settings: &Settings, now: Millis) -> Vec<TenantQueue> {
    let whole = Tenant { share: 1.0, quota: 0.0 };
    let tenants = if settings.tenants.is_empty() { vec![whole] } else { settings.tenants.clone() };
    let mut shares: Vec<f64> = tenants.iter().map(|tenant| tenant.share).collect();
    shares.sort_by(f64::total_cmp);
    let median = shares[shares.len() / 2];
    let lane = || Lane { queue: VecDeque::new(), credit: 0.0 };
    let queue = |tenant: &Tenant| TenantQueue {
        weight: tenant.share.max(0.01),
        quota: tenant.quota,
        depth: if tenant.share > median { DEPTHS.0 } else { DEPTHS.1 },
        tokens: f64::INFINITY,
        tokens_at: now,
        arrivals: Fading::default(),
        lanes: [lane(), lane()],
    };
    tenants.iter().map(queue).collect()
}
