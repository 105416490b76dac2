//! The engine tracks jobs and their attempts, between any frontend and the decision module
//! (`brackenledge-policy`).
//!
//! **Invariant.** Each admitted job ends exactly once: it is answered, or abandoned by its client. After that
//! no attempt of it is started, and an attempt whose request has not been written yet is withdrawn.
//!
//! The engine does not depend on sockets or HTTP. A frontend submits jobs and receives their answers; the
//! drivers of worker connections, discovery and peer messages report events and execute [`Command`]s. Events
//! are queued and handled one at a time, and the commands of each are handed out before the next event is
//! handled, so that the decision module is never re-entered.
//!
//! | module | contents |
//! | --- | --- |
//! | `engine` | the event and command queues, and all inputs |
//! | `job` | the state machine of a job and its attempts, with the table of all transitions |
//! | `attempt` | the states and deadlines of one attempt |
//! | `command` | the commands that drivers execute |
//! | [`stats`] | counts of how jobs ended, for operators |
//! | [`drain`], [`shutdown`] | draining on LAMEDUCK, and graceful shutdown of the process |
//!
//! The crate does no I/O and reads no clock: `now` is an argument, in milliseconds of the driver's clock.

mod attempt;
mod command;
pub mod drain;
mod engine;
mod job;
pub mod shutdown;
pub mod stats;

pub use attempt::{AttemptDeadlines, AttemptId};
pub use command::Command;
pub use engine::Engine;
pub use job::{Answer, ClientId, JobRequest, Request};
