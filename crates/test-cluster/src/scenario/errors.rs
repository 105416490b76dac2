//! What is wrong with a scenario's file.

use crate::rules::RULES;
use std::fmt;
use std::path::PathBuf;

/// What is wrong in one place of a scenario's file, and what would be right.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Problem {
    /// It is no TOML, lacks a key or has one that is not known.
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
    /// A whole number is out of range.
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
    /// A region names a zone that there is not.
    #[error("cluster.regions.{region}: name zones of cluster.zones ({zones})")]
    UnknownZone {
        /// The region.
        region: String,
        /// The zones there are.
        zones: String,
    },
    /// No class has a part of the traffic.
    #[error("traffic: give farm-view, market-sale or coin-buy a part above 0")]
    NoTraffic,
    /// A word names no node.
    #[error(
        "{key} = {name:?}: give all, discovery, clients, schedulers, workers, lease-holder, leader, \
         scheduler N (0 to {last_scheduler}), worker N (0 to {last_worker}), zone NAME ({zones}) or region NAME ({regions})"
    )]
    UnknownNode {
        /// The key.
        key: String,
        /// The word.
        name: String,
        /// The highest number of a scheduler.
        last_scheduler: usize,
        /// The highest number of a worker.
        last_worker: usize,
        /// The zones there are.
        zones: String,
        /// The regions there are.
        regions: String,
    },
    /// A fault lacks something or names the wrong nodes.
    #[error("{fault}: {remedy}")]
    Fault {
        /// Its number and kind.
        fault: String,
        /// What to give.
        remedy: &'static str,
    },
    /// An expected violation is of no rule.
    #[error("expect.violations = {name:?}: give rules of {}", RULES.join(", "))]
    UnknownRule {
        /// The name given.
        name: String,
    },
}

/// A problem and its place.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}:{line}: {problem}", .path.display())]
pub struct ScenarioError {
    /// The scenario's file.
    pub path: PathBuf,
    /// The line, from 1.
    pub line: usize,
    /// What is wrong there.
    pub problem: Problem,
}

/// All that is wrong with a scenario's file, one error a line.
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
