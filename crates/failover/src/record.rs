//! What is kept of a job, and by whom.

use brackenledge_leases::{Micros, ProcessId, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A job as its client names it: a class and a tenant by their numbers, and the client's `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The class's number in the settings.
    pub class: u16,
    /// The tenant's.
    pub tenant: u16,
    /// The client's key.
    pub name: Arc<str>,
}

impl Key {
    /// Members in this key's order: the first is its home (rendezvous hashing; D. Thaler, C. Ravishankar, 1998).
    pub(crate) fn order(&self, members: &BTreeMap<u16, u64>) -> Vec<ProcessId> {
        let mut all: Vec<(u64, ProcessId)> = members
            .iter()
            .map(|(&ordinal, &incarnation)| (self.place(ordinal), ProcessId { ordinal, incarnation }))
            .collect();
        all.sort_unstable();
        all.into_iter().map(|place| place.1).collect()
    }

    /// The first in that order.
    pub(crate) fn home(&self, members: &BTreeMap<u16, u64>) -> Option<ProcessId> {
        let first = members.iter().min_by_key(|(ordinal, _)| (self.place(**ordinal), **ordinal));
        first.map(|(&ordinal, &incarnation)| ProcessId { ordinal, incarnation })
    }

    fn place(&self, ordinal: u16) -> u64 {
        let seed = u64::from(self.class) << 32 | u64::from(self.tenant) << 16 | u64::from(ordinal);
        xxh3_64_with_seed(self.name.as_bytes(), seed)
    }
}

/// A job's end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fate {
    /// With this result.
    Served(Arc<[u8]>),
    /// Refused, and trying again is harmless: after so many milliseconds, where that is known.
    Denied(Option<u32>),
    /// Nothing is promised.
    Failed,
}

/// Who holds a job since when: under which roll its home gave it to its holder, and that home's count of such deeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The roll's term.
    pub roll: Term,
    /// Counts under that roll.
    pub turn: u32,
}

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ran {
    /// It may have run, or may still.
    Maybe,
    /// It did not, and will not.
    Never,
}

/// An attempt of a job, as it is noted before it leaves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tried {
    /// Counts over all holders of the job.
    pub number: u32,
    /// The worker's name.
    pub worker: Arc<str>,
    /// What is known.
    pub ran: Ran,
    /// When we heard of it, by our clock: it left later than that, unless `far`.
    pub seen: Micros,
    /// We were told of it by who had heard of it earlier.
    pub far: bool,
}

/// A job, as its holder has it and its keepers keep it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Record {
    /// Who may start attempts.
    pub holder: ProcessId,
    /// The holder's own number for it: what is said of an earlier holding of the same job is told apart by it.
    pub ask: u64,
    /// Since when.
    pub ballot: Ballot,
    /// Counts what the holder noted.
    pub version: u32,
    /// What to run, in the caller's own bytes.
    pub what: Arc<[u8]>,
    /// Whether attempts leave only once their note is acknowledged: its class forbids some repeats.
    pub gated: bool,
    /// Its deadline by our clock.
    pub until: Micros,
    /// Attempts.
    pub tried: Vec<Tried>,
    /// Its end.
    pub fate: Option<Fate>,
}

/// What was heard at second hand may be older by what it travelled: no longer than somebody who does not read stays on
/// the roll (membership takes 3 s, a stay 2.5 s), or its roll is over and it is not heard.
const ON_THE_WAY: Micros = 6_000_000;

impl Record {
    /// The first attempt that may have run, and the longest time that this may be ago.
    pub fn risk(&self, now: Micros) -> Option<(Arc<str>, Micros)> {
        let risky =
            self.tried.iter().filter(|tried| tried.ran == Ran::Maybe).min_by_key(|tried| tried.number)?;
        let more = if risky.far { ON_THE_WAY } else { 0 };
        Some((Arc::clone(&risky.worker), now.saturating_sub(risky.seen) + more))
    }

