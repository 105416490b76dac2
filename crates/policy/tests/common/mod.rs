//! Drives one dispatcher by hand and checks the four rules on every action that it gives.
#![allow(dead_code, missing_docs)]

use brackenledge_policy::{
    Action, AttemptResult, Class, DeduplicationScope, Dispatcher, Effect, Event, JobId, ListKind, Millis,
    NewJob, Outcome, Readiness, Settings, Tenant, WorkerEntry, WorkerId,
};
use std::collections::BTreeMap;

pub struct Attempt {
    pub worker: WorkerId,
    pub sent_at: Millis,
    pub in_flight: bool,
    pub may_have_run: bool,
}

pub struct Job {
    pub class: usize,
    pub deadline: Millis,
    pub answered: Option<Millis>,
    pub attempts: Vec<Attempt>,
}

pub struct Driver {
    pub settings: Settings,
    pub dispatcher: Dispatcher,
    pub now: Millis,
    pub jobs: BTreeMap<JobId, Job>,
    pub workers: BTreeMap<WorkerId, WorkerEntry>,
    pub stop_at: BTreeMap<WorkerId, Millis>,
    pub timers: Vec<Millis>,
    pub rejected: Vec<JobId>,
    pub failed: Vec<JobId>,
    pub watches: usize,
    pub cancelled: Vec<(JobId, usize)>,
    pub health_checks: Vec<(Millis, WorkerId)>,
    next_id: JobId,
}

pub fn class(effect: Effect, deduplication_scope: DeduplicationScope) -> Class {
    Class {
        effect,
        deduplication_scope,
        deduplication_window: 4_000.0,
        latency_objective: 300.0,
        stretch: 2.0,
        deadline: 5_000.0,
        ..Class::default()
    }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Effect::Repeatable, DeduplicationScope::All),
            class(Effect::Idempotent, DeduplicationScope::Zone),
            class(Effect::NonIdempotent, DeduplicationScope::All),
            class(Effect::Idempotent, DeduplicationScope::All),
            class(Effect::Idempotent, DeduplicationScope::Cell),
        ],
        tenants: vec![
            Tenant { quota_fraction: 0.6, quota_per_second: 60.0 },
            Tenant { quota_fraction: 0.4, quota_per_second: 40.0 },
        ],
        hedged_requests: true,
        cancellation: true,
        retry_after: true,
        max_retry_after: 2_000.0,
        max_attempts: 4,
        drain_grace: 200.0,
        initial_capacity_fraction: 0.25,
        warm_up_duration: 8_000.0,
        overload_multiple: 3.0,
        overload_duration: 1_000.0,
        reports_job_start: true,
        starts_in_order: true,
        ..Settings::default()
    }
}

pub fn worker(id: WorkerId) -> WorkerEntry {
    let zone = (id % 2) as u32;
    WorkerEntry { id, name: format!("w{id}"), zone, cell: (id / 2) as u32, weight: 1.0, ..Default::default() }
}

impl Driver {
    pub fn new(settings: Settings, workers: usize, seed: u64) -> Driver {
        let mut driver = Driver::empty(settings, seed);
        driver.list(ListKind::Cached, (0..workers).map(worker).collect());
        driver
    }

    pub fn empty(settings: Settings, seed: u64) -> Driver {
        let now = 1_000_000.0;
        Driver {
            dispatcher: Dispatcher::new(now, settings.clone(), seed),
            settings,
            now,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            stop_at: BTreeMap::new(),
            timers: Vec::new(),
            rejected: Vec::new(),
            failed: Vec::new(),
            watches: 0,
            cancelled: Vec::new(),
            health_checks: Vec::new(),
            next_id: 1,
        }
    }

