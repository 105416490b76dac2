//! One endpoint: its entry in discovery's list, what overrides that entry, and the resulting status.

use crate::gossip::{EndpointChange, name_tag};
use crate::rollout::PlacementGroup;
use crate::signals::{CLEAR_THRESHOLD, DrainEvidence, SUSPECT_THRESHOLD};
use crate::table::ListUpdate;
use brackenledge_policy::hashing::hash;
use brackenledge_policy::{Millis, Readiness};
use std::fmt;
use std::net::SocketAddr;

/// An entry of discovery's endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint's name, which is the same for all schedulers.
    pub name: String,
    /// The address on which it listens for this scheduler. `None` if the list's text is not a valid address;
    /// the previous address is kept then.
    pub address: Option<SocketAddr>,
    /// The endpoint's zone, as an index into the zones of the settings.
    pub zone: u32,
    /// The kind of its machine, as an index into the kinds of the settings.
    pub kind: u32,
    /// The number of its cell.
    pub cell: u32,
    /// The readiness stated in the list.
    pub readiness: Readiness,
    /// A number for comparing the endpoint with others.
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time; `None` if unknown.
    pub started_at: Option<Millis>,
}

/// The source of an endpoint's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusSource {
    /// The list cached before this scheduler started.
    Cached,
    /// A complete update of a watch.
    Watch,
    /// A polled list.
    Poll,
    /// An incomplete update of a watch or a poll.
    PartialUpdate,
    /// The scheduler with this ordinal.
    Peer(u16),
    /// Signals derived from the endpoint's behaviour.
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

/// The status of one endpoint, with its source and age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointStatus {
    /// The current readiness; only a ready endpoint accepts new jobs.
    pub readiness: Readiness,
    /// The probability, 0 to 1, that a ready endpoint is draining without this scheduler having been
    /// notified.
    pub drain_probability: f64,
    /// What reported the status.
    pub source: StatusSource,
    /// The revision of the list that reported the status; for an inferred status, of the list that last
    /// confirmed the endpoint.
    pub revision: u64,
    /// How long the endpoint has had this status, in milliseconds.
    pub age: Millis,
}

/// A report that an endpoint is draining or gone, while this scheduler's own list still says that it is
/// ready.
#[derive(Clone, Copy)]
pub(crate) struct StatusOverride {
    /// Never [`Readiness::Ready`].
    pub(crate) readiness: Readiness,
    pub(crate) source: StatusSource,
    /// The list revision that contains the change. An own list of this revision or a newer one supersedes the
    /// override.
    pub(crate) revision: u64,
    pub(crate) received_at: Millis,
    /// Discovery has since restarted its revision numbering, so `revision` cannot be compared with later
    /// revisions.
    pub(crate) revisions_restarted: bool,
}

impl StatusOverride {
    /// Whether a complete update of this revision ends the override, given that the update contains the
    /// endpoint or is a snapshot without it.
    pub(crate) fn is_superseded_by_entry(&self, revision: u64) -> bool {
        self.revision <= revision || self.revisions_restarted
    }

    /// Whether a complete update ends the override, regardless of whether it contains the endpoint. It does
    /// if it is at least as new as the override, or if revision numbering has restarted since and the update
    /// is a snapshot requested after the override was received. A snapshot that is merely older comes from a
    /// lagging discovery replica and does not end it.
    pub(crate) fn is_superseded_by_update(&self, update: &ListUpdate) -> bool {
        let is_requested_later = self.received_at < update.requested_at;
        self.revision <= update.revision
            || (update.is_snapshot && self.revisions_restarted && is_requested_later)
    }
}

/// The state of one endpoint in the table.
pub(crate) struct Endpoint {
    pub(crate) record: EndpointRecord,
    pub(crate) name_hash: u64,
    /// The revision of the list that last confirmed the record.
    pub(crate) revision: u64,
    /// The source of the last complete update that contained it.
    pub(crate) source: StatusSource,
    /// Since when the record has had its current readiness.
    pub(crate) listed_since: Millis,
    /// When this scheduler first saw the endpoint, or last saw a new start time of it.
    pub(crate) instance_since: Millis,
    /// The sequence number of the last complete update that contained it.
    pub(crate) last_update: u64,
    pub(crate) status_override: Option<StatusOverride>,
    pub(crate) evidence: DrainEvidence,
    /// Its signals suggest a drain, so it gets no new jobs.
    pub(crate) suspected: bool,
    /// When `suspected` last changed.
    pub(crate) suspected_at: Millis,
    /// See [`EndpointStatus::drain_probability`]; applies only while the endpoint is ready.
    pub(crate) drain_probability: f64,
}

impl Endpoint {
    /// Creates an endpoint that no complete update has confirmed yet. It counts as gone until then.
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

    /// The current readiness, from the record and what overrides it.
    pub(crate) fn readiness(&self) -> Readiness {
        match (self.record.readiness, self.status_override) {
            (Readiness::Ready, Some(status_override)) => status_override.readiness,
            (Readiness::Ready, None) if self.suspected => Readiness::Draining,
            (listed, _) => listed,
        }
    }

    /// The probability that the endpoint is draining unnoticed; zero unless it is ready.
    pub(crate) fn drain_probability(&self) -> f64 {
        if self.readiness() == Readiness::Ready { self.drain_probability } else { 0.0 }
    }

    /// The status with its source, revision and age.
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

    /// Whether the signals are sufficient evidence of a drain, with hysteresis.
    pub(crate) fn has_drain_evidence(&self, now: Millis) -> bool {
        self.evidence.value(now) >= if self.suspected { CLEAR_THRESHOLD } else { SUSPECT_THRESHOLD }
    }

    /// The readiness in the list of this revision, as a change to send to peers.
    pub(crate) fn listed_change(&self, revision: u64) -> EndpointChange {
        EndpointChange { tag: name_tag(self.name_hash), readiness: self.record.readiness, revision }
    }

    /// The zone and the machine kind, as the unit of rolling releases.
    pub(crate) fn group(&self) -> PlacementGroup {
        PlacementGroup { zone: self.record.zone, kind: self.record.kind }
    }
}
