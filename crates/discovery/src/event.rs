//! Typed log events. The driver writes each of them as a stable event name with fields.

use crate::client::{Freshness, OpenReason, RequestId, RequestKind, RequestPhase};
use crate::endpoint::StatusSource;
use brackenledge_policy::{Millis, Readiness};
use std::fmt;

/// An event to be logged for operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The status of one endpoint has changed.
    EndpointStatusChanged(StatusChange),
    /// The statuses of more than 20 endpoints have changed at once.
    EndpointStatusChangedMany(StatusChangeSummary),
    /// A request to discovery was opened, is late, was given up, or has failed.
    Request(RequestEvent),
    /// The freshness of the held list has changed.
    FreshnessChanged {
        /// The previous freshness.
        from: Freshness,
        /// The current freshness.
        to: Freshness,
        /// The held revision; 0 if none.
        revision: u64,
    },
    /// A peer has reported changes that were not known before and are newer than the held list.
    ChangesLearned {
        /// The peer's ordinal.
        from: u16,
        /// The newest revision that the peer knows of.
        revision: u64,
        /// Number of changes that were not known before.
        changes: usize,
        /// Number of ready endpoints that the changes have marked as draining or gone.
        withdrawn: u64,
        /// The held revision; 0 if none.
        held_revision: u64,
    },
    /// A polled list was ignored because a newer list arrived after the poll had been opened.
    OutdatedListIgnored {
        /// The ignored list's revision.
        revision: u64,
    },
    /// Discovery has restarted its revision numbering.
    RevisionsRestarted {
        /// The first revision of the new numbering that arrived here.
        revision: u64,
    },
    /// A peer holds a revision that has not arrived here in time; a second watch is opened to check the
    /// first.
    RevisionMissing {
        /// The missing revision.
        revision: u64,
    },
}

/// An event of a request to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEvent {
    /// The request is opened.
    Opened {
        /// The request's id.
        request: RequestId,
        /// Whether it is a watch or a poll.
        kind: RequestKind,
        /// Why it is opened.
        reason: OpenReason,
        /// The held revision, after which changes are requested; 0 if none.
        since_revision: u64,
    },
    /// The request has been silent for longer than expected in its phase, but stays open for now.
    Late {
        /// The request's id.
        request: RequestId,
        /// The phase in which it is late.
        phase: RequestPhase,
    },
    /// The request was closed because it was silent for too long.
    GivenUp {
        /// The request's id.
        request: RequestId,
        /// The phase in which it was closed.
        phase: RequestPhase,
        /// Minimum delay before the next request, in milliseconds.
        retry_after: Millis,
    },
    /// The request has failed.
    Failed(RequestFailure),
}

/// A change of one endpoint's status.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusChange {
    /// The endpoint's name.
    pub endpoint: String,
    /// The previous status.
    pub from: Readiness,
    /// The new status.
    pub to: Readiness,
    /// What caused the change.
    pub source: StatusChangeSource,
    /// The list revision behind the change. For a change by signals, the revision that last confirmed the
    /// endpoint.
    pub revision: u64,
}

/// A summary of many simultaneous status changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusChangeSummary {
    /// Number of endpoints that have become ready.
    pub to_ready: usize,
    /// Number of endpoints that have become draining.
    pub to_draining: usize,
    /// Number of endpoints that have become gone.
    pub to_gone: usize,
    /// What caused the changes; `None` if the causes differ.
    pub source: Option<StatusChangeSource>,
    /// The newest revision among the changes.
    pub revision: u64,
}

/// The cause of a status change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusChangeSource {
    /// The new status was reported by this source.
    Reported(StatusSource),
    /// A status override expired because a working watch had not confirmed it in time.
    OverrideExpired,
    /// The evidence of a drain has decayed, or a fresh list takes precedence over it.
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

/// The failure of a request to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestFailure {
    /// The request's id.
    pub request: RequestId,
    /// Whether it is a watch or a poll.
    pub kind: RequestKind,
    /// Why it failed.
    pub cause: FailureCause,
    /// Minimum delay before the next request, in milliseconds.
    pub retry_after: Millis,
}

/// Why a request to discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The connection could not be established.
    NoConnection,
    /// Discovery answered with an error status.
    Rejected,
    /// The response violates the protocol.
    InvalidResponse,
    /// The connection was closed before a response began.
    NoResponse,
    /// The connection was closed in the middle of an update.
    EndedMidUpdate,
    /// The connection was closed between updates.
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

/// The name of a status in the log.
pub fn readiness_name(readiness: Readiness) -> &'static str {
    match readiness {
        Readiness::Ready => "ready",
        Readiness::Draining => "draining",
        Readiness::Gone => "gone",
    }
}
