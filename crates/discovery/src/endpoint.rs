//! One endpoint: its entry in discovery's list, what overrides that entry, and the status that follows.

use crate::gossip::{EndpointChange, name_tag};
use crate::rollout::PlacementGroup;
use crate::signals::{CLEAR_THRESHOLD, DrainEvidence, SUSPECT_THRESHOLD};
use crate::table::ListUpdate;
use brackenledge_policy::hashing::hash;
use brackenledge_policy::{Millis, Readiness};
use std::fmt;
use std::net::SocketAddr;

/// An entry of discovery's list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint's name, the same at every scheduler.
    pub name: String,
    /// Where it listens for this scheduler; `None`: the list's text is no address, and the old one stays.
    pub address: Option<SocketAddr>,
    /// Its zone, as an index into the settings' zones.
    pub zone: u32,
    /// Its machine kind, likewise.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its status by the list.
    pub readiness: Readiness,
    /// A figure for comparing it with others.
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time.
    pub started_at: Option<Millis>,
}

/// Where an endpoint's status comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusSource {
    /// The list cached before the start.
    Cached,
    /// An update of a watch.
    Watch,
    /// A polled list.
    Poll,
    /// An update of a watch or a poll that is not complete.
    PartialUpdate,
    /// Another scheduler, by its ordinal.
    Peer(u16),
    /// The endpoint's own signals.
    Signals,
}

impl fmt::Display for StatusSource {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StatusSource::Cached => f.write_str("cached_list"),
            StatusSource::Watch => f.write_str("watch"),
            StatusSource::Poll => f.write_str("poll"),
            StatusSource::PartialUpdate => f.write_str("partial_update"),
            StatusSource::Peer(ordinal) => write!(f, "peer_{ordinal}"),
            StatusSource::Signals => f.write_str("signals"),
        }
    }
}

/// The status of one endpoint, and its reason.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointStatus {
    /// Whether it takes new work.
    pub readiness: Readiness,
    /// The probability, 0 to 1, that a ready one drains and this scheduler has not been notified.
    pub drain_probability: f64,
    /// Who reported it.
    pub source: StatusSource,
    /// The revision of the list that reported it, or that was held when it was inferred.
    pub revision: u64,
    /// For how long it has been so, in milliseconds.
    pub age: Millis,
}

/// A report that takes an endpoint out of use before this scheduler's own list does. It is never
/// [`Readiness::Ready`].
#[derive(Clone, Copy)]
pub(crate) struct StatusOverride {
    pub(crate) readiness: Readiness,
    pub(crate) source: StatusSource,
    /// The revision of the list that says so; a list held that is as new settles it.
    pub(crate) revision: u64,
    pub(crate) received_at: Millis,
    /// Discovery has restarted its count of revisions since, so that `revision` can't be compared with those to come.
    pub(crate) revisions_restarted: bool,
}

impl StatusOverride {
    /// Whether it ends since a complete update of this revision names its endpoint, or leaves it out of a snapshot.
    pub(crate) fn is_settled_by_entry(&self, revision: u64) -> bool {
        self.revision <= revision || self.revisions_restarted
    }

    /// Whether it ends since a complete update has come, whatever that says of its endpoint: the list held is as new as
    /// the override, or it is a snapshot that was requested after the override was received, and revisions have restarted
    /// meanwhile. A snapshot that is merely older comes from a discovery replica that lags, and settles nothing.
    pub(crate) fn is_settled_by_update(&self, update: &ListUpdate) -> bool {
        let is_requested_later = self.received_at < update.requested_at;
        self.revision <= update.revision
            || (update.is_snapshot && self.revisions_restarted && is_requested_later)
    }
}

/// All that is known of one endpoint.
pub(crate) struct Endpoint {
    pub(crate) record: EndpointRecord,
    pub(crate) name_hash: u64,
    /// The revision of the list that last confirmed the record.
    pub(crate) revision: u64,
    pub(crate) source: StatusSource,
    /// Since when the record has had its readiness.
    pub(crate) listed_since: Millis,
    /// When this scheduler first saw the endpoint, or saw it start again.
    pub(crate) instance_since: Millis,
    /// The number of the last update that named it.
    pub(crate) last_update: u64,
    pub(crate) status_override: Option<StatusOverride>,
    pub(crate) evidence: DrainEvidence,
    /// Its own signals suggest a drain, and it is held back for them.
    pub(crate) suspected: bool,
    /// When `suspected` last changed.
    pub(crate) suspected_at: Millis,
    /// See [`EndpointStatus::drain_probability`]; counts only while it is ready.
    pub(crate) drain_probability: f64,
}

impl Endpoint {
    /// An endpoint that no list has confirmed yet: it counts as gone.
    pub(crate) fn new(now: Millis, record: &EndpointRecord) -> Self {
        Endpoint {
            name_hash: hash(&record.name),
            record: EndpointRecord { readiness: Readiness::Gone, started_at: None, ..record.clone() },
            revision: 0,
            source: StatusSource::Cached,
            listed_since: now,
            instance_since: now,
            last_update: 0,
            status_override: None,
            evidence: DrainEvidence::default(),
            suspected: false,
            suspected_at: now,
            drain_probability: 0.0,
        }
    }

    /// Its status, from the record and whatever overrides that.
    pub(crate) fn readiness(&self) -> Readiness {
        match (self.record.readiness, self.status_override) {
            (Readiness::Ready, Some(status_override)) => status_override.readiness,
            (Readiness::Ready, None) if self.suspected => Readiness::Draining,
            (listed, _) => listed,
        }
    }

    /// The probability that it drains unnoticed: zero unless it is ready.
    pub(crate) fn drain_probability(&self) -> f64 {
        if self.readiness() == Readiness::Ready { self.drain_probability } else { 0.0 }
    }

    /// Its status with the reason.
    pub(crate) fn status(&self, now: Millis) -> EndpointStatus {
        let (source, revision, since) = match (self.record.readiness, self.status_override) {
            (Readiness::Ready, Some(report)) => (report.source, report.revision, report.received_at),
            (Readiness::Ready, None) if self.suspected => {
                (StatusSource::Signals, self.revision, self.suspected_at)
            }
            _ => (self.source, self.revision, self.listed_since),
        };
        EndpointStatus {
            readiness: self.readiness(),
            drain_probability: self.drain_probability(),
            source,
            revision,
            age: (now - since).max(0.0),
        }
    }

    /// Whether its own signals suffice to suspect a drain, with hysteresis.
    pub(crate) fn has_drain_evidence(&self, now: Millis) -> bool {
        self.evidence.value(now) >= if self.suspected { CLEAR_THRESHOLD } else { SUSPECT_THRESHOLD }
    }

    /// Its readiness by the list of this revision, as a change for peers.
    pub(crate) fn listed_change(&self, revision: u64) -> EndpointChange {
        EndpointChange { tag: name_tag(self.name_hash), readiness: self.record.readiness, revision }
    }

    /// Its placement group: where its machine stands.
    pub(crate) fn group(&self) -> PlacementGroup {
        PlacementGroup { zone: self.record.zone, kind: self.record.kind }
    }
}
