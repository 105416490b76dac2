//! Graceful shutdown on SIGTERM: until when clients are served, and by when every response must be written.
//!
//! **Invariant.** Every admitted job is answered before SIGKILL. SIGKILL follows SIGTERM after no less than
//! the longest configured deadline (at most 3 s of it) plus 0.7 s. All times here are derived from that,
//! since operators configure the deadlines: with deadlines of 1 s, a process that served clients for a fixed
//! 2 s would receive SIGKILL with requests in flight.
//!
//! The module does no I/O and reads no clock. Draining on LAMEDUCK, after which the process keeps running, is
//! in [`crate::drain`].

use brackenledge_policy::Millis;

/// The platform waits for the longest configured deadline, but no longer than this, before SIGKILL.
const MAX_AWAITED_DEADLINE: Millis = 3_000.0;
/// Time from the end of that wait to SIGKILL.
const KILL_GRACE: Millis = 700.0;
/// Part of [`KILL_GRACE`] that is reserved for a slow core, and for writing many responses that are due at
/// once.
const WRITE_MARGIN: Millis = 300.0;
/// New clients connect for up to 0.4 s after SIGTERM; by this time all of them have been accepted.
const NEW_CLIENT_GRACE: Millis = 450.0;
/// Fraction of the time until [`Shutdown::answer_by`] in which clients are served as before. Other schedulers
/// may be shutting down too, so that a client connected here is better served here; the rest of the time is
/// for the jobs that arrive last.
const SERVING_FRACTION: f64 = 0.6;

/// The times of a shutdown that has started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shutdown {
    started_at: Millis,
    max_deadline: Millis,
}

impl Shutdown {
    /// Starts a shutdown: SIGTERM was received `now`, and `max_deadline` is the longest deadline of the
    /// settings.
    pub fn new(now: Millis, max_deadline: Millis) -> Self {
        Shutdown { started_at: now, max_deadline: max_deadline.clamp(0.0, MAX_AWAITED_DEADLINE) }
    }

    /// When every admitted job must have its response.
    pub fn answer_by(&self) -> Millis {
        self.started_at + self.max_deadline + KILL_GRACE - WRITE_MARGIN
    }

    /// Until when clients are served as before. After that, connections are closed with their next response.
    pub fn serve_until(&self) -> Millis {
        let time_to_answer = self.answer_by() - self.started_at;
        self.started_at + (SERVING_FRACTION * time_to_answer).max(NEW_CLIENT_GRACE).min(time_to_answer)
    }

    /// Whether [`Shutdown::serve_until`] has passed, so that idle connections are closed at once and all
    /// others with their next response.
    pub fn is_closing_connections(&self, now: Millis) -> bool {
        now >= self.serve_until()
    }

    /// The longest time that a job arriving now may take; 0 once [`Shutdown::answer_by`] has passed.
    pub fn time_left(&self, now: Millis) -> Millis {
        (self.answer_by() - now).max(0.0)
    }
}

#[cfg(test)]
mod tests;
