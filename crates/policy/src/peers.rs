//! What dispatchers tell one another of their loads: the text of the messages, and who said what.
//!
//! A few tell all of what they hold. Among many that would cost a message for each of them and each job; there one of
//! them, the relay, is told by all others and tells all of the sums, a few times a second. It is whoever has the
//! next number after one that has fallen silent, and it needs no vote: two of them cost a message.

use crate::measure::{distance, hash};
use crate::symbols::{decode, encode};
use crate::{Millis, WorkerId};
use std::collections::BTreeMap;

/// Symbols for one worker: those of its name's hash, and one of the slots held there.
const ENTRY: usize = TAG + 1;
const TAG: usize = 3;
/// The most slots that can be told.
const SLOTS_MOST: f64 = 63.0;
/// Entries in one message of 256 bytes, after the symbol that tells whether it is the first of a round.
const ENTRIES: usize = 63;

/// Up to so many dispatchers tell one another directly.
const DIRECT: u32 = 9;
/// Between the sums that a relay tells, and between those that name every worker: messages may be lost.
const SUMS: Millis = 200.0;
const WHOLE: u32 = 5;
/// Whoever has heard no sums for so long, and this much longer for each number between the last relay's and its own,
/// becomes the relay itself.
const SILENT: (Millis, Millis) = (450.0, 60.0);
/// Sums count for so long.
const SUMS_LIFE: Millis = 1_000.0;
/// What is held is told to the relay again after this long without a change.
const AGAIN: Millis = 600.0;
/// The first symbol of a message: what one holds, more of it, and sums.
const FIRST: u32 = 0;
const MORE: u32 = 1;
const TOTAL: u32 = 2;

/// The tag by which a message names a worker.
fn tag(hash: u64) -> u32 {
    (hash & 0x3_ffff) as u32
}

/// Messages that tell how many slots are held on each worker: one at least.
fn write_loads(kind: u32, loads: &[(u32, f64)]) -> Vec<String> {
    let message = |(part, loads): (usize, &[(u32, f64)])| {
        let mut text = String::new();
        encode(&mut text, u64::from(if kind == FIRST && part > 0 { MORE } else { kind }), 1);
        for &(tag, slots) in loads {
            encode(&mut text, u64::from(tag), TAG);
            encode(&mut text, slots.round().clamp(0.0, SLOTS_MOST) as u64, 1);
        }
        text
    };
    let parts: Vec<&[(u32, f64)]> =
        if loads.is_empty() { vec![&[]] } else { loads.chunks(ENTRIES).collect() };
    parts.into_iter().enumerate().map(message).collect()
}

/// What such a message says: its kind, and the loads; `None` if it is none.
fn read_loads(text: &str) -> Option<(u32, Vec<(u32, f64)>)> {
    let (kind, entries) = text.as_bytes().split_first()?;
    let kind = decode(&[*kind]).ok().filter(|&kind| kind <= u64::from(TOTAL))?;
    if entries.len() % ENTRY != 0 {
        return None;
    }
    let load = |e: &[u8]| Some((decode(&e[..TAG]).ok()? as u32, decode(&e[TAG..]).ok()? as f64));
    Some((kind as u32, entries.chunks(ENTRY).map(load).collect::<Option<_>>()?))
}

/// Whether a message is a relay's sums: what only one relay at a time should tell.
pub fn is_aggregated_loads(text: &str) -> bool {
    read_loads(text).is_some_and(|(kind, _)| kind == TOTAL)
}

/// Sums as messages of at most so many bytes each: each says a part, and all that the one said.
pub fn split_aggregated_loads(text: &str, most: usize) -> Vec<String> {
    if text.len() <= most || most <= 1 + ENTRY {
        return vec![text.to_owned()];
    }
    let (kind, entries) = text.split_at(1);
    let most = (most - 1) / ENTRY * ENTRY;
    let part = |part: &[u8]| format!("{kind}{}", String::from_utf8_lossy(part));
    entries.as_bytes().chunks(most).map(part).collect()
}

/// Where a dispatcher stands, 0 to 1, in the order in which all may take their turn at a worker now: another order
/// from each sums to the next.
pub(crate) fn turn(now: Millis, worker: u64, ordinal: u32) -> f64 {
    distance(worker ^ (now / SUMS) as u64, hash(&ordinal.to_string()))
}

