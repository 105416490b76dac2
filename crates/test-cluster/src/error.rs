//! Everything that can go wrong before or beside a run, apart from what the run is to show.

use std::io;
use std::path::PathBuf;

/// Why a scenario can't be read or a run can't be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file can't be read.
    #[error("{}: {source}", .path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A scenario's file is wrong.
    #[error(transparent)]
    Scenario(#[from] crate::scenario::ScenarioErrors),
    /// A call to the system failed.
    #[error("{operation}: {source}")]
    Io {
        /// What was attempted.
        operation: &'static str,
        /// Why it failed.
        source: io::Error,
    },
    /// The scenario needs more descriptors than the system allows.
    #[error(
        "this scenario needs some {needed} descriptors and {allowed} are allowed: raise `ulimit -n`, or have fewer \
         schedulers, workers or jobs a second"
    )]
    DescriptorLimit {
        /// For sockets and files of the test cluster.
        needed: u64,
        /// The hard limit.
        allowed: u64,
    },
    /// The scheduler's program can't be started.
    #[error("{}: {source}; build it with `cargo build` or name it with --program", .program.display())]
    StartProgram {
        /// The program.
        program: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A scheduler ended before traffic began.
    #[error("before it was ready, {0}")]
    EndedBeforeReady(String),
    /// Schedulers did not come up.
    #[error(
        "the cluster is not up after {timeout_ms} ms; schedulers that never reported that they serve: {}",
        numbers(.missing)
    )]
    StartTimeout {
        /// The time they had.
        timeout_ms: f64,
        /// Their numbers.
        missing: Vec<usize>,
    },
    /// A scheduler sent a worker a job of no client of this cluster.
    #[error("scheduler {scheduler} sent {request}, which no client asked for")]
    UnknownJob {
        /// The scheduler that the connection was proxied for.
        scheduler: usize,
        /// The request's `X-Trace-Id`.
        request: String,
    },
    /// The caller has stopped the run.
    #[error("interrupted; its processes have ended")]
    Interrupted,
    /// The history or the report can't be written as JSON.
    #[error("writing JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A plot can't be drawn.
    #[error("{title}: {source}")]
    Plot {
        /// The plot.
        title: String,
        /// Why not.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

impl Error {
    /// For `map_err`: names what was attempted.
    pub(crate) fn io(operation: &'static str) -> impl Fn(io::Error) -> Error {
        move |source| Error::Io { operation, source }
    }
}

fn numbers(of: &[usize]) -> String {
    of.iter().map(usize::to_string).collect::<Vec<_>>().join(", ")
}
