//! The endpoint directory: what one scheduler believes of every endpoint, and how that stays true while discovery is
//! silent, slow or unreachable.
//!
//! **Invariant.** An endpoint is ready only while this scheduler's own list says so, and nothing newer says otherwise:
//!
//! - an endpoint that discovery (in a complete update or in part of one) or a peer with a newer list has reported as
//!   draining or gone is not [`EndpointDirectory::is_ready`] from the same instant on;
//! - gossip never adds an endpoint, nor does it make one ready again, whatever had taken it out of use.
//!
//! The crate also promises that
//!
//! - a stale table goes on being used, whatever its age, so that an outage of discovery alone leaves no client without
//!   service. Meanwhile the endpoints' own signals hold back at most half of those listed as ready;
//! - requests to discovery are paid from a token bucket whose rate falls with the number of schedulers, so that late
//!   answers, outages and broken watches never overload a discovery service that all schedulers share.
//!
//! It does no I/O, reads no clock and knows no HTTP. Inputs carry the time at which they happened; [`Command`]s come
//! out of [`EndpointDirectory::poll_command`], to be carried out in that order.
//!
//! | input | method | what follows |
//! | --- | --- | --- |
//! | list cached before a restart | [`load_cached`](EndpointDirectory::load_cached) | `UpdateEndpoints` |
//! | subscription on or off, one list wanted | [`set_watching`](EndpointDirectory::set_watching), [`request_poll`](EndpointDirectory::request_poll) | `OpenRequest`, `CancelRequest` |
//! | progress of a request | `handle_connected`, `handle_response_head`, `handle_bytes`, `handle_keep_alive`, `handle_request_end` | `OpenRequest`, `CancelRequest` |
//! | an entry, the end of an update | [`handle_entry`](EndpointDirectory::handle_entry), [`handle_update`](EndpointDirectory::handle_update) | `UpdateEndpoints`, `SendMessage` |
//! | gossip of a peer | [`handle_message`](EndpointDirectory::handle_message) | `UpdateEndpoints`, `SendMessage` |
//! | an endpoint's behaviour | [`handle_signal`](EndpointDirectory::handle_signal) | `UpdateEndpoints` |
//! | time | [`handle_timeout`](EndpointDirectory::handle_timeout) | any of them |
//!
//! It does not select workers for jobs: the policy crate does, from the entries in [`Command::UpdateEndpoints`].

mod anti_entropy;
mod client;
mod command;
mod counts;
mod directory;
mod endpoint;
mod event;
mod gossip;
mod revision_gap;
mod rollout;
mod settings;
mod signals;
mod table;
mod token_bucket;

pub use client::{Freshness, OpenReason, RequestEnd, RequestId, RequestKind, RequestPhase};
pub use command::{Command, WorkerUpdate};
pub use counts::Counts;
pub use directory::EndpointDirectory;
pub use endpoint::{EndpointRecord, EndpointStatus, StatusSource};
pub use event::{
    Event, FailureCause, RequestEvent, RequestFailure, StatusChange, StatusChangeSource, StatusChangeSummary,
    readiness_name,
};
pub use settings::DiscoverySettings;
pub use signals::EndpointSignal;
pub use table::Availability;
