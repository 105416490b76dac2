//! Final answers of jobs that are not served, and timers.
#![allow(missing_docs)]

mod common;

use brackenledge_policy::{Action, Dispatcher, Event, NewJob};
use common::{Driver, settings};

const REPEATABLE: usize = 0;
const NON_IDEMPOTENT: usize = 2;

#[test]
fn with_no_worker_known_a_job_is_rejected_before_its_deadline() {
    let mut driver = Driver::empty(settings(), 1);
    let id = driver.job(NON_IDEMPOTENT);
    driver.advance(5_100.0);
    assert_eq!(driver.rejected, vec![id]);
}

#[test]
fn a_job_with_no_time_left_is_answered_within_the_slack() {
    let mut driver = Driver::empty(settings(), 1);
    driver.job_with(NewJob { class: REPEATABLE, time_left: 0.0, slots: 1.0, ..NewJob::default() });
    driver.advance(10.0);
    assert_eq!(driver.rejected.len() + driver.failed.len(), 1);
}

#[test]
fn an_attempt_in_flight_at_the_deadline_fails_the_job() {
    let mut driver = Driver::new(settings(), 2, 1);
    let id = driver.job(NON_IDEMPOTENT);
    driver.advance(5_100.0);
    assert_eq!(driver.failed, vec![id]);
}

#[test]
fn a_timer_that_expires_early_by_a_rounded_clock_is_set_again() {
    // The simulator rounds times to microseconds, so that a timer can expire slightly early. A dispatcher
    // that takes it for an outdated timer never sets the next one.
    let (mut now, mut actions) = (1_000_000.0, Vec::new());
    let mut dispatcher = Dispatcher::new(now, settings(), 9);
    let job = NewJob { id: 1, class: NON_IDEMPOTENT, time_left: 400.0003, slots: 1.0, ..NewJob::default() };
    dispatcher.handle(now, Event::Job(job), &mut actions);
    for _ in 0..40 {
        let mut timers = actions.iter().filter_map(|action| match action {
            Action::SetTimer { after } => Some(*after),
            _ => None,
        });
        let Some(after) = timers.next_back() else { break };
        actions.retain(|action| !matches!(action, Action::SetTimer { .. }));
        now = ((now + after) * 1_000.0).floor() / 1_000.0;
        dispatcher.handle(now, Event::Timer, &mut actions);
    }
    assert!(actions.iter().any(|action| matches!(action, Action::Reject { job: 1, .. })));
}

#[test]
fn attempts_for_a_disconnected_client_are_cancelled() {
    let mut driver = Driver::new(settings(), 2, 2);
    let id = driver.job(NON_IDEMPOTENT);
    driver.disconnect(id);
    assert_eq!(driver.cancelled, [(id, 0)]);
}
