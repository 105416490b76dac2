//! What we keep for others: as the home of a key, which decides who holds its job, and as a second keeper.

use crate::record::{Ballot, Fate, Key, Ran, Record, Sent};
use crate::{COME_AGAIN, Handover, Message, Micros, ProcessId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A record, and as its home who else keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Kept {
    pub(crate) record: Record,
    /// What it counts for among the bytes kept.
    size: usize,
    /// When nothing need be known of it any more.
    over: Micros,
    /// Other keepers under this roll, and the version that each has acknowledged.
    copies: BTreeMap<u16, Option<u32>>,
    /// More keepers than needed: so many have not answered in time.
    more: usize,
    /// The version acknowledged to the holder under this roll.
    told: Option<u32>,
    /// The holder is to hear that it holds it.
    opening: bool,
    /// Whose clients wait for its end.
    joiners: Vec<ProcessId>,
    /// Since when keepers owe us an answer.
    pub(crate) since: Option<Micros>,
    /// The holder has placed it under this roll.
    fresh: bool,
}

impl Kept {
    /// A new roll: nothing that was said under the last one counts.
    pub(crate) fn anew(&mut self) {
        (self.more, self.told, self.opening, self.since, self.fresh) = (0, None, false, None, false);
        self.copies.clear();
        self.joiners.clear();
    }
}

/// Expired records are looked for so often.
const SWEEP: Micros = 1_000_000;

impl Handover {
    pub(crate) fn room(&self, bytes: usize) -> bool {
        self.kept.len() + self.claims.len() < self.settings.records_most
            && self.bytes + bytes <= self.settings.bytes_most
    }

    fn is_home(&self, key: &Key) -> bool {
        key.home(&self.members) == Some(self.me)
    }

    pub(crate) fn put(&mut self, now: Micros, key: &Key, record: Record) -> &mut Kept {
        let over = record.until.max(now) + self.settings.keep;
        let size = record.bytes();
        let kept = self.kept.entry(key.clone()).or_insert_with(|| Kept {
            record: record.clone(),
            size: 0,
            over,
            copies: BTreeMap::new(),
            more: 0,
            told: None,
            opening: false,
            joiners: Vec::new(),
            since: None,
            fresh: false,
        });
        self.bytes = self.bytes - kept.size + size;
        (kept.record, kept.size, kept.over) = (record, size, over);
        kept
    }

    fn drop_kept(&mut self, key: &Key) -> Option<Kept> {
        let kept = self.kept.remove(key)?;
        self.bytes -= kept.size;
        self.pending.remove(key);
        Some(kept)
    }

    fn next_ballot(&mut self) -> Ballot {
        self.turn += 1;
        Ballot { roll: self.roll, turn: self.turn }
    }

    pub(crate) fn hear_open(&mut self, now: Micros, from: ProcessId, record: Sent) {
        if !self.is_home(&record.key) {
            self.counts.stale += 1;
        } else if self.open {
            self.give(now, from, record);
        } else {
            self.asked.push_back((from, record));
        }
    }

    /// Gives a job to who asks for it, or says where it lives or how it ended.
    fn give(&mut self, now: Micros, from: ProcessId, sent: Sent) {
        let (key, mut record) = sent.received(now);
        let (roll, ask) = (self.roll, record.ask);
        if let Some(kept) = self.kept.get(&key) {
            let (holder, gone) = (kept.record.holder, !self.member(kept.record.holder));
            let fate = match &kept.record.fate {
                // Nobody went on with it, for its time was over.
                None if gone && kept.record.gated && kept.record.may_have_run() => Some(Fate::Failed),
                fate => fate.clone(),
            };
            if let Some(fate) = fate {
                self.send(from, Message::Told { key, fate });
                return;
            }
            if !gone && holder == from && kept.record.ask > ask {
                // It has taken the job over itself since it asked.
                return;
            }
            if !gone && holder != from {
                if let Some(kept) = self.kept.get_mut(&key).filter(|kept| !kept.joiners.contains(&from)) {
                    kept.joiners.push(from);
                }
                self.send(from, Message::Lives { roll, key, ask });
                return;
            }
            // What may have run stays known.
            for tried in kept.record.tried.iter().filter(|tried| tried.ran == Ran::Maybe) {
                if !record.tried.iter().any(|known| known.number == tried.number) {
                    record.tried.push(tried.clone());
                }
            }
        }
        if !self.room(record.bytes()) {
            self.send(from, Message::Full { roll, key, ask });
            return;
        }
        (record.holder, record.ballot) = (from, self.next_ballot());
        let kept = self.put(now, &key, record);
        kept.copies.clear();
        (kept.opening, kept.fresh, kept.told) = (true, true, None);
        self.keep_up(now, &key);
    }

    /// As a home: has as many keepers as are wanted, and tells the holder once they have its last note.
    fn keep_up(&mut self, now: Micros, key: &Key) {
        if !self.open {
            return;
        }
        let Some(kept) = self.kept.get_mut(key) else { return };
        let holder = kept.record.holder;
        // On a roll with us there is nobody else but the holder whom it could not be kept by.
        let others = self.members.len() - 1 - usize::from(holder != self.me);
        let needed = self.settings.copies.saturating_sub(usize::from(holder != self.me)).min(others);
        let wanted = (needed + kept.more).min(others);
        let mut new = Vec::new();
        if kept.copies.len() < wanted {
            let mut free = key.order(&self.members);
            free.retain(|other| {
                *other != self.me && *other != holder && !kept.copies.contains_key(&other.ordinal)
            });
            while kept.copies.len() < wanted {
                // A zone that neither we nor the holder nor a keeper is in goes first.
                let zone = |who: u16| self.zones.get(&who).copied();
                let own = [self.me.ordinal, holder.ordinal].into_iter();
                let taken: Vec<Option<u32>> = own.chain(kept.copies.keys().copied()).map(zone).collect();
                let next = (0..free.len()).min_by_key(|&at| taken.contains(&zone(free[at].ordinal)));
                let Some(next) = next.map(|at| free.remove(at)) else { break };
                kept.copies.insert(next.ordinal, None);
                new.push(next);
            }
        }
        let version = kept.record.version;
        let have = kept.copies.values().filter(|&&acked| acked >= Some(version)).count();
        let enough = have >= needed;
        let (roll, soon) = (self.roll, kept.record.gated && kept.record.fate.is_none());
        let record = (!new.is_empty()).then(|| kept.record.sent(now, key));
        let mut tell = None;
        if enough {
            kept.since = None;
            self.pending.remove(key);
            if kept.told < Some(version) {
                kept.told = Some(version);
                let (key, ask, ballot) = (key.clone(), kept.record.ask, kept.record.ballot);
                tell = Some(match std::mem::take(&mut kept.opening) {
                    true => Message::Opened { roll, key, ask, ballot, version },
                    false => Message::Noted { roll, key, ask, version },
                });
            }
        } else if kept.since.is_none() {
            kept.since = Some(now);
            self.pending.insert(key.clone());
        }
        for (other, record) in new.into_iter().zip(std::iter::repeat(record).flatten()) {
            self.send_by(other, Message::Keep { roll, record }, soon);
        }
        if let Some(message) = tell {
            self.send_by(holder, message, soon);
        }
    }

    /// To the other keepers of a record.
    fn forward(&mut self, key: &Key, message: &Message, soon: bool) {
        let Some(kept) = self.kept.get(key) else { return };
        let all: Vec<ProcessId> = (kept.copies.keys())
            .filter_map(|ordinal| {
                Some(ProcessId { ordinal: *ordinal, incarnation: *self.members.get(ordinal)? })
            })
            .collect();
        all.into_iter().for_each(|other| self.send_by(other, message.clone(), soon));
    }

    /// As the home of a key: whether a message is of the job's holder, who is told if it is not.
    fn of_holder(&mut self, from: ProcessId, key: &Key, ask: u64) -> bool {
        if self.kept.get(key).is_some_and(|kept| kept.record.holder == from && kept.record.ask == ask) {
            return true;
        }
        let roll = self.roll;
        self.send(from, Message::Refused { roll, key: key.clone(), ask });
        false
    }

    pub(crate) fn hear_keep(&mut self, now: Micros, from: ProcessId, sent: Sent) {
        let (key, record) = sent.received(now);
        if key.home(&self.members) != Some(from) {
            self.counts.stale += 1;
            return;
        }
        let (roll, ask, version) = (self.roll, record.ask, record.version);
        let soon = record.gated && record.fate.is_none();
        self.put(now, &key, record).fresh = true;
        self.send_by(from, Message::Noted { roll, key, ask, version }, soon);
    }

    pub(crate) fn hear_note(&mut self, now: Micros, from: ProcessId, message: Message) {
        let Message::Note { roll, ref key, ask, version, number, ref worker, ran } = message else { return };
        let home = key.home(&self.members);
        let ours = home == Some(self.me);
        let waits =
            |asked: &&mut (ProcessId, Sent)| asked.0 == from && asked.1.key == *key && asked.1.ask == ask;
        if let Some((_, record)) = self.asked.iter_mut().find(waits) {
            // It asks for the job, and has not been given it yet.
            record.tried.retain(|tried| tried.0 != number);
            record.tried.push((number, Arc::clone(worker), ran, 0));
            record.version = record.version.max(version);
            return;
        }
        if ours && !self.of_holder(from, key, ask) || !ours && home != Some(from) {
            return;
        }
        let Some(kept) = self.kept.get_mut(key).filter(|kept| kept.record.ask == ask) else { return };
        kept.record.note(now, number, worker, ran);
        kept.record.version = kept.record.version.max(version);
        if ours {
            self.forward(key, &message, ran == Ran::Maybe);
            self.keep_up(now, key);
        } else if ran == Ran::Maybe {
            self.send(from, Message::Noted { roll, key: key.clone(), ask, version });
        }
    }

    pub(crate) fn hear_done(&mut self, now: Micros, from: ProcessId, message: Message) {
        let Message::Done { roll, ref key, ask, version, ref fate } = message else { return };
        let home = key.home(&self.members);
        let ours = home == Some(self.me);
        if ours && !self.of_holder(from, key, ask) || !ours && home != Some(from) {
            return;
        }
        let Some(kept) = self.kept.get(key).filter(|kept| kept.record.ask == ask) else { return };
        // What to run need not be known any more.
        let record = Record { version, fate: Some(fate.clone()), what: Arc::from([]), ..kept.record.clone() };
        let kept = self.put(now, key, record);
        if !ours {
            self.send_by(from, Message::Noted { roll, key: key.clone(), ask, version }, false);
            return;
        }
        let joiners = std::mem::take(&mut kept.joiners);
        self.forward(key, &message, false);
        for joiner in joiners {
            self.send(joiner, Message::Told { key: key.clone(), fate: fate.clone() });
        }
        self.keep_up(now, key);
    }

    pub(crate) fn hear_forget(&mut self, from: ProcessId, key: Key, ask: u64) {
        let (roll, home) = (self.roll, key.home(&self.members));
        if home == Some(self.me) {
            self.asked.retain(|(asker, record)| *asker != from || record.key != key || record.ask != ask);
            let of = |kept: &Kept| {
                let record = &kept.record;
                record.holder == from && record.ask == ask && record.fate.is_none()
            };
            if !self.kept.get(&key).is_some_and(of) {
                return;
            }
            self.forward(&key, &Message::Forget { roll, key: key.clone(), ask }, false);
            let joiners = self.drop_kept(&key).map(|kept| kept.joiners).unwrap_or_default();
            for joiner in joiners {
                let fate = Fate::Denied(Some(COME_AGAIN));
                self.send(joiner, Message::Told { key: key.clone(), fate });
            }
        } else if home == Some(from) && self.kept.get(&key).is_some_and(|kept| kept.record.ask == ask) {
            self.drop_kept(&key);
        }
    }

    pub(crate) fn hear_yield(&mut self, now: Micros, from: ProcessId, key: Key, ask: u64) {
        if self.is_home(&key)
            && self.of_holder(from, &key, ask)
            && self.kept.get(&key).is_some_and(|kept| kept.record.fate.is_none())
        {
            self.take_over(now, &key);
        }
    }

    /// As the home, we hold it ourselves from now on; it starts once its keepers have that.
    fn take_over(&mut self, now: Micros, key: &Key) {
        let ballot = self.next_ballot();
        let Some(kept) = self.kept.get_mut(key) else { return };
        self.asks += 1;
        (kept.record.holder, kept.record.ballot, kept.record.ask) = (self.me, ballot, self.asks);
        kept.record.version += 1;
        kept.copies.clear();
        (kept.told, kept.opening, kept.fresh) = (None, false, true);
        let record = kept.record.clone();
        self.adopt(now, key, record);
        self.keep_up(now, key);
    }

    pub(crate) fn hear_noted(&mut self, now: Micros, from: ProcessId, key: Key, ask: u64, version: u32) {
        if from != self.me && self.is_home(&key) {
            let kept = self.kept.get_mut(&key).filter(|kept| kept.record.ask == ask);
            if let Some(acked) = kept.and_then(|kept| kept.copies.get_mut(&from.ordinal)) {
                *acked = (*acked).max(Some(version));
                self.keep_up(now, &key);
            }
        } else {
            self.acknowledged(now, from, &key, ask, version);
        }
    }

    pub(crate) fn hear_place(&mut self, now: Micros, from: ProcessId, sent: Sent) {
        if !self.is_home(&sent.key) {
            self.counts.stale += 1;
            return;
        }
        let (key, record) = sent.received(now);
        let ask = record.ask;
        if self.kept.get(&key).is_none_or(|kept| record.newer(&kept.record)) {
            self.put(now, &key, record);
        }
        if let Some(kept) = self.kept.get_mut(&key) {
            kept.fresh = true;
        }
        self.placed.push((from, key, ask));
    }

    pub(crate) fn hear_orphan(&mut self, now: Micros, sent: Sent) {
        if !self.is_home(&sent.key) {
            self.counts.stale += 1;
            return;
        }
        let (key, record) = sent.received(now);
        if self.kept.get(&key).is_none_or(|kept| record.newer(&kept.record)) {
            self.put(now, &key, record);
        }
    }

    /// Under a new roll: homes hear of jobs that have ended, and of those whose holders are gone.
    pub(crate) fn report_all(&mut self, now: Micros) {
        let roll = self.roll;
        let told: Vec<(ProcessId, Sent)> = (self.kept.iter())
            .filter(|(_, kept)| kept.record.fate.is_some() || !self.member(kept.record.holder))
            .filter_map(|(key, kept)| Some((key.home(&self.members)?, kept.record.sent(now, key))))
            .filter(|(home, _)| *home != self.me)
            .collect();
        for (home, record) in told {
            self.send(home, Message::Orphan { roll, record });
        }
    }

    /// Everybody has reported: what we know as a home is all there is.
    pub(crate) fn all_reported(&mut self, now: Micros) {
        let roll = self.roll;
        for (from, key, ask) in std::mem::take(&mut self.placed) {
            let holds = |kept: &Kept| kept.record.holder == from && kept.record.ask == ask;
            if !self.kept.get(&key).is_some_and(holds) {
                self.send(from, Message::Refused { roll, key, ask });
            }
        }
        let keys: Vec<Key> = self.kept.keys().filter(|key| self.is_home(key)).cloned().collect();
        let (mut taken, mut at_risk) = (0, 0);
        for key in keys {
            let Some(kept) = self.kept.get_mut(&key) else { continue };
            let holder = kept.record.holder;
            // One that was left out for a while is on the roll again, and does not know any more what it had out.
            let lost = !kept.fresh && kept.record.may_have_run();
            let gone = self.members.get(&holder.ordinal) != Some(&holder.incarnation) || lost;
            if kept.record.fate.is_some() {
                self.keep_up(now, &key);
            } else if gone && now + self.settings.margin >= kept.record.until {
                // Nobody waits any more. What may have run must not run again when its client comes late.
                if kept.record.gated && kept.record.may_have_run() {
                    kept.record.version += 1;
                    (kept.record.fate, kept.record.what) = (Some(Fate::Failed), Arc::from([]));
                    self.keep_up(now, &key);
                } else {
                    self.drop_kept(&key);
                }
            } else if gone {
                taken += 1;
                at_risk += usize::from(kept.record.may_have_run());
                self.take_over(now, &key);
            } else if kept.fresh {
                self.keep_up(now, &key);
            } else {
                // Its holder did not place it and had sent nothing: it holds it no longer.
                self.drop_kept(&key);
            }
        }
        if taken > 0 {
            self.log(format!("taken over under roll {roll}: {taken} jobs, of which {at_risk} may have run"));
        }
        for (from, record) in std::mem::take(&mut self.asked) {
            self.give(now, from, record);
        }
    }

    pub(crate) fn handle_replica_timeouts(&mut self, now: Micros) {
        for key in self.pending.clone() {
            let hedge = self.settings.hedge;
            let late =
                self.kept.get_mut(&key).filter(|kept| kept.since.is_some_and(|since| now >= since + hedge));
            if let Some(kept) = late {
                // Where many are silent, more copies would not help.
                kept.more = (kept.more + 1).min(2 * self.settings.copies);
                kept.since = Some(now);
                self.keep_up(now, &key);
            }
        }
        if now < self.swept + SWEEP {
            return;
        }
        self.swept = now;
        let over: Vec<Key> =
            self.kept.iter().filter(|(_, kept)| now >= kept.over).map(|kept| kept.0.clone()).collect();
        over.iter().for_each(|key| drop(self.drop_kept(key)));
    }
}