/// The load to which all rise that lie under it as this much is poured in.
fn level(mut loads: Vec<f64>, poured: f64) -> f64 {
    loads.sort_by(f64::total_cmp);
    let (mut sum, mut level) = (poured, f64::INFINITY);
    for (under, load) in loads.iter().enumerate() {
        if *load >= level {
            break;
        }
        sum += load;
        level = sum / (under + 1) as f64;
    }
    level
}

/// One other dispatcher's loads, and when it told them.
#[derive(Default)]
struct Heard {
    at: Millis,
    loads: Vec<(WorkerId, f64)>,
    /// All that it told, also of workers that are not known here: others may know them.
    told: Vec<(u32, f64)>,
}

/// A large tier's sums: who tells them, and what was told.
struct Sums {
    ordinal: u32,
    /// Who told the last, and when.
    relay: Option<u32>,
    heard_at: Millis,
    /// Until when the sums count. Nothing is known at a start, nor by a relay that nobody has told yet.
    known_until: Millis,
    /// Slots that all others hold, by worker, and when that was told.
    others: Vec<(f64, Millis)>,
    /// As a relay: what was told last of each worker, how often, and when to tell again.
    told: BTreeMap<u32, f64>,
    rounds: u32,
    next_at: Millis,
    /// What we hold was told then.
    own_at: Millis,
}

/// The loads that other dispatchers told of.
#[derive(Default)]
pub(crate) struct Peers {
    dispatchers: u32,
    heard: BTreeMap<u32, Heard>,
    tags: BTreeMap<u32, WorkerId>,
    tag_of: Vec<Option<u32>>,
    loads: Vec<f64>,
    sums: Option<Sums>,
    /// The load up to which workers will have been filled by the next sums.
    level: f64,
}

