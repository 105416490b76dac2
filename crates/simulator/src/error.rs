//! Errors of the simulator. Their texts are printed to the user.

use std::io;
use std::path::PathBuf;

/// An error in the text of an experiment file.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The text is not valid TOML, or a key is missing, unknown or of the wrong type. The message names line
    /// and column.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// Values are invalid. The message has a line for each.
    #[error("{}", join_lines(.0))]
    InvalidValues(Vec<InvalidValue>),
}

/// An invalid value in an experiment file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidValue {
    /// A number is out of range, or NaN.
    #[error("{key} = {value}: give a number from {min} to {max}")]
    OutOfRange {
        /// The key, prefixed with its table or fault.
        key: String,
        /// The value in the file.
        value: f64,
        /// The smallest valid value.
        min: f64,
        /// The largest valid value.
        max: f64,
    },
    /// Two faults of the same kind overlap: the end of one would also end the other.
    #[error("faults {first} and {second} ({kind}) overlap: one must end before the other starts")]
    OverlappingFaults {
        /// Position in the file of the fault that is listed first, counted from 1.
        first: usize,
        /// Position of the other fault.
        second: usize,
        /// The kind of both faults, as it is written in the file.
        kind: &'static str,
    },
}

fn join_lines(values: &[InvalidValue]) -> String {
    values.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// An error that aborts a command of the program.
#[derive(Debug, thiserror::Error)]
pub enum SimulatorError {
    /// A file could not be read.
    #[error("{}: {source}", .path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// An experiment file is invalid.
    #[error("{}: {source}", .path.display())]
    InvalidExperiment {
        /// The file.
        path: PathBuf,
        /// The error in the file.
        source: ExperimentError,
    },
    /// A value on the command line is out of range.
    #[error("{option}: give numbers from {min} to {max}")]
    InvalidOption {
        /// The option as it is written on the command line, with its dashes.
        option: &'static str,
        /// The smallest valid value.
        min: f64,
        /// The largest valid value.
        max: f64,
    },
    /// A row of a table could not be serialized as JSON.
    #[error("cannot serialize a row as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A plot could not be drawn.
    #[error("{}: {source}", .path.display())]
    Plot {
        /// The file that the plot is written to.
        path: PathBuf,
        /// The error of the drawing library.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}
