//! Runs a cluster of scheduler processes on loopback. A proxy carries every link among the processes and
//! between them and the stand-ins for clients, workers and discovery. A scenario file injects faults into
//! links and processes, and a checker judges the history of what the stand-ins observed.
//!
//! Guarantees, each covered by tests:
//!
//! - **Every byte passes through the proxy.** A scheduler knows only addresses that the proxy listens on, so
//!   each direction of each link can be delayed, held, cut or (datagrams only) made lossy independently.
//! - **The verdict is independent of the schedulers.** The [`checker`] uses what clients, workers, discovery
//!   and the proxy observed, never what a scheduler reports about itself. The tests have a history that
//!   violates each of its rules.
//! - **Nothing is left behind.** The processes end with the test cluster, even if that is killed itself (see
//!   [`process`]), and their ports and files are released.
//!
//! Limits: it does not emulate a network for other programs, injects no kernel faults and uses only the
//! machine's clock. Loss on a TCP link shows as delay, as it does behind the kernel's retransmission. A link
//! that is a black hole keeps the bytes sent on its connections and delivers them once it works again, as
//! retransmission does.
//!
//! [`cluster`] runs in one thread with one poll; all other modules but [`process`] do no I/O and read no
//! clock. Imports go one way: [`scenario`] builds on [`rules`] and [`network_conditions`]; [`history`],
//! [`stand_ins`] and [`checker`] on the scenario; [`cluster`] on all of these; [`report`] on the checker and
//! the cluster's outcome.

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

/// Milliseconds on the machine's monotonic clock since the run's traffic began; negative before that.
pub type Millis = f64;

/// Identifies a proxied connection. An id is never reused within a run.
pub type ConnectionId = u64;
