//! Simulations on a virtual clock, each a function of its input and seed.
//!
//! | part | what is simulated | what runs unchanged |
//! | --- | --- | --- |
//! | [`Experiment`], [`run()`], [`Fleet`] | a fleet of schedulers and workers, single jobs, faults | the policy |
//! | [`membership`] | a cluster of schedulers that crash, and lose messages | the membership crate |
//! | [`zones`] | six zones as flows of work, of which some lose their workers | the planner of zone routing |

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