    /// A list event, and until when the workers in it may be sent jobs.
    pub fn list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) {
        if kind == ListKind::Full {
            for id in self.workers.keys() {
                self.stop_at.entry(*id).or_insert(self.now + self.settings.drain_grace);
            }
        }
        for entry in &entries {
            if entry.readiness == Readiness::Ready {
                self.stop_at.remove(&entry.id);
            } else {
                self.stop_at.entry(entry.id).or_insert(self.now + self.settings.drain_grace);
            }
            self.workers.insert(entry.id, entry.clone());
        }
        self.event(Event::Workers { kind, entries });
    }

    pub fn job(&mut self, class: usize) -> JobId {
        let left = self.settings.classes[class].deadline;
        self.job_with(NewJob { class, time_left: left, slots: 1.0, ..NewJob::default() })
    }

    /// A job of this class and affinity key, with all its time left.
    pub fn job_with_key(&mut self, class: usize, key: &str) -> JobId {
        let time_left = self.settings.classes[class].deadline;
        let affinity_key = Some(key.to_owned());
        self.job_with(NewJob { class, affinity_key, time_left, slots: 1.0, ..NewJob::default() })
    }

    pub fn job_with(&mut self, new: NewJob) -> JobId {
        let id = self.next_id;
        self.next_id += 1;
        let deadline = self.now + new.time_left;
        let job = Job { class: new.class, deadline, answered: None, attempts: Vec::new() };
        self.jobs.insert(id, job);
        self.event(Event::Job(NewJob { id, ..new }));
        id
    }

    /// Ends an attempt; a first `Served` is the job's final answer.
    pub fn end_attempt(&mut self, id: JobId, attempt: usize, outcome: Outcome) {
        let now = self.now;
        let job = self.jobs.get_mut(&id).expect("a known job");
        let state = &mut job.attempts[attempt];
        assert!(std::mem::take(&mut state.in_flight), "attempt {attempt} of job {id} ends once");
        state.may_have_run = !outcome.never_ran();
        if outcome == Outcome::Served && job.answered.is_none() {
            job.answered = Some(now);
        }
        let job_answered = job.answered.is_some();
        self.event(Event::AttemptEnded(AttemptResult {
            job: id,
            attempt,
            outcome,
            job_answered,
            report: None,
        }));
    }

    /// Serves every attempt that was sent at least this long ago.
    pub fn serve_after(&mut self, run: Millis) {
        for (id, attempt) in self.in_flight() {
            if self.jobs[&id].attempts[attempt].sent_at + run <= self.now {
                self.end_attempt(id, attempt, Outcome::Served);
            }
        }
    }

    pub fn start(&mut self, id: JobId, attempt: usize) {
        self.event(Event::JobStarted { job: id, attempt });
    }

    pub fn disconnect(&mut self, id: JobId) {
        let now = self.now;
        self.jobs.get_mut(&id).expect("a known job").answered.get_or_insert(now);
        self.event(Event::ClientDisconnected { job: id });
    }

    /// Moves the clock; timers expire, and attempts time out at their clients' deadlines.
    pub fn advance(&mut self, by: Millis) {
        let until = self.now + by;
        loop {
            let timer = self.timers.iter().copied().fold(f64::INFINITY, f64::min);
            let late = |(id, job): (&JobId, &Job)| {
                let out = job.attempts.iter().position(|a| a.in_flight)?;
                (job.deadline > self.now - 1e-9 && job.answered.is_none()).then_some((job.deadline, *id, out))
            };
            let timeout = self.jobs.iter().filter_map(late).min_by(|a, b| a.0.total_cmp(&b.0));
            let next = timer.min(timeout.map_or(f64::INFINITY, |t| t.0));
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if let Some((_, id, attempt)) = timeout.filter(|t| t.0 <= timer) {
                self.end_attempt(id, attempt, Outcome::Timeout);
            } else {
                let place = self.timers.iter().position(|&at| at == timer).expect("the timer");
                self.timers.swap_remove(place);
                self.event(Event::Timer);
            }
        }
        self.now = until;
        self.check_answers();
    }

    /// Rule 1: nobody waits past the deadline and its slack.
    pub fn check_answers(&self) {
        for (id, job) in &self.jobs {
            let latest = job.deadline + self.settings.answer_slack;
            assert!(job.answered.is_some() || self.now <= latest, "job {id} got no final answer in time");
        }
    }

    pub fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::StartAttempt { job: id, worker, .. } => {
                let stop = self.stop_at.get(&worker).copied().unwrap_or(f64::INFINITY);
                assert!(now <= stop, "job {id} sent to worker {worker} past the drain grace");
                let job = &self.jobs[&id];
                assert!(job.answered.is_none(), "job {id} sent after its final answer");
                assert!(job.attempts.len() < self.settings.max_attempts, "job {id}: too many attempts");
                let copies = self.settings.hedged_requests || !job.attempts.iter().any(|a| a.in_flight);
                assert!(copies, "job {id} has two attempts out");
                assert!(self.may_send(job, worker), "job {id} sent where it may run twice");
                let attempt = Attempt { worker, sent_at: now, in_flight: true, may_have_run: false };
                self.jobs.get_mut(&id).expect("a known job").attempts.push(attempt);
            }
            Action::Reject { job: id, .. } => {
                let job = &self.jobs[&id];
                let class = &self.settings.classes[job.class];
                let free = class.effect == Effect::Repeatable
                    || class.effect == Effect::Idempotent
                        && class.deduplication_scope == DeduplicationScope::All;
                let risk = job.attempts.iter().any(|a| a.in_flight || a.may_have_run);
                assert!(free || !risk, "job {id} rejected though it may have run");
                self.rejected.push(id);
                self.answer(id);
            }
            Action::Fail { job: id } => {
                self.failed.push(id);
                self.answer(id);
            }
            Action::SetTimer { after } => {
                assert!(after >= 0.0, "a timer in the past");
                self.timers.push(now + after);
            }
            Action::WatchEndpoints { .. } => self.watches += 1,
            Action::HealthCheck { worker } => self.health_checks.push((now, worker)),
            Action::CancelAttempt { job, attempt } => {
                assert!(self.settings.cancellation, "cancelling is not allowed");
                assert!(self.jobs[&job].attempts.len() > attempt, "cancelled what was never sent");
                self.cancelled.push((job, attempt));
            }
            _ => {}
        }
    }

    fn answer(&mut self, id: JobId) {
        let job = self.jobs.get_mut(&id).expect("a known job");
        assert!(job.answered.is_none(), "job {id} got two final answers");
        job.answered = Some(self.now);
    }

    /// Rule 2, for a further attempt at `to`.
    fn may_send(&self, job: &Job, to: WorkerId) -> bool {
        let class = &self.settings.classes[job.class];
        let Some(first) = job.attempts.iter().find(|a| a.in_flight || a.may_have_run) else { return true };
        let (from, to) = (&self.workers[&first.worker], &self.workers[&to]);
        let in_group = match class.deduplication_scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => from.zone == to.zone,
            DeduplicationScope::Cell => from.cell == to.cell,
        };
        match class.effect {
            Effect::Repeatable => true,
            Effect::Idempotent => in_group && self.now <= first.sent_at + class.deduplication_window,
            Effect::NonIdempotent => false,
        }
    }

    pub fn workers_of(&self, id: JobId) -> Vec<WorkerId> {
        self.jobs[&id].attempts.iter().map(|attempt| attempt.worker).collect()
    }

    /// Attempts in flight, as (job, attempt).
    pub fn in_flight(&self) -> Vec<(JobId, usize)> {
        let of = |(&id, job): (&JobId, &Job)| -> Vec<(JobId, usize)> {
            let out = job.attempts.iter().enumerate().filter(|(_, a)| a.in_flight);
            out.map(|(number, _)| (id, number)).collect()
        };
        self.jobs.iter().flat_map(of).collect()
    }
}
