//! The scheduling logic of a scheduler that pushes jobs to workers. It decides when each job is sent to which
//! worker, and which jobs are retried, rejected or failed.
//!
//! **Invariant.** Each job gets exactly one final answer, unless its client disconnects first. The same
//! settings, seed, events and times give the same actions.
//!
//! The crate does no I/O and reads no clock: [`Dispatcher::handle`] takes an [`Event`] with its time, and
//! appends the [`Action`]s that the caller has to carry out.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`dispatcher`] | all decisions; its files are listed in `deploy/balancer.toml` |
//! | [`settings`] | the settings of a dispatcher, and the document that they are read from |
//! | `event`, `action`, `worker_list`, `units` | input and output types |
//! | `job`, `worker`, `ready_workers`, `slot_budget`, `tenant_queues`, `timer_queue` | state |
//! | `retry_scope` | the workers that a job may be sent to after an attempt that may have run |
//! | `request_ages` | time since a client first sent a request that it retries |
//! | [`measure`], `token_bucket` | moving estimates of rates, running times and faults; rate limits |
//! | `key_popularity`, `tenant_quotas` | popularity of affinity keys, and jobs within the tenants' quotas |
//! | `peers`, [`symbols`] | loads of the other schedulers, and the encoding of load messages |
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
