//! Scenarios: the cluster, its workers and traffic, timed faults, and the expectations that a run is checked
//! against.

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

/// A job class, as configured in the schedulers' settings.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Name in the settings and in requests.
    pub name: &'static str,
    /// Value of the settings key `effect`: whether a job may be executed more than once.
    pub effect: &'static str,
}

/// The job classes, the same in every scenario.
pub const CLASSES: [Class; 3] = [
    Class { name: "farm-view", effect: "pure" },
    Class { name: "market-sale", effect: "side_effect" },
    Class { name: "coin-buy", effect: "token" },
];

/// Index in [`CLASSES`] of the class whose jobs may be executed any number of times.
pub const FARM_VIEW: usize = 0;
/// Index in [`CLASSES`] of the class whose jobs must not be executed twice.
pub const MARKET_SALE: usize = 1;
/// Index in [`CLASSES`] of the class whose jobs may be sent again within the same zone and the
/// [`DEDUPLICATION_WINDOW`]: the zone's workers drop duplicates by idempotency key.
pub const COIN_BUY: usize = 2;

/// How long after the first execution under an idempotency key the workers of that zone drop duplicates.
pub const DEDUPLICATION_WINDOW: Millis = 7_500.0;

/// A scenario, read from its file and validated.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Name in reports and of output files.
    pub name: String,
    /// What the scenario demonstrates; shown in reports.
    pub why: String,
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// Number of schedulers.
    pub schedulers: usize,
    /// Names of the zones. Schedulers and workers are assigned to them round-robin, see
    /// [`Scenario::zone_of`].
    pub zones: Vec<String>,
    /// Regions by name, each with the indices of its zones in `zones`.
    pub regions: BTreeMap<String, Vec<usize>>,
    /// Limit on the open file descriptors of a scheduler's process; `None`: the inherited limit.
    pub descriptors: Option<usize>,
    /// Text of the operations file of all schedulers; `None`: they get none from the scenario.
    pub operations: Option<String>,
    /// Replicates jobs between schedulers if set; the text is added to `[handover]` in the operations file.
    pub failover: Option<String>,
    /// Number of workers.
    pub workers: usize,
    /// Jobs that a worker executes concurrently.
    pub slots: usize,
    /// Jobs that a worker queues at most.
    pub queue: usize,
    /// Mean run time of a job on a worker that is warm.
    pub run_time: Millis,
    /// How long a worker takes after its start to reach its full capacity.
    pub warm_up: Millis,
    /// Fraction of its full capacity that a worker has right after its start.
    pub initial_capacity: f64,
    /// Mean arrival rate of jobs, per second.
    pub per_second: f64,
    /// How long clients create jobs; faults begin and end within this time.
    pub length: Millis,
    /// Time from a job's creation to its deadline, across all requests for it.
    pub deadline: Millis,
    /// Maximum number of requests that a client sends for a job.
    pub max_requests: usize,
    /// Pause before a client retries after a lost connection, or after a rejection without `Retry-After`.
    pub retry_backoff: Millis,
    /// The front proxy stops routing to a scheduler that has not answered health checks for this long.
    pub detection_delay: Millis,
    /// Shares of the traffic by class, in the order of [`CLASSES`]; their sum need not be 1.
    pub mix: [f64; 3],
    /// Length of a request's body, in bytes.
    pub body_bytes: usize,
    /// Faults, ordered by start time.
    pub faults: Vec<Fault>,
    /// Expectations that a run is checked against.
    pub expect: Expectations,
}

impl Scenario {
    /// Reads and validates a scenario file.
    pub fn load(path: &Path) -> Result<Scenario, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::ReadFile { path: path.to_owned(), source })?;
        Ok(Scenario::parse(path, &text)?)
    }

    /// Parses and validates the text of a scenario file; `path` is used in error messages. Values out of
    /// range are all reported together, each with its line.
    pub fn parse(path: &Path, text: &str) -> Result<Scenario, ScenarioErrors> {
        parse::read(path, text)
    }

    /// Index of the zone that the scheduler or worker with this number belongs to.
    pub fn zone_of(&self, number: usize) -> usize {
        number % self.zones.len()
    }
}
