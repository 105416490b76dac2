//! Property tests: the dispatcher's rules hold for arbitrary valid sequences of events. `common` checks them
//! on every action.
#![allow(missing_docs)]

mod common;

use brackenledge_policy::{
    AttemptResult, Event, ListKind, LoadReport, NewJob, Outcome, Readiness, WorkerEntry,
};
use common::{Driver, settings, worker};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Debug)]
enum Step {
    Job { class: usize, tenant: usize, time_left: f64, slots: u32 },
    End { pick: usize, outcome: usize },
    Start { pick: usize },
    Disconnect { pick: usize },
    List { kind: usize, id: usize, state: usize },
    Advance { by: f64 },
    UnexpectedReport { job: u32, attempt: usize },
    HealthCheck { worker: usize, free: f64, in_flight: f64 },
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::WorkerError,
    Outcome::Full,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NeverSent,
];

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..5usize, 0..2usize, prop_oneof![Just(0.0), 0.0..9.0, 9.0..5_000.0], 1..4u32)
            .prop_map(|(class, tenant, time_left, slots)| Step::Job { class, tenant, time_left, slots }),
        6 => (any::<usize>(), 0..8usize).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        3 => any::<usize>().prop_map(|pick| Step::Start { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        2 => (0..4usize, 0..8usize, 0..4usize).prop_map(|(kind, id, state)| Step::List { kind, id, state }),
        4 => (0.0..900.0).prop_map(|by| Step::Advance { by }),
        1 => (0..90u32, 0..6usize).prop_map(|(job, attempt)| Step::UnexpectedReport { job, attempt }),
        1 => (0..9usize, -1e9..1e9, -1e9..1e9)
            .prop_map(|(worker, free, in_flight)| Step::HealthCheck { worker, free, in_flight }),
    ]
}

fn entry(driver: &Driver, id: usize, state: usize) -> WorkerEntry {
    let readiness = [Readiness::Ready, Readiness::Ready, Readiness::Draining, Readiness::Gone][state];
    WorkerEntry { readiness, started_at: (state == 1).then_some(driver.now - 900.0), ..worker(id) }
}

fn apply_step(driver: &mut Driver, step: Step) {
    match step {
        Step::Job { class, tenant, time_left, slots } => {
            let job = NewJob { class, tenant, time_left, slots: f64::from(slots), ..NewJob::default() };
            driver.job_with(job);
        }
        Step::End { pick, outcome } => {
            let in_flight = driver.in_flight();
            if !in_flight.is_empty() {
                let (job, attempt) = in_flight[pick % in_flight.len()];
                driver.end_attempt(job, attempt, OUTCOMES[outcome]);
            }
        }
        Step::Start { pick } => {
            let in_flight = driver.in_flight();
            if !in_flight.is_empty() {
                let (job, attempt) = in_flight[pick % in_flight.len()];
                driver.start(job, attempt);
            }
        }
        Step::Disconnect { pick } => {
            let open: Vec<u32> =
                driver.jobs.iter().filter(|(_, job)| job.answered.is_none()).map(|(&id, _)| id).collect();
            if !open.is_empty() {
                driver.disconnect(open[pick % open.len()]);
            }
        }
        Step::List { kind, id, state } => match kind {
            0 => driver.list(ListKind::Failed, Vec::new()),
            1 => driver.list(ListKind::Full, (0..id).map(|id| entry(driver, id, (id + state) % 4)).collect()),
            _ => driver.list(ListKind::Delta, vec![entry(driver, id, state)]),
        },
        Step::Advance { by } => driver.advance(by),
        // Reports for attempts that have ended or never existed must have no effect. Attempts in flight are
        // skipped: the driver itself ends those.
        Step::UnexpectedReport { job, attempt } => {
            if driver
                .jobs
                .get(&job)
                .is_none_or(|known| known.attempts.get(attempt).is_none_or(|a| !a.in_flight))
            {
                driver.event(Event::JobStarted { job, attempt });
                driver.event(Event::JobProgress { job, attempt, done: 0.5 });
                let outcome = Outcome::WorkerError;
                driver.event(Event::AttemptEnded(AttemptResult {
                    job,
                    attempt,
                    outcome,
                    job_answered: false,
                    report: None,
                }));
            }
        }
        Step::HealthCheck { worker, free, in_flight } => {
            let report =
                LoadReport { free_slots: Some(free), in_flight: Some(in_flight), ..LoadReport::default() };
            driver.event(Event::HealthChecked { worker, outcome: Outcome::Served, report: Some(report) });
        }
    }
}

fn run(hedged_requests: bool, list_on_request: bool, seed: u8) {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..120);
    let result = runner.run(&(steps, any::<u64>()), |(steps, seed)| {
        let settings = brackenledge_policy::Settings { hedged_requests, list_on_request, ..settings() };
        let mut driver = Driver::new(settings, 6, seed);
        for step in steps {
            apply_step(&mut driver, step);
        }
        // Every job has a final answer once the last deadline has passed.
        driver.advance(6_000.0);
        prop_assert!(driver.jobs.values().all(|job| job.answered.is_some()));
        Ok(())
    });
    assert!(result.is_ok(), "{}", result.unwrap_err());
}

#[test]
fn rules_hold_with_hedged_requests() {
    run(true, false, 1);
}

#[test]
fn rules_hold_without_hedged_requests_and_with_a_list_on_request() {
    run(false, true, 2);
}
