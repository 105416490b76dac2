//! Experiment files: the fleet, the traffic, the network, and the schedule of faults.
//!
//! A parsed [`Experiment`] is valid: all numbers are within their ranges, and no two faults of the same kind
//! overlap in time. Keys that were renamed are still accepted under their former names.

mod validation;

use crate::baselines::Baseline;
use crate::error::{ExperimentError, SimulatorError};
use serde::Deserialize;
use std::ops::Range;
use std::path::Path;

/// The size of the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FleetSize {
    /// Number of schedulers, 1 to 1,000.
    pub schedulers: u32,
    /// Number of workers, 1 to 10,000.
    pub workers: usize,
    /// Number of jobs that a worker runs concurrently, 1 to 64; default 3.
    #[serde(default = "default_slots")]
    pub slots: usize,
}

fn default_slots() -> usize {
    3
}

/// The jobs that clients send.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Traffic {
    /// Offered load outside bursts, as a fraction of all slots; 0.01 to 10.
    pub load: f64,
    /// Mean running time of a job whose key's data is cached, in milliseconds; 1 to 10,000.
    pub run_ms: f64,
    /// Additional running time of a job at a worker that has not cached the data of the job's key, in units
    /// of the mean running time; 0 to 100.
    #[serde(alias = "fetch")]
    pub fetch_cost: f64,
    /// Number of distinct affinity keys, 1 to 1,000,000. Few of them are frequent, most are rare.
    pub keys: u32,
    /// Length of the run in seconds, 1 to 3,600.
    pub seconds: u32,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic { load: 0.6, run_ms: 300.0, fetch_cost: 0.6, keys: 300, seconds: 20 }
    }
}

/// The network between the schedulers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Network {
    /// One-way latency of a message in milliseconds, 0 to 1,000.
    #[serde(alias = "one-way-ms")]
    pub latency_ms: f64,
    /// Fraction of the messages that is lost, 0 to 1.
    pub loss: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { latency_ms: 10.0, loss: 0.02 }
    }
}

/// A fault and its time window. Times are in seconds from the start of the run.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// A fraction of the workers restarts and has to warm up.
    #[serde(rename_all = "kebab-case")]
    RestartWorkers {
        /// Time of the restart.
        at: u32,
        /// Fraction of all workers, 0 to 1.
        #[serde(alias = "part")]
        fraction: f64,
    },
    /// A fraction of the workers fails all attempts.
    #[serde(rename_all = "kebab-case")]
    FailingWorkers {
        /// Start of the fault.
        at: u32,
        /// End of the fault, exclusive.
        until: u32,
        /// Fraction of all workers, 0 to 1.
        #[serde(alias = "part")]
        fraction: f64,
    },
    /// A fraction of the schedulers is killed, and restarted at the end of the window.
    #[serde(rename_all = "kebab-case")]
    KillSchedulers {
        /// Time of the kill.
        at: u32,
        /// Time of the restart.
        until: u32,
        /// Fraction of all schedulers, 0 to 1.
        #[serde(alias = "part")]
        fraction: f64,
    },
    /// The arrival rate of jobs changes.
    #[serde(rename_all = "kebab-case")]
    Burst {
        /// Start of the fault.
        at: u32,
        /// End of the fault, exclusive.
        until: u32,
        /// Load during the fault, as a multiple of [`Traffic::load`]; 0 to 100.
        #[serde(alias = "times")]
        load_factor: f64,
    },
}

impl Fault {
    /// The seconds during which the fault is active. A restart of workers takes up one second.
    pub(crate) fn window(&self) -> Range<u32> {
        match *self {
            Fault::RestartWorkers { at, .. } => at..at.saturating_add(1),
            Fault::FailingWorkers { at, until, .. }
            | Fault::KillSchedulers { at, until, .. }
            | Fault::Burst { at, until, .. } => at..until,
        }
    }
}

/// An experiment, as read from its file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Experiment {
    /// The size of the fleet.
    pub fleet: FleetSize,
    /// The jobs that clients send.
    #[serde(default)]
    pub traffic: Traffic,
    /// The network between the schedulers.
    #[serde(default)]
    pub network: Network,
    /// The faults, in the order of the file.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Baseline policies under which the experiment is run in addition to the production policy.
    #[serde(default, alias = "compare")]
    pub baselines: Vec<Baseline>,
    /// Seed of the random number generators.
    #[serde(default)]
    pub seed: u64,
}

impl Experiment {
    /// Reads and parses an experiment file. Errors include the path.
    pub fn load(path: &Path) -> Result<Experiment, SimulatorError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SimulatorError::ReadFile { path: path.to_owned(), source })?;
        Experiment::parse(&text)
            .map_err(|source| SimulatorError::InvalidExperiment { path: path.to_owned(), source })
    }

    /// Parses the text of an experiment file. The error states line and column of a syntax error, and the key
    /// and the valid range of an invalid value.
    pub fn parse(text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = toml::from_str(text)?;
        let invalid = validation::invalid_values(&experiment);
        if invalid.is_empty() { Ok(experiment) } else { Err(ExperimentError::InvalidValues(invalid)) }
    }
}
