//! Plays a scenario on processes of the scheduler.

mod event_loop;

pub use event_loop::{Options, Outcome, RIG_LATE, program_beside, run};
