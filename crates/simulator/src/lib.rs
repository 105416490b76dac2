//! Deterministic simulations on a virtual clock: equal inputs and seeds give equal results.
//!
//! Each simulation runs the production code of one component against a simulated environment:
//!
//! | Entry point | Simulated environment | Production code |
//! | --- | --- | --- |
//! | [`Experiment`], [`run()`], [`Fleet`] | workers, individual jobs, peer messages, faults | the policy |
//! | [`membership`] | schedulers that crash, messages that are lost | the membership crate |
//! | [`zones`] | six zones with work as a flow; some zones lose their workers | the zone routing planner |

mod baselines;
mod error;
mod event_queue;
mod experiment;
mod fleet;
pub mod membership;
mod run;
mod statistics;
pub mod zones;

pub use baselines::Baseline;
pub use error::{ExperimentError, InvalidValue, SimulatorError};
pub use experiment::{Experiment, Fault, FleetSize, Network, Traffic};
pub use fleet::{Fleet, FleetConfig, Violation, WarmingWorkerLoad, settings};
pub use run::{RunResult, run};
pub use statistics::{Broadcast, FleetStatistics, Window};
