//! Which requests a scheduler's fault windows exempt from the rule on answers.

use super::KILL_TOLERANCE;
use super::fault_windows::{FaultCause, FaultWindow};
use super::observations::Request;
use crate::Millis;

/// After SIGTERM a scheduler still answers what arrives within this time.
const TERMINATION_GRACE: Millis = 700.0;

/// What a scheduler's fault windows exempt a request from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exemption {
    /// Its connection may have ended without an answer.
    pub may_be_lost: bool,
    /// Its answer may be late or never arrive.
    pub may_be_late: bool,
}

/// The exemption of a request that ended at `last`.
pub fn exemption(windows: &[FaultWindow], request: &Request, last: Millis) -> Exemption {
    let sent_at = request.sent_at;
    let mut may_be_lost = windows.iter().any(|window| lost_with_duplicate(window, request, last));
    let mut may_be_late = false;
    for window in windows.iter().filter(|window| window.from <= last && sent_at <= window.until) {
        match window.cause {
            FaultCause::Killed => may_be_lost = true,
            // What arrived in time before the announced end must be answered.
            FaultCause::Terminated => may_be_lost |= sent_at > window.from + TERMINATION_GRACE,
            FaultCause::Paused | FaultCause::ClientsCutOff => may_be_late |= sent_at <= window.until,
        }
    }
    Exemption { may_be_lost, may_be_late: may_be_late || may_be_lost }
}

/// Of two processes under one name the other one continues, so that the window closes at once. A client that had not
/// noticed the death may have written to a connection of the killed one.
fn lost_with_duplicate(window: &FaultWindow, request: &Request, last: Millis) -> bool {
    window.cause == FaultCause::Killed
        && request.connected_at <= window.from
        && window.from <= last
        && last <= window.from + KILL_TOLERANCE
}
