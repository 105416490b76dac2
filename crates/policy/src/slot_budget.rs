//! The state of the slot budget. The rules that adjust it are in `dispatcher/budget.rs`.

use crate::measure::DecayingSum;
use crate::units::Millis;
use std::collections::VecDeque;

/// The delay between the sending of an attempt and the start of its job.
struct StartDelay {
    at: Millis,
    /// As a multiple of the job's [`Class::slack`](crate::settings::Class::slack).
    relative_delay: f64,
}

/// A sliding window of start delays, the oldest first.
#[derive(Default)]
pub(crate) struct DelayWindow(VecDeque<StartDelay>);

impl DelayWindow {
    pub(crate) fn push(&mut self, at: Millis, relative_delay: f64) {
        self.0.push_back(StartDelay { at, relative_delay });
    }

    /// Removes the delays recorded before `start` and returns the others.
    pub(crate) fn since(&mut self, start: Millis) -> Vec<f64> {
        while self.0.front().is_some_and(|delay| delay.at < start) {
            self.0.pop_front();
        }
        self.0.iter().map(|delay| delay.relative_delay).collect()
    }
}

/// The budget of slots that this scheduler's attempts may occupy.
#[derive(Default)]
pub(crate) struct SlotBudget {
    /// The budget, divided by the number of ready workers.
    pub(crate) slots_per_worker: f64,
    /// Slots that attempts in flight occupy.
    pub(crate) used_slots: f64,
    pub(crate) delays: DelayWindow,
    /// When the budget is next adjusted.
    pub(crate) adjust_at: Millis,
    /// Number of adjustments to come before the budget may be cut again.
    pub(crate) hold: u32,
    /// Whether a job of full weight, in time and within its quota, had to wait for the budget since the last
    /// adjustment.
    pub(crate) held_back: bool,
    /// Work that arrived within quotas, in slot-milliseconds; decays.
    pub(crate) quota_work: DecayingSum,
    /// Minimum budget for jobs of full weight, in slots, derived from `quota_work`.
    pub(crate) floor: f64,
    /// The fraction of the budget that late jobs and jobs beyond their quota may use.
    pub(crate) over_quota_fraction: f64,
}
