//! Where a job may be sent, after attempts that may have run.

use crate::job::Attempt;
use crate::settings::{Class, DeduplicationScope, Effect};
use crate::units::{Millis, WorkerId};
use crate::worker::Worker;

/// The workers to which a job may be sent.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum RetryScope {
    Anywhere,
    /// The workers in this one's zone; none if it is not known.
    ZoneOf(WorkerId),
    /// The workers in this one's cell; none if it is not known.
    CellOf(WorkerId),
    Nowhere,
}

impl RetryScope {
    /// The scope of a job whose first attempt that may have run, or may still run, is this one.
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

    /// Whether it contains this worker.
    pub(crate) fn allows(self, worker: &Worker, workers: &[Worker]) -> bool {
        match self {
            RetryScope::Anywhere => true,
            RetryScope::ZoneOf(first) => workers.get(first).is_some_and(|first| first.zone == worker.zone),
            RetryScope::CellOf(first) => workers.get(first).is_some_and(|first| first.cell == worker.cell),
            RetryScope::Nowhere => false,
        }
    }
}
