//! Times in which a scheduler could not answer.

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
