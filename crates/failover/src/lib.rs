//! Work in hand survives the loss of its scheduler: another takes it over, once.
//!
//! **The invariant.** For each job at most one scheduler may start attempts at any epoch, and none starts one that its
//! class forbids given all attempts of earlier epochs. An epoch is a [`Ballot`]: the roll of members under which the
//! job's home gave it to its holder.
//!
//! How. A job is known by its tenant, class and `Idempotency-Key`; the *home* of a key is the first of the roll's members
//! in the key's own order, so all who know the roll know it. Whoever is brought a job asks its home ([`Message::Open`]):
//! the home gives it to one holder at a time, says where it lives, or what became of it. The home and a second keeper (of
//! another zone where there is one) keep its record: what to run, attempts, its end. Before an attempt leaves that may
//! not be repeated at will, both have noted where it goes. So whoever takes over can tell "never sent" from "may have
//! run" without a clock.
//!
//! A new roll ends all that was said under the last one. Holders place what they hold with the new homes, keepers tell
//! these of jobs whose holders are gone, and each member then says that it has ([`Message::Reported`]). A home gives
//! nothing, acknowledges nothing and takes nothing over before all members of its roll have said so: by then whatever
//! was acknowledged under an older roll has come to it. Then it takes over what is left without a holder, once its own
//! keepers have that. An old holder that wakes up is refused, for the record has a newer ballot.
//!
//! Rolls and stays are `ownership`'s. While a holder's stay lasts nobody has a roll without it, so nobody has taken its
//! jobs over: it may start what was acknowledged, and answer. A pause between that check and the deed does no harm: the
//! attempt has been noted, so whoever takes over counts it as one that may have run; and a client that went elsewhere
//! meanwhile does not hear the late answer.
//!
//! Links are sessions ([`Session`]): what is said arrives once and in order, or its receiver or sender has ended.
//!
//! | message | lost, repeated | late |
//! | --- | --- | --- |
//! | all below | only with a process: sessions say them again, once | under an older roll: dropped; under a newer one than ours: kept until we have that |
//! | `Open` | asked again under each new roll | a client that left has it forgotten |
//! | `Opened`, `Lives`, `Full`, `Noted` | with the home: a new roll follows, under which all is asked anew | dropped |
//! | `Told` | asked again under each new roll | the end of a job does not change |
//! | `Place`, `Orphan`, `Reported` | with their sender: a new roll follows without it | dropped, as the next roll brings them anew |
//! | `Keep` | with the keeper: another is chosen under the next roll, or after [`Settings::hedge`] | dropped |
//! | `Note`, `Done` | with the holder: what it did not hear acknowledged it did not do | dropped; placed again under the new roll |
//! | `Forget`, `Yield` | with the holder: taken over with the rest | dropped; a forgotten job may run once more if it never ran |
//! | `Refused` | with the home: the next one refuses it again | dropped |
//!
//! **Limits**, said rather than hidden. A record is lost when its holder and all keepers that had acknowledged it are lost
//! between two rolls; its client's next try then runs as a new job. A job without a key is not covered. Time: records
//! outlive the job's deadline, and nothing is taken over after that. Clocks count stopped time; what was sent is taken to
//! be older than it may be where it was heard at second hand. No I/O, no clock, no randomness.

mod holder;
mod keeper;
mod message;
mod record;
mod session;

pub use brackenledge_leases::{Micros, ProcessId, Term};
pub use message::{FRAME_MOST, Frame, Message};
pub use record::{Ballot, Fate, Key, Ran, Record, Sent, Tried};
pub use session::{Nonsense, Session};

use holder::{Claim, Stand};
use keeper::Kept;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A client that waits for a job's end, by the caller's number.
pub type Waiter = u64;

