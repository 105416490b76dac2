//! The state of the slot budget. Its adjustment is decided in `dispatcher/budget.rs`.

use crate::measure::DecayingSum;
use crate::units::Millis;
use std::collections::VecDeque;

/// How long a job waited at a worker until it started.
struct StartDelay {
    at: Millis,
    /// In latency objectives.
    objectives: f64,
}

/// The start delays of a limited time, the oldest first.
#[derive(Default)]
pub(crate) struct DelayWindow(VecDeque<StartDelay>);

impl DelayWindow {
    pub(crate) fn push(&mut self, at: Millis, objectives: f64) {
        self.0.push_back(StartDelay { at, objectives });
    }

    /// Forgets the delays before `then`; those that are left.
    pub(crate) fn since(&mut self, then: Millis) -> Vec<f64> {
        while self.0.front().is_some_and(|delay| delay.at < then) {
            self.0.pop_front();
        }
        self.0.iter().map(|delay| delay.objectives).collect()
    }
}

/// The slots that this scheduler's attempts may occupy.
#[derive(Default)]
pub(crate) struct SlotBudget {
    pub(crate) slots_per_worker: f64,
    pub(crate) used_slots: f64,
    pub(crate) delays: DelayWindow,
    pub(crate) adjust_at: Millis,
    /// Adjustments left until the next cut is possible.
    pub(crate) hold: u32,
    /// Jobs within quotas had to wait for the budget since the last adjustment.
    pub(crate) held_back: bool,
    /// Work that arrived within quotas, in slot-milliseconds, and the slots that it needs at least.
    pub(crate) quota_work: DecayingSum,
    pub(crate) floor: f64,
    /// The fraction of the budget that jobs beyond quotas may use.
    pub(crate) over_quota_fraction: f64,
}
