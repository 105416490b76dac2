//! What keeps the simulator from running. The texts are what the program prints.

use std::path::PathBuf;

/// An error that ends a command of the program.
#[derive(Debug, thiserror::Error)]
pub enum SimulatorError {
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
    /// A plot can't be drawn.
    #[error("{}: {source}", .path.display())]
    Plot {
        /// The file that it was to be written to.
        path: PathBuf,
        /// The drawing library's error.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}
