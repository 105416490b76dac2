//! A poll that was interrupted or suspended is repeated, so that events which arrived in time are reported
//! before the due alarms are handled.

use super::{MAX_POLL_OVERRUN, Polled, poll_until_timeout};
use std::io::{Error, ErrorKind, Result};
use std::thread::sleep;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(1);

/// Runs `poll_until_timeout` on a poll that returns these results in turn, and returns the timeouts it was
/// called with.
fn polled_timeouts(
    timeout: Option<Duration>,
    mut results: Vec<fn() -> Result<Polled>>,
) -> Vec<Option<Duration>> {
    let mut timeouts = Vec::new();
    let result = poll_until_timeout(timeout, |timeout| {
        timeouts.push(timeout);
        results.remove(0)()
    });
    assert!(result.is_ok() && results.is_empty(), "{result:?}, {} results not used", results.len());
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
    let timeouts = polled_timeouts(Some(TIMEOUT), vec![interrupted, interrupted, || Ok(Polled::Nothing)]);
    assert_eq!(timeouts, [Some(TIMEOUT), Some(Duration::ZERO), Some(Duration::ZERO)]);
}

#[test]
fn a_poll_that_returned_nothing_long_after_its_timeout_is_repeated_without_a_wait() {
    assert_eq!(
        polled_timeouts(Some(TIMEOUT), vec![suspended, || Ok(Polled::Events)]),
        [Some(TIMEOUT), Some(Duration::ZERO)]
    );
    let timeouts = polled_timeouts(Some(TIMEOUT), vec![suspended, interrupted, || Ok(Polled::Nothing)]);
    assert_eq!(timeouts, [Some(TIMEOUT), Some(Duration::ZERO), Some(Duration::ZERO)]);
}

#[test]
fn a_poll_that_returned_events_or_had_no_timeout_is_not_repeated() {
    let with_events = || suspended().map(|_| Polled::Events);
    assert_eq!(polled_timeouts(Some(TIMEOUT), vec![with_events]), [Some(TIMEOUT)]);
    assert_eq!(polled_timeouts(None, vec![suspended]), [None]);
}
