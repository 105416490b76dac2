//! Stand-in for discovery, by the protocol's page: an endpoint list with revisions, changes that are announced after a
//! delay, and a list that may be stale.

use crate::Millis;
use serde_json::{Value, json};

#[cfg(test)]
mod tests;

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It accepts work.
    Ready,
    /// It accepts nothing new.
    Draining,
    /// It does not exist any more.
    Gone,
}

impl EndpointStatus {
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
    /// The revision that changed it last.
    revision: u64,
}

/// A change that is not announced yet.
#[derive(Clone, Copy, Debug)]
struct PendingChange {
    due: Millis,
    worker: usize,
    status: EndpointStatus,
    since_ms: f64,
}

/// The list of a revision.
#[derive(Clone, Debug)]
struct Listing {
    revision: u64,
    entries: Vec<Entry>,
}

/// What a watch or a poll is answered with.
#[derive(Clone, Debug)]
pub struct ListUpdate {
    /// The document.
    pub document: Value,
    /// Workers in it that accept nothing new.
    pub closed_workers: Vec<usize>,
}

/// The endpoint list, and the changes that come to it.
#[derive(Clone, Debug)]
pub struct EndpointList {
    current: Listing,
    pending: Vec<PendingChange>,
    /// The list as it was, while that is what is served.
    stale: Option<Listing>,
    /// Changes are announced this much later.
    pub delay: Millis,
    /// The clock by which `since_ms` is written is off by this.
    pub clock_skew: Millis,
}

impl EndpointList {
    /// A list of this many workers that have been ready for long.
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

    /// A worker has changed; this is announced after the delay. `started_at` is Unix time where it has just started.
    pub fn change(&mut self, now: Millis, worker: usize, status: EndpointStatus, started_at: Option<Millis>) {
        let since_ms = match started_at {
            Some(unix) => unix + self.clock_skew,
            None => self.current.entries[worker].since_ms,
        };
        self.pending.push(PendingChange { due: now + self.delay, worker, status, since_ms });
    }

    /// When the next change is announced.
    pub fn next_change(&self) -> Option<Millis> {
        self.pending.iter().map(|change| change.due).min_by(f64::total_cmp)
    }

    /// Applies the changes that are due; whether there were any.
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

    /// From now on the list is served as it is now, whatever changes; or as it is again.
    pub fn set_stale(&mut self, stale: bool) {
        self.stale = stale.then(|| self.current.clone());
    }

    fn served(&self) -> &Listing {
        self.stale.as_ref().unwrap_or(&self.current)
    }

    /// Workers that accept nothing new by the list that is served now.
    pub fn closed_workers(&self) -> impl Iterator<Item = usize> + '_ {
        let entries = self.served().entries.iter().enumerate();
        entries.filter(|(_, entry)| entry.status != EndpointStatus::Ready).map(|(worker, _)| worker)
    }

    /// The revision that is served now.
    pub fn revision(&self) -> u64 {
        self.served().revision
    }

    /// The changes after a revision, or the complete list for 0 and for a revision that is not known.
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
        let is_closed = |(_, entry): &&(usize, &Entry)| entry.status != EndpointStatus::Ready;
        ListUpdate {
            document: json!({"index": current, "snapshot": is_snapshot, "endpoints": endpoints}),
            closed_workers: shown.iter().filter(is_closed).map(|shown| shown.0).collect(),
        }
    }
}