/// Times and sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Keepers of each record beside its holder.
    pub copies: usize,
    /// Records kept at most, our own and others'.
    pub records_most: usize,
    /// Bytes of them at most.
    pub bytes_most: usize,
    /// A record is kept so long after the job's deadline or end, whichever is later.
    pub keep: Micros,
    /// A client waits so long for a holder to be found, at most.
    pub patience: Micros,
    /// A keeper that has not acknowledged by then has another beside it: many round trips.
    pub hedge: Micros,
    /// A job that may run any number of times is covered once it is so old: most have ended by then, and cost nothing.
    pub follow: Micros,
    /// Jobs end so long before their time: what is said then still reaches the client.
    pub margin: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            copies: 2,
            records_most: 20_000,
            bytes_most: 64 << 20,
            keep: 10_000_000,
            patience: 4_000_000,
            hedge: 100_000,
            follow: 50_000,
            margin: 5_000,
        }
    }
}

/// A job as a client brings it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Brought {
    /// What to run, in the caller's own bytes.
    pub what: Arc<[u8]>,
    /// Its class forbids some repeats: attempts wait for their note.
    pub gated: bool,
    /// It is refused rather than run without cover.
    pub must: bool,
    /// Its deadline.
    pub until: Micros,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Something for another process; it may wait a little for company unless it is wanted soon.
    Send {
        /// Whom.
        to: ProcessId,
        /// What.
        message: Message,
        /// Somebody waits for it.
        soon: bool,
    },
    /// The job is ours: run it.
    Start {
        /// Which.
        key: Key,
        /// In the caller's own bytes.
        what: Arc<[u8]>,
        /// Its deadline.
        until: Micros,
        /// An attempt of an earlier holder may have run: at which worker, and at most so long ago.
        ran: Option<(Arc<str>, Micros)>,
        /// It was another's.
        adopted: bool,
    },
    /// An attempt may leave.
    Go(Key, u32),
    /// An attempt's time is over: it never left.
    Moot(Key, u32),
    /// These clients get this answer.
    Answer(Vec<Waiter>, Fate),
    /// The job is not ours any more: what is out is closed, and its results count for nothing.
    Close(Key),
    /// Something that operators want to read.
    Log(String),
}

/// What is held and kept, and what became of it since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[allow(missing_docs)]
pub struct Counts {
    /// Jobs that another held, taken over; of these, such that an attempt may have run.
    pub adopted: u64,
    pub adopted_at_risk: u64,
    /// Clients that were joined to a job that lives elsewhere or had come before; of these, from an answer kept.
    pub joined: u64,
    pub from_record: u64,
    /// Jobs that were refused, or run without cover, for want of it.
    pub refused: u64,
    pub uncovered: u64,
    /// Jobs of ours that another has taken over.
    pub lost: u64,
    /// Jobs given to others at a planned end.
    pub yielded: u64,
    /// Messages of an older roll or of nobody's.
    pub stale: u64,
}

/// One process's part. See the module's page.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Handover {
    me: ProcessId,
    settings: Settings,
    zones: BTreeMap<u16, u32>,
    roll: Term,
    members: BTreeMap<u16, u64>,
    /// Members that have reported under this roll.
    reported: BTreeSet<u16>,
    /// All have.
    open: bool,
    stay: Micros,
    /// The latest of these.
    stayed: Micros,
    claims: BTreeMap<Key, Claim>,
    kept: BTreeMap<Key, Kept>,
    bytes: usize,
    /// Records that keepers owe us an answer for.
    pending: BTreeSet<Key>,
    /// Counts what we gave as a home under this roll.
    turn: u32,
    /// Counts what we held or asked for.
    asks: u64,
    /// Asked for before all had reported.
    asked: VecDeque<(ProcessId, Sent)>,
    /// Placed under this roll: by whom, and its number for it.
    placed: Vec<(ProcessId, Key, u64)>,
    /// Said under a roll that we have not heard of yet.
    early: VecDeque<(ProcessId, Message)>,
    /// Peers that are too far behind to be given more.
    lagging: BTreeSet<u16>,
    local: VecDeque<Message>,
    commands: VecDeque<Command>,
    scanned: Micros,
    swept: Micros,
    counts: Counts,
}

