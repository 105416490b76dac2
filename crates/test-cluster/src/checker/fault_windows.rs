//! Times in which a scheduler could not answer, and which requests these exempt from the rule on answers.

use super::KILL_TOLERANCE;
use super::observations::Request;
use crate::Millis;
use crate::history::{HistoryEvent, ProcessEvent};

/// After SIGTERM a scheduler still answers what arrives within this time.
const TERMINATION_GRACE: Millis = 700.0;

/// Why a scheduler could not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultCause {
    Killed,
    Terminated,
    Paused,
    ClientsCutOff,
}

/// A time in which a scheduler could not answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultWindow {
    pub from: Millis,
    pub until: Millis,
    pub cause: FaultCause,
}

impl FaultWindow {
    /// Whether the process itself was out of service, rather than the network.
    pub fn is_process_fault(&self) -> bool {
        self.cause != FaultCause::ClientsCutOff
    }
}

/// A fault window of a process that is still open.
#[derive(Clone, Copy)]
struct OpenWindow {
    from: Millis,
    cause: FaultCause,
}

impl OpenWindow {
    fn close(self, until: Millis) -> FaultWindow {
        FaultWindow { from: self.from, until, cause: self.cause }
    }
}

/// The fault windows of each scheduler.
pub fn fault_windows(history: &[HistoryEvent], schedulers: usize) -> Vec<Vec<FaultWindow>> {
    let mut windows = vec![Vec::new(); schedulers];
    let mut open: Vec<Option<OpenWindow>> = vec![None; schedulers];
    for event in history {
        match *event {
            HistoryEvent::Process { at, scheduler, change } => {
                let closed = apply_process_event(&mut open[scheduler], at, change);
                windows[scheduler].extend(closed);
            }
            HistoryEvent::ClientsCutOff { at, until, scheduler } => {
                windows[scheduler].push(FaultWindow { from: at, until, cause: FaultCause::ClientsCutOff });
            }
            _ => {}
        }
    }
    for (windows, open) in windows.iter_mut().zip(open) {
        windows.extend(open.map(|open| open.close(f64::INFINITY)));
    }
    windows
}

/// Updates a scheduler's open window; gives the window that the change closes.
fn apply_process_event(
    open: &mut Option<OpenWindow>,
    at: Millis,
    change: ProcessEvent,
) -> Option<FaultWindow> {
    let begins = |cause| OpenWindow { from: at, cause };
    match change {
        ProcessEvent::Started | ProcessEvent::Resumed => open.take().map(|open| open.close(at)),
        // A process that is paused or was terminated may be killed as well.
        ProcessEvent::Killed => open.replace(begins(FaultCause::Killed)).map(|open| open.close(at)),
        ProcessEvent::Terminated => {
            open.get_or_insert(begins(FaultCause::Terminated));
            None
        }
        ProcessEvent::Paused => {
            open.get_or_insert(begins(FaultCause::Paused));
            None
        }
    }
}

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
