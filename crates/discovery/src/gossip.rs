//! What schedulers tell one another of the list: changes with their versions, in messages of 256 bytes that may be
//! lost, so that one scheduler's open watch serves all.
//!
//! Small tiers tell everybody. In larger ones each change is passed on by whoever hears it first to a few others
//! at random (rumour mongering, Demers et al., "Epidemic algorithms for replicated database maintenance", 1987).
//! Whoever tells a version as new needs no telling; others are told again, a few times, within a budget of bytes.
//! A message names servers by 36 bits of their names' hashes and ends in a check of 24 bits; whatever doesn't fit is
//! ignored whole. No message makes a server known or ready.

use brackenledge_policy::measure::hash;
use brackenledge_policy::symbols::{put, take};
use brackenledge_policy::{Millis, Readiness};
use fastrand::Rng;
use std::collections::{BTreeMap, VecDeque};

/// No load message begins with it.
const MARK: char = '!';
/// The longest message that may be sent, in bytes.
const MESSAGE_MOST: usize = 256;
/// Symbols for the mark and purpose, the version held, the version heard of, the check, and each change.
const HEAD: usize = 2 + 2 * VERSION;
const VERSION: usize = 8;
const CHECK: usize = 4;
const TAG: usize = 6;
const BACK: usize = 2;
const ENTRY: usize = TAG + 1 + BACK;
const ENTRIES: usize = (MESSAGE_MOST - HEAD - CHECK) / ENTRY;

/// Others that one scheduler tells of a change; a tier of up to one more hears from each directly.
const FANOUT: usize = 8;
/// Waits before a change is told again to who has not confirmed it.
const AGAIN: [Millis; 4] = [120.0, 250.0, 500.0, 1_000.0];
/// Changes that are still told to who has just started.
const RECENT: Millis = 60_000.0;
const RECENT_MOST: usize = 4 * ENTRIES;
/// Bytes a second that are told, and saved up; 256 a job would be the full price.
const BYTES: f64 = 0.256;
const BYTES_BURST: f64 = 4_096.0;
/// When the others are asked again after a start without an answer.
const ASK_AGAIN: [Millis; 3] = [0.0, 300.0, 1_200.0];

/// A change of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Change {
    /// The server, by [`tag`].
    pub(super) tag: u64,
    pub(super) readiness: Readiness,
    /// The version that says so.
    pub(super) version: u64,
}

/// The bits of a name's hash by which messages name a server.
pub(super) fn tag(hash: u64) -> u64 {
    hash & ((1 << (6 * TAG)) - 1)
}

/// Whether a message is the roster's, whatever it says.
pub(super) fn is_gossip(text: &str) -> bool {
    text.starts_with(MARK)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Tells, and wants to hear the version back.
    Tell,
    /// Tells, no more.
    Note,
    /// Asks for all that is recent.
    Ask,
}

const PURPOSES: [(Purpose, char); 3] = [(Purpose::Tell, 'T'), (Purpose::Note, 'N'), (Purpose::Ask, 'Q')];

#[derive(Clone, Debug, PartialEq)]
struct Message {
    purpose: Purpose,
    /// The version that the sender holds, and the newest it has heard of.
    held: u64,
    heard: u64,
    changes: Vec<Change>,
}

impl Message {
    fn write(&self) -> String {
        let mut text = String::from(MARK);
        text.extend(PURPOSES.iter().find(|(purpose, _)| *purpose == self.purpose).map(|(_, symbol)| symbol));
        put(&mut text, self.held, VERSION);
        put(&mut text, self.heard, VERSION);
        let newest = self.held.max(self.heard);
        for change in self.changes.iter().take(ENTRIES) {
            put(&mut text, change.tag, TAG);
            put(&mut text, change.readiness as u64, 1);
            // Changes that lie further back are as good as those.
            put(&mut text, newest.saturating_sub(change.version).min((1 << (6 * BACK)) - 1), BACK);
        }
        let check = hash(&text);
        put(&mut text, check, CHECK);
        text
    }