/// Looks at times come so often while anything waits, and so often otherwise.
const SCAN_BUSY: Micros = 20_000;
const SCAN_IDLE: Micros = 250_000;
/// When a client is to come again, in milliseconds, for whose job no cover could be had or whose holder refused it.
const COME_AGAIN: u32 = 500;
/// Messages of rolls to come that are kept; more only come from who is wrong.
const EARLY_MOST: usize = 65_536;

impl Handover {
    /// A process that holds nothing and is on no roll.
    pub fn new(me: ProcessId, zone: u32, settings: Settings) -> Handover {
        Handover {
            me,
            settings,
            zones: BTreeMap::from([(me.ordinal, zone)]),
            roll: Term::default(),
            members: BTreeMap::new(),
            reported: BTreeSet::new(),
            open: false,
            stay: 0,
            stayed: 0,
            claims: BTreeMap::new(),
            kept: BTreeMap::new(),
            bytes: 0,
            pending: BTreeSet::new(),
            turn: 0,
            asks: 0,
            asked: VecDeque::new(),
            placed: Vec::new(),
            early: VecDeque::new(),
            lagging: BTreeSet::new(),
            local: VecDeque::new(),
            commands: VecDeque::new(),
            scanned: 0,
            swept: 0,
            counts: Counts::default(),
        }
    }

    /// We go by another start from now on, and are on no roll under it yet: what we held under the old one is the others'.
    pub fn renew(&mut self, me: ProcessId) {
        self.members.clear();
        self.left_out();
        self.me = me;
        self.claims.values_mut().for_each(|claim| claim.record.holder = me);
        self.kept.values_mut().for_each(Kept::anew);
        (self.roll, self.open, self.stay) = (Term::default(), false, 0);
        self.reported.clear();
        self.pending.clear();
        self.early.clear();
        self.lagging.clear();
    }

    /// The zone of a scheduler, once it has said so.
    pub fn zone(&mut self, ordinal: u16, zone: u32) {
        self.zones.insert(ordinal, zone);
    }

    /// A peer takes less than is said to it, or has caught up.
    pub fn lags(&mut self, ordinal: u16, behind: bool) {
        if behind {
            self.lagging.insert(ordinal);
        } else {
            self.lagging.remove(&ordinal);
        }
    }

    /// The term of the roll we go by.
    pub fn term(&self) -> Term {
        self.roll
    }

    /// Whether all of the roll have reported, and our stay lasts: jobs are covered.
    pub fn settled(&self, now: Micros) -> bool {
        self.open && self.valid(now)
    }

    /// What became of jobs since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Records by class: held by us, waited for by our clients, kept for others and open, kept after their end.
    pub fn records(&self, class: u16) -> [usize; 4] {
        let mut of = [0; 4];
        for (_, claim) in self.claims.iter().filter(|(key, _)| key.class == class) {
            of[usize::from(claim.stand != Stand::Mine)] += 1;
        }
        for (_, kept) in self.kept.iter().filter(|(key, _)| key.class == class) {
            of[2 + usize::from(kept.record.fate.is_some())] += 1;
        }
        of
    }

