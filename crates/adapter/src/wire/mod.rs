//! The simulator's wire: one JSON object a line in each direction, a batch of events in and a reply with actions out.
//! Variants and serialized fields have the wire's names.

mod action;
mod event;

pub use action::WireAction;
pub use event::{DirectoryEntry, JOB_PROGRESS, JOB_STARTED, WireEvent, WireListKind, outcome};
use serde::{Deserialize, Serialize};

/// One line in.
#[derive(Deserialize)]
pub struct Batch {
    /// The time of all its events, in milliseconds.
    #[serde(rename = "sim-time")]
    pub sim_time: f64,
    /// Its number, which the reply repeats.
    pub round: u64,
    /// The events, in their order.
    #[serde(rename = "happened")]
    pub events: Vec<WireEvent>,
}

/// One line out.
#[derive(Serialize)]
pub struct Reply<'a> {
    /// The batch's number.
    pub round: u64,
    /// The actions of all instances, in the order in which they were given.
    #[serde(rename = "outbox")]
    pub actions: &'a [WireAction],
}
