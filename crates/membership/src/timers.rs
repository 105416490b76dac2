//! Queue of foca's timers on the caller's clock.

use crate::Millis;
use crate::identity::MemberIdentity;
use foca::Timer;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A timer and the time at which it is due. Ordered by that time, then by the order of scheduling.
struct ScheduledTimer {
    due_at: Millis,
    sequence: u64,
    timer: Timer<MemberIdentity>,
}

impl PartialEq for ScheduledTimer {
    fn eq(&self, other: &ScheduledTimer) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledTimer {}

impl PartialOrd for ScheduledTimer {
    fn partial_cmp(&self, other: &ScheduledTimer) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledTimer {
    fn cmp(&self, other: &ScheduledTimer) -> std::cmp::Ordering {
        self.due_at.total_cmp(&other.due_at).then(self.sequence.cmp(&other.sequence))
    }
}

/// Timers, earliest first. Timers due at the same time are taken in the order in which they were scheduled.
#[derive(Default)]
pub(crate) struct TimerQueue {
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    /// Number of timers scheduled so far.
    scheduled: u64,
}

impl TimerQueue {
    pub fn schedule(&mut self, due_at: Millis, timer: Timer<MemberIdentity>) {
        self.scheduled += 1;
        self.timers.push(Reverse(ScheduledTimer { due_at, sequence: self.scheduled, timer }));
    }

    /// When the earliest timer is due; `None` if there is none.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.peek().map(|Reverse(scheduled)| scheduled.due_at)
    }

    /// Removes and returns the earliest timer if it is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<Timer<MemberIdentity>> {
        if self.next_due()? > now {
            return None;
        }
        self.timers.pop().map(|Reverse(scheduled)| scheduled.timer)
    }

    pub fn clear(&mut self) {
        self.timers.clear();
    }
}