    fn read(text: &str) -> Option<Message> {
        let bytes = text.as_bytes();
        if !text.is_ascii() || bytes.len() < HEAD + CHECK || bytes.len() > MESSAGE_MOST {
            return None;
        }
        let (body, check) = text.split_at(bytes.len() - CHECK);
        let entries = &body.as_bytes()[HEAD..];
        if take(check.as_bytes())? != hash(body) & ((1 << (6 * CHECK)) - 1) || entries.len() % ENTRY != 0 {
            return None;
        }
        let (purpose, _) = *PURPOSES.iter().find(|(_, symbol)| *symbol as u8 == bytes[1])?;
        let held = take(&bytes[2..2 + VERSION])?;
        let heard = take(&bytes[2 + VERSION..HEAD])?;
        let newest = held.max(heard);
        let change = |entry: &[u8]| {
            let readiness = match take(&entry[TAG..=TAG])? {
                0 => Readiness::Ready,
                1 => Readiness::Draining,
                2 => Readiness::Gone,
                _ => return None,
            };
            let version = newest.checked_sub(take(&entry[TAG + 1..])?)?;
            Some(Change { tag: take(&entry[..TAG])?, readiness, version })
        };
        Some(Message {
            purpose,
            held,
            heard,
            changes: entries.chunks(ENTRY).map(change).collect::<Option<_>>()?,
        })
    }
}

/// What a message tells.
pub(super) struct Heard {
    pub(super) changes: Vec<Change>,
    /// The version that its sender holds.
    pub(super) version: u64,
}

/// A version that others are still told of.
struct Telling {
    version: u64,
    changes: Vec<Change>,
    tries: usize,
    next: Millis,
    to: Vec<u32>,
}

/// The telling and hearing of one scheduler.
pub(super) struct Gossip {
    ordinal: u32,
    schedulers: u32,
    /// The newest version that each other one is known to have, by its own list or by hearsay.
    known: BTreeMap<u32, u64>,
    heard: u64,
    telling: Vec<Telling>,
    recent: VecDeque<(Millis, Change)>,
    replies: BTreeMap<u32, Purpose>,
    asked: usize,
    ask_at: Millis,
    bytes: f64,
    bytes_at: Millis,
}

impl Gossip {
    pub(super) fn new(now: Millis, ordinal: u32, schedulers: u32) -> Self {
        Gossip {
            ordinal,
            schedulers,
            known: BTreeMap::new(),
            heard: 0,
            telling: Vec::new(),
            recent: VecDeque::new(),
            replies: BTreeMap::new(),
            asked: 0,
            ask_at: now,
            bytes: BYTES_BURST,
            bytes_at: now,
        }
    }

    /// The list held has changed, or has been confirmed anew at another version.
    pub(super) fn changed(&mut self, now: Millis, version: u64, changes: &[Change]) {
        if version < self.heard {
            // Versions may have been counted from anew; what was heard of the old ones says nothing any more.
            (self.heard, self.known) = (version, BTreeMap::new());
        }
        self.heard = self.heard.max(version);
        self.remember(now, changes);
        self.tell(now, version, changes);
    }

    fn remember(&mut self, now: Millis, changes: &[Change]) {
        for change in changes {
            self.recent.retain(|(_, old)| old.tag != change.tag);
            self.recent.push_back((now, *change));
        }
        while self.recent.len() > RECENT_MOST || self.recent.front().is_some_and(|&(at, _)| at < now - RECENT)
        {
            self.recent.pop_front();
        }
    }

    fn tell(&mut self, now: Millis, version: u64, changes: &[Change]) {
        // Nothing has to be told of a version that changed nothing; that it is held goes along with the next.
        let away: Vec<Change> = changes.iter().copied().take(RECENT_MOST).collect();
        if !away.is_empty() {
            self.telling.push(Telling { version, changes: away, tries: 0, next: now, to: Vec::new() });
        }
    }

