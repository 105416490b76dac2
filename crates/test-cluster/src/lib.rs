//! A tier on loopback: several processes of the scheduler, every link between them and the world made by the rig,
//! faults on these links and processes by a scenario's file, and a ledger of what every stand-in saw.
//!
//! What it promises, and its tests show:
//!
//! - **Every byte passes through the rig.** A scheduler knows only addresses that the rig listens on, so each
//!   direction of each link can be delayed, held, cut or (datagrams) lost by itself.
//! - **The verdict is the rig's own.** The [`checker`] judges by what clients, workers and discovery saw, never by
//!   what a scheduler says of itself; each of its rules has a history that breaks it.
//! - **Nothing is left behind.** Processes end with the rig, by [`process`], even if the rig itself is killed; ports
//!   and files go with it.
//!
//! What it is not: no network emulator for other programs, no kernel faults, no clock but the machine's. Loss on TCP
//! shows as delay, as the kernel makes it. A link that is silent holds what was sent and delivers it late on its
//! return, as retransmission does.
//!
//! One thread, one poll: [`cluster`] drives it; [`network_conditions`], [`stand_ins`] and [`checker`] do no I/O and
//! read no clock.

pub mod checker;
pub mod cluster;
pub mod network_conditions;
pub mod process;
pub mod random_scenarios;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod stand_ins;

pub use checker::{Audit, Verdict};
pub use cluster::{Outcome, run};
pub use scenario::Scenario;

/// Milliseconds since the run's traffic began, by the machine's monotonic clock; before it, negative.
pub type Millis = f64;
