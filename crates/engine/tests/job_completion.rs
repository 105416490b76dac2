//! Runs seeded random sequences of submissions, disconnects, timeouts and attempt results through the engine.
//! Guards against a job that ends twice or never, an attempt that is sent after its job has ended, a second
//! execution of a job that is not idempotent, and a retry of an idempotent job after its deduplication
//! window.
#![allow(missing_docs)]

mod support;

use brackenledge_engine::{Answer, AttemptDeadlines, AttemptId, Command};
use brackenledge_policy::{Class, Effect, JobId, Outcome, Settings};
use std::collections::{BTreeMap, BTreeSet};
use support::{ClockedEngine, job_request};

const EFFECTS: [Effect; 3] = [Effect::Repeatable, Effect::NonIdempotent, Effect::Idempotent];
/// How long workers deduplicate retries of an idempotent job, in milliseconds.
const RETRY_WINDOW: f64 = 400.0;

/// An attempt in flight, as the driver of worker connections tracks it.
#[derive(Clone, Copy)]
struct InFlight {
    deadlines: AttemptDeadlines,
    sent: bool,
}

/// Counts of what occurred during a run.
#[derive(Debug, Default)]
struct Counts {
    answers: usize,
    abandoned: usize,
    withdrawn: usize,
    /// Attempts that were not sent by their write deadline.
    expired: usize,
}

impl Counts {
    fn add(&mut self, other: Counts) {
        self.answers += other.answers;
        self.abandoned += other.abandoned;
        self.withdrawn += other.withdrawn;
        self.expired += other.expired;
    }
}

/// Drives the engine, in place of frontends and workers, and tracks the expected state.
struct Driver {
    clocked: ClockedEngine,
    seed: u64,
    class: BTreeMap<JobId, usize>,
    /// Jobs whose clients wait for an answer.
    pending: BTreeSet<JobId>,
    in_flight: BTreeMap<AttemptId, InFlight>,
    /// Number of attempts of each job that may have run or may still run.
    possible_runs: BTreeMap<JobId, usize>,
    /// When the first attempt counted in `possible_runs` was sent.
    first_sent_at: BTreeMap<JobId, f64>,
    counts: Counts,
}

