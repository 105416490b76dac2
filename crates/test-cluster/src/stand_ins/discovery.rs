//! Stand-in for discovery, as the protocol's documentation describes it: an endpoint list with revisions.
//! Changes can be announced with a delay, and the list that is served can be stale.

use crate::Millis;
use serde_json::{Value, json};

#[cfg(test)]
mod tests;

/// Status of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Accepts jobs.
    Ready,
    /// Accepts no new jobs.
    Draining,
    /// Removed. Watches are told so; a complete list leaves it out.
    Gone,
}

impl EndpointStatus {
    /// Value of `status` on the wire.
    fn name(self) -> &'static str {
        match self {
            EndpointStatus::Ready => "ready",
            EndpointStatus::Draining => "draining",
            EndpointStatus::Gone => "gone",
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    status: EndpointStatus,
    since_ms: f64,
    /// The revision of the last change to this entry.
    revision: u64,
}

/// A change that has not been announced yet.
#[derive(Clone, Copy, Debug)]
struct PendingChange {
    due: Millis,
    worker: usize,
    status: EndpointStatus,
    since_ms: f64,
}

/// The endpoint list at a revision; entries are indexed by worker number.
#[derive(Clone, Debug)]
struct Listing {
    revision: u64,
    entries: Vec<Entry>,
}

/// Response to a watch or a poll.
#[derive(Clone, Debug)]
pub struct ListUpdate {
    /// The JSON document to send.
    pub document: Value,
    /// Workers in the document whose status is not ready.
    pub not_ready_workers: Vec<usize>,
}

/// The endpoint list and its pending changes.
#[derive(Clone, Debug)]
pub struct EndpointList {
    current: Listing,
    pending: Vec<PendingChange>,
    /// The outdated list that is served instead of the current one, if any.
    stale: Option<Listing>,
    /// Delay until a change is announced.
    pub delay: Millis,
    /// Offset of the clock from which `since_ms` is taken.
    pub clock_skew: Millis,
}

impl EndpointList {
    /// A list of workers that are all ready, as of the Unix epoch.
    pub fn new(workers: usize) -> EndpointList {
        let entry = Entry { status: EndpointStatus::Ready, since_ms: 0.0, revision: 1 };
        EndpointList {
            current: Listing { revision: 1, entries: vec![entry; workers] },
            pending: Vec::new(),
            stale: None,
            delay: 0.0,
            clock_skew: 0.0,
        }
    }

    /// Schedules a change of a worker's status, announced after the delay. `started_at` is the Unix time of
    /// the worker's start if it has just started; otherwise `since_ms` stays as it is.
    pub fn change(&mut self, now: Millis, worker: usize, status: EndpointStatus, started_at: Option<Millis>) {
        let since_ms = match started_at {
            Some(unix) => unix + self.clock_skew,
            None => self.current.entries[worker].since_ms,
        };
        self.pending.push(PendingChange { due: now + self.delay, worker, status, since_ms });
    }

    /// When [`EndpointList::apply_due`] is due next; `None` without pending changes.
    pub fn next_change(&self) -> Option<Millis> {
        self.pending.iter().map(|change| change.due).min_by(f64::total_cmp)
    }

    /// Applies the changes that are due, each as a revision of its own. Returns whether there were any.
    pub fn apply_due(&mut self, now: Millis) -> bool {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(|change| change.due <= now);
        self.pending = later;
        for change in &due {
            self.current.revision += 1;
            let PendingChange { worker, status, since_ms, .. } = *change;
            self.current.entries[worker] = Entry { status, since_ms, revision: self.current.revision };
        }
        !due.is_empty()
    }

    /// If `stale`, serves the list as it is now until further notice; otherwise, the current one again.
    pub fn set_stale(&mut self, stale: bool) {
        self.stale = stale.then(|| self.current.clone());
    }

    fn served(&self) -> &Listing {
        self.stale.as_ref().unwrap_or(&self.current)
    }

    /// Workers whose status is not ready in the list that is served now.
    pub fn not_ready_workers(&self) -> impl Iterator<Item = usize> + '_ {
        let entries = self.served().entries.iter().enumerate();
        entries.filter(|(_, entry)| entry.status != EndpointStatus::Ready).map(|(worker, _)| worker)
    }

    /// Revision of the list that is served now.
    pub fn revision(&self) -> u64 {
        self.served().revision
    }

    /// The changes after a revision, or the complete list for revision 0 and for one newer than the list.
    /// `address` and `zone` give a worker's address and zone name.
    pub fn since(
        &self,
        revision: u64,
        address: impl Fn(usize) -> String,
        zone: impl Fn(usize) -> String,
    ) -> ListUpdate {
        let Listing { revision: current, entries } = self.served();
        let is_snapshot = revision == 0 || revision > *current;
        let is_shown = |entry: &Entry| match is_snapshot {
            true => entry.status != EndpointStatus::Gone,
            false => entry.revision > revision,
        };
        let shown: Vec<(usize, &Entry)> =
            entries.iter().enumerate().filter(|(_, entry)| is_shown(entry)).collect();
        let endpoints: Vec<Value> = (shown.iter())
            .map(|&(worker, entry)| {
                json!({"name": format!("w{worker}"), "address": address(worker), "zone": zone(worker),
                    "type": "box", "group": 0, "status": entry.status.name(), "weight": 1.0,
                    "since_ms": entry.since_ms})
            })
            .collect();
        let is_not_ready = |(_, entry): &&(usize, &Entry)| entry.status != EndpointStatus::Ready;
        ListUpdate {
            document: json!({"index": current, "snapshot": is_snapshot, "endpoints": endpoints}),
            not_ready_workers: shown.iter().filter(is_not_ready).map(|shown| shown.0).collect(),
        }
    }
}
