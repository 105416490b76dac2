//! The decisions of a dispatcher that pushes jobs to workers.
//!
//! Jobs queue per tenant and are drained by weighted deficit round-robin into a slot budget that AIMD tunes
//! against a start-delay target; each job goes to an idle worker first. The crate does no I/O and reads no
//! clock: feed [`Dispatcher::handle`] what happened and when, and carry out the [`Action`]s it appends.
//!
//! ```
//! use brackenledge_policy::{Action, Dispatcher, Event, ListKind, Settings, WorkerEntry};
//!
//! let mut dispatcher = Dispatcher::new(0.0, Settings::default(), 7);
//! let mut actions: Vec<Action> = Vec::new();
//! let worker = WorkerEntry { name: "worker-a".into(), ..WorkerEntry::default() };
//! dispatcher.handle(0.0, Event::Workers { kind: ListKind::Full, entries: vec![worker] }, &mut actions);
//! ```

#[doc = include_str!("../../../README.md")]
#[cfg(doctest)]
struct Readme;

mod action;
pub mod dispatcher;
mod event;
mod job;
mod keys;
pub mod measure;
mod peers;
pub mod settings;
mod shares;
pub mod symbols;
mod tenants;
mod units;
mod worker_list;

pub use action::Action;
pub use dispatcher::Dispatcher;
pub use event::{AttemptResult, Event, LoadReport, NewJob, Outcome, PriorExecution};
pub use peers::{is_aggregated_loads, split_aggregated_loads};
pub use settings::{
    Class, DeduplicationScope, Effect, ReportSource, Settings, SettingsDocument, Tenant, Weights,
};
pub use units::{JobId, Millis, WorkerId};
pub use worker_list::{ListKind, Readiness, WorkerEntry};