impl Driver {
    fn new(seed: u64, cancellation: bool) -> Driver {
        let class = |effect| Class {
            effect,
            deadline: 3_000.0,
            deduplication_window: RETRY_WINDOW,
            ..Class::default()
        };
        let settings = Settings {
            classes: EFFECTS.map(class).to_vec(),
            max_attempts: 4,
            cancellation,
            reports_job_start: true,
            starts_in_order: true,
            ..Settings::default()
        };
        Driver {
            clocked: ClockedEngine::new(0.0, settings, seed),
            seed,
            class: BTreeMap::new(),
            pending: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            possible_runs: BTreeMap::new(),
            first_sent_at: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    fn submit(&mut self, client: usize, class: usize, time_left: f64) {
        let submitted = job_request(client, class, EFFECTS[class], None, time_left);
        let job = self.clocked.submit_job(submitted);
        self.class.insert(job, class);
        self.pending.insert(job);
    }

    /// Ends an attempt with this outcome, or with `NeverSent` if it has not been sent.
    fn end(&mut self, id: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.in_flight.remove(&id) else { return };
        let outcome = if attempt.sent { outcome } else { Outcome::NeverSent };
        if attempt.sent && outcome.never_ran() {
            let possible_runs = self.possible_runs.entry(id.job).or_default();
            *possible_runs -= 1;
            if *possible_runs == 0 {
                self.first_sent_at.remove(&id.job);
            }
        }
        match outcome {
            Outcome::Served => self.clocked.engine.attempt_served(id, "ok".into(), None),
            other => self.clocked.engine.attempt_ended(id, other, None),
        }
    }

    /// Writes the last byte of an attempt's request, unless the write deadline has passed.
    fn send(&mut self, id: AttemptId) {
        let seed = self.seed;
        if self.clocked.now >= self.in_flight[&id].deadlines.write_deadline {
            self.counts.expired += 1;
            return self.end(id, Outcome::NeverSent);
        }
        assert!(self.pending.contains(&id.job), "seed {seed}: {id:?} was sent for a job that is not pending");
        let possible_runs = self.possible_runs.entry(id.job).or_default();
        *possible_runs += 1;
        assert!(
            *possible_runs == 1 || EFFECTS[self.class[&id.job]] != Effect::NonIdempotent,
            "seed {seed}: {id:?} is a second execution of a job that is not idempotent"
        );
        let since = *self.first_sent_at.entry(id.job).or_insert(self.clocked.now);
        assert!(
            EFFECTS[self.class[&id.job]] != Effect::Idempotent || self.clocked.now < since + RETRY_WINDOW,
            "seed {seed}: {id:?} was sent after its retry window"
        );
        self.in_flight.get_mut(&id).expect("the attempt is in flight").sent = true;
        self.clocked.engine.attempt_sent(id);
    }

    fn abandon(&mut self, job: JobId) {
        self.pending.remove(&job);
        self.counts.abandoned += 1;
        self.clocked.engine.abandon_job(job);
    }

    /// Ends the attempts whose response deadline has passed.
    fn time_out_attempts(&mut self) {
        let attempts = self.in_flight.iter();
        let overdue = attempts.filter(|(_, attempt)| self.clocked.now >= attempt.deadlines.response_deadline);
        let ids: Vec<AttemptId> = overdue.map(|(&id, _)| id).collect();
        ids.into_iter().for_each(|id| self.end(id, Outcome::Timeout));
    }

    /// Shuts the engine down: all pending jobs are answered at once, then the attempts in flight end in turn.
    fn shut_down(&mut self) {
        let seed = self.seed;
        self.clocked.engine.fail_pending(None);
        self.execute_commands();
        assert!(self.pending.is_empty(), "seed {seed}: {:?} are still pending", self.pending);
        while let Some(&id) = self.in_flight.keys().next() {
            self.end(id, Outcome::Served);
            self.execute_commands();
        }
        assert_eq!(
            (self.clocked.engine.pending_jobs(), self.clocked.engine.open_jobs()),
            (0, 0),
            "seed {seed}"
        );
        let ended = self.counts.answers + self.counts.abandoned;
        assert_eq!(ended, self.class.len(), "seed {seed}: each job must end once");
    }

    fn execute_commands(&mut self) {
        self.clocked.handle_due_timeout();
        let seed = self.seed;
        while let Some(command) = self.clocked.poll_command() {
            match command {
                Command::Answer { job, answer, .. } => {
                    self.counts.answers += 1;
                    let never_ran =
                        self.possible_runs.get(&job).is_none_or(|&possible_runs| possible_runs == 0);
                    assert!(
                        !never_ran || !matches!(answer, Answer::Failed),
                        "seed {seed}: {job} never ran, but failed instead of being rejected"
                    );
                    assert!(self.pending.remove(&job), "seed {seed}: {job} had ended already");
                }
                Command::StartAttempt { id, deadlines, .. } => {
                    assert!(
                        self.pending.contains(&id.job),
                        "seed {seed}: {id:?} was started for a job that is not pending"
                    );
                    assert!(self.in_flight.insert(id, InFlight { deadlines, sent: false }).is_none());
                }
                Command::CancelAttempt { id } => self.end(id, Outcome::Cancelled),
                Command::WithdrawAttempt { id }
                    if self.in_flight.get(&id).is_some_and(|attempt| !attempt.sent) =>
                {
                    self.counts.withdrawn += 1;
                    self.end(id, Outcome::NeverSent);
                }
                _ => {}
            }
        }
        assert_eq!(self.clocked.engine.pending_jobs(), self.pending.len(), "seed {seed}");
    }
}

/// One random event: a submission, a client's disconnect, or a transition of an attempt.
fn step(driver: &mut Driver, rng: &mut fastrand::Rng, client: usize) {
    let in_flight: Vec<AttemptId> = driver.in_flight.keys().copied().collect();
    match rng.u32(0..12) {
        0..=3 => driver.submit(client, rng.usize(0..3), 50.0 + rng.f64() * 2_000.0),
        4 if !driver.pending.is_empty() => {
            let job = *driver.pending.iter().nth(rng.usize(0..driver.pending.len())).expect("in range");
            driver.abandon(job);
        }
        5..=7 if !in_flight.is_empty() => {
            let id = in_flight[rng.usize(0..in_flight.len())];
            if !driver.in_flight[&id].sent {
                driver.send(id);
            }
        }
        8 if !in_flight.is_empty() => {
            driver.clocked.engine.attempt_started(in_flight[rng.usize(0..in_flight.len())])
        }
        9.. if !in_flight.is_empty() => {
            let ends =
                [Outcome::Served, Outcome::Served, Outcome::Full, Outcome::WorkerError, Outcome::Reset];
            let id = in_flight[rng.usize(0..in_flight.len())];
            driver.end(id, ends[rng.usize(0..ends.len())]);
        }
        _ => {}
    }
}

fn run(seed: u64) -> Counts {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut driver = Driver::new(seed, seed.is_multiple_of(2));
    for client in 0..2_000 {
        driver.clocked.now += rng.f64() * 15.0;
        driver.time_out_attempts();
        step(&mut driver, &mut rng, client);
        driver.execute_commands();
    }
    driver.shut_down();
    driver.counts
}

#[test]
fn each_job_ends_once_and_no_attempt_of_it_is_sent_after_that() {
    let mut total = Counts::default();
    for seed in 1..=60 {
        total.add(run(seed));
    }
    // The runs covered each kind of end.
    assert!(total.answers > 1_000 && total.abandoned > 1_000, "{total:?}");
    assert!(total.withdrawn > 100 && total.expired > 50, "{total:?}");
}
