//! Errors that prevent a run or its output. What a run is meant to show, such as violations, is no error.

use std::path::PathBuf;
use std::{fmt, io};

/// Why a scenario cannot be read, or a run or its output cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("{}: {source}", .path.display())]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A scenario file is invalid.
    #[error(transparent)]
    Scenario(#[from] crate::scenario::ScenarioErrors),
    /// A system call failed.
    #[error("{operation}: {source}")]
    Io {
        /// What was attempted.
        operation: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The scenario needs more file descriptors than the system allows.
    #[error(
        "the scenario needs about {needed} file descriptors, but only {allowed} are allowed: \
         raise `ulimit -n`, or use fewer schedulers, workers or jobs per second"
    )]
    DescriptorLimit {
        /// Estimate for the sockets and files of the test cluster.
        needed: u64,
        /// The hard limit of the process.
        allowed: u64,
    },
    /// The scheduler's program cannot be started.
    #[error(
        "cannot start {}: {source}; build it with `cargo build` or give its path with --program",
        .program.display()
    )]
    StartProgram {
        /// Path of the program.
        program: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A scheduler process ended before traffic began. The text states which one, its exit status and the
    /// end of its log.
    #[error("before it was ready, {0}")]
    EndedBeforeReady(String),
    /// Not all schedulers were ready within the start timeout.
    #[error(
        "the cluster is not up after {timeout_ms} ms:\n{}\n{}\n{}",
        join_lines(.schedulers), failover_figures(.schedulers), join_lines(.log)
    )]
    StartTimeout {
        /// The start timeout.
        timeout_ms: f64,
        /// How far each scheduler has come.
        schedulers: Vec<StartState>,
        /// Log lines of the processes. They are part of the error because a run that did not begin has no
        /// report.
        log: Vec<String>,
    },
    /// A scheduler sent a worker a request that belongs to no client's job.
    #[error("scheduler {scheduler} sent a worker the request {request}, which belongs to no client's job")]
    UnknownJob {
        /// The scheduler that the connection was proxied for.
        scheduler: usize,
        /// `X-Trace-Id` of the request.
        request: String,
    },
    /// The caller stopped the run.
    #[error("the run was interrupted; its processes have ended")]
    Interrupted,
    /// The history or the report cannot be written as JSON.
    #[error("cannot write JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A plot cannot be drawn.
    #[error("cannot draw the plot {title:?}: {source}")]
    Plot {
        /// Title of the plot.
        title: String,
        /// Error of the plotting library.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

impl Error {
    /// For `map_err`: adds what was attempted to an I/O error.
    pub(crate) fn io(operation: &'static str) -> impl Fn(io::Error) -> Error {
        move |source| Error::Io { operation, source }
    }
}

/// How far a scheduler has come in a cluster that is not up within the start timeout.
#[derive(Debug)]
pub struct StartState {
    /// Number of the scheduler in the scenario, from 0.
    pub scheduler: usize,
    /// Whether it has logged that it serves.
    pub is_serving: bool,
    /// Whether the front proxy's health checks find it up, so that it is sent clients.
    pub is_up: bool,
    /// Whether its jobs are replicated. Also true if the scenario uses no failover.
    pub is_replicating: bool,
    /// Failover figures from its admin endpoint; `None` if the endpoint does not answer.
    pub failover: Option<String>,
}

impl fmt::Display for StartState {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let StartState { scheduler, is_serving, is_up, is_replicating, failover } = self;
        let answers = failover.is_some();
        write!(
            f,
            "scheduler {scheduler}: serving {is_serving}, up at the front proxy {is_up}, \
             answers INFO {answers}, replicating {is_replicating}"
        )
    }
}

/// The failover figures of the schedulers that answered, a line each. They are long, so the error has them
/// after the short lines that state what is missing.
fn failover_figures(schedulers: &[StartState]) -> String {
    let line =
        |state: &StartState| Some(format!("scheduler {}: {}", state.scheduler, state.failover.as_ref()?));
    schedulers.iter().filter_map(line).collect::<Vec<_>>().join("\n")
}

fn join_lines<T: ToString>(items: &[T]) -> String {
    items.iter().map(T::to_string).collect::<Vec<_>>().join("\n")
}
