//! The wire format of the simulator. Each direction has one JSON object per line: a batch of events in, and a
//! reply with actions out. Variants and serialized fields have the names of the wire format.

mod action;
mod event;

pub use action::WireAction;
pub use event::{DirectoryEntry, JOB_PROGRESS, JOB_STARTED, WireEvent, WireListKind, outcome};
use serde::{Deserialize, Serialize};

/// A batch of events: one line of the input. Unknown fields are ignored.
#[derive(Deserialize)]
pub struct Batch {
    /// Simulated time of all events of the batch, in milliseconds.
    #[serde(rename = "sim-time")]
    pub sim_time: f64,
    /// Number of the batch, which the reply repeats.
    pub round: u64,
    /// The events, in the order in which they are handled.
    #[serde(rename = "happened")]
    pub events: Vec<WireEvent>,
}

/// The reply to a batch: one line of the output.
#[derive(Serialize)]
pub struct Reply<'a> {
    /// Number of the batch.
    pub round: u64,
    /// The actions of all instances, in the order in which they were issued.
    #[serde(rename = "outbox")]
    pub actions: &'a [WireAction],
}