    /// Takes a message in; `None` if it is none.
    pub(super) fn hear(&mut self, now: Millis, from: u32, text: &str, held: u64) -> Option<Heard> {
        let message = Message::read(text).filter(|_| from != self.ordinal)?;
        self.known.insert(from, message.held.max(message.heard));
        let news: Vec<Change> =
            message.changes.iter().copied().filter(|change| change.version > held).collect();
        let newest = message.changes.iter().map(|change| change.version).max().unwrap_or(0);
        if newest > self.heard {
            self.heard = newest;
            self.remember(now, &news);
            if self.schedulers as usize > FANOUT + 1 {
                self.tell(now, newest, &news);
            }
        }
        self.asked = ASK_AGAIN.len();
        match message.purpose {
            Purpose::Tell => {
                self.replies.entry(from).or_insert(Purpose::Note);
            }
            Purpose::Ask => {
                self.replies.insert(from, Purpose::Ask);
            }
            Purpose::Note => {}
        }
        Some(Heard { changes: message.changes, version: message.held })
    }

    pub(super) fn next_timeout(&self) -> Millis {
        let asks = if self.asked < ASK_AGAIN.len() { self.ask_at } else { f64::INFINITY };
        self.telling.iter().map(|telling| telling.next).fold(asks, f64::min)
    }

    /// The messages that are due now, and their receivers.
    pub(super) fn due(&mut self, now: Millis, held: u64, rng: &mut Rng) -> Vec<(u32, String)> {
        self.bytes = (self.bytes + BYTES * (now - self.bytes_at).max(0.0)).min(BYTES_BURST);
        self.bytes_at = self.bytes_at.max(now);
        let mut messages: Vec<(u32, Purpose, Vec<Change>)> = Vec::new();
        if self.asked < ASK_AGAIN.len() && now >= self.ask_at {
            self.asked += 1;
            self.ask_at = now + ASK_AGAIN.get(self.asked).copied().unwrap_or(0.0);
            messages.extend(self.some(rng).into_iter().map(|to| (to, Purpose::Ask, Vec::new())));
        }
        for (to, purpose) in std::mem::take(&mut self.replies) {
            let recent = if purpose == Purpose::Ask {
                self.recent.iter().rev().map(|r| r.1).collect()
            } else {
                vec![]
            };
            messages.push((to, Purpose::Note, recent));
        }
        for at in 0..self.telling.len() {
            if now < self.telling[at].next {
                continue;
            }
            if self.telling[at].tries == 0 {
                self.telling[at].to = self.some(rng);
            }
            let telling = &mut self.telling[at];
            telling.next =
                AGAIN.get(telling.tries).map_or(f64::INFINITY, |wait| now + wait * (0.75 + 0.5 * rng.f64()));
            telling.tries += 1;
            let unsure = |to: &u32| self.known.get(to).is_none_or(|&known| known < telling.version);
            for to in telling.to.iter().copied().filter(unsure) {
                messages.push((to, Purpose::Tell, telling.changes.clone()));
            }
        }
        // One told for the last time, or known to all, is done with.
        let known = &self.known;
        self.telling.retain(|telling| {
            let unsure = |to: &u32| known.get(to).is_none_or(|&known| known < telling.version);
            telling.next.is_finite() && (telling.tries == 0 || telling.to.iter().any(unsure))
        });
        self.write(messages, held)
    }

    /// Puts messages to one receiver together and pays for them.
    fn write(&mut self, messages: Vec<(u32, Purpose, Vec<Change>)>, held: u64) -> Vec<(u32, String)> {
        let mut merged: BTreeMap<u32, (Purpose, Vec<Change>)> = BTreeMap::new();
        for (to, purpose, changes) in messages {
            let (asked, all) = merged.entry(to).or_insert((purpose, Vec::new()));
            if purpose != Purpose::Note {
                *asked = purpose;
            }
            all.extend(changes);
        }
        let mut texts = Vec::new();
        for (to, (purpose, mut changes)) in merged {
            // Who may not be sent to matters more than who may again, if not all fit; the newest word counts.
            changes.sort_by_key(|change| {
                (change.readiness == Readiness::Ready, std::cmp::Reverse(change.version))
            });
            let parts: Vec<&[Change]> =
                if changes.is_empty() { vec![&[]] } else { changes.chunks(ENTRIES).collect() };
            for part in parts {
                let text = Message { purpose, held, heard: self.heard, changes: part.to_vec() }.write();
                if self.bytes < text.len() as f64 {
                    continue;
                }
                self.bytes -= text.len() as f64;
                texts.push((to, text));
            }
        }
        texts
    }

