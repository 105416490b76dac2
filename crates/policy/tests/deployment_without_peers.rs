//! A deployment in which schedulers cannot send one another messages, workers do not report when a job starts
//! and report their load only in response to health checks, and late answers are worth nothing.
#![allow(missing_docs)]

mod common;

use brackenledge_policy::{
    Class, DeduplicationScope, Effect, Event, ListKind, LoadReport, Millis, NewJob, Outcome, ReportSource,
    Settings, WorkerEntry, WorkerId,
};
use common::{Driver, class, settings, worker};

const LIGHT: usize = 0;
const HEAVY: usize = 1;
const DEADLINE: Millis = 5_000.0;

/// Two schedulers and two classes. The second class has five times the weight of the first; late answers have
/// no weight.
fn without_peers() -> Settings {
    let light = class(Effect::Repeatable, DeduplicationScope::All);
    let heavy = Class { priority_weight: 5.0, ..light.clone() };
    Settings {
        classes: vec![light, heavy],
        schedulers: 2,
        reports_job_start: false,
        health_checks: true,
        report_source: ReportSource::HealthChecks,
        ..settings()
    }
}

fn job(class: usize, run_time: Millis) -> NewJob {
    NewJob { class, time_left: DEADLINE, slots: 1.0, expected_run_time: Some(run_time), ..NewJob::default() }
}

/// A worker reports its free slots in response to a health check.
fn report_free_slots(driver: &mut Driver, worker: WorkerId, free_slots: f64) {
    let report = LoadReport { free_slots: Some(free_slots), queued: Some(0.0), ..LoadReport::default() };
    driver.event(Event::HealthChecked { worker, outcome: Outcome::Served, report: Some(report) });
}

/// A scheduler with this many idle workers of four slots.
fn with_workers(count: usize) -> Driver {
    let mut driver = Driver::new(without_peers(), count, 3);
    (0..count).for_each(|id| report_free_slots(&mut driver, id, 4.0));
    driver
}

/// Submits jobs until one is not sent at once, and waits until that one is rejected.
fn fill_workers(driver: &mut Driver, class: usize, run_time: Millis) {
    loop {
        let id = driver.job_with(job(class, run_time));
        if driver.workers_of(id).is_empty() {
            break;
        }
    }
    driver.advance(300.0);
}

/// Ends the first attempt in flight as served.
fn serve_one(driver: &mut Driver) {
    let (id, attempt) = driver.in_flight()[0];
    driver.end_attempt(id, attempt, Outcome::Served);
}

#[test]
fn workers_are_health_checked_if_load_reports_come_no_other_way() {
    let mut driver = with_workers(3);
    driver.advance(10_000.0);
    for id in 0..3 {
        let checks = driver.health_checks.iter().filter(|&&(_, worker)| worker == id).count();
        assert!((4..=6).contains(&checks), "worker {id}: {checks} health checks in 10 s");
    }
    for settings in [
        Settings { health_checks: false, ..without_peers() },
        Settings { report_source: ReportSource::Responses, ..without_peers() },
    ] {
        let mut driver = Driver::new(settings, 3, 3);
        driver.advance(10_000.0);
        assert_eq!(driver.health_checks, []);
    }
}

#[test]
fn the_queue_time_of_a_job_depends_on_its_own_running_time() {
    let mut driver = Driver::empty(without_peers(), 1);
    let (short, long) = (driver.job_with(job(LIGHT, 50.0)), driver.job_with(job(LIGHT, 1_000.0)));
    driver.advance(250.0);
    assert_eq!(driver.rejected, [short]);
    driver.advance(500.0);
    assert_eq!(driver.rejected, [short, long]);
}

#[test]
fn jobs_with_a_long_latency_objective_leave_capacity_for_urgent_ones() {
    let relaxed = Class { latency_objective: 4_000.0, ..class(Effect::Repeatable, DeduplicationScope::All) };
    let urgent = class(Effect::Repeatable, DeduplicationScope::All);
    let mut driver = Driver::new(Settings { classes: vec![relaxed, urgent], ..without_peers() }, 1, 3);
    report_free_slots(&mut driver, 0, 4.0);
    // The other scheduler is assumed to send as many jobs: with four each, the last would wait for two
    // running times.
    fill_workers(&mut driver, 0, 2_000.0);
    assert!((2..=3).contains(&driver.in_flight().len()), "{} jobs in flight", driver.in_flight().len());
}

