//! Why the program ends with an error. The texts are what it prints.

#[cfg(test)]
mod tests;

use crate::admin_call::AdminCallError;
use crate::net::StartError;
use brackenledge_protocol::ConfigError;
use std::io;
use std::path::PathBuf;

/// Why the configuration or the operators' settings can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// Neither the command line nor the environment names a configuration.
    #[error("no configuration: give --config FILE or set PROXY_CONFIG")]
    NoConfiguration,
    /// A file can't be read.
    #[error("{}: {source}", .path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A file has an error.
    #[error(transparent)]
    Config(#[from] ConfigError),
}

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The configuration or the operators' settings can't be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The scheduler can't start or go on.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A call at an admin endpoint failed.
    #[error(transparent)]
    AdminCall(#[from] AdminCallError),
}
