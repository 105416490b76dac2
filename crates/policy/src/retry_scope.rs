//! The workers that a job may be sent to after attempts that may have run.

use crate::job::Attempt;
use crate::settings::{Class, DeduplicationScope, Effect};
use crate::units::{Millis, WorkerId};
use crate::worker::Worker;

/// The workers that a job may be sent to.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum RetryScope {
    Anywhere,
    /// The workers in the zone of this worker; none if this worker is unknown.
    ZoneOf(WorkerId),
    /// The workers in the cell of this worker; none if this worker is unknown.
    CellOf(WorkerId),
    Nowhere,
}

impl RetryScope {
    /// The scope of a job, given its first attempt that may have run or may still run, if there is one.
    pub(crate) fn after(now: Millis, class: &Class, first: Option<&Attempt>) -> RetryScope {
        let Some(first) = first else { return RetryScope::Anywhere };
        let is_past_window = now >= first.sent_at + class.deduplication_window;
        match (class.effect, class.deduplication_scope) {
            (Effect::Repeatable, _) => RetryScope::Anywhere,
            (Effect::NonIdempotent, _) => RetryScope::Nowhere,
            (Effect::Idempotent, _) if is_past_window => RetryScope::Nowhere,
            (Effect::Idempotent, DeduplicationScope::All) => RetryScope::Anywhere,
            (Effect::Idempotent, DeduplicationScope::Zone) => RetryScope::ZoneOf(first.worker),
            (Effect::Idempotent, DeduplicationScope::Cell) => RetryScope::CellOf(first.worker),
        }
    }

    /// Whether the scope contains `worker`, which is one of `workers`.
    pub(crate) fn allows(self, worker: &Worker, workers: &[Worker]) -> bool {
        match self {
            RetryScope::Anywhere => true,
            RetryScope::ZoneOf(first) => workers.get(first).is_some_and(|first| first.zone == worker.zone),
            RetryScope::CellOf(first) => workers.get(first).is_some_and(|first| first.cell == worker.cell),
            RetryScope::Nowhere => false,
        }
    }
}
