//! The worker list that a dispatcher receives from discovery.

use crate::units::{Millis, WorkerId};

/// Whether a worker takes new jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// The worker takes new jobs.
    #[default]
    Ready,
    /// The worker finishes its jobs and is sent no new ones.
    Draining,
    /// The worker has stopped or is no longer listed.
    Gone,
}

/// One entry of the worker list.
#[derive(Clone, Debug, Default)]
pub struct WorkerEntry {
    /// The worker's id.
    pub id: WorkerId,
    /// The worker's name, which is the same at every scheduler.
    pub name: String,
    /// The number of its zone.
    pub zone: u32,
    /// The number of its machine kind.
    pub kind: u32,
    /// The number of its cell: a group of workers, narrower than a zone, that share all idempotency keys.
    pub cell: u32,
    /// Whether it takes new jobs.
    pub readiness: Readiness,
    /// Its weight relative to other workers; [`Weights`](crate::Weights) gives the meaning.
    pub weight: f64,
    /// When it last started; `None` if that was long ago, so that it has its full capacity.
    pub started_at: Option<Millis>,
    /// Probability, 0 to 1, that it is draining although the list does not say so yet. The higher this is,
    /// the more other workers are preferred.
    pub drain_probability: f64,
}

/// What an update of the worker list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list as it was before this scheduler restarted; it may be outdated.
    Cached,
    /// The complete list; a worker that is missing from it is gone.
    Full,
    /// Only the changed entries.
    Delta,
    /// No entries: a poll of the list failed, or the watch ended.
    Failed,
}
