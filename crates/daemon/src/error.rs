//! Errors that end the program. Their texts are printed on standard error.

#[cfg(test)]
mod tests;

use crate::admin_call::AdminCallError;
use crate::net::StartError;
use brackenledge_protocol::ConfigError;
use std::io;
use std::path::PathBuf;

/// The reason why the configuration or the operators' file can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// Neither the command line nor the environment names a configuration file.
    #[error("no configuration: give --config FILE or set PROXY_CONFIG")]
    NoConfiguration,
    /// A file can't be read.
    #[error("{}: {source}", .path.display())]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// A file is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
}

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The configuration or the operators' file can't be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The scheduler can't start, or its poll failed later.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A call to an admin endpoint failed.
    #[error(transparent)]
    AdminCall(#[from] AdminCallError),
}
