//! What we hold, and what our clients wait for.

use crate::record::{Ballot, Fate, Key, Ran, Record};
use crate::{Brought, COME_AGAIN, Command, Handover, Message, Micros, ProcessId, Waiter};
use std::sync::Arc;

/// Where we stand with a job that a client of ours, or nobody's any more, waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Stand {
    /// Its home has been asked, or is to be asked once there is a roll with us on it.
    Asked,
    /// Another holds it.
    Joined,
    /// We hold it.
    Mine,
    /// We run it without cover.
    Bare,
    /// It runs, and is covered if it does not end soon.
    Young,
}

/// An attempt that waits for its note.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Gate {
    number: u32,
    version: u32,
    until: Micros,
}

/// See [`Stand`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Claim {
    pub(crate) stand: Stand,
    pub(crate) record: Record,
    /// Clients, and until when each waits.
    pub(crate) waiters: Vec<(Waiter, Micros)>,
    must: bool,
    since: Micros,
    /// The caller runs it.
    started: bool,
    /// It was another's.
    adopted: bool,
    /// It is another's, or may be: what is noted here says no more whether it has run.
    lost: bool,
    /// Kept up to this version.
    acked: Option<u32>,
    gates: Vec<Gate>,
    /// The number of the first attempt under this claim.
    base: u32,
    /// It has ended, and we can't tell yet whether it was ours to end.
    unsure: Option<Fate>,
}

impl Claim {
    fn new(now: Micros, record: Record, must: bool, stand: Stand) -> Claim {
        let base = record.next_number();
        Claim {
            stand,
            record,
            waiters: Vec::new(),
            must,
            since: now,
            started: false,
            adopted: false,
            lost: false,
            acked: None,
            gates: Vec::new(),
            base,
            unsure: None,
        }
    }

    /// Attempts that still wait for their note have not left, and won't.
    fn never_left(&mut self) {
        for tried in &mut self.record.tried {
            if self.gates.iter().any(|gate| gate.number == tried.number) {
                tried.ran = Ran::Never;
            }
        }
    }

    /// Whether it has not ended, and nothing of it has left here or elsewhere, as far as is noted.
    fn unsent(&self) -> bool {
        let waits = |number| self.gates.iter().any(|gate| gate.number == number);
        self.record.fate.is_none()
            && self.record.tried.iter().all(|tried| tried.ran == Ran::Never || waits(tried.number))
    }

    /// Another has it: what was noted here was refused, and has not left.
    fn join(&mut self) {
        let base = self.base;
        self.gates.clear();
        self.record.tried.retain(|tried| tried.number < base);
        (self.stand, self.record.version) = (Stand::Joined, 0);
    }

    /// What a client is told of it that can't be told more.
    fn end(&self) -> Fate {
        let left = |tried: &&crate::Tried| !self.gates.iter().any(|gate| gate.number == tried.number);
        match self.lost || self.record.tried.iter().filter(left).any(|tried| tried.ran == Ran::Maybe) {
            true => Fate::Failed,
            false => Fate::Denied(Some(COME_AGAIN)),
        }
    }
}

impl Handover {
    /// A client brings a job, or comes again for it.
    pub fn arrived(&mut self, now: Micros, waiter: Waiter, key: Key, brought: Brought) {
        self.arrive(now, waiter, key, brought);
        self.finish(now);
    }

    fn arrive(&mut self, now: Micros, waiter: Waiter, key: Key, brought: Brought) {
        let until = brought.until;
        if let Some(claim) = self.claims.get_mut(&key) {
            self.counts.joined += 1;
            match claim.record.fate.clone().filter(|_| claim.unsure.is_none()) {
                Some(fate) => self.commands.push_back(Command::Answer(vec![waiter], fate)),
                None => claim.waiters.push((waiter, until)),
            }
            return;
        }
        if let Some(fate) = self.kept.get(&key).and_then(|kept| kept.record.fate.clone()) {
            self.counts.joined += 1;
            self.counts.from_record += 1;
            self.commands.push_back(Command::Answer(vec![waiter], fate));
            return;
        }
        self.asks += 1;
        let record = Record {
            holder: self.me,
            ask: self.asks,
            ballot: Ballot::default(),
            version: 0,
            what: brought.what,
            gated: brought.gated,
            until,
            tried: Vec::new(),
            fate: None,
        };
        let mut claim = Claim::new(now, record, brought.must, Stand::Young);
        claim.waiters.push((waiter, until));
        self.claims.insert(key.clone(), claim);
        if brought.gated {
            self.seek(now, &key);
        }
        self.start(now, &key);
    }

