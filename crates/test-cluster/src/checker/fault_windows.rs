//! Fault windows: time spans in which a scheduler could not answer its clients.

use crate::Millis;
use crate::history::{HistoryEvent, ProcessEvent};

/// Why a scheduler could not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultCause {
    Killed,
    Terminated,
    Paused,
    ClientsCutOff,
}

/// A time span in which a scheduler could not answer its clients. `until` is infinite if the fault never
/// ended.
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

/// A fault window of a process that has no end yet.
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

/// Derives the fault windows of each scheduler from the history.
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

/// Updates a scheduler's open window and returns the window that the change closes, if any.
fn apply_process_event(
    open: &mut Option<OpenWindow>,
    at: Millis,
    change: ProcessEvent,
) -> Option<FaultWindow> {
    let begins = |cause| OpenWindow { from: at, cause };
    match change {
        ProcessEvent::Started | ProcessEvent::Resumed => open.take().map(|open| open.close(at)),
        // A process that is paused or got SIGTERM may be killed as well, which closes its window and opens
        // another.
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
