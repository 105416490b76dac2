//! Graceful shutdown on SIGTERM: until when clients are served, and by when the last of them has its response.
//!
//! **Invariant.** Every job that was admitted is answered before SIGKILL. The platform sends that no sooner than the
//! longest deadline of its settings, taken as 3 s where it is longer, and 0.7 s after SIGTERM. All times here follow from
//! that one, for deadlines are the operators' own: with deadlines of 1 s a program that serves for 2 s meets SIGKILL with
//! requests in flight.
//!
//! No I/O, no clock. The operators' lame duck, after which the process goes on, is [`crate::drain`]'s.

use brackenledge_policy::Millis;

/// The longest deadline that SIGKILL waits for.
const MAX_AWAITED_DEADLINE: Millis = 3_000.0;
/// How long after that deadline SIGKILL comes.
const KILL_GRACE: Millis = 700.0;
/// The part of that grace that is kept for a slow core, and for writing many responses that are due at one moment.
const WRITE_MARGIN: Millis = 300.0;
/// New clients come for 0.4 s after SIGTERM; a little later all of them have been accepted.
const NEW_CLIENT_GRACE: Millis = 450.0;
/// The part of the time until all must be answered in which clients are served as before: other schedulers may be
/// shutting down too, so that a client with a connection here is better off with it, and the last to come needs time to be
/// served.
const SERVING_FRACTION: f64 = 0.6;

/// A shutdown under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shutdown {
    started_at: Millis,
    max_deadline: Millis,
}

impl Shutdown {
    /// SIGTERM came; `max_deadline` is the longest of the settings.
    pub fn new(now: Millis, max_deadline: Millis) -> Self {
        Shutdown { started_at: now, max_deadline: max_deadline.clamp(0.0, MAX_AWAITED_DEADLINE) }
    }

    /// When every admitted job must have its response.
    pub fn answer_by(&self) -> Millis {
        self.started_at + self.max_deadline + KILL_GRACE - WRITE_MARGIN
    }

    /// Until when clients are served as before. After that their connections are closed with their responses.
    pub fn serve_until(&self) -> Millis {
        let time_to_answer = self.answer_by() - self.started_at;
        self.started_at + (SERVING_FRACTION * time_to_answer).max(NEW_CLIENT_GRACE).min(time_to_answer)
    }

    /// Whether clients are not served any further: no new request is read, and connections close.
    pub fn is_closing_connections(&self, now: Millis) -> bool {
        now >= self.serve_until()
    }

    /// The time that a job arriving now may take.
    pub fn time_left(&self, now: Millis) -> Millis {
        (self.answer_by() - now).max(0.0)
    }
}

#[cfg(test)]
mod tests;
