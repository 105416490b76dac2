//! Timers of jobs, the earliest first.

use crate::units::{JobId, Millis};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A timer; the order of the fields is the order in which timers expire.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct JobTimer {
    expires_at_micros: u64,
    job: JobId,
}

/// A queue of timers. A job may have several; none is ever removed before it expires.
#[derive(Default)]
pub(crate) struct TimerQueue(BinaryHeap<Reverse<JobTimer>>);

impl TimerQueue {
    /// Sets a timer for a job.
    pub(crate) fn push(&mut self, at: Millis, job: JobId) {
        self.0.push(Reverse(JobTimer { expires_at_micros: micros(at), job }));
    }

    /// Removes the first timer that has expired by now; its job.
    pub(crate) fn pop_expired(&mut self, now: Millis) -> Option<JobId> {
        let Reverse(first) = self.0.peek()?;
        if first.expires_at_micros > micros(now) {
            return None;
        }
        self.0.pop().map(|Reverse(timer)| timer.job)
    }

    /// When the next timer expires.
    pub(crate) fn next_expiry(&self) -> Millis {
        self.0.peek().map_or(f64::INFINITY, |Reverse(timer)| timer.expires_at_micros as f64 / 1_000.0)
    }
}

/// A point in time in whole microseconds, rounded up.
fn micros(at: Millis) -> u64 {
    (at * 1_000.0).ceil().max(0.0) as u64
}