    /// The others, or some of them at random where they are many.
    fn some(&self, rng: &mut Rng) -> Vec<u32> {
        let mut others: Vec<u32> = (0..self.schedulers).filter(|&other| other != self.ordinal).collect();
        if others.len() > FANOUT {
            rng.shuffle(&mut others);
            others.truncate(FANOUT);
        }
        others
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn change(tag: u64, readiness: Readiness, version: u64) -> Change {
        Change { tag, readiness, version }
    }

    #[test]
    fn messages_survive_and_garbled_ones_are_nothing() {
        let changes: Vec<Change> =
            (0..ENTRIES as u64).map(|n| change(n * 2_654_435_761, Readiness::Draining, 900 + n)).collect();
        let message = Message { purpose: Purpose::Tell, held: 950, heard: 951, changes };
        let text = message.write();
        assert!(text.len() <= MESSAGE_MOST && is_gossip(&text));
        assert_eq!(Message::read(&text), Some(message));
        let mut rng = Rng::with_seed(5);
        for _ in 0..5_000 {
            let mut bytes = text.clone().into_bytes();
            let at = rng.usize(1..bytes.len());
            bytes[at] ^= 1 << rng.u8(0..7);
            let garbled = String::from_utf8(bytes).unwrap_or_default();
            assert_eq!(Message::read(&garbled), None, "{garbled}");
            assert_eq!(Message::read(&text[..rng.usize(..text.len())]), None);
        }
    }

    #[test]
    fn a_change_is_told_again_until_it_is_known_and_no_longer() {
        let mut rng = Rng::with_seed(1);
        let (mut gossip, mut other) = (Gossip::new(0.0, 0, 3), Gossip::new(0.0, 1, 3));
        gossip.due(0.0, 0, &mut rng);
        gossip.changed(10.0, 7, &[change(5, Readiness::Draining, 7)]);
        let told = gossip.due(10.0, 7, &mut rng);
        assert_eq!(told.iter().map(|(to, _)| *to).collect::<Vec<_>>(), [1, 2]);
        let heard = other.hear(11.0, 0, &told[0].1, 3).expect("a message");
        assert_eq!((heard.version, heard.changes), (7, vec![change(5, Readiness::Draining, 7)]));
        let replies = other.due(11.0, 3, &mut rng);
        let reply = replies.iter().find(|(to, _)| *to == 0).expect("a reply");
        gossip.hear(12.0, 1, &reply.1, 7);
        let mut later: Vec<u32> = Vec::new();
        while gossip.next_timeout().is_finite() {
            later.extend(gossip.due(gossip.next_timeout(), 7, &mut rng).into_iter().map(|(to, _)| to));
        }
        assert!(later.len() == AGAIN.len() && later.iter().all(|&to| to == 2), "{later:?}");
    }

    #[test]
    fn who_has_just_started_is_told_what_is_recent() {
        let mut rng = Rng::with_seed(1);
        let (mut old, mut new) = (Gossip::new(0.0, 0, 2), Gossip::new(5_000.0, 1, 2));
        old.due(0.0, 0, &mut rng);
        old.changed(10.0, 7, &[change(5, Readiness::Draining, 7)]);
        while old.next_timeout().is_finite() {
            old.due(old.next_timeout(), 7, &mut rng);
        }
        let asks = new.due(5_000.0, 0, &mut rng);
        old.hear(5_001.0, 1, &asks[0].1, 7);
        let answers = old.due(5_001.0, 7, &mut rng);
        let heard = new.hear(5_002.0, 0, &answers[0].1, 0).expect("a message");
        assert_eq!(heard.changes, [change(5, Readiness::Draining, 7)]);
        assert_eq!(new.next_timeout(), f64::INFINITY, "it has been answered");
    }
}
