//! What a dispatcher is told of the workers that exist.

use crate::units::{Millis, WorkerId};

/// Whether a worker takes new jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// It takes new jobs.
    #[default]
    Ready,
    /// It finishes the jobs that it has and is sent no new ones.
    Draining,
    /// It is gone.
    Gone,
}

/// One entry of the worker list.
#[derive(Clone, Debug, Default)]
pub struct WorkerEntry {
    /// The worker's id.
    pub id: WorkerId,
    /// Its name, the same at every scheduler.
    pub name: String,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes new jobs.
    pub readiness: Readiness,
    /// A figure for comparing it with others; see [`Weights`](crate::Weights).
    pub weight: f64,
    /// When it last started; `None`: long ago.
    pub started_at: Option<Millis>,
    /// How likely it is that it is draining and this is not known yet, 0 to 1. Other workers are preferred to it.
    pub drain_probability: f64,
}

/// What a list event contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list as it was before a restart, maybe out of date.
    Cached,
    /// The complete list; a worker that is missing in it is gone.
    Full,
    /// The changed entries alone.
    Delta,
    /// A poll of the list failed, or the watch ended.
    Failed,
}
