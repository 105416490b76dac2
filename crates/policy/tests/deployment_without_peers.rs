//! Schedulers that can't send one another messages, workers that do not report starts and state their load to health checks
//! alone, and late answers that are worth nothing.
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

/// Two schedulers and two classes, of which the second has five times the weight; late answers have none.
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

/// A worker states its free slots to a health check.
fn states_free_slots(driver: &mut Driver, worker: WorkerId, free_slots: f64) {
    let report = LoadReport { free_slots: Some(free_slots), queued: Some(0.0), ..LoadReport::default() };
    driver.event(Event::HealthChecked { worker, outcome: Outcome::Served, report: Some(report) });
}

/// Schedulers with this many idle workers of four slots.
fn with_workers(count: usize) -> Driver {
    let mut driver = Driver::new(without_peers(), count, 3);
    (0..count).for_each(|id| states_free_slots(&mut driver, id, 4.0));
    driver
}

/// Sends jobs until one is not sent at once, and waits until that is rejected.
fn fill(driver: &mut Driver, class: usize, run_time: Millis) {
    loop {
        let id = driver.job_with(job(class, run_time));
        if driver.workers_of(id).is_empty() {
            break;
        }
    }
    driver.advance(300.0);
}

/// The first attempt in flight ends.
fn serve_one(driver: &mut Driver) {
    let (id, attempt) = driver.in_flight()[0];
    driver.end_attempt(id, attempt, Outcome::Served);
}

#[test]
fn workers_are_asked_for_their_load_where_it_comes_no_other_way() {
    let mut driver = with_workers(3);
    driver.advance(10_000.0);
    for id in 0..3 {
        let checks = driver.health_checks.iter().filter(|&&(_, worker)| worker == id).count();
        assert!((4..=6).contains(&checks), "worker {id}: {checks} in 10 s");
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
fn a_job_waits_in_its_queue_by_its_own_running_time() {
    let mut driver = Driver::empty(without_peers(), 1);
    let (short, long) = (driver.job_with(job(LIGHT, 50.0)), driver.job_with(job(LIGHT, 1_000.0)));
    driver.advance(250.0);
    assert_eq!(driver.rejected, [short]);
    driver.advance(500.0);
    assert_eq!(driver.rejected, [short, long]);
}

#[test]
fn patient_jobs_leave_room_at_workers_for_urgent_ones() {
    let patient = Class { latency_objective: 4_000.0, ..class(Effect::Repeatable, DeduplicationScope::All) };
    let urgent = class(Effect::Repeatable, DeduplicationScope::All);
    let mut driver = Driver::new(Settings { classes: vec![patient, urgent], ..without_peers() }, 1, 3);
    states_free_slots(&mut driver, 0, 4.0);
    // The other scheduler is taken to send as many: with four, the last of them would wait for two running times.
    fill(&mut driver, 0, 2_000.0);
    assert!((2..=3).contains(&driver.in_flight().len()), "{} jobs", driver.in_flight().len());
}

#[test]
fn the_jobs_of_the_greatest_weight_go_first_over_all_tenants() {
    let mut driver = with_workers(1);
    fill(&mut driver, LIGHT, 200.0);
    let light = driver.job_with(NewJob { tenant: 0, ..job(LIGHT, 200.0) });
    let heavy = driver.job_with(NewJob { tenant: 1, ..job(HEAVY, 200.0) });
    driver.advance(50.0);
    serve_one(&mut driver);
    assert_eq!((driver.workers_of(heavy).len(), driver.workers_of(light).len()), (1, 0));
}

#[test]
fn a_clients_retry_keeps_the_objective_of_its_first_request() {
    // Where it comes too late for that, it takes no place from jobs that can be in time.
    for (age, is_sent) in [(0.0, true), (100.0, true), (2_000.0, false)] {
        let mut driver = with_workers(1);
        fill(&mut driver, LIGHT, 200.0);
        serve_one(&mut driver);
        assert!(driver.in_flight().len() >= 2, "all slots are taken, by the jobs of both schedulers");
        let retry = NewJob { time_left: DEADLINE - age, is_retry: true, ..job(LIGHT, 200.0) };
        let retry = driver.job_with(retry);
        assert_eq!(driver.workers_of(retry).len() == 1, is_sent, "{age} ms after the first request");
    }
}

#[test]
fn workers_that_start_are_used_even_if_nothing_was_served_of_late() {
    // Their part of the work was reckoned from what workers were served, and a jam ended only by chance.
    let mut driver = with_workers(2);
    driver.advance(60_000.0);
    let started_at = Some(driver.now);
    let fresh = (0..2).map(|id| WorkerEntry { started_at, ..worker(id) }).collect();
    driver.list(ListKind::Delta, fresh);
    driver.advance(1_000.0);
    let id = driver.job_with(job(LIGHT, 100.0));
    driver.advance(100.0);
    assert_eq!(driver.workers_of(id).len(), 1);
}

#[test]
fn slow_start_sends_no_job_that_is_too_large_for_a_worker() {
    // Four slots and a quarter of the capacity: 1,000 ms of work a second, and three times that are the limit.
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
    assert!((100.0..=1_500.0).contains(&work), "{work} ms of work in a second, of 3,000 for two schedulers");
}

#[test]
fn a_worker_that_starts_is_taken_to_be_as_fast_as_its_kind() {
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
        "the slow kind is left alone while the other will do"
    );
}