    /// Whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.tried.iter().any(|tried| tried.ran == Ran::Maybe)
    }

    /// The number of the next attempt.
    pub(crate) fn next_number(&self) -> u32 {
        self.tried.iter().map(|tried| tried.number + 1).max().unwrap_or(0)
    }

    /// Takes a note in.
    pub(crate) fn note(&mut self, now: Micros, number: u32, worker: &Arc<str>, ran: Ran) {
        let new = Tried { number, worker: Arc::clone(worker), ran, seen: now, far: false };
        match self.tried.iter_mut().find(|tried| tried.number == number) {
            // Said again, it is as old as it was.
            Some(tried) if ran == Ran::Never || tried.ran == Ran::Maybe => tried.ran = ran,
            Some(tried) => *tried = new,
            None => self.tried.push(new),
        }
    }

    /// Whether it says more than another of the same job.
    pub(crate) fn newer(&self, other: &Record) -> bool {
        (self.ballot, self.version, self.fate.is_some()) > (other.ballot, other.version, other.fate.is_some())
    }

    /// Bytes that it takes, roughly.
    pub(crate) fn bytes(&self) -> usize {
        let fate = match &self.fate {
            Some(Fate::Served(result)) => result.len(),
            _ => 0,
        };
        256 + self.what.len() + fate + self.tried.len() * 64
    }

    /// As it travels: times as what is left, and what has passed.
    pub(crate) fn sent(&self, now: Micros, key: &Key) -> Sent {
        let tried = self.tried.iter();
        Sent {
            key: key.clone(),
            holder: self.holder,
            ask: self.ask,
            ballot: self.ballot,
            version: self.version,
            what: Arc::clone(&self.what),
            gated: self.gated,
            left: self.until.saturating_sub(now),
            tried: tried
                .map(|tried| {
                    let ago = now.saturating_sub(tried.seen) + if tried.far { ON_THE_WAY } else { 0 };
                    (tried.number, Arc::clone(&tried.worker), tried.ran, ago)
                })
                .collect(),
            fate: self.fate.clone(),
        }
    }
}

/// A record on its way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Sent {
    pub key: Key,
    pub holder: ProcessId,
    pub ask: u64,
    pub ballot: Ballot,
    pub version: u32,
    pub what: Arc<[u8]>,
    pub gated: bool,
    pub left: Micros,
    pub tried: Vec<(u32, Arc<str>, Ran, Micros)>,
    pub fate: Option<Fate>,
}

impl Sent {
    /// As its receiver keeps it.
    pub(crate) fn received(self, now: Micros) -> (Key, Record) {
        let tried = self.tried.into_iter().map(|(number, worker, ran, ago)| Tried {
            number,
            worker,
            ran,
            seen: now.saturating_sub(ago),
            far: true,
        });
        let record = Record {
            holder: self.holder,
            ask: self.ask,
            ballot: self.ballot,
            version: self.version,
            what: self.what,
            gated: self.gated,
            until: now.saturating_add(self.left),
            tried: tried.collect(),
            fate: self.fate,
        };
        (self.key, record)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_attempt_said_again_keeps_its_age_and_a_number_used_again_its_new_worker() {
        let mut record = Record {
            holder: ProcessId { ordinal: 0, incarnation: 1 },
            ask: 1,
            ballot: Ballot::default(),
            version: 0,
            what: Arc::from([]),
            gated: true,
            until: 1_000,
            tried: Vec::new(),
            fate: None,
        };
        let (one, other): (Arc<str>, Arc<str>) = (Arc::from("w1"), Arc::from("w2"));
        record.note(10, 0, &one, Ran::Maybe);
        record.note(50, 0, &one, Ran::Maybe);
        assert_eq!(record.risk(100), Some((Arc::clone(&one), 90)));
        record.note(60, 0, &one, Ran::Never);
        assert_eq!(record.risk(100), None);
        record.note(70, 0, &other, Ran::Maybe);
        assert_eq!(record.risk(100), Some((other, 30)), "where it is now, and since when");
    }
}
