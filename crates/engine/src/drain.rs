//! Lame duck: drains a scheduler on its operators' request, and puts it back into rotation.
//!
//! **Invariant.** While it drains the scheduler is not ready, so that the front proxy sends new clients elsewhere. Idle
//! connections are closed at once and kept ones with their next response; jobs that were admitted finish. Jobs that arrive
//! on open connections are admitted for a grace period, since the front proxy may have sent them before its health check
//! failed; later ones are rejected, so that none is in flight when the drain is judged.
//!
//! | input | serving | lame duck |
//! | --- | --- | --- |
//! | `LAMEDUCK` | begins to drain | no change: the times of the first call hold |
//! | `REJOIN` | no change | serves again |
//!
//! No I/O, no clock. SIGTERM, which ends the process, is [`crate::shutdown`]'s.

use brackenledge_policy::Millis;

/// How long after LAMEDUCK jobs are still admitted. The front proxy checks health every 0.1 s and sends new connections for
/// 0.2 s after the first failure, so that what comes later than this came on a connection open for long, and is rejected
/// with `Retry-After`. 4 s after the call no job younger than 2 s may be in flight.
pub const ADMISSION_GRACE: Millis = 1_500.0;

/// Whether the scheduler is in rotation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// In rotation.
    Serving,
    /// Out of rotation since the call at this time.
    LameDuck {
        /// When LAMEDUCK came.
        since: Millis,
    },
}

/// What a call did, for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It began to drain.
    Draining,
    /// It was draining already; nothing changed.
    StillDraining,
    /// It serves again.
    Rejoined,
    /// It was serving already; nothing changed.
    StillServing,
}

impl Change {
    /// The text of the reply after `done`.
    pub fn reply_text(self) -> &'static str {
        match self {
            Change::Draining => "draining",
            Change::StillDraining => "draining already",
            Change::Rejoined => "serving",
            Change::StillServing => "serving already",
        }
    }
}

/// The state of one scheduler's drain.
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
    /// Serving; after LAMEDUCK, jobs are admitted for `admission_grace` milliseconds.
    pub fn new(admission_grace: Millis) -> Self {
        Drain { state: State::Serving, admission_grace }
    }

    /// Whether it serves or drains.
    pub fn state(&self) -> State {
        self.state
    }

    /// LAMEDUCK came. A second one changes nothing, so that the drain's times run from the first.
    pub fn lame_duck(&mut self, now: Millis) -> Change {
        match self.state {
            State::Serving => {
                self.state = State::LameDuck { since: now };
                Change::Draining
            }
            State::LameDuck { .. } => Change::StillDraining,
        }
    }

    /// REJOIN came.
    pub fn rejoin(&mut self) -> Change {
        match self.state {
            State::LameDuck { .. } => {
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

    /// Whether a connection is kept after its response.
    pub fn keeps_connections(&self) -> bool {
        self.is_ready()
    }

    /// Whether connections between requests are closed now.
    pub fn closes_idle_connections(&self) -> bool {
        !self.is_ready()
    }

    /// Whether a job that arrives now is admitted.
    pub fn admits_jobs(&self, now: Millis) -> bool {
        match self.state {
            State::Serving => true,
            State::LameDuck { since } => now < since + self.admission_grace,
        }
    }
}

#[cfg(test)]
mod tests;
