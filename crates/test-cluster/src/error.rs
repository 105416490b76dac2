//! Everything that can go wrong before or beside a run, apart from what the run is to show.

use std::path::PathBuf;
use std::{fmt, io};

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
        "the cluster is not up after {timeout_ms} ms:\n{}\n{}\n{}",
        lines(.schedulers), figures(.schedulers), lines(.log)
    )]
    StartTimeout {
        /// The time they had.
        timeout_ms: f64,
        /// What each of them lacks.
        schedulers: Vec<StartState>,
        /// What the processes have logged: there is no report of a run that did not begin.
        log: Vec<String>,
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

/// How far a scheduler of a cluster that is not up has come.
#[derive(Debug)]
pub struct StartState {
    /// Its number.
    pub scheduler: usize,
    /// It has logged that it serves.
    pub is_serving: bool,
    /// The front proxy sends it clients.
    pub is_up: bool,
    /// Its jobs are replicated, or the scenario asks for no replicas.
    pub is_replicating: bool,
    /// Its failover figures at the admin endpoint; `None`: it does not answer.
    pub failover: Option<String>,
}

impl fmt::Display for StartState {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let StartState { scheduler, is_serving, is_up, is_replicating, failover } = self;
        let answers = failover.is_some();
        write!(
            f,
            "scheduler {scheduler}: serving {is_serving}, up at the front proxy {is_up}, answers INFO {answers}, \
             replicating {is_replicating}"
        )
    }
}

/// The schedulers' failover figures: long, so they stand behind the short lines that say what is missing.
fn figures(schedulers: &[StartState]) -> String {
    let line =
        |state: &StartState| Some(format!("scheduler {}: {}", state.scheduler, state.failover.as_ref()?));
    schedulers.iter().filter_map(line).collect::<Vec<_>>().join("\n")
}

fn lines<T: ToString>(of: &[T]) -> String {
    of.iter().map(T::to_string).collect::<Vec<_>>().join("\n")
}