    /// Seeks cover for a job.
    fn seek(&mut self, now: Micros, key: &Key) {
        let home = key.home(&self.members).filter(|home| !self.lagging.contains(&home.ordinal));
        let Some(claim) = self.claims.get(key) else { return };
        let may = self.valid(now) || !claim.record.gated && self.inside();
        let covered = home.is_some() && may && self.room(claim.record.bytes());
        if let Some(claim) = self.claims.get_mut(key).filter(|_| covered) {
            (claim.stand, claim.since) = (Stand::Asked, now);
            self.ask(now, key);
        } else {
            self.go_bare(key);
        }
    }

    /// Asks the home of a key for it.
    fn ask(&mut self, now: Micros, key: &Key) {
        let (roll, home) = (self.roll, key.home(&self.members));
        let (Some(claim), Some(home)) = (self.claims.get(key), home) else { return };
        let (record, soon) = (claim.record.sent(now, key), claim.record.gated);
        self.send_by(home, Message::Open { roll, record }, soon);
    }

    fn start(&mut self, now: Micros, key: &Key) {
        let Some(claim) = self.claims.get_mut(key).filter(|claim| !claim.started) else { return };
        claim.started = true;
        let (what, until, adopted) = (Arc::clone(&claim.record.what), claim.record.until, claim.adopted);
        let ran = claim.record.risk(now);
        if adopted {
            self.counts.adopted += 1;
            self.counts.adopted_at_risk += u64::from(ran.is_some());
        }
        self.commands.push_back(Command::Start { key: key.clone(), what, until, ran, adopted });
    }

