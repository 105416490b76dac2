//! Stand-in discovery, from the protocol page: a list with versions, changes told after a lag, a list that may be
//! stale. No I/O, no clock; its calls and watches are the tier's.

use crate::Millis;
use serde_json::{Value, json};
use std::collections::VecDeque;

/// What is said of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It takes work.
    Ready,
    /// It takes nothing new.
    Draining,
    /// It is no more.
    Gone,
}

#[derive(Clone, Debug)]
struct Entry {
    status: Status,
    since_ms: f64,
    /// The version that last changed it.
    changed: u64,
}

/// The list.
#[derive(Clone, Debug)]
pub struct Directory {
    index: u64,
    entries: Vec<Entry>,
    /// Changes that are not told yet.
    coming: VecDeque<(Millis, usize, Status, f64)>,
    /// The list as it was, while that is what is given.
    stale: Option<(u64, Vec<Entry>)>,
    /// Changes are told so much later.
    pub lag: Millis,
    /// The clock that `since_ms` is written by is off by this.
    pub clock_step: Millis,
}

impl Directory {
    /// So many workers, ready since long.
    pub fn new(workers: usize) -> Directory {
        let entry = Entry { status: Status::Ready, since_ms: 0.0, changed: 1 };
        Directory {
            index: 1,
            entries: vec![entry; workers],
            coming: VecDeque::new(),
            stale: None,
            lag: 0.0,
            clock_step: 0.0,
        }
    }

    /// A worker has changed: it will be told after the lag. `unix` is Unix time where it has started now.
    pub fn change(&mut self, now: Millis, worker: usize, status: Status, unix: Option<Millis>) {
        let since = match unix {
            Some(unix) => unix + self.clock_step,
            None => self.entries[worker].since_ms,
        };
        self.coming.push_back((now + self.lag, worker, status, since));
    }

    /// When the next change is to be told.
    pub fn next(&self) -> Option<Millis> {
        self.coming.iter().map(|change| change.0).min_by(f64::total_cmp)
    }

    /// Takes in the changes that are due; whether there were any.
    pub fn advance(&mut self, now: Millis) -> bool {
        let (due, later): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.coming).into_iter().partition(|change| change.0 <= now);
        self.coming = later;
        for &(_, worker, status, since_ms) in &due {
            self.index += 1;
            self.entries[worker] = Entry { status, since_ms, changed: self.index };
        }
        !due.is_empty()
    }

    /// From now on the list is given as it is now, whatever changes; or as it is again.
    pub fn set_stale(&mut self, stale: bool) {
        self.stale = stale.then(|| (self.index, self.entries.clone()));
    }

    fn given(&self) -> (u64, &[Entry]) {
        match &self.stale {
            Some((index, entries)) => (*index, entries),
            None => (self.index, &self.entries),
        }
    }

    /// The version given now.
    pub fn index(&self) -> u64 {
        self.given().0
    }

    /// The changes after a version, or the whole list for 0 and for what is no earlier version; and the workers that
    /// take nothing new by it.
    pub fn since(
        &self,
        index: u64,
        address: impl Fn(usize) -> String,
        zone: impl Fn(usize) -> String,
    ) -> (Value, Vec<usize>) {
        let (now, entries) = self.given();
        let whole = index == 0 || index > now;
        let changed = entries.iter().enumerate().filter(|(_, entry)| whole || entry.changed > index);
        let shown: Vec<(usize, &Entry)> =
            changed.filter(|(_, entry)| !whole || entry.status != Status::Gone).collect();
        let endpoints: Vec<Value> = (shown.iter())
            .map(|&(worker, entry)| {
                let status = match entry.status {
                    Status::Ready => "ready",
                    Status::Draining => "draining",
                    Status::Gone => "gone",
                };
                json!({"name": format!("w{worker}"), "address": address(worker), "zone": zone(worker),
                    "type": "box", "group": 0, "status": status, "weight": 1.0, "since_ms": entry.since_ms})
            })
            .collect();
        let closed = shown.iter().filter(|(_, entry)| entry.status != Status::Ready).map(|shown| shown.0);
        (json!({"index": now, "snapshot": whole, "endpoints": endpoints}), closed.collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(list: &Value) -> Vec<String> {
        let endpoints = list["endpoints"].as_array().expect("a list");
        endpoints
            .iter()
            .map(|e| format!("{} {}", e["name"].as_str().unwrap(), e["status"].as_str().unwrap()))
            .collect()
    }

    fn since(directory: &Directory, index: u64) -> Value {
        directory.since(index, |w| format!("127.0.0.1:{w}"), |_| "north".into()).0
    }

    #[test]
    fn changes_are_told_after_the_lag_in_order_and_a_stale_list_stays_as_it_was() {
        let mut directory = Directory::new(3);
        directory.lag = 100.0;
        directory.change(0.0, 1, Status::Draining, None);
        assert!(!directory.advance(99.0));
        assert!(directory.advance(100.0));
        assert_eq!((directory.index(), names(&since(&directory, 1))), (2, vec!["w1 draining".into()]));
        directory.set_stale(true);
        directory.lag = 0.0;
        directory.change(101.0, 1, Status::Gone, None);
        directory.change(101.0, 2, Status::Ready, Some(5_000.0));
        assert!(directory.advance(101.0));
        assert_eq!(names(&since(&directory, 0)), ["w0 ready", "w1 draining", "w2 ready"]);
        directory.set_stale(false);
        assert_eq!(names(&since(&directory, 2)), ["w1 gone", "w2 ready"]);
        assert_eq!(
            names(&since(&directory, 0)),
            ["w0 ready", "w2 ready"],
            "the whole list names no gone ones"
        );
        assert_eq!(since(&directory, 2)["endpoints"][1]["since_ms"], 5_000.0);
        assert_eq!(since(&directory, 9)["snapshot"], true, "a version that is not known");
    }
}
