//! Estimates which endpoints a rolling release replaces next, from the changes of the list.

#[cfg(test)]
mod tests;

use brackenledge_policy::Millis;
use std::collections::VecDeque;

/// The zone and machine kind of an endpoint. A release proceeds through the fleet group by group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlacementGroup {
    pub(crate) zone: u32,
    pub(crate) kind: u32,
}

/// A release replaces machines step by step: new endpoints of a zone and kind start, then as many old ones of
/// the same group drain. Changes older than this belong to an earlier release.
const ROLLOUT_WINDOW: Millis = 20_000.0;
/// Drain probability of any old endpoint while a rollout is in progress.
pub(crate) const BASE_DRAIN_PROBABILITY: f64 = 0.2;
/// Additional drain probability of endpoints whose replacements have already started.
const REPLACED_DRAIN_PROBABILITY: f64 = 0.8;

#[derive(Clone, Copy, PartialEq, Eq)]
enum StepKind {
    Added,
    Removed,
}

/// The addition or removal of one endpoint.
struct RolloutStep {
    at: Millis,
    group: PlacementGroup,
    kind: StepKind,
}

/// The rolling release in progress, inferred from the changes of the list.
#[derive(Default)]
pub(crate) struct RolloutEstimate {
    /// In chronological order.
    steps: VecDeque<RolloutStep>,
}

impl RolloutEstimate {
    pub(crate) fn record_added(&mut self, now: Millis, group: PlacementGroup) {
        self.steps.push_back(RolloutStep { at: now, group, kind: StepKind::Added });
    }

    pub(crate) fn record_removed(&mut self, now: Millis, group: PlacementGroup) {
        self.steps.push_back(RolloutStep { at: now, group, kind: StepKind::Removed });
    }

    /// Drops steps older than [`ROLLOUT_WINDOW`] and returns whether a rollout is in progress.
    pub(crate) fn refresh(&mut self, now: Millis) -> bool {
        while self.steps.front().is_some_and(|step| step.at < now - ROLLOUT_WINDOW) {
            self.steps.pop_front();
        }
        let count = |kind| self.steps.iter().filter(|step| step.kind == kind).count();
        count(StepKind::Removed) > 0 || count(StepKind::Added) > 1
    }

    /// When the first step of the rollout in progress was observed; infinity if there is none.
    pub(crate) fn started_at(&self) -> Millis {
        self.steps.front().map_or(Millis::INFINITY, |step| step.at)
    }

    /// The probability, 0 to 1, that an old endpoint of this group drains next. `old_endpoints` is the number
    /// of old endpoints in the group.
    pub(crate) fn drain_probability(&self, group: PlacementGroup, old_endpoints: usize) -> f64 {
        let change = |step: &RolloutStep| match step.kind {
            StepKind::Added => 1,
            StepKind::Removed => -1,
        };
        let surplus: i32 = self.steps.iter().filter(|step| step.group == group).map(change).sum();
        let replaced = f64::from(surplus.max(0)) / old_endpoints.max(1) as f64;
        (BASE_DRAIN_PROBABILITY + REPLACED_DRAIN_PROBABILITY * replaced.min(1.0)).min(1.0)
    }
}
