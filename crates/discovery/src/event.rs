//! Events for the log: typed, so that the driver writes them as a stable name with fields.

use crate::client::{Freshness, OpenReason, RequestId, RequestKind, RequestPhase};
use crate::endpoint::StatusSource;
use brackenledge_policy::{Millis, Readiness};
use std::fmt;

/// Something that an operator may want to see in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The status of one endpoint has changed.
    EndpointStatusChanged(StatusChange),
    /// The status of more than 20 endpoints has changed at one time.
    EndpointStatusChangedMany(StatusChangeSummary),
    /// A request to discovery was made, is late, was given up, or has failed.
    Request(RequestEvent),
    /// Discovery's list can be relied on more, or less, than before.
    FreshnessChanged {
        /// Before.
        from: Freshness,
        /// Now.
        to: Freshness,
        /// The revision held; 0: none.
        revision: u64,
    },
    /// A peer has reported changes that are newer than the list held and were not known yet.
    ChangesLearned {
        /// The peer's ordinal.
        from: u16,
        /// The newest revision of the message.
        revision: u64,
        /// Changes in it that were not known.
        changes: usize,
        /// Endpoints that it has taken out of use.
        withdrawn: u64,
        /// The revision held; 0: none.
        held_revision: u64,
    },
    /// A polled list was ignored, since a newer one came after it had been asked for.
    OutdatedListIgnored {
        /// The ignored list's revision.
        revision: u64,
    },
    /// Discovery counts its revisions from anew.
    RevisionsRestarted {
        /// The first revision of the new count that was seen.
        revision: u64,
    },
    /// A peer holds a revision that has not arrived here; the watch is checked by a second one.
    RevisionMissing {
        /// The missing revision.
        revision: u64,
    },
}

/// What has happened to a request to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEvent {
    /// It is made.
    Opened {
        /// The request.
        request: RequestId,
        /// A watch or a poll.
        kind: RequestKind,
        /// Why it is made.
        reason: OpenReason,
        /// The revision held, after which changes are asked for.
        since_revision: u64,
    },
    /// It has been silent for longer than its phase allows, and stays open for now.
    Late {
        /// The request.
        request: RequestId,
        /// How far it has come.
        phase: RequestPhase,
    },
    /// It was silent for so long that it is closed.
    GivenUp {
        /// The request.
        request: RequestId,
        /// How far it had come.
        phase: RequestPhase,
        /// When the next request may be made at the earliest, in milliseconds from now.
        retry_after: Millis,
    },
    /// It has failed.
    Failed(RequestFailure),
}

/// A change of one endpoint's status.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusChange {
    /// The endpoint's name.
    pub endpoint: String,
    /// Its status before.
    pub from: Readiness,
    /// Its status now.
    pub to: Readiness,
    /// What changed it.
    pub source: StatusChangeSource,
    /// The list's revision that says so, or the one held where `source` is no list.
    pub revision: u64,
}

/// Changes of many endpoints' statuses at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusChangeSummary {
    /// Endpoints that are ready now.
    pub to_ready: usize,
    /// Endpoints that are draining now.
    pub to_draining: usize,
    /// Endpoints that are gone now.
    pub to_gone: usize,
    /// What changed them, if it was the same for all.
    pub source: Option<StatusChangeSource>,
    /// The newest revision among the changes.
    pub revision: u64,
}

/// What changed an endpoint's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusChangeSource {
    /// A report of the status.
    Reported(StatusSource),
    /// A status override ended, because a working watch has not confirmed it for long enough.
    OverrideExpired,
    /// The endpoint's own signals of a drain faded, or a confirmed list takes precedence over them again.
    SignalsCleared,
}

impl fmt::Display for StatusChangeSource {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StatusChangeSource::Reported(source) => source.fmt(f),
            StatusChangeSource::OverrideExpired => f.write_str("override_expired"),
            StatusChangeSource::SignalsCleared => f.write_str("signals_cleared"),
        }
    }
}

/// A request to discovery that failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestFailure {
    /// The request.
    pub request: RequestId,
    /// A watch or a poll.
    pub kind: RequestKind,
    /// Why it failed.
    pub cause: FailureCause,
    /// When the next request may be made at the earliest, in milliseconds from now.
    pub retry_after: Millis,
}

/// Why a request to discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// No connection came up.
    NoConnection,
    /// Discovery answered with an error status.
    Rejected,
    /// The response does not follow the protocol.
    InvalidResponse,
    /// The connection ended before a response.
    NoResponse,
    /// The connection ended in the middle of an update.
    EndedMidUpdate,
    /// The connection ended between updates.
    Ended,
}

impl fmt::Display for FailureCause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            FailureCause::NoConnection => "no_connection",
            FailureCause::Rejected => "rejected",
            FailureCause::InvalidResponse => "invalid_response",
            FailureCause::NoResponse => "no_response",
            FailureCause::EndedMidUpdate => "ended_mid_update",
            FailureCause::Ended => "ended",
        })
    }
}

/// A status as it stands in the log.
pub fn readiness_name(readiness: Readiness) -> &'static str {
    match readiness {
        Readiness::Ready => "ready",
        Readiness::Draining => "draining",
        Readiness::Gone => "gone",
    }
}
