//! Scenarios: the cluster, its workers and traffic, the faults by time, and what a run must show.

mod document;
mod errors;
mod expectations;
mod faults;
mod nodes;
mod parse;
mod reader;
#[cfg(test)]
mod tests;

pub use errors::{Problem, ScenarioError, ScenarioErrors};
pub use expectations::Expectations;
pub use faults::{Fault, FaultAction};
pub use nodes::{Link, Node};

use crate::{Error, Millis};
use std::collections::BTreeMap;
use std::path::Path;

/// A class of jobs, as the schedulers' settings describe it.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// What the settings say of repeated executions.
    pub effect: &'static str,
}

/// The classes of all scenarios.
pub const CLASSES: [Class; 3] = [
    Class { name: "farm-view", effect: "pure" },
    Class { name: "market-sale", effect: "side_effect" },
    Class { name: "coin-buy", effect: "token" },
];

/// Index in [`CLASSES`] of jobs that may be executed any number of times.
pub const FARM_VIEW: usize = 0;
/// Index in [`CLASSES`] of jobs that must not be executed twice.
pub const MARKET_SALE: usize = 1;
/// Index in [`CLASSES`] of jobs that may be sent again within one zone and [`DEDUPLICATION_WINDOW`].
pub const COIN_BUY: usize = 2;

/// How long the workers of a zone drop attempts with an idempotency key that they have executed.
pub const DEDUPLICATION_WINDOW: Millis = 7_500.0;

/// A scenario whose file has been read and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is to show.
    pub why: String,
    /// For all that is random.
    pub seed: u64,
    /// Number of schedulers.
    pub schedulers: usize,
    /// Names of zones; schedulers and workers are dealt out to them in turn.
    pub zones: Vec<String>,
    /// Regions, each with the indices of its zones.
    pub regions: BTreeMap<String, Vec<usize>>,
    /// Descriptors that a scheduler may hold.
    pub descriptors: Option<usize>,
    /// The text of the schedulers' operators' file.
    pub operations: Option<String>,
    /// Jobs are replicated between schedulers; further keys of `[handover]` in the operators' file.
    pub failover: Option<String>,
    /// Number of workers.
    pub workers: usize,
    /// Jobs that a worker executes at a time.
    pub slots: usize,
    /// Jobs that may be queued at a worker.
    pub queue: usize,
    /// Mean run time of a job.
    pub run_time: Millis,
    /// How long a worker warms up after its start.
    pub warm_up: Millis,
    /// Fraction of its capacity that a worker has at its start.
    pub initial_capacity: f64,
    /// Jobs a second.
    pub per_second: f64,
    /// How long jobs are created.
    pub length: Millis,
    /// How long a client waits, over all its requests for a job.
    pub deadline: Millis,
    /// Requests that a client sends for a job at most.
    pub max_requests: usize,
    /// Pause of a client whose connection was lost.
    pub retry_backoff: Millis,
    /// The front proxy stops using a scheduler after it has not answered for so long.
    pub detection_delay: Millis,
    /// Fractions of the traffic by class.
    pub mix: [f64; 3],
    /// Length of a request's body.
    pub body_bytes: usize,
    /// Faults in order of time.
    pub faults: Vec<Fault>,
    /// What a run must show.
    pub expect: Expectations,
}

impl Scenario {
    /// Reads a scenario's file.
    pub fn load(path: &Path) -> Result<Scenario, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::ReadFile { path: path.to_owned(), source })?;
        Ok(Scenario::parse(path, &text)?)
    }

    /// Reads the text of a scenario's file. Gives all errors at once.
    pub fn parse(path: &Path, text: &str) -> Result<Scenario, ScenarioErrors> {
        parse::read(path, text)
    }

    /// The zone of a scheduler or worker of this number.
    pub fn zone_of(&self, number: usize) -> usize {
        number % self.zones.len()
    }
}
