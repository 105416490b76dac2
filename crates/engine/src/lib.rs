//! The engine: jobs and their attempts, between any frontend and the decision module (`brackenledge-policy`).
//!
//! **Invariant.** Each admitted job ends exactly once: it is answered, or abandoned by its client. No attempt of it is
//! started after that, and one whose request has not been sent by then is withdrawn.
//!
//! The engine knows no sockets and no HTTP. A frontend submits jobs and is told their answers; the drivers of backend
//! connections, discovery and peers report what happened and carry out [`Command`]s. Events are queued and handled one at
//! a time, each one's commands before the next event, so that the decision module is never re-entered.
//!
//! | module | its job |
//! | --- | --- |
//! | `engine` | the queues of events and commands, and all inputs |
//! | `job` | the state machine of a job and its attempts, with the table of all transitions |
//! | `attempt` | the states of one attempt, and its deadlines |
//! | `command` | what drivers carry out |
//! | [`stats`] | how jobs ended, for operators |
//! | [`drain`], [`shutdown`] | lame duck, and the end of the process |
//!
//! No I/O, no clock: `now` is an argument, in milliseconds of the driver's clock.

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
