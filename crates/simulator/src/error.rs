//! What keeps the simulator from running. The texts are what the program prints.

use std::io;
use std::path::PathBuf;

/// What is wrong in the text of an experiment's file.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// It is not TOML, or a key is missing, unknown or of another type. The text names line and column.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// Values that no run can have, a line each.
    #[error("{}", lines(.0))]
    InvalidValues(Vec<InvalidValue>),
}

/// A value that no run can have.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidValue {
    /// A number is too small or too large, or not a number.
    #[error("{key} = {value}: give a number from {min} to {max}")]
    OutOfRange {
        /// The key with the table or the fault that it is in.
        key: String,
        /// What the file says.
        value: f64,
        /// The least value that is valid.
        min: f64,
        /// The greatest value that is valid.
        max: f64,
    },
    /// Of two faults of a kind, the end of one would end the other.
    #[error("faults {first} and {second} ({kind}) overlap: let one end first")]
    OverlappingFaults {
        /// The earlier one's number in the file, from 1.
        first: usize,
        /// The later one's number.
        second: usize,
        /// The kind of both.
        kind: &'static str,
    },
}

fn lines(values: &[InvalidValue]) -> String {
    values.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// An error that ends a command of the program.
#[derive(Debug, thiserror::Error)]
pub enum SimulatorError {
    /// A file can't be read.
    #[error("{}: {source}", .path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// An experiment's file has an error.
    #[error("{}: {source}", .path.display())]
    InvalidExperiment {
        /// The file.
        path: PathBuf,
        /// What is wrong in it, and where.
        source: ExperimentError,
    },
    /// A value on the command line is out of its range.
    #[error("{option}: give numbers from {min} to {max}")]
    InvalidOption {
        /// The option as it is written.
        option: &'static str,
        /// The least value that is valid.
        min: f64,
        /// The greatest value that is valid.
        max: f64,
    },
    /// A row of a table can't be written as JSON.
    #[error("a row as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A plot can't be drawn.
    #[error("{}: {source}", .path.display())]
    Plot {
        /// The file that it was to be written to.
        path: PathBuf,
        /// The drawing library's error.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}