impl Peers {
    /// Nothing heard yet.
    pub(crate) fn new(now: Millis, ordinal: u32, dispatchers: u32) -> Self {
        let sums = Sums {
            ordinal,
            relay: None,
            heard_at: now - SILENT.0,
            known_until: f64::NEG_INFINITY,
            others: Vec::new(),
            told: BTreeMap::new(),
            rounds: 0,
            next_at: now,
            own_at: f64::NEG_INFINITY,
        };
        Peers { dispatchers, sums: (dispatchers > DIRECT).then_some(sums), ..Peers::default() }
    }

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
        match &self.sums {
            Some(sums) if sums.relay != Some(sums.ordinal) => sums.others.get(id).map_or(0.0, |told| told.0),
            _ => self.loads.get(id).copied().unwrap_or(0.0),
        }
    }

    /// Between two sums all see the same workers as the least loaded, and send there. What all will have sent by then
    /// is poured over the workers, filling the least loaded first, for so do all (Dahlin, "Interpreting stale load
    /// information", 1999). `loads`: slots held on each worker, ours included, and its slots in all; `runs`: that
    /// time in running times. As many jobs come as end.
    pub(crate) fn pour(&mut self, loads: Vec<(f64, f64)>, runs: f64) {
        let ending: f64 = loads.iter().map(|(held, slots)| held.min(*slots) * runs).sum();
        self.level = level(loads.into_iter().map(|load| load.0).collect(), ending);
    }

    /// Slots that the others will hold on a worker, as far as they have not had their turn.
    pub(crate) fn expected(&self, now: Millis, id: WorkerId, hash: u64, own: f64) -> f64 {
        let told = self.load(id);
        match &self.sums {
            Some(sums) => told + turn(now, hash, sums.ordinal) * (self.level - told - own).max(0.0),
            None => told,
        }
    }

    /// Whether this is a small tier, whose members tell one another directly.
    pub(crate) fn direct(&self) -> bool {
        self.sums.is_none()
    }

    /// Whether all the others have told of their loads lately, of so many dispatchers.
    pub(crate) fn complete(&self, now: Millis, dispatchers: u32) -> bool {
        match &self.sums {
            Some(sums) => now < sums.known_until,
            None => self.heard.len() + 1 >= dispatchers as usize,
        }
    }

    /// The same where a large tier's sums tell it.
    pub(crate) fn load_told(&self, now: Millis, id: WorkerId) -> Option<f64> {
        (!self.direct() && self.complete(now, self.dispatchers)).then(|| self.load(id))
    }

    /// How many others have told all of their loads lately; whom a relay hears is not heard by all.
    pub(crate) fn heard_directly(&self) -> usize {
        if self.direct() { self.heard.len() } else { 0 }
    }

    /// Takes a message in; any other text is ignored, and so are workers that are not known here. `own` are the
    /// slots that we hold on a worker.
    pub(crate) fn hear(&mut self, now: Millis, from: u32, text: &str, own: impl Fn(WorkerId) -> f64) {
        let Some((kind, loads)) = read_loads(text) else { return };
        if kind == TOTAL {
            let Some(sums) = &mut self.sums else { return };
            // Of two relays the lower number goes on.
            if sums.relay.is_some_and(|relay| relay < from) && now < sums.heard_at + SILENT.0 {
                return;
            }
            if sums.relay != Some(from) {
                // A new one knows nothing yet.
                sums.own_at = f64::NEG_INFINITY;
            }
            (sums.relay, sums.heard_at) = (Some(from), now);
            if !loads.is_empty() {
                sums.known_until = now + SUMS_LIFE;
            }
            sums.others.resize(self.loads.len(), (0.0, now));
            for (tag, slots) in loads {
                let Some(&id) = self.tags.get(&tag) else { continue };
                sums.others[id] = ((slots - own(id)).max(0.0), now);
            }
            return;
        }
        if kind == FIRST {
            self.forget(from);
        }
        let heard = self.heard.entry(from).or_default();
        heard.at = now;
        for (tag, slots) in loads {
            if self.sums.is_some() {
                heard.told.push((tag, slots));
            }
            let Some(&id) = self.tags.get(&tag) else { continue };
            self.loads[id] += slots;
            heard.loads.push((id, slots));
        }
    }

    /// In a large tier: what is to be told now, and to whom. `held` are the workers' hashes and the slots that we
    /// hold there, looked at only where something is told; `changed`: that has just changed.
    pub(crate) fn relay(
        &mut self,
        now: Millis,
        changed: bool,
        held: impl Iterator<Item = (u64, f64)>,
    ) -> Vec<(Option<u32>, String)> {
        let Some(sums) = &mut self.sums else { return Vec::new() };
        let mine = sums.relay == Some(sums.ordinal);
        let last = sums.relay.unwrap_or(self.dispatchers - 1);
        let between = (sums.ordinal + 2 * self.dispatchers - last - 1) % self.dispatchers;
        let silent = SILENT.0 + SILENT.1 * f64::from(between);
        if mine && now >= sums.next_at || !mine && now >= sums.heard_at + silent {
            (sums.relay, sums.heard_at, sums.next_at) = (Some(sums.ordinal), now, now + SUMS);
            if !mine {
                // At first only its name is told: the others answer with what they hold.
                (sums.told, sums.rounds) = (BTreeMap::new(), 0);
                return write_loads(TOTAL, &[]).into_iter().map(|text| (None, text)).collect();
            }
            sums.known_until = now + SUMS_LIFE;
            sums.rounds += 1;
            let mut totals: BTreeMap<u32, f64> = BTreeMap::new();
            for &(tag, slots) in self.heard.values().flat_map(|heard| &heard.told) {
                *totals.entry(tag).or_default() += slots;
            }
            for (hash, slots) in held {
                *totals.entry(tag(hash)).or_default() += slots;
            }
            let whole = sums.rounds % WHOLE == 1;
            // What nobody holds any more is told as nothing, once.
            for &tag in sums.told.keys() {
                totals.entry(tag).or_insert(0.0);
            }
            let told = |tag: &u32| sums.told.get(tag).copied().unwrap_or(0.0);
            let news: Vec<(u32, f64)> = (totals.iter())
                .filter(|(tag, slots)| told(tag) != **slots || whole && **slots > 0.0)
                .map(|(&tag, &slots)| (tag, slots))
                .collect();
            totals.retain(|_, slots| *slots > 0.0);
            sums.told = totals;
            return write_loads(TOTAL, &news).into_iter().map(|text| (None, text)).collect();
        }
        let due = changed || now >= sums.own_at + AGAIN;
        let Some(relay) = sums.relay.filter(|&relay| due && relay != sums.ordinal) else { return Vec::new() };
        sums.own_at = now;
        let loads: Vec<(u32, f64)> =
            held.filter(|held| held.1 > 0.0).map(|(hash, slots)| (tag(hash), slots)).collect();
        write_loads(FIRST, &loads).into_iter().map(|text| (Some(relay), text)).collect()
    }

    /// Forgets dispatchers that have been silent since before `then`, and sums that were not told again since: that
    /// nobody holds anything any more is told once, and that message may be lost.
    pub(crate) fn forget_silent(&mut self, then: Millis) {
        for told in self.sums.iter_mut().flat_map(|sums| &mut sums.others).filter(|told| told.1 < then) {
            told.0 = 0.0;
        }
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
        let held: Vec<_> = held.map(|(hash, slots)| (tag(hash), slots)).collect();
        if held.is_empty() { Vec::new() } else { write_loads(FIRST, &held) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn loads_survive_the_message() {
        let loads: Vec<(u32, f64)> = (0..100).map(|n| (n * 2_621, f64::from(n % 5))).collect();
        let messages = write_loads(FIRST, &loads);
        assert!(messages.iter().all(|message| message.len() <= 256));
        let read: Vec<_> = messages.iter().map(|message| read_loads(message).expect("a message")).collect();
        assert_eq!(read.iter().map(|(first, _)| *first).collect::<Vec<_>>(), [FIRST, MORE]);
        assert_eq!(read.into_iter().flat_map(|(_, loads)| loads).collect::<Vec<_>>(), loads);
        assert!(read_loads("0abc").is_none() && read_loads("").is_none() && read_loads("\u{e9}").is_none());
    }

    #[test]
    fn sums_in_parts_say_what_the_whole_said() {
        let loads: Vec<(u32, f64)> = (0..60).map(|n| (n * 31, f64::from(n % 5))).collect();
        let whole = write_loads(TOTAL, &loads).remove(0);
        assert!(
            is_aggregated_loads(&whole)
                && !is_aggregated_loads(&write_loads(FIRST, &loads)[0])
                && !is_aggregated_loads("!T000")
        );
        let parts = split_aggregated_loads(&whole, 200);
        assert!(parts.len() == 2 && parts.iter().all(|part| part.len() <= 200 && is_aggregated_loads(part)));
        let read: Vec<_> = parts.iter().flat_map(|part| read_loads(part).expect("sums").1).collect();
        assert_eq!(read, loads);
        assert_eq!(split_aggregated_loads("2", 200), ["2"]);
    }

    /// Foreign, cut and garbled text costs nothing but itself, whatever the tier's size.
    #[test]
    fn text_that_is_no_message_changes_nothing() {
        for dispatchers in [1, 4, 100, 200] {
            let mut peers = Peers::new(0.0, 0, dispatchers);
            (0..3).for_each(|id| peers.know(id, 1_000 + id as u64));
            for text in ["", "2", "2abc", "0abc", "3abcd", "2\u{e9}abc", "!T00000000", "\0\0\0\0\0"] {
                peers.hear(1.0, 7, text, |_| 0.0);
                assert_eq!([peers.load(0), peers.load(1), peers.load(2)], [0.0; 3], "{text}");
            }
            // Sums on workers that are not known here, and in tiers that have none.
            peers.hear(1.0, 7, &write_loads(TOTAL, &[(77, 5.0)]).remove(0), |_| 0.0);
            assert_eq!([peers.load(0), peers.load(1), peers.load(2)], [0.0; 3]);
            let told = peers.relay(1.0, true, std::iter::empty());
            assert!(
                told.iter().all(|(_, text)| text.len() <= 256) && (dispatchers > DIRECT) != told.is_empty()
            );
        }
    }

    #[test]
    fn sums_count_once_they_are_heard_and_fade_where_they_are_not_told_again() {
        let mut peers = Peers::new(0.0, 20, 100);
        peers.know(0, 1_000);
        assert!(!peers.complete(0.0, 12), "nothing was heard yet");
        let sums = |loads: &[(u32, f64)]| write_loads(TOTAL, loads).remove(0);
        peers.hear(10.0, 3, &sums(&[]), |_| 0.0);
        assert!(!peers.complete(10.0, 12), "a new relay knows nothing yet");
        assert_eq!(peers.relay(10.0, false, [(1_000, 1.0)].into_iter())[0].0, Some(3), "and is told at once");
        peers.hear(210.0, 3, &sums(&[(1_000, 4.0)]), |_| 1.0);
        assert!(peers.complete(210.0, 12) && peers.load(0) == 3.0);
        // That the slots came free is lost; whoever still holds any says so each second.
        peers.forget_silent(200.0);
        assert_eq!(peers.load(0), 3.0);
        peers.forget_silent(300.0);
        assert_eq!(peers.load(0), 0.0);
        // Of two relays the lower goes on, and one that falls silent is followed.
        peers.hear(400.0, 9, &sums(&[(1_000, 9.0)]), |_| 0.0);
        assert_eq!(peers.load(0), 0.0);
        peers.hear(900.0, 9, &sums(&[(1_000, 9.0)]), |_| 0.0);
        assert_eq!(peers.load(0), 9.0);
    }

    #[test]
    fn a_round_replaces_the_last_one_and_silence_ends_it() {
        let mut peers = Peers::default();
        (0..3).for_each(|id| peers.know(id, 1_000 + id as u64));
        let tell = |held: &[(u64, f64)]| Peers::tell(held.iter().copied()).remove(0);
        peers.hear(10.0, 1, &tell(&[(1_000, 2.0), (1_002, 1.0), (77, 5.0)]), |_| 0.0);
        peers.hear(20.0, 2, &tell(&[(1_000, 1.0)]), |_| 0.0);
        assert_eq!([peers.load(0), peers.load(1), peers.load(2), peers.load(9)], [3.0, 0.0, 1.0, 0.0]);
        peers.hear(30.0, 1, &tell(&[(1_001, 4.0)]), |_| 0.0);
        assert_eq!([peers.load(0), peers.load(1), peers.load(2)], [1.0, 4.0, 0.0]);
        peers.forget_silent(25.0);
        assert_eq!([peers.load(0), peers.load(1)], [0.0, 4.0]);
    }

    /// One worker of 60 is told to be idle, as far as sums go; 60 jobs will come by the next. Not all of a hundred may
    /// think that it is theirs, yet as many must as it takes to fill it.
    #[test]
    fn what_is_told_to_all_as_idle_is_not_taken_for_idle_by_all() {
        assert_eq!(level(vec![4.0, 0.0, 2.0], 1.0), 1.0);
        assert_eq!(level(vec![4.0, 0.0, 2.0], 3.0), 2.5);
        assert_eq!(level(vec![4.0, 0.0, 2.0], 6.0), 4.0);
        let mut takers = 0;
        for ordinal in 1..100 {
            let mut peers = Peers::new(0.0, ordinal, 100);
            (0..60).for_each(|id| peers.know(id, hash(&format!("w{id}"))));
            let told: Vec<(u32, f64)> = (1..60).map(|id| (tag(hash(&format!("w{id}"))), 4.0)).collect();
            peers.hear(1.0, 0, &write_loads(TOTAL, &told).remove(0), |_| 0.0);
            peers.pour((0..60).map(|id| (peers.load(id), 4.0)).collect(), 0.25);
            let seen = |id: WorkerId| peers.expected(2.0, id, hash(&format!("w{id}")), 0.0);
            takers += usize::from((1..60).all(|id| seen(0) < seen(id) - 3.0));
        }
        assert!((5..50).contains(&takers), "{takers} of 99");
    }

    /// Messages may be lost: what was told once is told again, by whoever holds it and by the relay.
    #[test]
    fn what_a_lost_message_told_is_told_again() {
        let (mut relay, mut other) = (Peers::new(0.0, 0, 100), Peers::new(0.0, 1, 100));
        [&mut relay, &mut other].into_iter().for_each(|peers| peers.know(0, 1_000));
        relay.relay(10_000.0, false, std::iter::empty());
        other.hear(10_001.0, 0, &write_loads(TOTAL, &[]).remove(0), |_| 0.0);
        let held = || [(1_000_u64, 2.0)].into_iter();
        // The first message of the one that holds something is lost, and so are the relay's first four of it.
        assert_eq!(other.relay(10_002.0, true, held()).len(), 1);
        let mut told = Vec::new();
        for step in 1..20 {
            let now = 10_002.0 + 100.0 * f64::from(step);
            for (_, text) in other.relay(now, false, held()) {
                relay.hear(now, 1, &text, |_| 0.0);
            }
            for (_, text) in relay.relay(now, false, std::iter::empty()) {
                told.extend(
                    read_loads(&text).into_iter().flat_map(|(_, loads)| loads).map(|load| (now, load)),
                );
                other.hear(now, 0, "2", |_| 0.0);
            }
        }
        assert!(told.len() >= 2, "{told:?}");
        assert!(told.iter().all(|(_, load)| *load == (1_000, 2.0)) && told[1].0 <= told[0].0 + 1_000.0);
    }
}
