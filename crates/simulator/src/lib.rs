//! Whole fleets of schedulers on a virtual clock: the decision module unchanged, one instance for each scheduler, and a
//! model of what they talk to. A run is a function of its file and seed.

mod error;
mod event_queue;
mod experiment;
mod fleet;
pub mod membership;
mod textbook;
pub mod zones;

pub use error::SimulatorError;
pub use experiment::{Experiment, Fault, FleetSize, Network, Traffic, Window, run};
pub use fleet::{Fleet, Tally, settings};
pub use textbook::Rule;