    /// There is no cover to be had: a job that must have it is refused, another runs without.
    fn go_bare(&mut self, key: &Key) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        claim.never_left();
        if claim.must || claim.lost || !claim.record.tried.iter().all(|tried| tried.ran == Ran::Never) {
            self.counts.refused += 1;
            let end = claim.end();
            self.close(key);
            self.end_claim(key, end);
            return;
        }
        claim.stand = Stand::Bare;
        self.counts.uncovered += 1;
        let base = claim.base;
        let gates: Vec<u32> = claim.gates.drain(..).map(|gate| gate.number - base).collect();
        if !std::mem::replace(&mut claim.started, true) {
            let (what, until) = (Arc::clone(&claim.record.what), claim.record.until);
            self.commands.push_back(Command::Start {
                key: key.clone(),
                what,
                until,
                ran: None,
                adopted: false,
            });
        }
        self.commands.extend(gates.into_iter().map(|attempt| Command::Go(key.clone(), attempt)));
    }

    /// The caller drops what it has of a job.
    fn close(&mut self, key: &Key) {
        if self.claims.get_mut(key).is_some_and(|claim| std::mem::take(&mut claim.started)) {
            self.commands.push_back(Command::Close(key.clone()));
        }
    }

    /// All who wait get this, and the claim is over.
    fn end_claim(&mut self, key: &Key, fate: Fate) {
        self.answer(key, &fate, |_| true);
        self.claims.remove(key);
    }

    /// Those who wait, of a kind, get this.
    fn answer(&mut self, key: &Key, fate: &Fate, whom: impl Fn(Micros) -> bool) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        let (told, on): (Vec<_>, Vec<_>) = claim.waiters.drain(..).partition(|waiter| whom(waiter.1));
        claim.waiters = on;
        if !told.is_empty() {
            let told = told.into_iter().map(|waiter| waiter.0).collect();
            self.commands.push_back(Command::Answer(told, fate.clone()));
        }
    }

    /// The claim that a message is about, where that is of the home of its key.
    fn claim_of(&mut self, from: ProcessId, key: &Key, ask: u64) -> Option<&mut Claim> {
        let home = key.home(&self.members);
        let claim = self.claims.get_mut(key).filter(|claim| claim.record.ask == ask && home == Some(from));
        if claim.is_none() {
            self.counts.stale += 1;
        }
        claim
    }

    pub(crate) fn hear_opened(
        &mut self,
        now: Micros,
        from: ProcessId,
        key: Key,
        ask: u64,
        ballot: Ballot,
        version: u32,
    ) {
        let Some(claim) = self.claim_of(from, &key, ask) else {
            // Whoever waited for it has gone, or was told its end on the way: nobody would see to it here.
            let roll = self.roll;
            self.send(from, Message::Forget { roll, key, ask });
            return;
        };
        if claim.stand != Stand::Asked {
            return;
        }
        (claim.stand, claim.lost) = (Stand::Mine, false);
        claim.record.ballot = ballot;
        claim.acked = Some(version);
        if claim.record.version > version {
            // What was noted while we asked may not have come to be known there.
            self.note_again(&key);
        }
        self.start(now, &key);
        if self.valid(now) {
            self.pass(&key);
        }
        // It may have ended meanwhile, where it did not wait.
        if let Some(fate) = self.claims.get(&key).and_then(|claim| claim.record.fate.clone()) {
            self.settle_end(now, &key, fate);
        }
    }

    fn note_again(&mut self, key: &Key) {
        let (roll, home) = (self.roll, key.home(&self.members));
        let (Some(claim), Some(home)) = (self.claims.get(key), home) else { return };
        let (ask, version, all) = (claim.record.ask, claim.record.version, claim.record.tried.clone());
        for tried in all {
            let (number, worker, ran) = (tried.number, tried.worker, tried.ran);
            self.send(home, Message::Note { roll, key: key.clone(), ask, version, number, worker, ran });
        }
    }

    pub(crate) fn hear_lives(&mut self, from: ProcessId, key: Key, ask: u64) {
        let Some(claim) = self.claim_of(from, &key, ask).filter(|claim| claim.stand == Stand::Asked) else {
            return;
        };
        if claim.started && !claim.record.gated {
            // It runs here too, which is harmless.
            claim.stand = Stand::Bare;
            return;
        }
        claim.join();
        self.counts.joined += 1;
        self.close(&key);
    }

    pub(crate) fn hear_told(&mut self, key: Key, fate: Fate) {
        let Some(claim) = self.claims.get_mut(&key) else { return };
        match claim.stand {
            Stand::Asked if claim.started && !claim.record.gated => claim.stand = Stand::Bare,
            Stand::Asked | Stand::Joined => {
                self.counts.from_record += 1;
                self.close(&key);
                self.end_claim(&key, fate);
            }
            Stand::Mine | Stand::Bare | Stand::Young => {}
        }
    }

    pub(crate) fn hear_full(&mut self, from: ProcessId, key: Key, ask: u64) {
        if self.claim_of(from, &key, ask).is_some_and(|claim| claim.stand == Stand::Asked) {
            self.go_bare(&key);
        }
    }

    /// It is not ours any more. Whoever waits here waits on.
    pub(crate) fn hear_refused(&mut self, now: Micros, from: ProcessId, key: Key, ask: u64) {
        if self.claim_of(from, &key, ask).is_some_and(|claim| claim.stand == Stand::Mine) {
            self.lose(&key);
            self.ask(now, &key);
        }
    }

    fn lose(&mut self, key: &Key) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        self.counts.lost += 1;
        self.asks += 1;
        claim.record.ask = self.asks;
        claim.never_left();
        // What is started anew counts its attempts on.
        claim.base = claim.record.next_number();
        (claim.stand, claim.acked, claim.unsure, claim.record.fate) = (Stand::Asked, None, None, None);
        claim.lost = true;
        claim.gates.clear();
        self.close(key);
        if self.claims.get(key).is_some_and(|claim| claim.waiters.is_empty()) {
            self.claims.remove(key);
        }
    }

    /// What we asked for may have been given to us unheard, and be another's by now.
    fn doubt(&mut self, now: Micros, key: &Key) {
        let since = self.claims.get(key).filter(|claim| claim.stand == Stand::Asked).map(|claim| claim.since);
        if since.is_some_and(|since| self.may_be_anothers(now, since))
            && let Some(claim) = self.claims.get_mut(key)
        {
            claim.lost = true;
        }
    }

    /// We are on no roll: others go on with what we held.
    pub(crate) fn left_out(&mut self) {
        let ours: Vec<Key> =
            self.claims.iter().filter(|c| c.1.stand == Stand::Mine).map(|c| c.0.clone()).collect();
        if !ours.is_empty() {
            self.log(format!("left out of roll {}: {} jobs are the others' now", self.roll, ours.len()));
        }
        ours.iter().for_each(|key| self.lose(key));
        for claim in self.claims.values_mut().filter(|claim| claim.stand == Stand::Joined) {
            (claim.stand, claim.lost) = (Stand::Asked, true);
        }
    }

    /// Under a new roll: what we hold goes to its home, what we asked for is asked again.
    pub(crate) fn place_all(&mut self, now: Micros) {
        let keys: Vec<Key> = self.claims.keys().cloned().collect();
        for key in keys {
            let (roll, home) = (self.roll, key.home(&self.members));
            let (Some(claim), Some(home)) = (self.claims.get_mut(&key), home) else { continue };
            match claim.stand {
                Stand::Mine => {
                    claim.acked = None;
                    let record = claim.record.sent(now, &key);
                    self.send(home, Message::Place { roll, record });
                }
                Stand::Asked | Stand::Joined => {
                    claim.stand = Stand::Asked;
                    self.ask(now, &key);
                }
                Stand::Bare | Stand::Young => {}
            }
        }
    }

    /// As its home, we take a job over ourselves: it starts once its keepers have that.
    pub(crate) fn adopt(&mut self, now: Micros, key: &Key, record: Record) {
        if let Some(claim) = self.claims.get_mut(key).filter(|claim| claim.started && !claim.record.gated) {
            // It runs here already.
            (claim.stand, claim.record, claim.lost) = (Stand::Mine, record, false);
            return;
        }
        self.close(key);
        let waiters = self.claims.remove(key).map(|claim| claim.waiters).unwrap_or_default();
        let mut claim = Claim::new(now, record, true, Stand::Mine);
        (claim.waiters, claim.adopted) = (waiters, true);
        self.claims.insert(key.clone(), claim);
    }

    /// An attempt is to leave. `true`: at once; otherwise [`Order::Go`] or [`Order::Moot`] says what becomes of it.
    pub fn dispatch(&mut self, now: Micros, key: &Key, attempt: u32, worker: &str, until: Micros) -> bool {
        let (roll, home) = (self.roll, key.home(&self.members));
        let Some(claim) = self.claims.get_mut(key) else {
            self.commands.push_back(Command::Moot(key.clone(), attempt));
            return false;
        };
        if claim.stand == Stand::Bare || !claim.record.gated {
            return true;
        }
        let (number, worker) = (claim.base + attempt, Arc::from(worker));
        claim.record.version += 1;
        claim.record.note(now, number, &worker, Ran::Maybe);
        let (ask, version) = (claim.record.ask, claim.record.version);
        claim.gates.push(Gate { number, version, until });
        if let Some(home) = home.filter(|_| self.inside()) {
            let ran = Ran::Maybe;
            self.send(home, Message::Note { roll, key: key.clone(), ask, version, number, worker, ran });
        }
        self.finish(now);
        false
    }

    /// An attempt has ended, and it is known that it never ran; or it never left.
    pub fn never_ran(&mut self, now: Micros, key: &Key, attempt: u32) {
        let (roll, home) = (self.roll, key.home(&self.members));
        let Some(claim) = self.claims.get_mut(key).filter(|claim| claim.record.gated) else { return };
        let number = claim.base + attempt;
        claim.gates.retain(|gate| gate.number != number);
        let Some(tried) = claim.record.tried.iter().find(|tried| tried.number == number) else { return };
        let (worker, ran) = (Arc::clone(&tried.worker), Ran::Never);
        claim.record.version += 1;
        claim.record.note(now, number, &worker, ran);
        let (ask, version, mine) = (claim.record.ask, claim.record.version, claim.stand == Stand::Mine);
        if let Some(home) = home.filter(|_| mine && self.inside()) {
            // Nobody waits for it; an adopter that has not heard it takes the attempt for one that may have run.
            self.send_by(
                home,
                Message::Note { roll, key: key.clone(), ask, version, number, worker, ran },
                false,
            );
        }
        self.finish(now);
    }

    /// The caller has run a job to its end.
    pub fn ended(&mut self, now: Micros, key: &Key, fate: Fate) {
        self.end(now, key, fate);
        self.finish(now);
    }

    fn end(&mut self, now: Micros, key: &Key, fate: Fate) {
        self.doubt(now, key);
        let Some(claim) = self.claims.get_mut(key).filter(|claim| claim.started) else { return };
        match claim.stand {
            Stand::Bare | Stand::Young => self.end_claim(key, fate),
            // Nothing has left: its home need know nothing of it.
            Stand::Asked if claim.record.gated => {
                let denied = matches!(fate, Fate::Denied(_));
                let fate = if denied && claim.lost { Fate::Failed } else { fate };
                claim.started = false;
                let (roll, ask) = (self.roll, claim.record.ask);
                if let Some(home) = key.home(&self.members).filter(|_| self.inside()) {
                    self.send_by(home, Message::Forget { roll, key: key.clone(), ask }, false);
                }
                self.end_claim(key, fate);
            }
            // It did not wait for its home's word: that comes, or does not.
            Stand::Asked => {
                claim.record.fate = Some(fate.clone());
                self.answer(key, &fate, |_| true);
            }
            Stand::Mine => self.settle_end(now, key, fate),
            Stand::Joined => {}
        }
    }

    /// Keepers hear of a job's end, and clients where nobody else can have ended it.
    fn settle_end(&mut self, now: Micros, key: &Key, fate: Fate) {
        let (roll, home, valid) = (self.roll, key.home(&self.members), self.valid(now));
        let Some(claim) = self.claims.get_mut(key) else { return };
        // Once our stay is over others may have taken it over and sent it: that it never left here promises nothing.
        let denied = matches!(fate, Fate::Denied(_));
        let fate = if denied && claim.record.gated && !valid { Fate::Failed } else { fate };
        claim.record.version += 1;
        claim.record.fate = Some(fate.clone());
        let (ask, version, gated) = (claim.record.ask, claim.record.version, claim.record.gated);
        claim.started = false;
        // A refused job may be brought again.
        // What may run any number of times is run again rather than remembered.
        if denied || !gated {
            if let Some(home) = home {
                self.send_by(home, Message::Forget { roll, key: key.clone(), ask }, gated);
            }
            self.end_claim(key, fate);
            return;
        }
        // Until its keepers have its end, we see to it that they get it.
        claim.record.what = Arc::from([]);
        if valid {
            self.answer(key, &fate, |_| true);
        } else {
            claim.unsure = Some(fate.clone());
        }
        if let Some(home) = home {
            self.send(home, Message::Done { roll, key: key.clone(), ask, version, fate });
        }
    }

    pub(crate) fn acknowledged(&mut self, now: Micros, from: ProcessId, key: &Key, ask: u64, version: u32) {
        let Some(claim) = self.claim_of(from, key, ask).filter(|claim| claim.stand == Stand::Mine) else {
            return;
        };
        claim.acked = claim.acked.max(Some(version));
        if version >= claim.record.version {
            if let Some(fate) = claim.record.fate.clone() {
                // Kept under our holding: nobody else has ended it otherwise, or will. We keep it too, or one lost
                // keeper less would be borne once it has ended than before.
                let record = claim.record.clone();
                self.put(now, key, record);
                self.end_claim(key, fate);
                return;
            }
            // What we have taken over starts once that is kept.
            self.start(now, key);
        }
        if self.valid(now) {
            self.pass(key);
        }
    }

    /// Attempts whose notes are kept leave, and what ended is told.
    fn pass(&mut self, key: &Key) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        let Some(acked) = claim.acked else { return };
        let (go, wait): (Vec<Gate>, Vec<Gate>) =
            claim.gates.drain(..).partition(|gate| gate.version <= acked);
        claim.gates = wait;
        let base = claim.base;
        self.commands.extend(go.into_iter().map(|gate| Command::Go(key.clone(), gate.number - base)));
        // Our stay lasts, so nobody else has ended it otherwise.
        if let Some(fate) = claim.unsure.take() {
            self.answer(key, &fate, |_| true);
        }
    }

    /// Our stay lasts again.
    pub(crate) fn go_on(&mut self) {
        let waits = |claim: &Claim| !claim.gates.is_empty() || claim.unsure.is_some();
        let keys: Vec<Key> = self.claims.iter().filter(|c| waits(c.1)).map(|c| c.0.clone()).collect();
        keys.iter().for_each(|key| self.pass(key));
    }

    /// A client has gone. What may run any number of times ends with its last one, and so does what has not been sent: the
    /// rest goes on.
    pub fn gone(&mut self, now: Micros, waiter: Waiter) {
        let found = self.claims.iter_mut().find(|(_, claim)| claim.waiters.iter().any(|w| w.0 == waiter));
        let Some((key, claim)) = found else { return };
        claim.waiters.retain(|other| other.0 != waiter);
        let goes_on = claim.record.gated && claim.stand == Stand::Mine && !claim.unsent();
        if !claim.waiters.is_empty() || goes_on {
            return;
        }
        let (key, ask, stand) = (key.clone(), claim.record.ask, claim.stand);
        self.close(&key);
        self.claims.remove(&key);
        let asked = matches!(stand, Stand::Asked | Stand::Mine);
        if let Some(home) = key.home(&self.members).filter(|_| asked && self.inside()) {
            let roll = self.roll;
            self.send(home, Message::Forget { roll, key, ask });
        }
        self.finish(now);
    }

    /// A planned end: what has not been sent is given to others; clients are told to come again. How many jobs that were.
    pub fn yield_all(&mut self, now: Micros) -> usize {
        let unsent = |claim: &Claim| {
            let gated = claim.record.gated;
            claim.stand == Stand::Mine && gated && claim.record.fate.is_none() && !claim.record.may_have_run()
        };
        let keys: Vec<Key> = self.claims.iter().filter(|c| unsent(c.1)).map(|c| c.0.clone()).collect();
        for key in &keys {
            let (roll, ask) = (self.roll, self.claims.get(key).map_or(0, |claim| claim.record.ask));
            if let Some(home) = key.home(&self.members) {
                self.send(home, Message::Yield { roll, key: key.clone(), ask });
            }
            self.counts.yielded += 1;
            self.commands.push_back(Command::Close(key.clone()));
            self.end_claim(key, Fate::Denied(Some(COME_AGAIN)));
        }
        self.finish(now);
        keys.len()
    }

    pub(crate) fn handle_claim_timeouts(&mut self, now: Micros) {
        let (patience, margin) = (self.settings.patience, self.settings.margin);
        let keys: Vec<Key> = self.claims.keys().cloned().collect();
        for key in keys {
            self.doubt(now, &key);
            let Some(claim) = self.claims.get_mut(&key) else { continue };
            // Attempts that waited too long never leave.
            let over: Vec<Gate> =
                claim.gates.iter().filter(|gate| now + margin >= gate.until).cloned().collect();
            if !over.is_empty() {
                let base = claim.base;
                claim.gates.retain(|gate| now + margin < gate.until);
                for gate in over {
                    self.never_ran(now, &key, gate.number - base);
                    self.commands.push_back(Command::Moot(key.clone(), gate.number - base));
                }
            }
            let Some(claim) = self.claims.get_mut(&key) else { continue };
            // A client may wait for less long than the job lasts here: its deadline came over other schedulers, and later by
            // the way. Where we run the job its own end comes first; where it lives elsewhere, nothing is promised.
            let (joined, runs) = (claim.stand == Stand::Joined, claim.started);
            let end = if joined || runs { Fate::Failed } else { claim.end() };
            self.answer(
                &key,
                &end,
                |until| if joined { now + margin >= until } else { now >= until + margin },
            );
            let Some(claim) = self.claims.get_mut(&key) else { continue };
            let (end, over) = (claim.end(), now + margin >= claim.record.until);
            match claim.stand {
                Stand::Young if now >= claim.since + self.settings.follow => self.seek(now, &key),
                Stand::Asked if claim.record.gated && (now >= claim.since + patience || over) => {
                    let (roll, ask) = (self.roll, claim.record.ask);
                    if let Some(home) = key.home(&self.members).filter(|_| self.inside()) {
                        self.send(home, Message::Forget { roll, key: key.clone(), ask });
                    }
                    self.go_bare(&key);
                }
                // It has ended long since, and its home never said a word.
                Stand::Asked if claim.record.fate.is_some() && now >= claim.since + patience => {
                    self.claims.remove(&key);
                }
                Stand::Mine if !claim.started && claim.record.fate.is_none() && over => {
                    self.settle_end(now, &key, end);
                }
                Stand::Mine if claim.unsure.is_some() && over => {
                    self.end_claim(&key, Fate::Failed);
                }
                Stand::Joined if claim.waiters.is_empty() => drop(self.claims.remove(&key)),
                _ => {}
            }
        }
    }
}
