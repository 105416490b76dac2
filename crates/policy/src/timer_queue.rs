//! A priority queue of job timers, ordered by expiry.

use crate::units::{JobId, Millis};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A timer. Timers expire in the derived order, so `expires_at_micros` has to be the first field.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct JobTimer {
    expires_at_micros: u64,
    job: JobId,
}

/// A queue of timers. A job may have several. Timers cannot be removed before they expire.
#[derive(Default)]
pub(crate) struct TimerQueue(BinaryHeap<Reverse<JobTimer>>);

impl TimerQueue {
    /// Sets a timer for a job that expires at `at`.
    pub(crate) fn push(&mut self, at: Millis, job: JobId) {
        self.0.push(Reverse(JobTimer { expires_at_micros: micros(at), job }));
    }

    /// Removes the earliest timer if it has expired, and returns its job.
    pub(crate) fn pop_expired(&mut self, now: Millis) -> Option<JobId> {
        let Reverse(first) = self.0.peek()?;
        if first.expires_at_micros > micros(now) {
            return None;
        }
        self.0.pop().map(|Reverse(timer)| timer.job)
    }

    /// When the next timer expires; infinite if there is none.
    pub(crate) fn next_expiry(&self) -> Millis {
        self.0.peek().map_or(f64::INFINITY, |Reverse(timer)| timer.expires_at_micros as f64 / 1_000.0)
    }
}

/// Converts a point in time to whole microseconds, rounded up.
fn micros(at: Millis) -> u64 {
    (at * 1_000.0).ceil().max(0.0) as u64
}
