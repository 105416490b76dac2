//! Drives one dispatcher event by event, and checks four rules on its actions:
//!
//! 1. Each job gets exactly one final answer, at the latest at its deadline plus the answer slack.
//! 2. No attempt starts, and no job is rejected, where this could lead to an execution that the job's class
//!    forbids.
//! 3. No job is sent to a worker past the drain grace.
//! 4. The settings' limits on attempts, hedged requests and cancellation are kept.
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
    /// Until when a worker that is draining or gone may still be sent jobs.
    pub no_jobs_after: BTreeMap<WorkerId, Millis>,
    /// When the timers expire.
    pub timers: Vec<Millis>,
    pub rejected: Vec<JobId>,
    pub failed: Vec<JobId>,
    /// How often a watch of the endpoint list was requested.
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
            no_jobs_after: BTreeMap::new(),
            timers: Vec::new(),
            rejected: Vec::new(),
            failed: Vec::new(),
            watches: 0,
            cancelled: Vec::new(),
            health_checks: Vec::new(),
            next_id: 1,
        }
    }

    /// Updates the worker list, and records until when workers that are not ready may be sent jobs.
    pub fn list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) {
        if kind == ListKind::Full {
            for id in self.workers.keys() {
                self.no_jobs_after.entry(*id).or_insert(self.now + self.settings.drain_grace);
            }
        }
        for entry in &entries {
            if entry.readiness == Readiness::Ready {
                self.no_jobs_after.remove(&entry.id);
            } else {
                self.no_jobs_after.entry(entry.id).or_insert(self.now + self.settings.drain_grace);
            }
            self.workers.insert(entry.id, entry.clone());
        }
        self.event(Event::Workers { kind, entries });
    }

    pub fn job(&mut self, class: usize) -> JobId {
        let time_left = self.settings.classes[class].deadline;
        self.job_with(NewJob { class, time_left, slots: 1.0, ..NewJob::default() })
    }

    /// Submits a job of this class and affinity key, with the full deadline of its class.
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

    /// Ends an attempt. The first `Served` outcome is the job's final answer.
    pub fn end_attempt(&mut self, id: JobId, attempt: usize, outcome: Outcome) {
        let now = self.now;
        let job = self.jobs.get_mut(&id).expect("a known job");
        let state = &mut job.attempts[attempt];
        assert!(std::mem::take(&mut state.in_flight), "attempt {attempt} of job {id} has already ended");
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

    /// Ends every attempt that was sent at least `run_time` ago as served.
    pub fn serve_after(&mut self, run_time: Millis) {
        for (id, attempt) in self.in_flight() {
            if self.jobs[&id].attempts[attempt].sent_at + run_time <= self.now {
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

    /// Advances the clock. Timers expire, and attempts time out at their clients' deadlines.
    pub fn advance(&mut self, by: Millis) {
        let until = self.now + by;
        loop {
            let timer = self.timers.iter().copied().fold(f64::INFINITY, f64::min);
            let deadline = |(id, job): (&JobId, &Job)| {
                let number = job.attempts.iter().position(|a| a.in_flight)?;
                (job.deadline > self.now - 1e-9 && job.answered.is_none()).then_some((
                    job.deadline,
                    *id,
                    number,
                ))
            };
            let timeout = self.jobs.iter().filter_map(deadline).min_by(|a, b| a.0.total_cmp(&b.0));
            let next = timer.min(timeout.map_or(f64::INFINITY, |t| t.0));
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if let Some((_, id, attempt)) = timeout.filter(|t| t.0 <= timer) {
                self.end_attempt(id, attempt, Outcome::Timeout);
            } else {
                let index = self.timers.iter().position(|&at| at == timer).expect("the timer");
                self.timers.swap_remove(index);
                self.event(Event::Timer);
            }
        }
        self.now = until;
        self.check_answers();
    }

    /// Rule 1: each job has a final answer by its deadline plus the answer slack.
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
                let send_until = self.no_jobs_after.get(&worker).copied().unwrap_or(f64::INFINITY);
                assert!(now <= send_until, "job {id} sent to worker {worker} past the drain grace");
                let job = &self.jobs[&id];
                assert!(job.answered.is_none(), "attempt of job {id} started after its final answer");
                assert!(
                    job.attempts.len() < self.settings.max_attempts,
                    "job {id}: more attempts than max_attempts"
                );
                let may_start = self.settings.hedged_requests || !job.attempts.iter().any(|a| a.in_flight);
                assert!(may_start, "job {id} has two attempts in flight without hedged requests");
                assert!(self.may_send(job, worker), "job {id} sent to a worker where it may run twice");
                let attempt = Attempt { worker, sent_at: now, in_flight: true, may_have_run: false };
                self.jobs.get_mut(&id).expect("a known job").attempts.push(attempt);
            }
            Action::Reject { job: id, .. } => {
                let job = &self.jobs[&id];
                let class = &self.settings.classes[job.class];
                let is_retry_safe = class.effect == Effect::Repeatable
                    || class.effect == Effect::Idempotent
                        && class.deduplication_scope == DeduplicationScope::All;
                let may_have_run = job.attempts.iter().any(|a| a.in_flight || a.may_have_run);
                assert!(is_retry_safe || !may_have_run, "job {id} rejected although it may have run");
                self.rejected.push(id);
                self.answer(id);
            }
            Action::Fail { job: id } => {
                self.failed.push(id);
                self.answer(id);
            }
            Action::SetTimer { after } => {
                assert!(after >= 0.0, "timer set in the past");
                self.timers.push(now + after);
            }
            Action::WatchEndpoints { .. } => self.watches += 1,
            Action::HealthCheck { worker } => self.health_checks.push((now, worker)),
            Action::CancelAttempt { job, attempt } => {
                assert!(self.settings.cancellation, "attempt cancelled although cancellation is off");
                assert!(
                    self.jobs[&job].attempts.len() > attempt,
                    "cancelled an attempt that was never started"
                );
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

    /// Rule 2: whether another attempt may start at `to`.
    fn may_send(&self, job: &Job, to: WorkerId) -> bool {
        let class = &self.settings.classes[job.class];
        let Some(first) = job.attempts.iter().find(|a| a.in_flight || a.may_have_run) else { return true };
        let (from, to) = (&self.workers[&first.worker], &self.workers[&to]);
        let in_scope = match class.deduplication_scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => from.zone == to.zone,
            DeduplicationScope::Cell => from.cell == to.cell,
        };
        match class.effect {
            Effect::Repeatable => true,
            Effect::Idempotent => in_scope && self.now <= first.sent_at + class.deduplication_window,
            Effect::NonIdempotent => false,
        }
    }

    pub fn workers_of(&self, id: JobId) -> Vec<WorkerId> {
        self.jobs[&id].attempts.iter().map(|attempt| attempt.worker).collect()
    }

    /// The attempts in flight, as pairs of job and attempt number.
    pub fn in_flight(&self) -> Vec<(JobId, usize)> {
        let of_job = |(&id, job): (&JobId, &Job)| -> Vec<(JobId, usize)> {
            let in_flight = job.attempts.iter().enumerate().filter(|(_, a)| a.in_flight);
            in_flight.map(|(number, _)| (id, number)).collect()
        };
        self.jobs.iter().flat_map(of_job).collect()
    }
}
