//! Plays a scenario: one poll, one thread; processes of the scheduler, all their links, and the stand-ins behind these.
//!
//! A proxied connection has one real socket, the scheduler's side, and one stand-in; what travels between them goes
//! through two [`Pipe`](crate::network_conditions::Pipe)s, one for each direction, under the conditions of its link.
//! Datagrams between schedulers are received on a socket that the proxy gave the sender as the receiver's address, and
//! sent on from the one that it gave the receiver as the sender's.
//!
//! | module | its job |
//! | --- | --- |
//! | `event_loop` | the poll; hands each event and timer to the part that it is for |
//! | `runtime`, `timers`, `sources` | what all parts share: clock, random numbers, timers, poll sources, the history |
//! | `context` | what stand-ins and faults work on: the runtime, the proxy, the processes |
//! | `setup`, `scheduler_config`, `descriptor_limit` | addresses, files, settings and limits of the processes |
//! | `supervisor` | processes: start, signals, logs, calls of the admin endpoint |
//! | `active_faults`, `fault_injector`, `worker_faults`, `listener_states` | faults, and the listeners' states that follow from them |
//! | `network`, `connection`, `listener` | the proxy's connections and listeners |
//! | `datagrams`, `datagram_relay`, `role_monitor` | the proxy's datagrams, and what they show of leases |
//! | `stand_in` | the trait that the far ends of connections implement |
//! | `worker_stand_in`, `discovery_stand_in`, `client_stand_in`, `health_checks`, `scheduler_links` | these far ends |

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

/// A turn of the event loop that takes longer than this delays what it carries by as much.
pub const LATE_TURN: Millis = 100.0;

/// How to run a scenario.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The scheduler's program.
    pub program: PathBuf,
    /// Ends the run early when set.
    pub stop: Option<Arc<AtomicBool>>,
}

/// The reply of a scheduler's admin endpoint.
#[derive(Clone, Debug)]
pub struct AdminReply {
    /// The scheduler.
    pub scheduler: usize,
    /// Its reply.
    pub text: String,
}

/// What a run came to.
#[derive(Debug)]
pub struct Outcome {
    /// What was observed, in order.
    pub history: Vec<HistoryEvent>,
    /// Processes that ended although nobody had asked them to, with the end of their logs.
    pub crashed: Vec<String>,
    /// Ids of all processes that were started; none runs any more.
    pub process_ids: Vec<u32>,
    /// `DUTIES` of each process that still ran at the end: roles and leases.
    pub role_replies: Vec<AdminReply>,
    /// `MEMBERS` of each of them.
    pub member_replies: Vec<AdminReply>,
    /// `INFO` of each of them: figures.
    pub info_replies: Vec<AdminReply>,
    /// What the processes logged: the time since the start of traffic, the scheduler, and the line.
    pub log: Vec<String>,
    /// Processor time of the processes that still ran at the end, in milliseconds, since the start of traffic.
    pub cpu_ms: f64,
    /// Bytes on connections between schedulers.
    pub link_bytes: u64,
    /// Turns of the event loop that took longer than [`LATE_TURN`]: a run with many of them says little.
    pub late_turns: usize,
}

/// Plays a scenario and gives what was observed. An error is the test cluster's own: it did not come up, there are too
/// few descriptors, a program is missing. No process and no file is left behind in either case.
pub fn run(scenario: &Scenario, options: &Options) -> Result<Outcome, Error> {
    descriptor_limit::raise(scenario)?;
    let mut cluster = Cluster::new(scenario, options)?;
    cluster.run()?;
    Ok(cluster.into_outcome())
}
