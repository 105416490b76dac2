//! An experiment's file: the fleet, the traffic, the network, and the faults by time.
//!
//! A value of [`Experiment`] that was parsed is valid: all numbers are within their ranges, and no two faults of a kind
//! overlap. Keys that were renamed are read under their old names as well.

mod validation;

use crate::baselines::Baseline;
use crate::error::{ExperimentError, SimulatorError};
use serde::Deserialize;
use std::ops::Range;
use std::path::Path;

/// How many schedulers and workers there are.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FleetSize {
    /// Schedulers, 1 to 1,000.
    pub schedulers: u32,
    /// Workers, 1 to 10,000.
    pub workers: usize,
    /// Jobs that a worker runs at a time, 1 to 64.
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
    /// Part of all slots that the jobs need.
    pub load: f64,
    /// Mean running time of a job, in milliseconds.
    pub run_ms: f64,
    /// Additional running time of a job at a worker that has not cached its key's data, in mean running times.
    #[serde(alias = "fetch")]
    pub fetch_cost: f64,
    /// Affinity keys of the jobs, a few of them frequent.
    pub keys: u32,
    /// How long jobs arrive, in seconds.
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
    /// How long a message is on its way, in milliseconds.
    #[serde(alias = "one-way-ms")]
    pub latency_ms: f64,
    /// Part of the messages that is lost.
    pub loss: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { latency_ms: 10.0, loss: 0.02 }
    }
}

/// A fault, and when it acts. Times are in seconds from the start.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// A part of the workers restarts and warms up.
    #[serde(rename_all = "kebab-case")]
    RestartWorkers {
        /// When.
        at: u32,
        /// Of all workers.
        #[serde(alias = "part")]
        fraction: f64,
    },
    /// A part of the workers fails whatever it is sent.
    #[serde(rename_all = "kebab-case")]
    FailingWorkers {
        /// From when.
        at: u32,
        /// Until when.
        until: u32,
        /// Of all workers.
        #[serde(alias = "part")]
        fraction: f64,
    },
    /// A part of the schedulers is killed, and started again at the end.
    #[serde(rename_all = "kebab-case")]
    KillSchedulers {
        /// When.
        at: u32,
        /// Until when.
        until: u32,
        /// Of all schedulers.
        #[serde(alias = "part")]
        fraction: f64,
    },
    /// More jobs arrive, or fewer.
    #[serde(rename_all = "kebab-case")]
    Burst {
        /// From when.
        at: u32,
        /// Until when.
        until: u32,
        /// The load as a multiple of the usual one.
        #[serde(alias = "times")]
        load_factor: f64,
    },
}

impl Fault {
    /// The seconds in which it acts; a restart acts in one.
    pub(crate) fn window(&self) -> Range<u32> {
        match *self {
            Fault::RestartWorkers { at, .. } => at..at.saturating_add(1),
            Fault::FailingWorkers { at, until, .. }
            | Fault::KillSchedulers { at, until, .. }
            | Fault::Burst { at, until, .. } => at..until,
        }
    }
}

/// A file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Experiment {
    /// How many schedulers and workers there are.
    pub fleet: FleetSize,
    /// The jobs that clients send.
    #[serde(default)]
    pub traffic: Traffic,
    /// The network between the schedulers.
    #[serde(default)]
    pub network: Network,
    /// What goes wrong, and when.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Baseline policies that the same experiment is run under as well.
    #[serde(default, alias = "compare")]
    pub baselines: Vec<Baseline>,
    /// For all that is random.
    #[serde(default)]
    pub seed: u64,
}

impl Experiment {
    /// Reads an experiment from its file.
    pub fn load(path: &Path) -> Result<Experiment, SimulatorError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SimulatorError::ReadFile { path: path.to_owned(), source })?;
        Experiment::parse(&text)
            .map_err(|source| SimulatorError::InvalidExperiment { path: path.to_owned(), source })
    }

    /// Parses a file's text. An error names the place, the key and what would be right.
    pub fn parse(text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = toml::from_str(text)?;
        let invalid = validation::invalid_values(&experiment);
        if invalid.is_empty() { Ok(experiment) } else { Err(ExperimentError::InvalidValues(invalid)) }
    }
}
