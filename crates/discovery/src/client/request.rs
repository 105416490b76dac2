//! One request to discovery.

use super::timing::{ClientTiming, RequestPhase};
use crate::event::FailureCause;
use brackenledge_policy::Millis;
use std::fmt;

/// Identifies a request; never reused by the same directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What a request asks discovery for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// All changes after the revision held, as they happen.
    Watch,
    /// The whole list once.
    Poll,
}

impl fmt::Display for RequestKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            RequestKind::Watch => "watch",
            RequestKind::Poll => "poll",
        })
    }
}

/// Why a request is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenReason {
    /// A poll of the whole list is due.
    PollRequested,
    /// No watch is open.
    NoWatch,
    /// All open watches are late or suspected.
    WatchesSuspected,
    /// The open watch is replaced periodically, even if it works.
    Rotation,
    /// A peer holds a revision that the open watch has not delivered.
    RevisionMissing,
    /// Discovery's address has changed.
    AddressChanged,
}

impl fmt::Display for OpenReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            OpenReason::PollRequested => "poll_requested",
            OpenReason::NoWatch => "no_watch",
            OpenReason::WatchesSuspected => "watches_suspected",
            OpenReason::Rotation => "rotation",
            OpenReason::RevisionMissing => "revision_missing",
            OpenReason::AddressChanged => "address_changed",
        })
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Its connection was never established.
    NoConnection,
    /// Discovery answered with an error status.
    Rejected,
    /// The connection broke, or discovery closed it.
    Closed,
    /// The response does not follow the protocol.
    InvalidResponse,
    /// The polled list has arrived completely.
    Complete,
}

/// The state of a request.
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) kind: RequestKind,
    pub(super) phase: RequestPhase,
    /// When it entered its phase or last received bytes.
    pub(super) active_at: Millis,
    /// It has been silent for longer than its phase allows but has not been given up.
    pub(super) late: bool,
    /// It is not trusted, whatever it delivers: a peer holds a newer revision, or discovery's address has
    /// changed.
    pub(super) suspected: bool,
    /// It was sent to an address that discovery no longer uses, and will end soon.
    pub(super) address_outdated: bool,
    /// It has delivered a complete update or a keep-alive.
    pub(super) has_delivered: bool,
}

impl Request {
    pub(super) fn new(now: Millis, id: RequestId, kind: RequestKind) -> Self {
        Request {
            id,
            kind,
            phase: RequestPhase::Connecting,
            active_at: now,
            late: false,
            suspected: false,
            address_outdated: false,
            has_delivered: false,
        }
    }

    pub(super) fn is_watch(&self) -> bool {
        self.kind == RequestKind::Watch
    }

    /// Whether it is a watch that is neither late nor suspected. It may not have delivered anything yet.
    pub(super) fn is_unsuspected_watch(&self) -> bool {
        self.is_watch() && !self.late && !self.suspected
    }

    /// Whether it is a watch that has delivered something, is not late, and goes to discovery's current
    /// address.
    pub(super) fn is_working_watch(&self) -> bool {
        self.is_watch() && self.has_delivered && !self.late && !self.address_outdated
    }

    pub(super) fn is_streaming(&self) -> bool {
        matches!(self.phase, RequestPhase::Streaming { .. })
    }

    /// When it becomes late if it receives nothing more.
    pub(super) fn late_at(&self, timing: &ClientTiming) -> Millis {
        self.active_at + timing.silence_limits(self.phase).late_after
    }

    /// When it is given up if it receives nothing more.
    pub(super) fn give_up_at(&self, timing: &ClientTiming) -> Millis {
        self.active_at + timing.silence_limits(self.phase).give_up_after
    }

    /// Why it failed, if `end` is a failure.
    pub(super) fn failure_cause(&self, end: RequestEnd) -> Option<FailureCause> {
        Some(match (end, self.phase) {
            (RequestEnd::Complete, _) => return None,
            (RequestEnd::NoConnection, _) => FailureCause::NoConnection,
            (RequestEnd::Rejected, _) => FailureCause::Rejected,
            (RequestEnd::InvalidResponse, _) => FailureCause::InvalidResponse,
            (RequestEnd::Closed, RequestPhase::Streaming { mid_update: true }) => {
                FailureCause::EndedMidUpdate
            }
            (RequestEnd::Closed, RequestPhase::Streaming { mid_update: false }) => FailureCause::Ended,
            (RequestEnd::Closed, _) => FailureCause::NoResponse,
        })
    }
}
