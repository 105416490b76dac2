//! The endpoint directory: the status of every endpoint as one scheduler knows it, kept correct while the
//! discovery service is silent, slow or unreachable.
//!
//! **Invariant.** An endpoint is ready only while this scheduler's own list reports it as ready and no newer
//! report contradicts the list:
//!
//! - as soon as discovery (in a complete or a partial update) or a peer with a newer list has reported an
//!   endpoint as draining or gone, [`EndpointDirectory::is_ready`] returns `false` for it;
//! - gossip never adds an endpoint and never makes one ready again, whatever took it out of use.
//!
//! The crate also guarantees that
//!
//! - a stale table stays in use, whatever its age, so that an outage of discovery alone leaves no client
//!   without service. Until discovery is back, the endpoints' own signals hold back at most half of the
//!   endpoints listed as ready;
//! - requests to discovery are limited by a token bucket whose rate falls with the number of schedulers, so
//!   that late responses, outages and broken watches never overload a discovery service that all schedulers
//!   share.
//!
//! The crate does no I/O, reads no clock and does not depend on HTTP. Each input carries the time at which it
//! happened. [`EndpointDirectory::poll_command`] returns the [`Command`]s, which must be executed in that
//! order.
//!
//! | input | method | resulting commands |
//! | --- | --- | --- |
//! | list cached before a restart | [`load_cached`] | `UpdateEndpoints` |
//! | start or end of the subscription | [`set_watching`] | `OpenRequest`, `CancelRequest` |
//! | request for a poll | [`request_poll`] | `OpenRequest`, `CancelRequest` |
//! | new address of discovery | [`handle_address_change`] | `OpenRequest`, `CancelRequest` |
//! | connection or response | `handle_connected`, `handle_response_head` | `OpenRequest`, `CancelRequest` |
//! | bytes, keep-alive | `handle_bytes`, `handle_keep_alive` | `OpenRequest`, `CancelRequest` |
//! | end of a request | `handle_request_end` | `OpenRequest`, `CancelRequest` |
//! | entry or end of an update | [`handle_entry`], [`handle_update`] | `UpdateEndpoints`, `SendMessage` |
//! | gossip from a peer | [`handle_message`] | `UpdateEndpoints`, `SendMessage` |
//! | signal from an endpoint's behaviour | [`handle_signal`] | `UpdateEndpoints` |
//! | passage of time | [`handle_timeout`] | any of the above |
//!
//! The table names the commands that an input results in by itself. Most inputs also carry out what has
//! become due by their time, and may then result in any command, [`Command::Event`] included.
//!
//! [`load_cached`]: EndpointDirectory::load_cached
//! [`set_watching`]: EndpointDirectory::set_watching
//! [`request_poll`]: EndpointDirectory::request_poll
//! [`handle_address_change`]: EndpointDirectory::handle_address_change
//! [`handle_entry`]: EndpointDirectory::handle_entry
//! [`handle_update`]: EndpointDirectory::handle_update
//! [`handle_message`]: EndpointDirectory::handle_message
//! [`handle_signal`]: EndpointDirectory::handle_signal
//! [`handle_timeout`]: EndpointDirectory::handle_timeout
//!
//! Selecting workers for jobs is left to the policy crate, which receives the entries of
//! [`Command::UpdateEndpoints`].

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
