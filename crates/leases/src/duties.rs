//! Duties: asked for by members in an order that all know, granted by the steward, fenced by those they are done to.

use crate::{Duty, Epoch, Message, Micros, Ownership, ProcessId, Round, Term, View};
use std::collections::BTreeMap;

/// What is known of a duty's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Known {
    /// Under which term.
    pub term: Term,
    /// Who.
    pub owner: ProcessId,
}

/// A receiver's memory of terms: refuses a deed of an older term than it has heard of, and one of another owner under
/// the same. Gone with the process; who has just started hears the steward before it accepts anything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    known: BTreeMap<Duty, Known>,
    /// Deeds that were refused.
    pub refused: u64,
    /// Deeds that were accepted.
    pub accepted: u64,
}

impl Fence {
    /// A term is in force, as the steward says.
    pub fn heard(&mut self, duty: Duty, term: Term, owner: ProcessId) {
        let known = self.known.entry(duty).or_insert(Known { term, owner });
        if term > known.term {
            *known = Known { term, owner };
        }
    }

    /// Whether a deed may be acted on; if not, what is known of its duty.
    pub fn accept(&mut self, duty: Duty, term: Term, owner: ProcessId) -> Result<(), Option<Known>> {
        let known = self.known.get(&duty).copied();
        match known {
            // Nothing is known yet: a term may be an old one's.
            None => {
                self.refused += 1;
                Err(None)
            }
            Some(known) if term < known.term || (term == known.term && owner != known.owner) => {
                self.refused += 1;
                Err(Some(known))
            }
            Some(_) => {
                self.known.insert(duty, Known { term, owner });
                self.accepted += 1;
                Ok(())
            }
        }
    }

    /// What is known of a duty.
    pub fn known(&self, duty: Duty) -> Option<Known> {
        self.known.get(&duty).copied()
    }
}

/// A duty as its steward has granted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Granted {
    owner: ProcessId,
    term: Term,
    /// Until when it is not given to another, by the steward's clock.
    until: Micros,
}

/// One process's duties, and what it knows of those of others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Duties {
    number: Duty,
    /// Ours: the term, and until when by our clock.
    own: BTreeMap<Duty, (Term, Micros)>,
    /// Those of others by the steward's last news, and when that came.
    heard: BTreeMap<Duty, (Known, Micros)>,
    /// As the steward.
    granted: BTreeMap<Duty, Granted>,
    /// Answers to what was asked before this are not taken any more.
    since: Micros,
    next: Micros,
    /// When each was asked for last.
    asked: BTreeMap<Duty, Micros>,
    /// Parts of a roll that came so far.
    parts: BTreeMap<u8, Vec<ProcessId>>,
    parts_of: Term,
}

impl Duties {
    pub(crate) fn new(now: Micros, number: Duty) -> Duties {
        Duties {
            number,
            own: BTreeMap::new(),
            heard: BTreeMap::new(),
            granted: BTreeMap::new(),
            since: now,
            next: now,
            asked: BTreeMap::new(),
            parts: BTreeMap::new(),
            parts_of: Term::default(),
        }
    }

    pub(crate) fn may(&self, now: Micros, duty: Duty) -> Option<Term> {
        self.own.get(&duty).filter(|own| now < own.1).map(|own| own.0)
    }

    pub(crate) fn next(&self) -> Micros {
        self.next
    }

    pub(crate) fn clear_granted(&mut self) {
        self.granted.clear();
    }

    pub(crate) fn drop_all(&mut self) -> Vec<(Duty, Term)> {
        std::mem::take(&mut self.own).into_iter().map(|(duty, own)| (duty, own.0)).collect()
    }

    /// Duties granted now, for the steward's news.
    pub(crate) fn told(&self, now: Micros) -> Vec<(Duty, Term, ProcessId)> {
        let live = self.granted.iter().filter(|(_, granted)| now < granted.until);
        live.map(|(&duty, granted)| (duty, granted.term, granted.owner)).collect()
    }

