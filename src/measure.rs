//! Small instruments of the decision module: a fading count, running times, the ready workers, hashes.

use crate::interface::{Millis, WorkerId};

/// A count that fades with time, so that it tells a rate.
#[derive(Clone, Copy, Default)]
pub(crate) struct Fading {
    pub(crate) sum: f64,
    pub(crate) at: Millis,
}

impl Fading {
    pub(crate) fn now(&self, now: Millis, life: Millis) -> f64 {
        if self.sum < 1e-6 {
            return 0.0;
        }
        self.sum * (-(now - self.at).max(0.0) / life).exp()
    }

    pub(crate) fn add(&mut self, now: Millis, life: Millis, amount: f64) {
        *self = Fading { sum: self.now(now, life) + amount, at: now };
    }
}

/// The running time of a class: the usual one of late, and the shortest that this has been, hardly forgotten.
pub(crate) struct RunTime {
    pub(crate) usual: Millis,
    pub(crate) shortest: Millis,
    seen: f64,
}

impl RunTime {
    /// Observations before the shortest is taken from them rather than from the usual one.
    const SETTLED: f64 = 20.0;
    /// Longest observation taken at its word, in usual running times.
    const MOST: f64 = 10.0;

    /// A running time before anything was seen.
    pub(crate) fn guess(usual: Millis) -> Self {
        RunTime { usual, shortest: usual, seen: 0.0 }
    }

    /// Takes in one observation. The mean counts from the first one, and until some have come the shortest is
    /// the mean: the guess made before them must not last.
    pub(crate) fn learn(&mut self, took: Millis, weight: f64, rise: f64) {
        self.seen += 1.0;
        self.usual += weight.max(1.0 / self.seen) * (took.min(Self::MOST * self.usual) - self.usual);
        let settled = self.seen > Self::SETTLED;
        self.shortest = if settled { (self.shortest * rise).min(self.usual) } else { self.usual };
    }
}

/// The workers that take work, by their numbers, and beside them their names' hashes. A change costs no look at
/// the others.
#[derive(Default)]
pub(crate) struct ReadySet {
    pub(crate) ids: Vec<WorkerId>,
    pub(crate) hashes: Vec<u64>,
}

impl ReadySet {
    /// Takes a worker in or out.
    pub(crate) fn set(&mut self, id: WorkerId, hash: u64, ready: bool) {
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

pub(crate) fn micros(at: Millis) -> u64 {
    (at * 1_000.0).ceil().max(0.0) as u64
}

/// FNV-1a over the text, mixed: the same at every dispatcher.
pub(crate) fn hash(text: &str) -> u64 {
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)))
}

/// The finaliser of splitmix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// How far a worker is from a key, 0 to 1: the part of all workers that lie nearer (rendezvous hashing).
pub(crate) fn distance(key: u64, worker: u64) -> f64 {
    (mix(key ^ worker) >> 11) as f64 / (1u64 << 53) as f64
}
