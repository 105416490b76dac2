//! Small instruments of the decision module and of others that decide: a fading count, running times, the ready workers, hashes.

use crate::{JobId, Millis, WorkerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A count that fades with time, so that it tells a rate.
#[derive(Clone, Copy, Default)]
pub struct DecayingSum {
    /// The count when it was last added to.
    pub sum: f64,
    /// When that was.
    pub at: Millis,
}

impl DecayingSum {
    /// The count now; it fades to a third in `life`.
    pub fn value_at(&self, now: Millis, life: Millis) -> f64 {
        if self.sum < 1e-6 {
            return 0.0;
        }
        self.sum * (-(now - self.at).max(0.0) / life).exp()
    }

    /// Adds to the count.
    pub fn add(&mut self, now: Millis, life: Millis, amount: f64) {
        *self = DecayingSum { sum: self.value_at(now, life) + amount, at: now };
    }
}

/// What these parts of the values lie under; 0 where there are none.
pub fn quantiles<const N: usize>(mut values: Vec<f64>, parts: [f64; N]) -> [f64; N] {
    values.sort_by(f64::total_cmp);
    parts.map(|part| values.get((values.len() as f64 * part) as usize).copied().unwrap_or(0.0))
}

/// Attempts at a worker that failed, and all that ended, both fading.
#[derive(Clone, Copy, Default)]
pub struct Trouble {
    failures: DecayingSum,
    endings: DecayingSum,
}

impl Trouble {
    /// In which distrust fades to a third, so that a trial is made.
    pub const LIFE: Millis = 5_000.0;
    /// Attempts gone well that every worker is taken to have had lately.
    const PRIOR: f64 = 2.0;
    /// Slots that each failure counts for where the others are told of it, at a worker where all fail.
    const SLOTS: f64 = 6.0;

    /// An attempt has ended.
    pub fn note(&mut self, now: Millis, failed: bool) {
        self.failures.add(now, Self::LIFE, f64::from(failed));
        self.endings.add(now, Self::LIFE, 1.0);
    }

    /// The part of the attempts that fails.
    pub fn part(&self, now: Millis) -> f64 {
        self.failures.value_at(now, Self::LIFE) / (self.endings.value_at(now, Self::LIFE) + Self::PRIOR)
    }

    /// Slots that count as held at the worker for what failed there. One that fails at once is idle at once, and
    /// looks the best of all to whoever has not tried it.
    pub fn slots(&self, now: Millis) -> f64 {
        Self::SLOTS * self.failures.value_at(now, Self::LIFE) * self.part(now)
    }
}

/// The running time of a class: the usual one of late, and the shortest that this has been, hardly forgotten.
pub struct RunTime {
    /// The usual running time of late.
    pub usual: Millis,
    /// The shortest seen, hardly forgotten.
    pub shortest: Millis,
    seen: f64,
}

impl RunTime {
    /// Observations before the shortest is taken from them rather than from the usual one.
    const SETTLED: f64 = 20.0;
    /// Longest observation taken at its word, in usual running times.
    const MOST: f64 = 10.0;

    /// A running time before anything was seen.
    pub fn guess(usual: Millis) -> Self {
        RunTime { usual, shortest: usual, seen: 0.0 }
    }

    /// Takes in one observation. The mean counts from the first one, and until some have come the shortest is
    /// the mean: the guess made before them must not last.
    pub fn learn(&mut self, took: Millis, weight: f64, rise: f64) {
        self.seen += 1.0;
        self.usual += weight.max(1.0 / self.seen) * (took.min(Self::MOST * self.usual) - self.usual);
        let settled = self.seen > Self::SETTLED;
        self.shortest = if settled { (self.shortest * rise).min(self.usual) } else { self.usual };
    }
}

/// The workers that take work, by their numbers, and beside them their names' hashes. A change costs no look at
/// the others.
#[derive(Default)]
pub struct ReadySet {
    /// Their numbers, in order.
    pub ids: Vec<WorkerId>,
    /// Their names' hashes, in the same order.
    pub hashes: Vec<u64>,
}

impl ReadySet {
    /// Takes a worker in or out.
    pub fn set(&mut self, id: WorkerId, hash: u64, ready: bool) {
        match (self.ids.binary_search(&id), ready) {
            (Ok(at), true) => self.hashes[at] = hash,
            (Err(at), true) => {
                self.ids.insert(at, id);
                self.hashes.insert(at, hash);
            }
            (Ok(at), false) => {
                self.ids.remove(at);
                self.hashes.remove(at);
            }
            (Err(_), false) => {}
        }
    }
}

/// How much slower than usual a worker runs: its running time over the usual one, less 1, as last seen.
#[derive(Clone, Copy, Default)]
pub struct Slowness(DecayingSum);

impl Slowness {
    /// The slowness now. What is not seen any more fades in `life`, or a worker that was slow once would be left
    /// out for good.
    pub fn value_at(&self, now: Millis, life: Millis) -> f64 {
        if self.0.sum > 0.0 { self.0.value_at(now, life) } else { self.0.sum }
    }

    /// Takes in a running time, in usual ones, with this weight.
    pub fn note(&mut self, now: Millis, life: Millis, weight: f64, ratio: f64) {
        let slowness = self.value_at(now, life);
        self.0 = DecayingSum { sum: slowness + weight * (ratio - 1.0 - slowness), at: now };
    }
}

/// What comes due when, the earliest first.
#[derive(Default)]
pub struct Due(BinaryHeap<Reverse<(u64, JobId)>>);

impl Due {
    /// Something about a job comes due at a point in time.
    pub fn push(&mut self, at: Millis, job: JobId) {
        self.0.push(Reverse((micros(at), job)));
    }

    /// The next job of which something has come due by now.
    pub fn pop(&mut self, now: Millis) -> Option<JobId> {
        let due = self.0.peek().is_some_and(|next| next.0.0 <= micros(now));
        if due { self.0.pop().map(|next| next.0.1) } else { None }
    }

    /// When the next comes due.
    pub fn next(&self) -> Millis {
        self.0.peek().map_or(f64::INFINITY, |next| next.0.0 as f64 / 1_000.0)
    }
}

/// A point in time in whole microseconds, rounded up.
pub fn micros(at: Millis) -> u64 {
    (at * 1_000.0).ceil().max(0.0) as u64
}

/// FNV-1a over the text, mixed: the same at every dispatcher.
pub fn hash(text: &str) -> u64 {
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)))
}

/// The finaliser of splitmix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// How far a worker is from a key, 0 to 1: the part of all workers that lie nearer (rendezvous hashing).
pub fn distance(key: u64, worker: u64) -> f64 {
    (mix(key ^ worker) >> 11) as f64 / (1u64 << 53) as f64
}
