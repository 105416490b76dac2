//! Retries and failures after the different outcomes of an attempt.
#![allow(missing_docs)]

mod common;

use brackenledge_policy::{NewJob, Outcome, PriorExecution, Settings};
use common::{Driver, settings};

const REPEATABLE: usize = 0;
const IDEMPOTENT_IN_ZONE: usize = 1;
const NON_IDEMPOTENT: usize = 2;

/// A job of `class` with `workers` workers, whose first attempt ended with `outcome` after `duration` ms.
fn after_one_attempt(workers: usize, class: usize, duration: f64, outcome: Outcome) -> (Driver, u32) {
    let mut driver = Driver::new(settings(), workers, 5);
    let id = driver.job(class);
    driver.advance(duration);
    driver.end_attempt(id, 0, outcome);
    (driver, id)
}

#[test]
fn a_job_rejected_by_a_full_worker_goes_to_another_one() {
    let (driver, id) = after_one_attempt(4, NON_IDEMPOTENT, 0.0, Outcome::Full);
    let workers = driver.workers_of(id);
    assert_eq!(workers.len(), 2);
    assert_ne!(workers[0], workers[1]);
}

#[test]
fn a_non_idempotent_job_that_may_have_run_fails_at_once() {
    for outcome in [Outcome::WorkerError, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let (driver, id) = after_one_attempt(4, NON_IDEMPOTENT, 0.0, outcome);
        assert_eq!(driver.failed, vec![id]);
    }
}

#[test]
fn an_attempt_of_another_scheduler_that_may_have_run_counts_as_the_first_attempt() {
    let window = settings().classes[IDEMPOTENT_IN_ZONE].deduplication_window;
    // The worker of the earlier attempt is number 3, in the second of two zones.
    let zones_and_failed = |class: usize, age: f64| {
        let mut driver = Driver::new(settings(), 6, 5);
        let new = NewJob {
            class,
            time_left: 5_000.0,
            slots: 1.0,
            prior_execution: Some(PriorExecution { worker: 3, age }),
            ..NewJob::default()
        };
        let id = driver.job_with(new);
        let zones: Vec<usize> = driver.workers_of(id).into_iter().map(|worker| worker % 2).collect();
        (zones, driver.failed.contains(&id))
    };
    assert_eq!(zones_and_failed(NON_IDEMPOTENT, 10.0), (vec![], true), "not retried, failed at once");
    assert_eq!(zones_and_failed(IDEMPOTENT_IN_ZONE, 10.0), (vec![1], false), "retried in the same zone");
    assert_eq!(zones_and_failed(IDEMPOTENT_IN_ZONE, window + 1.0), (vec![], true), "after the window");
    assert_eq!(zones_and_failed(REPEATABLE, 10.0).0.len(), 1, "retried anywhere");
    // If the earlier worker is unknown, no worker is known to be in its zone.
    let mut driver = Driver::new(settings(), 6, 5);
    let new = NewJob {
        class: IDEMPOTENT_IN_ZONE,
        time_left: 500.0,
        slots: 1.0,
        prior_execution: Some(PriorExecution { worker: 99, age: 10.0 }),
        ..NewJob::default()
    };
    let id = driver.job_with(new);
    driver.advance(600.0);
    assert_eq!((driver.workers_of(id).len(), driver.failed.contains(&id)), (0, true));
}

#[test]
fn an_idempotent_job_stays_in_its_zone_and_window() {
    let (driver, id) = after_one_attempt(6, IDEMPOTENT_IN_ZONE, 0.0, Outcome::Reset);
    let workers = driver.workers_of(id);
    assert_eq!(workers.len(), 2, "retried");
    assert_eq!(workers[0] % 2, workers[1] % 2, "in the same zone");

    let window = settings().classes[IDEMPOTENT_IN_ZONE].deduplication_window;
    let (driver, id) = after_one_attempt(6, IDEMPOTENT_IN_ZONE, window, Outcome::Reset);
    assert_eq!(driver.workers_of(id).len(), 1, "not retried after the deduplication window");
    assert_eq!(driver.failed, vec![id], "failed rather than rejected, as it may have run");
}

#[test]
fn a_bad_request_fails_without_retry_and_does_not_count_against_its_worker() {
    let mut driver = Driver::new(settings(), 2, 2);
    let used: Vec<usize> = (0..10)
        .map(|_| {
            let id = driver.job_with_key(REPEATABLE, "k");
            driver.advance(10.0);
            driver.end_attempt(id, 0, Outcome::BadRequest);
            assert_eq!(driver.workers_of(id).len(), 1);
            driver.workers_of(id)[0]
        })
        .collect();
    assert_eq!((driver.failed.len(), driver.rejected.len()), (10, 0));
    assert!(used.windows(2).all(|pair| pair[0] == pair[1]), "{used:?}");
}

#[test]
fn an_overtaken_attempt_is_cancelled_if_the_job_can_be_retried() {
    let mut driver = Driver::new(settings(), 1, 2);
    let lost = [driver.job(REPEATABLE), driver.job(NON_IDEMPOTENT)];
    driver.advance(1_000.0);
    assert!(driver.cancelled.is_empty(), "cancelled after a long wait without being overtaken");
    let later = driver.job(REPEATABLE);
    driver.start(later, 0);
    driver.advance(1_000.0);
    assert!(driver.cancelled.contains(&(lost[0], 0)) && !driver.cancelled.contains(&(lost[1], 0)));
    driver.end_attempt(lost[0], 0, Outcome::Cancelled);
    assert_eq!(driver.workers_of(lost[0]).len(), 2);

    // Where workers do not start their queued jobs in order, attempts are regularly overtaken.
    let mut driver = Driver::new(Settings { starts_in_order: false, ..settings() }, 1, 2);
    driver.job(REPEATABLE);
    driver.advance(1_000.0);
    let later = driver.job(REPEATABLE);
    driver.start(later, 0);
    driver.advance(1_000.0);
    assert!(driver.cancelled.is_empty());
}
