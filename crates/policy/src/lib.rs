//! The decision module of a scheduler that pushes jobs to workers: which job is sent to which worker when, and which is
//! retried, rejected or failed.
//!
//! **Invariant.** Each job gets exactly one final answer, unless its client disconnects first. The same settings, seed,
//! events and times give the same actions.
//!
//! No I/O, no clock: [`Dispatcher::handle`] is told what happened and when, and appends the [`Action`]s to carry out.
//!
//! | module | its job |
//! | --- | --- |
//! | [`dispatcher`] | every decision; its files are counted, see `deploy/balancer.toml` |
//! | [`settings`] | what a dispatcher is told at its start, and the document that this is read from |
//! | `event`, `action`, `worker_list`, `units` | what goes in and what comes out |
//! | `job`, `worker`, `ready_workers`, `slot_budget`, `tenant_queues`, `timer_queue` | state without decisions |
//! | [`measure`], `key_popularity`, `tenant_quotas` | what is measured: rates, running times, faults, popularity of keys |
//! | `peers`, [`symbols`] | the loads of other schedulers, and the text of messages |
//! | [`hashing`] | hashes that are the same at every scheduler |
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
pub mod hashing;
mod job;
mod key_popularity;
pub mod measure;
mod peers;
mod ready_workers;
mod request_ages;
mod retry_scope;
pub mod settings;
mod slot_budget;
pub mod symbols;
mod tenant_queues;
mod tenant_quotas;
mod timer_queue;
mod token_bucket;
mod units;
mod worker;
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