#[test]
fn the_jobs_of_the_highest_weight_go_first_among_all_tenants() {
    let mut driver = with_workers(1);
    fill_workers(&mut driver, LIGHT, 200.0);
    let light = driver.job_with(NewJob { tenant: 0, ..job(LIGHT, 200.0) });
    let heavy = driver.job_with(NewJob { tenant: 1, ..job(HEAVY, 200.0) });
    driver.advance(50.0);
    serve_one(&mut driver);
    assert_eq!((driver.workers_of(heavy).len(), driver.workers_of(light).len()), (1, 0));
}

#[test]
fn the_latency_objective_of_a_retried_request_counts_from_the_first_request() {
    // A retry that comes too late to meet it takes no capacity from jobs that can still be in time.
    for (age, is_sent) in [(0.0, true), (100.0, true), (2_000.0, false)] {
        let mut driver = with_workers(1);
        fill_workers(&mut driver, LIGHT, 200.0);
        serve_one(&mut driver);
        assert!(
            driver.in_flight().len() >= 2,
            "too few jobs to occupy all slots, counted for both schedulers"
        );
        let retry = NewJob { time_left: DEADLINE - age, is_retry: true, ..job(LIGHT, 200.0) };
        let retry = driver.job_with(retry);
        assert_eq!(driver.workers_of(retry).len() == 1, is_sent, "{age} ms after the first request");
    }
}

#[test]
fn started_workers_are_used_even_if_nothing_was_served_recently() {
    // If slow start derived a worker's allowed work only from recently served work, nothing would be allowed
    // once nothing is served, and service would resume only by chance.
    let mut driver = with_workers(2);
    driver.advance(60_000.0);
    let started_at = Some(driver.now);
    let entries = (0..2).map(|id| WorkerEntry { started_at, ..worker(id) }).collect();
    driver.list(ListKind::Delta, entries);
    driver.advance(1_000.0);
    let id = driver.job_with(job(LIGHT, 100.0));
    driver.advance(100.0);
    assert_eq!(driver.workers_of(id).len(), 1);
}

#[test]
fn slow_start_sends_no_job_that_is_too_large_for_a_worker() {
    // Four slots at a quarter of the capacity do 1,000 ms of work per second; the limit is three times that.
    let mut driver = with_workers(1);
    let started_at = Some(driver.now);
    driver.list(ListKind::Delta, vec![WorkerEntry { started_at, ..worker(0) }]);
    driver.advance(1_000.0);
    let large = driver.job_with(job(HEAVY, 2_500.0));
    driver.advance(100.0);
    assert_eq!(driver.workers_of(large).len(), 0);
    let mut work = 0.0;
    for _ in 0..200 {
        let id = driver.job_with(job(LIGHT, 100.0));
        work += 100.0 * driver.workers_of(id).len() as f64;
        driver.serve_after(50.0);
        driver.advance(5.0);
    }
    assert!(
        (100.0..=1_500.0).contains(&work),
        "{work} ms of work in one second; the limit is 3,000 for two schedulers"
    );
}

#[test]
fn a_started_worker_is_assumed_to_be_as_fast_as_its_machine_kind() {
    let of_kind = |id: WorkerId, kind: u32| WorkerEntry { kind, ..worker(id) };
    let mut driver = Driver::empty(without_peers(), 7);
    driver.list(ListKind::Full, vec![of_kind(0, 0), of_kind(1, 1)]);
    // Machines of kind 1 take six times as long as those of kind 0.
    let run_times = [100.0, 600.0];
    for _ in 0..400 {
        if driver.in_flight().len() < 2 {
            driver.job_with(job(LIGHT, 200.0));
        }
        for (id, number) in driver.in_flight() {
            let attempt = &driver.jobs[&id].attempts[number];
            if attempt.sent_at + run_times[attempt.worker] <= driver.now {
                driver.end_attempt(id, number, Outcome::Served);
            }
        }
        driver.advance(20.0);
    }
    driver.list(ListKind::Full, vec![of_kind(2, 0), of_kind(3, 1)]);
    let ids: Vec<u32> = (0..2).map(|_| driver.job_with(job(LIGHT, 400.0))).collect();
    assert!(
        ids.iter().all(|&id| driver.workers_of(id) == [2]),
        "a worker of the slow kind was used although one of the fast kind had capacity"
    );
}