    pub(crate) fn shown(&self, now: Micros) -> BTreeMap<Duty, (Term, ProcessId, Option<Micros>)> {
        let heard = self.heard.iter().map(|(&duty, (known, _))| (duty, (known.term, known.owner, None)));
        let mut all: BTreeMap<_, _> = heard.collect();
        for (&duty, &(term, until)) in self.own.iter().filter(|own| now < own.1.1) {
            if let Some(shown) = all.get_mut(&duty).filter(|shown| shown.0 == term) {
                shown.2 = Some(until - now);
            }
        }
        all
    }
}

/// A process's place for a duty: the smallest comes first (rendezvous hashing; D. Thaler, C. Ravishankar, 1998). Mixed
/// as in SplitMix64, on numbers only, so that equal rolls give equal orders everywhere.
fn place(duty: Duty, ordinal: u16) -> u64 {
    let mut x = (u64::from(duty) << 32 | u64::from(ordinal)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Ownership {
    /// Duties that ran out.
    pub(crate) fn duties_end(&mut self, now: Micros) {
        let over: Vec<Duty> =
            self.duties.own.iter().filter(|(_, own)| now >= own.1).map(|(&duty, _)| duty).collect();
        for duty in over {
            self.duties.own.remove(&duty);
            self.log(format!("duty {duty} no longer ours: its lease ran out"));
            self.owns(duty, None);
        }
    }

    /// Our place in the order for a duty, among the members that all know of.
    fn turn(&self, duty: Duty) -> u64 {
        let own = place(duty, self.me.ordinal);
        self.roll.1.keys().filter(|&&ordinal| place(duty, ordinal) < own).count() as u64
    }

    /// Asks for what we own, to go on, and for what nobody owns when it is our turn.
    pub(crate) fn ask_for_duties(&mut self, now: Micros) {
        let Some((steward, _)) = self.steward else { return };
        if now < self.duties.next && steward != self.me || self.leaving {
            return;
        }
        let beat = self.settings.beat;
        self.duties.next = now + beat / 3;
        if now > self.heard_at + self.settings.lease {
            return;
        }
        for duty in 0..self.duties.number {
            let ours = self.duties.own.contains_key(&duty);
            // Each place waits a little longer than the one before it, from when the last owner was heard of.
            let quiet = self.duties.heard.get(&duty).map_or(self.started, |heard| heard.1);
            let turn = now >= quiet + beat + (1 + self.turn(duty)) * beat / 3;
            // What we own is asked for again each beat, what nobody owns sooner: either message may be lost.
            let pause = if ours { beat } else { beat / 3 };
            let due = self.duties.asked.get(&duty).is_none_or(|&asked| now >= asked + pause);
            if !(ours || turn) || !due {
                continue;
            }
            self.duties.asked.insert(duty, now);
            if steward == self.me {
                self.grant(now, self.me, duty, now);
            } else {
                self.send(steward, Message::Want { from: self.me, duty, asked: now });
            }
        }
    }

    pub(crate) fn hear_want(&mut self, now: Micros, from: ProcessId, duty: Duty, asked: Micros) {
        if duty >= self.duties.number
            || self.alive.get(&from.ordinal).is_some_and(|&incarnation| incarnation != from.incarnation)
        {
            self.dropped += 1;
            return;
        }
        self.grant(now, from, duty, asked);
    }

    /// As the steward: gives a duty to who asks, if it is free or theirs.
    fn grant(&mut self, now: Micros, to: ProcessId, duty: Duty, asked: Micros) {
        let Some(lasts) = self.lasts(now) else { return };
        let live = self.duties.granted.get(&duty).copied().filter(|granted| now < granted.until);
        if live.is_some_and(|granted| granted.owner != to) {
            return;
        }
        let term = match live {
            Some(granted) => granted.term,
            None => match self.next_term(now) {
                Some((term, _)) => term,
                None => return,
            },
        };
        let until = now + lasts + lasts / self.settings.drift;
        self.duties.granted.insert(duty, Granted { owner: to, term, until });
        if live.is_none() {
            self.log(format!("duty {duty} given to {} under {term}", to.ordinal));
        }
        if to == self.me {
            self.duties.heard.insert(duty, (Known { term, owner: to }, now));
            self.take(now, duty, term, asked, lasts);
        } else {
            self.send(to, Message::Given { from: self.me, duty, term, asked, lasts });
        }
    }

    fn take(&mut self, now: Micros, duty: Duty, term: Term, asked: Micros, lasts: Micros) {
        let lasts = lasts.min(self.settings.lease);
        let until = asked + lasts - lasts / self.settings.drift;
        let had = self.duties.own.get(&duty).copied();
        if until <= now || had.is_some_and(|had| had.0 > term) {
            return;
        }
        let until = had.filter(|had| had.0 == term).map_or(until, |had| until.max(had.1));
        self.duties.own.insert(duty, (term, until));
        if had.map(|had| had.0) != Some(term) {
            self.log(format!("duty {duty} ours under {term}"));
            self.owns(duty, Some(term));
        }
    }

    pub(crate) fn hear_given(
        &mut self,
        now: Micros,
        from: ProcessId,
        duty: Duty,
        term: Term,
        asked: Micros,
        lasts: Micros,
    ) {
        let known = self.steward.is_some_and(|steward| steward.0 == from);
        let late = asked < self.duties.since || asked > now;
        if !known || late || duty >= self.duties.number || term.epoch < self.given_up {
            self.dropped += 1;
            return;
        }
        self.take(now, duty, term, asked, lasts);
    }

    pub(crate) fn hear_return(&mut self, now: Micros, from: ProcessId, duty: Duty, term: Term) {
        let granted = self.duties.granted.get(&duty).copied();
        if granted.is_some_and(|granted| granted.owner == from && granted.term == term) {
            self.duties.granted.remove(&duty);
            self.log(format!("duty {duty} given back by {}", from.ordinal));
            // Others hear of it with the next beat, which comes now.
            self.duties.heard.remove(&duty);
            self.stewardship.hurry(now, 0);
        }
    }

    pub(crate) fn hear_news(
        &mut self,
        now: Micros,
        from: ProcessId,
        view: View,
        steward: Option<ProcessId>,
        round: Round,
        duties: Vec<(Duty, Term, ProcessId)>,
    ) {
        if view.epoch == Epoch::default() {
            self.dropped += 1;
            return;
        }
        self.seen = self.seen.max(view.epoch);
        if view.epoch < self.view.epoch {
            self.tell_view(from);
            return;
        }
        let epoch = view.epoch;
        self.follow(now, view, steward);
        // Only the steward itself says that it is one.
        if epoch != self.view.epoch || steward != Some(from) {
            return;
        }
        if self.steward.is_some_and(|(_, known)| round < known) {
            return;
        }
        // Two hold the lease only where a clock has gone wrong; the later one's majority is the later.
        if self.stewardship.lease(now).is_some_and(|((of, own), _)| of == epoch && own < round) {
            self.stewardship.resign(now);
            self.log(format!("steward no longer: {} has a later round", from.ordinal));
        }
        if self.steward.is_none_or(|(known, _)| known != from) {
            self.log(format!("steward is {}", from.ordinal));
        }
        (self.steward, self.heard_at) = (Some((from, round)), now);
        if self.stewardship.lease(now).is_none() {
            self.stewardship.hurry(now, 2 * self.settings.beat);
        }
        for (duty, term, owner) in duties.into_iter().filter(|told| told.0 < self.duties.number) {
            let heard = self.duties.heard.entry(duty).or_insert((Known { term, owner }, now));
            if term >= heard.0.term {
                *heard = (Known { term, owner }, now);
            }
        }
    }

    pub(crate) fn hear_roll(
        &mut self,
        from: ProcessId,
        term: Term,
        part: u8,
        parts: u8,
        members: Vec<ProcessId>,
    ) {
        let known = self.steward.is_some_and(|steward| steward.0 == from);
        if !known || term <= self.roll.0 || term < self.duties.parts_of {
            return;
        }
        if term > self.duties.parts_of {
            (self.duties.parts_of, self.duties.parts) = (term, BTreeMap::new());
        }
        self.duties.parts.insert(part, members);
        if self.duties.parts.len() == usize::from(parts) {
            let all = std::mem::take(&mut self.duties.parts).into_values().flatten();
            self.roll = (term, all.map(|process| (process.ordinal, process.incarnation)).collect());
        }
    }

    /// What the last news say of a duty.
    pub fn known(&self, duty: Duty) -> Option<Known> {
        self.duties.heard.get(&duty).map(|heard| heard.0)
    }
}
