//! Compares the engine's statistics with an independent count. Seeded random sequences of jobs, faults and
//! client disconnects run through the engine on a virtual clock; the test counts each `Answer` command, and
//! the statistics must agree after each step.
#![allow(missing_docs)]

mod support;

use brackenledge_engine::{Answer, AttemptId, Command};
use brackenledge_policy::{Class, Effect, JobId, Outcome, Settings};
use std::collections::BTreeMap;
use support::{ClockedEngine, job_request};

const CLASSES: usize = 3;
const STEPS: usize = 3_000;

fn settings() -> Settings {
    let class = Class { deadline: 3_000.0, ..Class::default() };
    Settings { classes: vec![class; CLASSES], max_attempts: 3, ..Settings::default() }
}

/// The test's own count.
#[derive(Default)]
struct ExpectedStats {
    class: BTreeMap<JobId, usize>,
    answered: BTreeMap<JobId, &'static str>,
    abandoned: Vec<JobId>,
    /// Indexed by class: served, rejected, failed.
    ends: [[u64; 3]; CLASSES],
    sent: u64,
    rejected_at_admission: [u64; CLASSES],
}

/// Drives the engine, in place of frontends and workers.
struct Driver {
    seed: u64,
    rng: fastrand::Rng,
    clocked: ClockedEngine,
    expected: ExpectedStats,
    in_flight: Vec<AttemptId>,
    last_client: usize,
}

impl Driver {
    fn new(seed: u64) -> Driver {
        Driver {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            clocked: ClockedEngine::new(1_000_000.0, settings(), seed),
            expected: ExpectedStats::default(),
            in_flight: Vec::new(),
            last_client: 0,
        }
    }

    fn step(&mut self) {
        self.clocked.now += self.rng.f64() * 20.0;
        match self.rng.u32(0..10) {
            0..=3 => self.submit_job(),
            4 => self.reject_at_admission(),
            5 => self.abandon_some_job(),
            _ if !self.in_flight.is_empty() => self.end_some_attempt(),
            _ => {}
        }
        self.clocked.handle_due_timeout();
        while let Some(command) = self.clocked.poll_command() {
            self.execute(command);
        }
        self.check();
    }

    fn submit_job(&mut self) {
        self.last_client += 1;
        let class = self.rng.usize(0..CLASSES);
        let key = Some(format!("k{}", self.rng.u32(0..20)));
        let time_left = 200.0 + self.rng.f64() * 2_000.0;
        let submitted = job_request(self.last_client, class, Effect::Repeatable, key, time_left);
        let job = self.clocked.submit_job(submitted);
        self.expected.class.insert(job, class);
    }

    /// A frontend rejects a job without submitting it.
    fn reject_at_admission(&mut self) {
        let class = self.rng.usize(0..CLASSES);
        self.clocked.engine.rejected_at_admission(class);
        self.expected.rejected_at_admission[class] += 1;
    }

    /// A client that has no answer yet disconnects.
    fn abandon_some_job(&mut self) {
        let jobs = self.expected.class.keys();
        let open: Vec<JobId> =
            jobs.filter(|job| !self.expected.answered.contains_key(job)).copied().collect();
        if open.is_empty() {
            return;
        }
        let job = open[self.rng.usize(0..open.len())];
        if !self.expected.abandoned.contains(&job) {
            self.expected.abandoned.push(job);
            self.clocked.engine.abandon_job(job);
        }
    }

    fn end_some_attempt(&mut self) {
        let id = self.in_flight.swap_remove(self.rng.usize(0..self.in_flight.len()));
        let sent = self.rng.u32(0..10) > 0;
        if sent {
            self.clocked.engine.attempt_sent(id);
            self.expected.sent += 1;
        }
        match (sent, self.rng.u32(0..6)) {
            (false, _) => self.clocked.engine.attempt_ended(id, Outcome::ConnectFailed, None),
            (true, 0) => self.clocked.engine.attempt_ended(id, Outcome::WorkerError, None),
            (true, 1) => self.clocked.engine.attempt_ended(id, Outcome::Reset, None),
            (true, 2) => self.clocked.engine.attempt_ended(id, Outcome::Full, None),
            _ => self.clocked.engine.attempt_served(id, "ok".into(), None),
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Answer { job, answer, .. } => self.count_answer(job, &answer),
            Command::StartAttempt { id, .. } => self.in_flight.push(id),
            Command::CancelAttempt { id } => {
                if let Some(index) = self.in_flight.iter().position(|&attempt| attempt == id) {
                    self.in_flight.swap_remove(index);
                    self.clocked.engine.attempt_ended(id, Outcome::Cancelled, None);
                }
            }
            _ => {}
        }
    }

    fn count_answer(&mut self, job: JobId, answer: &Answer) {
        let Driver { seed, expected, .. } = self;
        let kind = match answer {
            Answer::Served(_) => 0,
            Answer::Rejected { .. } => 1,
            Answer::Failed => 2,
        };
        let previous = expected.answered.insert(job, ["served", "rejected", "failed"][kind]);
        assert!(previous.is_none(), "seed {seed}: job {job} answered twice");
        assert!(
            !expected.abandoned.contains(&job),
            "seed {seed}: job {job} answered after its client disconnected"
        );
        expected.ends[expected.class[&job]][kind] += 1;
    }

    /// Checks that the statistics agree with the test's count.
    fn check(&self) {
        let Driver { seed, expected, .. } = self;
        let stats = self.clocked.engine.stats();
        for class in 0..CLASSES {
            let counted = stats.classes[class];
            let [served, rejected, failed] = expected.ends[class];
            assert_eq!(counted.served, served, "seed {seed}, class {class}: served");
            assert_eq!(
                counted.rejected,
                rejected + expected.rejected_at_admission[class],
                "seed {seed}, class {class}"
            );
            assert_eq!(counted.failed, failed, "seed {seed}, class {class}: failed");
        }
        assert_eq!(stats.sent_attempts, expected.sent, "seed {seed}: sent attempts");
        let open = expected.class.len() - expected.answered.len() - expected.abandoned.len();
        assert_eq!(self.clocked.engine.pending_jobs(), open, "seed {seed}: pending jobs");
    }

    /// Checks that the run covered each kind of answer.
    fn check_coverage(&self) {
        let seed = self.seed;
        let total: [u64; 3] =
            std::array::from_fn(|kind| self.expected.ends.iter().map(|class| class[kind]).sum());
        assert!(total.iter().all(|&count| count > 0), "seed {seed}: {total:?}");
    }
}

#[test]
fn the_statistics_agree_with_an_independent_count_of_every_answer() {
    for seed in 1..=24 {
        let mut driver = Driver::new(seed);
        for _ in 0..STEPS {
            driver.step();
        }
        driver.check_coverage();
    }
}
