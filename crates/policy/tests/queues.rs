//! Tenant queues and the slot budget.
#![allow(missing_docs)]

mod common;

use brackenledge_policy::{Class, DeduplicationScope, Effect, Event, NewJob, Outcome, Settings};
use common::{Driver, settings};

const REPEATABLE: usize = 0;
const NON_IDEMPOTENT: usize = 2;

#[test]
fn jobs_over_quota_are_rejected_before_jobs_within_quota() {
    let mut driver = Driver::new(settings(), 2, 2);
    let mut within_quota = Vec::new();
    for step in 0..2_000 {
        // Tenant 0 sends ten times its quota of 60 jobs per second, tenant 1 half of its quota of 40.
        driver.job(REPEATABLE);
        driver.job(REPEATABLE);
        if step % 15 == 0 {
            let new =
                NewJob { class: REPEATABLE, tenant: 1, time_left: 5_000.0, slots: 1.0, ..NewJob::default() };
            within_quota.push(driver.job_with(new));
        }
        driver.serve_after(50.0);
        driver.advance(3.3);
    }
    let rejected = within_quota.iter().filter(|id| driver.rejected.contains(id)).count();
    assert!(driver.rejected.len() > 1_000, "{} jobs rejected in total", driver.rejected.len());
    assert_eq!(rejected, 0, "rejected jobs of tenant 1, which sent {}", within_quota.len());
}

#[test]
fn a_job_that_no_worker_can_run_does_not_block_those_behind_it() {
    let special = Class { kind: Some(7), ..common::class(Effect::Repeatable, DeduplicationScope::All) };
    let classes = vec![special, common::class(Effect::Repeatable, DeduplicationScope::All)];
    let mut driver = Driver::new(Settings { classes, ..settings() }, 4, 2);
    let unplaceable = driver.job(0);
    let other = driver.job(1);
    assert!(driver.workers_of(unplaceable).is_empty());
    assert_eq!(driver.workers_of(other).len(), 1);
}

#[test]
fn the_job_of_the_highest_weight_goes_first_and_evicts_others_from_a_full_queue() {
    let mut settings = settings();
    settings.tenants[0].quota_per_second = 0.001;
    settings.classes[NON_IDEMPOTENT].priority_weight = 5.0;
    let mut driver = Driver::new(settings, 1, 5);
    let mut low_weight = Vec::new();
    while driver.rejected.is_empty() {
        low_weight.push(driver.job(REPEATABLE));
    }
    let in_flight = driver.in_flight();
    let high_weight = driver.job(NON_IDEMPOTENT);
    // The first rejected job found the queue full; the second one was the last in the queue and was evicted.
    assert_eq!(driver.rejected, [low_weight[low_weight.len() - 1], low_weight[low_weight.len() - 2]]);
    driver.end_attempt(in_flight[0].0, 0, Outcome::Served);
    assert_eq!(driver.in_flight().len(), in_flight.len());
    assert_eq!(driver.workers_of(high_weight).len(), 1);
}

/// Attempts in flight at five workers in a burst that follows 60 s of light load. `peers`: how many other
/// schedulers send their loads.
fn attempts_in_flight_in_a_burst(peers: u32) -> usize {
    let settings = Settings { schedulers: 4, peer_messages: true, ..settings() };
    let mut driver = Driver::new(settings, 5, 2);
    for _ in 0..600 {
        (1..=peers).for_each(|from| driver.event(Event::PeerMessage { from, text: "0".into() }));
        let id = driver.job(REPEATABLE);
        driver.start(id, 0);
        driver.advance(100.0);
        driver.end_attempt(id, 0, Outcome::Served);
    }
    for _ in 0..100 {
        driver.job(REPEATABLE);
    }
    driver.in_flight().len()
}

#[test]
fn a_budget_that_grew_under_light_load_overloads_no_worker_in_a_burst() {
    // With three peers a quarter of 8 slots per worker; more if the other schedulers send no messages.
    let (without_peers, with_peers) = (attempts_in_flight_in_a_burst(0), attempts_in_flight_in_a_burst(3));
    assert!((5..=10).contains(&with_peers), "{with_peers}");
    assert!((20..=40).contains(&without_peers), "{without_peers}");
}

#[test]
fn a_scheduler_that_has_just_started_takes_the_load_of_others() {
    // In a rolling restart the whole load may be sent to the scheduler that started last.
    let mut driver = Driver::new(Settings { schedulers: 4, peer_messages: true, ..settings() }, 5, 2);
    let ids: Vec<u32> = (0..18).map(|_| driver.job(REPEATABLE)).collect();
    assert!(ids.iter().all(|&id| driver.workers_of(id).len() == 1));
}
