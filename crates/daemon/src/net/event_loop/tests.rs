//! What a poll that was interrupted or suspended still has to report.

use super::{MAX_POLL_OVERRUN, Polled, poll_to_the_end};
use std::io::{Error, ErrorKind, Result};
use std::thread::sleep;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(1);

/// The timeouts that the poll is called with, where its calls end as given.
fn polls(timeout: Option<Duration>, mut ends: Vec<fn() -> Result<Polled>>) -> Vec<Option<Duration>> {
    let mut timeouts = Vec::new();
    let result = poll_to_the_end(timeout, |timeout| {
        timeouts.push(timeout);
        ends.remove(0)()
    });
    assert!(result.is_ok() && ends.is_empty(), "{} polls are left", ends.len());
    timeouts
}

fn interrupted() -> Result<Polled> {
    Err(Error::from(ErrorKind::Interrupted))
}

fn suspended() -> Result<Polled> {
    sleep(TIMEOUT + MAX_POLL_OVERRUN + Duration::from_millis(5));
    Ok(Polled::Nothing)
}

#[test]
fn a_poll_that_was_interrupted_is_repeated_without_a_wait() {
    let timeouts = polls(Some(TIMEOUT), vec![interrupted, interrupted, || Ok(Polled::Nothing)]);
    assert_eq!(timeouts, [Some(TIMEOUT), Some(Duration::ZERO), Some(Duration::ZERO)]);
}

#[test]
fn a_poll_that_returned_nothing_long_after_its_timeout_is_repeated_without_a_wait() {
    assert_eq!(
        polls(Some(TIMEOUT), vec![suspended, || Ok(Polled::Events)]),
        [Some(TIMEOUT), Some(Duration::ZERO)]
    );
    let timeouts = polls(Some(TIMEOUT), vec![suspended, interrupted, || Ok(Polled::Nothing)]);
    assert_eq!(timeouts, [Some(TIMEOUT), Some(Duration::ZERO), Some(Duration::ZERO)]);
}

#[test]
fn a_poll_that_returned_events_or_had_no_timeout_is_not_repeated() {
    let with_events = || suspended().map(|_| Polled::Events);
    assert_eq!(polls(Some(TIMEOUT), vec![with_events]), [Some(TIMEOUT)]);
    assert_eq!(polls(None, vec![suspended]), [None]);
}
