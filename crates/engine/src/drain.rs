//! Draining: LAMEDUCK takes a scheduler out of rotation, REJOIN puts it back.
//!
//! **Invariant.** While draining, the scheduler is not ready, so that the front proxy sends new clients
//! elsewhere. Idle client connections are closed at once and all others with their next response; admitted
//! jobs run to their end. Jobs that arrive on open connections are admitted for a grace period, since the
//! front proxy may have sent them before its health check failed. Later ones are rejected, so that none of
//! them is in flight when the platform checks that the drain is complete.
//!
//! | input | while serving | while draining |
//! | --- | --- | --- |
//! | `LAMEDUCK` | starts to drain | no change: the drain's times count from the first call |
//! | `REJOIN` | no change | serves again |
//!
//! The module does no I/O and reads no clock. SIGTERM, which ends the process, is handled in
//! [`crate::shutdown`].

use brackenledge_policy::Millis;

/// How long jobs are still admitted after LAMEDUCK. The front proxy checks health every 0.1 s and sends new
/// connections for 0.2 s after the first failed check, so a job that arrives after the grace period came on a
/// connection that has been open for long. It is rejected with `Retry-After`, because the platform checks 4 s
/// after the call that no job younger than 2 s is in flight.
pub const ADMISSION_GRACE: Millis = 1_500.0;

/// Whether the scheduler is in rotation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// In rotation.
    Serving,
    /// Out of rotation after LAMEDUCK.
    Draining {
        /// When the first LAMEDUCK was received.
        since: Millis,
    },
}

/// What a LAMEDUCK or REJOIN call changed; determines the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The scheduler started to drain.
    Draining,
    /// The scheduler was draining already; nothing changed.
    StillDraining,
    /// The scheduler serves again.
    Rejoined,
    /// The scheduler was serving already; nothing changed.
    StillServing,
}

impl Change {
    /// The text that follows `done` in the reply.
    pub fn reply_text(self) -> &'static str {
        match self {
            Change::Draining => "draining",
            Change::StillDraining => "draining already",
            Change::Rejoined => "serving",
            Change::StillServing => "serving already",
        }
    }
}

/// The drain state of one scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    state: State,
    admission_grace: Millis,
}

impl Default for Drain {
    fn default() -> Self {
        Drain::new(ADMISSION_GRACE)
    }
}

impl Drain {
    /// Starts out serving. After LAMEDUCK, jobs are admitted for `admission_grace` milliseconds.
    pub fn new(admission_grace: Millis) -> Self {
        Drain { state: State::Serving, admission_grace }
    }

    /// Whether the scheduler serves or drains.
    pub fn state(&self) -> State {
        self.state
    }

    /// Handles LAMEDUCK. A repeated call changes nothing, so that the drain's times count from the first.
    pub fn lame_duck(&mut self, now: Millis) -> Change {
        match self.state {
            State::Serving => {
                self.state = State::Draining { since: now };
                Change::Draining
            }
            State::Draining { .. } => Change::StillDraining,
        }
    }

    /// Handles REJOIN.
    pub fn rejoin(&mut self) -> Change {
        match self.state {
            State::Draining { .. } => {
                self.state = State::Serving;
                Change::Rejoined
            }
            State::Serving => Change::StillServing,
        }
    }

    /// Whether the health check succeeds.
    pub fn is_ready(&self) -> bool {
        self.state == State::Serving
    }

    /// Whether a client connection stays open after its response.
    pub fn keeps_connections(&self) -> bool {
        self.is_ready()
    }

    /// Whether client connections without a request in progress are closed.
    pub fn closes_idle_connections(&self) -> bool {
        !self.is_ready()
    }

    /// Whether a job that arrives now is admitted.
    pub fn admits_jobs(&self, now: Millis) -> bool {
        match self.state {
            State::Serving => true,
            State::Draining { since } => now < since + self.admission_grace,
        }
    }
}

#[cfg(test)]
mod tests;
