//! Validation errors of scenario files.

use crate::rules::RULES;
use std::fmt;
use std::path::PathBuf;

/// What is wrong at one place of a scenario file, and which values are accepted there.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The file is not valid TOML, or a key is missing, unknown or of the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// A number is out of range.
    #[error("{key} = {value}: give a number from {min} to {max}")]
    NumberOutOfRange {
        /// The key.
        key: String,
        /// Its value.
        value: f64,
        /// The lowest one accepted.
        min: f64,
        /// The highest one accepted.
        max: f64,
    },
    /// An integer is out of range.
    #[error("{key} = {value}: give a whole number from {min} to {max}")]
    CountOutOfRange {
        /// The key.
        key: String,
        /// Its value.
        value: usize,
        /// The lowest one accepted.
        min: usize,
        /// The highest one accepted.
        max: usize,
    },
    /// A region lists a zone that `cluster.zones` does not contain.
    #[error("cluster.regions.{region}: name zones of cluster.zones ({zones})")]
    UnknownZone {
        /// Name of the region.
        region: String,
        /// The scenario's zones, separated by commas.
        zones: String,
    },
    /// The traffic shares of all classes are 0.
    #[error("traffic: farm-view, market-sale and coin-buy are all 0: give one of them a share above 0")]
    NoTraffic,
    /// A name stands for no node of the cluster.
    #[error(
        "{key} = {name:?}: give all, discovery, clients, schedulers, workers, lease-holder, leader, \
         scheduler N (0 to {last_scheduler}), worker N (0 to {last_worker}), zone NAME ({zones}) or \
         region NAME ({regions})"
    )]
    UnknownNode {
        /// The key.
        key: String,
        /// The name as given.
        name: String,
        /// The highest scheduler number.
        last_scheduler: usize,
        /// The highest worker number.
        last_worker: usize,
        /// The scenario's zones, separated by commas.
        zones: String,
        /// The scenario's regions, separated by commas.
        regions: String,
    },
    /// A fault lacks a key, targets the wrong kind of node or is of an unknown kind.
    #[error("{fault}: {remedy}")]
    Fault {
        /// Its position in the file, from 1, and its kind, such as `fault 1 (kill)`.
        fault: String,
        /// How to correct it.
        remedy: &'static str,
    },
    /// An expected violation names an unknown rule.
    #[error("expect.violations = {name:?}: give rules of {}", RULES.join(", "))]
    UnknownRule {
        /// The name as given.
        name: String,
    },
}

/// A problem with its file and line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}:{line}: {problem}", .path.display())]
pub struct ScenarioError {
    /// The scenario file.
    pub path: PathBuf,
    /// Line number, from 1.
    pub line: usize,
    /// What is wrong on that line.
    pub problem: Problem,
}

/// All errors of a scenario file; displayed with one error per line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScenarioErrors(pub Vec<ScenarioError>);

impl fmt::Display for ScenarioErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ScenarioError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for ScenarioErrors {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.0.first().map(|error| &error.problem as _)
    }
}
