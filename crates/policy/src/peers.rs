//! What dispatchers tell one another of their loads: the text of the messages, and who said what.

use crate::interface::{Millis, WorkerId};
use std::collections::BTreeMap;

/// Symbols of a load message: printable, one byte each in UTF-8 and in JSON.
const SYMBOLS: &[u8; 64] = b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
/// Symbols for one worker: three of its name's hash, one of the slots held there.
const ENTRY: usize = 4;
/// Entries in one message of 256 bytes, after the symbol that tells whether it is the first of a round.
const ENTRIES: usize = 63;

/// The tag by which a message names a worker.
fn tag(hash: u64) -> u32 {
    (hash & 0x3_ffff) as u32
}

/// Messages that tell how many slots the sender holds on each worker.
fn write_loads(loads: &[(u32, f64)]) -> Vec<String> {
    let symbol = |value: u32| char::from(SYMBOLS[(value & 63) as usize]);
    let entry = |&(tag, slots): &(u32, f64)| {
        [symbol(tag), symbol(tag >> 6), symbol(tag >> 12), symbol(slots.round().clamp(0.0, 63.0) as u32)]
    };
    let message = |(part, loads): (usize, &[(u32, f64)])| {
        std::iter::once(symbol(u32::from(part > 0))).chain(loads.iter().flat_map(entry)).collect()
    };
    loads.chunks(ENTRIES).enumerate().map(message).collect()
}

/// What such a message says: whether it is the first of a round, and the loads; `None` if it is none.
fn read_loads(text: &str) -> Option<(bool, Vec<(u32, f64)>)> {
    let value = |byte: &u8| SYMBOLS.iter().position(|symbol| symbol == byte).map(|at| at as u32);
    let values: Vec<u32> = text.as_bytes().iter().map(value).collect::<Option<_>>()?;
    let (first, entries) = values.split_first()?;
    if entries.len() % ENTRY != 0 {
        return None;
    }
    let load = |e: &[u32]| (e[0] | e[1] << 6 | e[2] << 12, f64::from(e[3]));
    Some((*first == 0, entries.chunks(ENTRY).map(load).collect()))
}

/// One other dispatcher's loads, and when it told them.
#[derive(Default)]
struct Heard {
    at: Millis,
    loads: Vec<(WorkerId, f64)>,
}

/// The loads that other dispatchers told of.
#[derive(Default)]
pub(crate) struct Peers {
    heard: BTreeMap<u32, Heard>,
    tags: BTreeMap<u32, WorkerId>,
    tag_of: Vec<Option<u32>>,
    loads: Vec<f64>,
}

impl Peers {
    /// Makes a worker known by its name's hash.
    pub(crate) fn know(&mut self, id: WorkerId, hash: u64) {
        if self.tags.get(&tag(hash)) != Some(&id) {
            // A number may come to stand for another worker: what its old tag says is not meant for that one.
            self.tag_of.resize(self.tag_of.len().max(id + 1), None);
            if let Some(old) = self.tag_of[id].replace(tag(hash))
                && self.tags.get(&old) == Some(&id)
            {
                self.tags.remove(&old);
            }
            self.tags.insert(tag(hash), id);
        }
        self.loads.resize(self.loads.len().max(id + 1), 0.0);
    }

    /// Slots that the others said they hold on a worker.
    pub(crate) fn load(&self, id: WorkerId) -> f64 {
        self.loads.get(id).copied().unwrap_or(0.0)
    }

    /// How many others have told of their loads lately.
    pub(crate) fn heard(&self) -> usize {
        self.heard.len()
    }

    /// Takes a message in; any other text is ignored, and so are workers that are not known here.
    pub(crate) fn hear(&mut self, now: Millis, from: u32, text: &str) {
        let Some((first, loads)) = read_loads(text) else { return };
        if first {
            self.forget(from);
        }
        let heard = self.heard.entry(from).or_default();
        heard.at = now;
        for (tag, slots) in loads {
            let Some(&id) = self.tags.get(&tag) else { continue };
            self.loads[id] += slots;
            heard.loads.push((id, slots));
        }
    }

    /// Forgets dispatchers that have been silent since before `then`.
    pub(crate) fn forget_silent(&mut self, then: Millis) {
        let silent = self.heard.iter().filter(|(_, heard)| heard.at < then);
        for from in silent.map(|(&from, _)| from).collect::<Vec<_>>() {
            self.forget(from);
        }
    }

    fn forget(&mut self, from: u32) {
        for (id, slots) in self.heard.remove(&from).unwrap_or_default().loads {
            self.loads[id] = (self.loads[id] - slots).max(0.0);
        }
    }

    /// The messages that tell which slots a dispatcher holds, by the workers' hashes.
    pub(crate) fn tell(held: impl Iterator<Item = (u64, f64)>) -> Vec<String> {
        write_loads(&held.map(|(hash, slots)| (tag(hash), slots)).collect::<Vec<_>>())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn loads_survive_the_message() {
        let loads: Vec<(u32, f64)> = (0..100).map(|n| (n * 2_621, f64::from(n % 5))).collect();
        let messages = write_loads(&loads);
        assert!(messages.iter().all(|message| message.len() <= 256));
        let read: Vec<_> = messages.iter().map(|message| read_loads(message).expect("a message")).collect();
        assert_eq!(read.iter().map(|(first, _)| *first).collect::<Vec<_>>(), [true, false]);
        assert_eq!(read.into_iter().flat_map(|(_, loads)| loads).collect::<Vec<_>>(), loads);
        assert!(read_loads("0abc").is_none() && read_loads("").is_none() && read_loads("\u{e9}").is_none());
    }

    #[test]
    fn a_round_replaces_the_last_one_and_silence_ends_it() {
        let mut peers = Peers::default();
        (0..3).for_each(|id| peers.know(id, 1_000 + id as u64));
        let tell = |held: &[(u64, f64)]| Peers::tell(held.iter().copied()).remove(0);
        peers.hear(10.0, 1, &tell(&[(1_000, 2.0), (1_002, 1.0), (77, 5.0)]));
        peers.hear(20.0, 2, &tell(&[(1_000, 1.0)]));
        assert_eq!([peers.load(0), peers.load(1), peers.load(2), peers.load(9)], [3.0, 0.0, 1.0, 0.0]);
        peers.hear(30.0, 1, &tell(&[(1_001, 4.0)]));
        assert_eq!([peers.load(0), peers.load(1), peers.load(2)], [1.0, 4.0, 0.0]);
        peers.forget_silent(25.0);
        assert_eq!([peers.load(0), peers.load(1)], [0.0, 4.0]);
    }
}
