//! Exemptions of requests from the rule on answers, due to fault windows of their scheduler.

use super::KILL_TOLERANCE;
use super::fault_windows::{FaultCause, FaultWindow};
use super::observations::Request;
use crate::Millis;

/// A scheduler must still answer requests that were sent within this time after its SIGTERM.
const TERMINATION_GRACE: Millis = 700.0;

/// What a request is exempted from by its scheduler's fault windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exemption {
    /// Its connection may have ended without an answer.
    pub may_be_lost: bool,
    /// Its answer may be late or never arrive.
    pub may_be_late: bool,
}

/// Determines the exemption of a request. `last_end` is the time of its last end; without one, the time by
/// which its answer was due.
pub fn exemption(windows: &[FaultWindow], request: &Request, last_end: Millis) -> Exemption {
    let sent_at = request.sent_at;
    let mut may_be_lost = windows.iter().any(|window| lost_with_duplicate(window, request, last_end));
    let mut may_be_late = false;
    for window in windows.iter().filter(|window| window.from <= last_end && sent_at <= window.until) {
        match window.cause {
            FaultCause::Killed => may_be_lost = true,
            // SIGTERM announces the end: requests sent until the grace period is over must be answered.
            FaultCause::Terminated => may_be_lost |= sent_at > window.from + TERMINATION_GRACE,
            FaultCause::Paused | FaultCause::ClientsCutOff => may_be_late |= sent_at <= window.until,
        }
    }
    Exemption { may_be_lost, may_be_late: may_be_late || may_be_lost }
}

/// Whether the request may have been lost with one of two processes that run under one name. The other
/// process continues, so the fault window closes at once, but a client that has not yet noticed the kill may
/// write to a connection of the killed process.
fn lost_with_duplicate(window: &FaultWindow, request: &Request, last_end: Millis) -> bool {
    window.cause == FaultCause::Killed
        && request.connected_at <= window.from
        && window.from <= last_end
        && last_end <= window.from + KILL_TOLERANCE
}
