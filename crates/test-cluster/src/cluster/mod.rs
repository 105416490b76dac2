//! Runs a scenario: starts the scheduler processes, proxies all their links, and plays the stand-ins at the
//! other end of these links. Everything runs in one thread with one `mio` poll.
//!
//! A proxied connection has a real socket on the scheduler's side and a stand-in on the other. Traffic
//! between the two passes through two [`Pipe`](crate::network_conditions::Pipe)s, one per direction, under
//! the conditions of its link. For datagrams, the proxy has a socket per ordered pair of schedulers. A
//! datagram is received on the socket that the sender knows as the receiver's address, and forwarded from the
//! socket that the receiver knows as the sender's.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `event_loop` | the poll loop; dispatches each event and timer to the module that handles it |
//! | `runtime`, `timers`, `sources` | clock, random numbers, timers, poll registrations, history |
//! | `context` | the state that stand-ins and faults work on: runtime, proxy, processes |
//! | `setup`, `scheduler_config`, `descriptor_limit` | addresses, files, settings, limits of the processes |
//! | `supervisor` | scheduler processes: start, signals, logs, calls to the admin endpoint |
//! | `active_faults`, `fault_injector`, `worker_faults` | faults in effect and how they are applied |
//! | `listener_states` | listener states derived from the faults in effect |
//! | `network`, `connection`, `listener` | the proxy's connections and listeners |
//! | `datagrams`, `datagram_relay` | the proxy's datagram sockets and forwarding between schedulers |
//! | `role_monitor` | leader and lease holders, as observed in datagrams |
//! | `stand_in` | the trait that all stand-ins behind connections implement |
//! | `worker_stand_in`, `discovery_stand_in`, `client_stand_in` | workers, discovery and clients |
//! | `health_checks`, `scheduler_links` | the front proxy's health checks; the relay between schedulers |

mod active_faults;
mod client_stand_in;
mod connection;
mod context;
mod datagram_relay;
mod datagrams;
mod descriptor_limit;
mod discovery_stand_in;
mod event_loop;
mod fault_injector;
mod health_checks;
mod listener;
mod listener_states;
mod network;
mod role_monitor;
mod runtime;
mod scheduler_config;
mod scheduler_links;
mod setup;
mod sources;
mod stand_in;
mod supervisor;
mod timers;
mod worker_faults;
mod worker_stand_in;

use crate::history::HistoryEvent;
use crate::scenario::Scenario;
use crate::{Error, Millis};
use event_loop::Cluster;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// An event loop iteration that takes longer than this is counted as slow: it delays the proxied traffic by
/// as much as it takes.
pub const SLOW_ITERATION: Millis = 100.0;

/// How to run a scenario.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Path of the scheduler's executable.
    pub program: PathBuf,
    /// The run ends early with [`Error::Interrupted`] once the caller sets this flag.
    pub stop: Option<Arc<AtomicBool>>,
}

/// The reply of a scheduler's admin endpoint.
#[derive(Clone, Debug)]
pub struct AdminReply {
    /// Index of the scheduler in the scenario.
    pub scheduler: usize,
    /// The complete reply, possibly of several lines.
    pub text: String,
}

/// The result of a run, as input for the checker and the report.
#[derive(Debug)]
pub struct Outcome {
    /// Events that the stand-ins and the proxy observed since the start of traffic, in order.
    pub history: Vec<HistoryEvent>,
    /// A description of each process that exited without a signal from the test cluster, with the last lines
    /// of its log.
    pub crashed: Vec<String>,
    /// Ids of all processes that were started; all have ended when the outcome is returned.
    pub process_ids: Vec<u32>,
    /// Replies to `DUTIES` (roles and leases) from each primary process that was still running at the end.
    pub role_replies: Vec<AdminReply>,
    /// Replies to `MEMBERS` from the same processes.
    pub member_replies: Vec<AdminReply>,
    /// Replies to `INFO` (metrics) from the same processes.
    pub info_replies: Vec<AdminReply>,
    /// Log lines of the processes, each prefixed with the milliseconds since the start of traffic (-1 before
    /// it) and the scheduler.
    pub log: Vec<String>,
    /// CPU time in milliseconds that the processes still running at the end have used since the start of
    /// traffic.
    pub cpu_ms: f64,
    /// Bytes forwarded on connections between schedulers.
    pub link_bytes: u64,
    /// Event loop iterations that took longer than [`SLOW_ITERATION`]. Many of them make the run's timings
    /// unreliable.
    pub slow_iterations: usize,
}

/// Runs a scenario and returns what was observed. Errors concern the test cluster itself, such as a failed
/// start, too low a descriptor limit or a missing program; violations by the schedulers are for the checker
/// to find. Either way, no process and no file is left behind.
pub fn run(scenario: &Scenario, options: &Options) -> Result<Outcome, Error> {
    descriptor_limit::raise(scenario)?;
    let mut cluster = Cluster::new(scenario, options)?;
    cluster.run()?;
    Ok(cluster.into_outcome())
}