    /// Bytes of records kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// What is to be done next.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When [`Handover::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Micros {
        let idle = self.claims.is_empty() && self.pending.is_empty();
        self.scanned + if idle { SCAN_IDLE } else { SCAN_BUSY }
    }

    /// Whether nobody can have taken over what we hold.
    pub(crate) fn valid(&self, now: Micros) -> bool {
        self.inside() && now < self.stay
    }

    /// Whether what we asked for since then may have been given to us, and to another after us, unheard: our stay has
    /// ended meanwhile.
    pub(crate) fn may_be_anothers(&self, now: Micros, since: Micros) -> bool {
        self.stayed > since && !self.valid(now)
    }

    pub(crate) fn inside(&self) -> bool {
        self.members.get(&self.me.ordinal) == Some(&self.me.incarnation)
    }

    pub(crate) fn member(&self, who: ProcessId) -> bool {
        self.members.get(&who.ordinal) == Some(&who.incarnation)
    }

    pub(crate) fn send(&mut self, to: ProcessId, message: Message) {
        self.send_by(to, message, true);
    }

    pub(crate) fn send_by(&mut self, to: ProcessId, message: Message, soon: bool) {
        if to == self.me {
            self.local.push_back(message);
        } else {
            self.commands.push_back(Command::Send { to, message, soon });
        }
    }

    /// Until when our stay lasts.
    pub fn stays(&mut self, now: Micros, until: Micros) {
        self.stay = until;
        self.stayed = self.stayed.max(until);
        if self.valid(now) {
            self.go_on();
        }
        self.finish(now);
    }

    /// A message came from another process.
    pub fn handle_message(&mut self, now: Micros, from: ProcessId, message: Message) {
        self.take(now, from, message);
        self.finish(now);
    }

    fn take(&mut self, now: Micros, from: ProcessId, message: Message) {
        match message.roll() {
            Some(roll) if roll > self.roll => {
                if self.early.len() < EARLY_MOST {
                    self.early.push_back((from, message));
                }
                return;
            }
            Some(roll) if roll < self.roll || !self.member(from) || !self.inside() => {
                self.counts.stale += 1;
                return;
            }
            _ => {}
        }
        match message {
            Message::Open { record, .. } => self.hear_open(now, from, record),
            Message::Opened { key, ask, ballot, version, .. } => {
                self.hear_opened(now, from, key, ask, ballot, version)
            }
            Message::Lives { key, ask, .. } => self.hear_lives(from, key, ask),
            Message::Told { key, fate } => self.hear_told(key, fate),
            Message::Full { key, ask, .. } => self.hear_full(from, key, ask),
            Message::Place { record, .. } => self.hear_place(now, from, record),
            Message::Orphan { record, .. } => self.hear_orphan(now, record),
            Message::Keep { record, .. } => self.hear_keep(now, from, record),
            Message::Note { .. } => self.hear_note(now, from, message),
            Message::Done { .. } => self.hear_done(now, from, message),
            Message::Forget { key, ask, .. } => self.hear_forget(from, key, ask),
            Message::Yield { key, ask, .. } => self.hear_yield(now, from, key, ask),
            Message::Noted { key, ask, version, .. } => self.hear_noted(now, from, key, ask, version),
            Message::Refused { key, ask, .. } => self.hear_refused(now, from, key, ask),
            Message::Reported { .. } => {
                self.reported.insert(from.ordinal);
                self.look_open(now);
            }
        }
    }

    /// What we told ourselves meanwhile is heard in the same step.
    pub(crate) fn finish(&mut self, now: Micros) {
        while let Some(message) = self.local.pop_front() {
            self.take(now, self.me, message);
        }
    }

    /// A roll is in force.
    pub fn roll(&mut self, now: Micros, term: Term, members: &BTreeMap<u16, u64>) {
        if term <= self.roll {
            return;
        }
        self.roll = term;
        self.members = members.clone();
        self.reported.clear();
        self.open = false;
        self.turn = 0;
        self.asked.clear();
        self.placed.clear();
        self.local.clear();
        self.pending.clear();
        self.kept.values_mut().for_each(Kept::anew);
        if self.inside() {
            self.place_all(now);
            self.report_all(now);
            for (&ordinal, &incarnation) in &self.members.clone() {
                let other = ProcessId { ordinal, incarnation };
                self.send(other, Message::Reported { roll: term });
            }
        } else {
            self.left_out();
        }
        let early = std::mem::take(&mut self.early);
        for (from, message) in early {
            self.take(now, from, message);
        }
        self.finish(now);
    }

    fn look_open(&mut self, now: Micros) {
        if self.open || !self.members.keys().all(|ordinal| self.reported.contains(ordinal)) {
            return;
        }
        self.open = true;
        self.all_reported(now);
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Micros) {
        if now < self.next_timeout() {
            return;
        }
        self.scanned = now;
        self.handle_claim_timeouts(now);
        self.handle_replica_timeouts(now);
        self.finish(now);
    }

    pub(crate) fn log(&mut self, text: String) {
        self.commands.push_back(Command::Log(text));
    }
}
