//! A cluster on loopback: several processes of the scheduler, every link between them and the world made by a proxy,
//! faults on these links and processes by a scenario's file, and a checker of what every stand-in observed.
//!
//! What it promises, and its tests show:
//!
//! - **Every byte passes through the proxy.** A scheduler knows only addresses that the proxy listens on, so each
//!   direction of each link can be delayed, held, cut or (datagrams) lost by itself.
//! - **The verdict is independent of the schedulers.** The [`checker`] judges by what clients, workers and discovery
//!   observed, never by what a scheduler reports of itself; each of its rules has a history that violates it.
//! - **Nothing is left behind.** Processes end with the test cluster, by [`process`], even if that is killed itself;
//!   ports and files are released with it.
//!
//! What it is not: no network emulator for other programs, no kernel faults, no clock but the machine's. Loss on TCP
//! shows as delay, as the kernel makes it. A link that is a black hole holds what was sent on its connections and
//! delivers it late once it works again, as retransmission does.
//!
//! One thread, one poll, in [`cluster`]; all other modules but [`process`] do no I/O and read no clock. Imports go one way:
//! [`scenario`] builds on [`rules`] and [`network_conditions`]; [`history`], [`stand_ins`] and [`checker`] on the scenario;
//! [`cluster`] on all of these; [`report`] on the checker and the cluster's outcome.

pub mod checker;
pub mod cluster;
mod error;
pub mod history;
pub mod network_conditions;
pub mod process;
pub mod random_scenarios;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod stand_ins;

pub use checker::{Report, Verdict, check};
pub use cluster::{Options, Outcome, run};
pub use error::{Error, StartState};
pub use scenario::Scenario;

/// Milliseconds since the run's traffic began, by the machine's monotonic clock; before it, negative.
pub type Millis = f64;

/// Number of a proxied connection. It is never given twice in a run.
pub type ConnectionId = u64;
