//! Updates of the worker list, slow start, and workers that fail or are slow.
#![allow(missing_docs)]

mod common;

use brackenledge_policy::{ListKind, Outcome, Readiness, Settings, WorkerEntry};
use common::{Driver, settings, worker};

const REPEATABLE: usize = 0;
const NON_IDEMPOTENT: usize = 2;

#[test]
fn draining_and_missing_workers_get_no_new_jobs() {
    let mut driver = Driver::new(settings(), 3, 1);
    let draining = WorkerEntry { readiness: Readiness::Draining, ..worker(0) };
    driver.list(ListKind::Delta, vec![draining]);
    driver.list(ListKind::Full, vec![worker(2)]);
    for _ in 0..6 {
        let id = driver.job(REPEATABLE);
        assert!(driver.workers_of(id).iter().all(|&to| to == 2));
    }
}

#[test]
fn a_failed_poll_is_repeated_within_the_longest_interval() {
    let mut driver = Driver::new(Settings { list_on_request: true, ..settings() }, 3, 1);
    driver.advance(10_000.0);
    assert_eq!(driver.watches, 1);
    driver.list(ListKind::Failed, Vec::new());
    driver.advance(10_000.0);
    assert_eq!(driver.watches, 2);
    driver.list(ListKind::Delta, Vec::new());
    driver.advance(60_000.0);
    assert_eq!(driver.watches, 2, "polled although the watch works");
}

/// The most work, in slot-milliseconds, that one of `schedulers` schedulers sends to worker 0 within a second
/// while the first `restarted` workers are warming up. The load is steady and each job takes `run_time`.
fn work_in_the_worst_second_of_slow_start(schedulers: u32, restarted: usize, run_time: f64) -> f64 {
    let mut driver = Driver::new(Settings { schedulers, ..settings() }, 10, 11);
    let mut sent = Vec::new();
    for step in 0..1_200 {
        if step == 600 {
            let started_at = Some(driver.now);
            let entries = (0..restarted).map(|id| WorkerEntry { started_at, ..worker(id) }).collect();
            driver.list(ListKind::Delta, entries);
        }
        if step % 2 == 0 {
            let id = driver.job(REPEATABLE);
            if step >= 600 {
                sent.extend(driver.workers_of(id).first().filter(|&&to| to == 0).map(|_| driver.now));
            }
        }
        driver.serve_after(run_time);
        driver.advance(10.0);
    }
    let worst = sent.iter().map(|&from| sent.iter().filter(|&&at| at >= from && at < from + 1_000.0).count());
    worst.max().unwrap_or(0) as f64 * run_time
}

#[test]
fn slow_start_limits_the_work_even_when_most_workers_warm_up() {
    // 50 jobs of 200 ms per second on 10 workers: 1,000 slot-ms per second at each if the load is even.
    for restarted in [1, 9] {
        let sent = work_in_the_worst_second_of_slow_start(1, restarted, 200.0);
        let max = 3.0 * 0.5 * 1_000.0;
        assert!(sent > 0.0 && sent <= max, "{restarted} restarted: {sent} slot-ms in one second");
    }
}

#[test]
fn failing_workers_lose_their_jobs_and_are_tried_again() {
    let mut driver = Driver::new(Settings { schedulers: 1, ..settings() }, 6, 2);
    let mut to_failing = 0;
    for _ in 0..200 {
        let id = driver.job(NON_IDEMPOTENT);
        to_failing += driver.workers_of(id).iter().filter(|&&to| to == 0).count();
        driver.advance(10.0);
        // Four jobs run at a time. The failing worker fails each job within 10 ms and is then idle again.
        for (id, number) in driver.in_flight() {
            let (worker, sent_at) =
                (driver.jobs[&id].attempts[number].worker, driver.jobs[&id].attempts[number].sent_at);
            if worker == 0 {
                driver.end_attempt(id, number, Outcome::WorkerError);
            } else if sent_at + 40.0 <= driver.now {
                driver.end_attempt(id, number, Outcome::Served);
            }
        }
    }
    assert!((1..20).contains(&to_failing), "{to_failing} of 200 jobs sent to the failing worker");
}

#[test]
fn one_failure_among_many_attempts_does_not_cost_a_worker_its_jobs() {
    let mut driver = Driver::new(settings(), 2, 2);
    let mut others = 0;
    let mut run_one = |outcome| {
        // If all jobs had the same key, both workers would be preferred for it.
        for _ in 0..9 {
            others += 1;
            let id = driver.job_with_key(REPEATABLE, &format!("other-{others}"));
            driver.advance(100.0);
            driver.end_attempt(id, 0, Outcome::Served);
        }
        let id = driver.job_with_key(REPEATABLE, "kk");
        let to = driver.workers_of(id)[0];
        driver.advance(100.0);
        driver.end_attempt(id, 0, outcome);
        driver.advance(50.0);
        driver.serve_after(0.0);
        to
    };
    let first = run_one(Outcome::Served);
    (0..40).for_each(|_| assert_eq!(run_one(Outcome::Served), first));
    run_one(Outcome::Reset);
    (0..3).for_each(|_| {
        assert_eq!(run_one(Outcome::Served), first, "after one reset among forty served attempts")
    });
}

#[test]
fn a_worker_that_was_slow_is_used_again() {
    let mut driver = Driver::new(settings(), 3, 7);
    // Jobs at worker 0 take ten times as long during the first 200 steps, later as long as at the others.
    let mut used = [0; 2];
    for step in 0..600 {
        let id = driver.job(REPEATABLE);
        let to = driver.workers_of(id)[0];
        driver.start(id, 0);
        used[usize::from(step >= 400)] += usize::from(to == 0 && step >= 100);
        for (id, attempt) in driver.in_flight() {
            let slow = driver.workers_of(id)[attempt] == 0 && step < 200;
            let sent_at = driver.jobs[&id].attempts[attempt].sent_at;
            if driver.now - sent_at >= if slow { 1_500.0 } else { 150.0 } {
                driver.end_attempt(id, attempt, Outcome::Served);
            }
        }
        driver.advance(100.0);
    }
    assert!(used[0] < 80, "{} of 300 jobs sent to the worker, which was slow during the first 100", used[0]);
    assert!(used[1] > 30, "{} of 200 jobs sent to the worker long after it was slow", used[1]);
}
