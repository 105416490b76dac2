//! One owner at a time for each duty of a tier.
//!
//! **The invariant.** For each duty, no two processes do deeds under one term; whoever has accepted a deed of a term
//! accepts none of an older one; and while no process takes more than [`Settings::drift`] from the others' pace, no two
//! processes believe at one time that they own it.
//!
//! How: a *view* names three or five voters, each a process (number and start), so one that lost its memory is no voter.
//! The next view is chosen by Paxos among the voters of the last (L. Lamport, "Paxos made simple", 2001), so there is
//! one at most for each epoch. In a view one process, the *steward*, holds a lease of a majority of the voters, renewed
//! while it lives (after M. Trencseni, A. Gazso, H. Reinhardt, "PaxosLease: diskless Paxos for leases", 2012): a voter
//! that has granted it grants no other until it is over by its own clock. The steward grants each duty to one owner, no
//! longer than its own lease lasts. A term is (epoch, round, step): a new steward has a higher round, since its
//! majority shares a voter with the last, and each grant to another owner has a higher step.
//!
//! Time is the caller's, in microseconds on a clock that counts stopped time. Whoever asks counts its lease from when
//! it *asked*, whoever grants counts it from when it *granted*, and longer by the drift allowed: a late answer only
//! shortens a lease. [`Ownership::may`] is to be asked at the moment of each deed. A pause between that and the deed
//! makes the deed late; its receiver refuses it by its term ([`Fence`]) once it has heard of a newer one.
//!
//! | message | lost | repeated | late |
//! | --- | --- | --- | --- |
//! | `Ask`, `Lease`, `Propose` | asked again after [`Settings::beat`] | granted again to the same | refused by its round or epoch, or blocks others for one lease, as one granted now would |
//! | `Yes`, `Granted`, `Taken` | as if refused | counted once for each voter | no longer counted: its round is over, or its lease counts from when it was asked |
//! | `News`, `Roll` | told again each beat | no change | older terms are ignored |
//! | `Want`, `Given` | asked again each beat | no change | ignored: not later than the last return, and counted from when it was asked |
//! | `Release`, `Return` | the lease runs out | no change | ignored: its round or term is over |
//! | `Hello` | repeated | answered again | answered |
//! | `Stay` | asked again each beat | granted again | granted from now on: its sender is left out so much later |
//! | `Stays` | asked again each beat | no change | ignored, or counted from when it was asked |
//! | `Unstay` | what was granted runs out | no change | no change: who goes does not ask again |
//!
//! A member may also ask to *stay*, and is left out of the roll if it does not, until it asks again: while its stay lasts by its own clock, no steward has made a roll without it. So
//! whatever others do on the word of a roll without it comes after it has stopped by itself. A new steward, which does
//! not know what the last one granted, leaves nobody of the last roll out for one stay, but for the last steward, whose
//! stay is its lease. One who joined so shortly before that the new steward had not heard of it is not covered by this.
//!
//! **Limits**, said rather than hidden. A tier in which a majority of all schedulers lost their memory at once, and only
//! then, begins anew ([`Settings::dead`]); if all of these are at that time cut off from a living voting group, two
//! stewards own under different epochs until they meet, and terms decide. Processes do not lie. Nobody is known by more
//! than its address. No I/O, no clock, no randomness.

mod duties;
mod living;
mod message;
mod steward;
mod voter;

pub use brackenledge_membership::ProcessId;
pub use duties::{Fence, Known};
pub use living::Living;
pub use message::{Deed, MESSAGE_MOST, Message};

use duties::Duties;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use steward::Steward;
use voter::Voter;

/// Microseconds on the caller's clock, which counts the time that a process was stopped.
pub type Micros = u64;

/// A duty, by number: which ones there are is the caller's.
pub type Duty = u8;

/// A view's place in the order of all views. A tier that begins anew begins a later era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// Unix seconds when the tier began, or one more than the latest heard of.
    pub era: u32,
    /// Views since.
    pub number: u32,
}

/// A candidate's try: none is used twice in an epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Round {
    /// Counts.
    pub count: u32,
    /// Whose.
    pub by: u16,
}

/// Under which a deed is done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    /// The view's.
    pub epoch: Epoch,
    /// The steward's.
    pub round: Round,
    /// The grant's.
    pub step: u32,
}

impl std::fmt::Display for Term {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Term { epoch, round, step } = self;
        write!(f, "{}.{}/{}.{}/{step}", epoch.era, epoch.number, round.count, round.by)
    }
}

/// Who votes. The void one, of a tier that has not begun, has all schedulers' seats for voters and no names.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct View {
    /// Its place.
    pub epoch: Epoch,
    /// In order of their numbers.
    pub voters: Vec<ProcessId>,
}

/// Times and sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Schedulers in the settings, dead or alive.
    pub seats: u16,
    /// Voters wanted: 3 or 5.
    pub voters: usize,
    /// A lease's length.
    pub lease: Micros,
    /// Asked again, renewed and told this often: a lease outlives several lost messages.
    pub beat: Micros,
    /// A clock may gain or lose one part in so many.
    pub drift: u64,
    /// A process that has heard of no view for so long begins one with others like it: longer than any lease.
    pub wait: Micros,
    /// A view whose steward was not heard for so long, most of whose voters are gone, is given up.
    pub dead: Micros,
    /// Duties there are, 0 to this.
    pub duties: Duty,
    /// How long a member may count on being on the roll from when it asked; 0: nobody asks.
    pub stay: Micros,
}

impl Settings {
    /// For a tier of so many: leases of 1.5 s, renewed five times in it.
    pub fn new(seats: u16, duties: Duty) -> Settings {
        Settings {
            seats,
            voters: 5,
            lease: 1_500_000,
            beat: 300_000,
            // Quartz drifts 1 in 10,000; NTP slews 1 in 2,000. Ten times that.
            drift: 200,
            wait: 3_500_000,
            dead: 6_000_000,
            duties,
            stay: 0,
        }
    }

    /// A lease as its holder counts it, by a clock that may be slow.
    fn held(&self) -> Micros {
        self.lease - self.lease / self.drift
    }

    /// The same as who granted it counts it, by a clock that may be fast.
    fn blocked(&self) -> Micros {
        self.lease + self.lease / self.drift
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// A message for the scheduler of this number; `None`: for all others.
    Send(Option<u16>, Message),
    /// We own a duty from now on, or do no longer.
    Owns(Duty, Option<Term>),
    /// Something changed that operators want to read, with its cause.
    Log(String),
}

/// What operators are shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shown {
    /// The view held, and how long ago its steward was heard.
    pub view: Option<(View, Micros)>,
    /// The steward, as heard last.
    pub steward: Option<ProcessId>,
    /// Our own lease as a steward, as far as it lasts.
    pub lease_left: Option<Micros>,
    /// Members by the steward's roll, and its term.
    pub roll: (Term, BTreeMap<u16, u64>),
    /// Duties: the term, the owner, and what is left of the lease if it is ours.
    pub duties: BTreeMap<Duty, (Term, ProcessId, Option<Micros>)>,
}

/// One process's part in the tier.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ownership {
    me: ProcessId,
    settings: Settings,
    /// Unix seconds when we started, for the era of a tier that begins.
    unix: u32,
    started: Micros,
    /// Alive by membership: numbers and starts.
    alive: BTreeMap<u16, u64>,
    view: View,
    /// The latest epoch heard of; whatever begins must be later.
    seen: Epoch,
    /// Views up to this one were given up: we don't vote in them any more.
    given_up: Epoch,
    heard_at: Micros,
    steward: Option<(ProcessId, Round)>,
    voter: Voter,
    stewardship: Steward,
    duties: Duties,
    roll: (Term, BTreeMap<u16, u64>),
    hello_at: Micros,
    /// Until when we may count on being on the roll, and when we asked last.
    stay: Micros,
    stay_asked: Micros,
    leaving: bool,
    commands: VecDeque<Command>,
    /// Messages of other epochs, rounds or senders than could be: counted, and dropped.
    pub dropped: u64,
}

impl Ownership {
    /// A process that has just started and remembers nothing.
    pub fn new(now: Micros, me: ProcessId, unix: u32, settings: Settings) -> Ownership {
        Ownership {
            me,
            settings,
            unix,
            started: now,
            alive: BTreeMap::new(),
            view: View::default(),
            seen: Epoch::default(),
            given_up: Epoch::default(),
            heard_at: now,
            steward: None,
            voter: Voter::default(),
            stewardship: Steward::default(),
            duties: Duties::new(now, settings.duties),
            roll: (Term::default(), BTreeMap::new()),
            hello_at: now,
            stay: 0,
            stay_asked: 0,
            leaving: false,
            commands: VecDeque::new(),
            dropped: 0,
        }
    }

    /// The same in a view that others are in too; for models and tests, which then need no beginning.
    pub fn begun(now: Micros, me: ProcessId, settings: Settings, view: View) -> Ownership {
        let mut one = Ownership::new(now, me, 1, settings);
        one.seen = view.epoch;
        one.view = view;
        one
    }

    /// The latest epoch heard of. Whoever keeps it has to have done so before any order given since it changed leaves.
    pub fn seen(&self) -> Epoch {
        self.seen
    }

    /// An epoch that a process under our number has heard of before us: whatever we begin is later.
    pub fn recall(&mut self, seen: Epoch) {
        self.seen = self.seen.max(seen);
    }

    /// Who we are.
    pub fn me(&self) -> ProcessId {
        self.me
    }

    /// Membership says who is alive.
    pub fn alive(&mut self, members: impl IntoIterator<Item = ProcessId>) {
        self.alive = members.into_iter().map(|process| (process.ordinal, process.incarnation)).collect();
        self.alive.insert(self.me.ordinal, self.me.incarnation);
    }

    /// The term under which we own a duty at this moment, if we do. To be asked before each deed.
    pub fn may(&self, now: Micros, duty: Duty) -> Option<Term> {
        self.duties.may(now, duty)
    }

    /// Members by the steward's last roll: what all who have heard it agree on.
    pub fn members(&self) -> &BTreeMap<u16, u64> {
        &self.roll.1
    }

    /// The same, with the term of that roll.
    pub fn roll(&self) -> (Term, &BTreeMap<u16, u64>) {
        (self.roll.0, &self.roll.1)
    }

    /// Until when we may count on being on the roll, by our clock: no steward has made one without us before that.
    pub fn stays(&self, now: Micros) -> Option<Micros> {
        let lease = self.stewardship.lease(now).map(|lease| lease.1);
        lease.max(Some(self.stay)).filter(|&until| now < until)
    }

    /// How many members the roll has, if we are one of them and its steward was heard lately.
    pub fn on_roll(&self, now: Micros) -> Option<usize> {
        let heard = now < self.heard_at + self.settings.wait || self.is_steward(now);
        let ours = self.roll.1.get(&self.me.ordinal) == Some(&self.me.incarnation);
        (heard && ours && !self.void()).then_some(self.roll.1.len())
    }

    /// The view.
    pub fn view(&self) -> Option<&View> {
        (!self.void()).then_some(&self.view)
    }

    /// Whether we are the steward at this moment.
    pub fn is_steward(&self, now: Micros) -> bool {
        self.stewardship.lease(now).is_some()
    }

    /// What operators are shown.
    pub fn shown(&self, now: Micros) -> Shown {
        Shown {
            view: self.view().map(|view| (view.clone(), now.saturating_sub(self.heard_at))),
            steward: self.steward.map(|steward| steward.0),
            lease_left: self.stewardship.lease(now).map(|(_, until)| until - now),
            roll: self.roll.clone(),
            duties: self.duties.shown(now),
        }
    }

    /// What is to be done next.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    fn send(&mut self, to: ProcessId, message: Message) {
        if to == self.me {
            // Never queued: what we tell ourselves is heard in the same step.
            debug_assert!(false, "told ourselves {message:?}");
            return;
        }
        self.commands.push_back(Command::Send(Some(to.ordinal), message));
    }

    fn tell_all(&mut self, message: Message) {
        self.commands.push_back(Command::Send(None, message));
    }

    fn log(&mut self, text: String) {
        self.commands.push_back(Command::Log(text));
    }

    fn void(&self) -> bool {
        self.view.epoch == Epoch::default()
    }

    /// Whether a process is a voter of the view.
    fn votes(&self, who: ProcessId) -> bool {
        if self.void() { who.ordinal < self.settings.seats } else { self.view.voters.contains(&who) }
    }

    fn quorum(&self) -> usize {
        (if self.void() { usize::from(self.settings.seats) } else { self.view.voters.len() }) / 2 + 1
    }

    /// Our place among the voters, for turns; in the void view, among those alive.
    fn rank(&self) -> u64 {
        let before = match self.void() {
            true => self.alive.keys().filter(|&&other| other < self.me.ordinal).count(),
            false => self.view.voters.iter().filter(|voter| voter.ordinal < self.me.ordinal).count(),
        };
        before as u64
    }

    /// When [`Ownership::handle_timeout`] is to be called next.
    pub fn next_timeout(&self, now: Micros) -> Micros {
        let own =
            [self.hello_at, self.stewardship.next(), self.duties.next(), self.heard_at + self.settings.dead];
        own.into_iter()
            .filter(|&at| at > now)
            .min()
            .unwrap_or(now + self.settings.beat)
            .min(now + self.settings.beat)
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.leaving {
            return;
        }
        self.give_up_the_dead(now);
        if self.void() && now >= self.hello_at {
            self.hello_at = now + self.settings.beat;
            self.tell_all(Message::Hello { from: self.me, seen: self.seen });
        }
        self.duties_end(now);
        self.campaign(now);
        self.ask_for_duties(now);
        self.ask_to_stay(now);
    }

    /// A view without a steward, most of whose voters are gone, can decide nothing any more.
    fn give_up_the_dead(&mut self, now: Micros) {
        if self.void() || now < self.heard_at + self.settings.dead || self.stewardship.lease(now).is_some() {
            return;
        }
        let living =
            self.view.voters.iter().filter(|v| self.alive.get(&v.ordinal) == Some(&v.incarnation)).count();
        if living >= self.quorum() {
            return;
        }
        let epoch = self.view.epoch;
        self.log(format!("view {}.{} given up: {living} of its voters are left", epoch.era, epoch.number));
        self.given_up = self.given_up.max(epoch);
        self.enter(now, View::default());
        // As one that has just started: it hears others first.
        (self.started, self.hello_at) = (now, now);
    }

    /// Goes over to a view, with nothing promised in it.
    fn enter(&mut self, now: Micros, view: View) {
        (self.view, self.voter, self.heard_at) = (view, Voter::default(), now);
        self.seen = self.seen.max(self.view.epoch);
        self.steward = None;
        self.stewardship.enter(now, self.settings.beat);
    }

    /// Somebody is in a later view.
    fn follow(&mut self, now: Micros, view: View, steward: Option<ProcessId>) {
        if view.epoch <= self.view.epoch || view.epoch <= self.given_up {
            return;
        }
        let Epoch { era, number } = view.epoch;
        self.log(format!("view {era}.{number}: voters {}", names(&view.voters)));
        let began = self.void();
        self.enter(now, view);
        if !(began && number == 1) {
            // Its steward may hold a lease that was granted in the view before.
            self.voter.block(now + self.settings.blocked(), steward);
        }
    }

    /// Takes a message in. `from` is the number of the scheduler whose address it came from.
    pub fn handle_message(&mut self, now: Micros, from: u16, message: Message) {
        // Who goes does nothing more for the others, but may still be on the roll and must know which one.
        let rolls = matches!(message, Message::News { .. } | Message::Roll { .. });
        if self.leaving && !(rolls && self.settings.stay > 0) {
            return;
        }
        if message.from().ordinal != from || from == self.me.ordinal {
            self.dropped += 1;
            return;
        }
        match message {
            Message::Hello { from, seen } => {
                self.seen = self.seen.max(seen);
                if !self.void() && (self.votes(self.me) || self.is_steward(now)) {
                    self.tell_view(from);
                }
            }
            Message::Ask { from, epoch, round } => {
                if self.same_view(now, from, epoch) {
                    let answer = self.vote_on_ask(now, from, round);
                    self.send(from, answer);
                }
            }
            Message::Lease { from, epoch, round, asked } => {
                if self.same_view(now, from, epoch) {
                    let answer = self.vote_on_lease(now, from, round, asked);
                    self.send(from, answer);
                }
            }
            Message::Propose { from, epoch, round, next } => {
                if self.same_view(now, from, epoch) {
                    let answer = self.vote_on_view(from, round, next);
                    self.send(from, answer);
                }
            }
            Message::Release { from, epoch, round } => {
                if epoch == self.view.epoch && self.voter.release(from, round) {
                    self.stewardship.hurry(now, self.rank() * self.settings.beat / 8);
                }
            }
            Message::Yes { from, epoch, round, accepted } => {
                if epoch == self.view.epoch && self.votes(from) {
                    self.seen_yes(now, from, round, accepted);
                }
            }
            Message::No { from, epoch, promised, left } => {
                if epoch == self.view.epoch && self.votes(from) {
                    let rank = self.rank();
                    self.stewardship.refused(now, promised, left, rank, &self.settings);
                }
            }
            Message::Granted { from, epoch, round, asked } => {
                if epoch == self.view.epoch && self.votes(from) {
                    self.seen_granted(now, from, round, asked);
                }
            }
            Message::Taken { from, epoch, round } => {
                if epoch == self.view.epoch && self.votes(from) {
                    self.seen_taken(now, from, round);
                }
            }
            Message::News { from, view, steward, round, duties } => {
                self.hear_news(now, from, view, steward, round, duties)
            }
            Message::Roll { from, term, part, parts, members } => {
                self.hear_roll(from, term, part, parts, members)
            }
            Message::Want { from, duty, asked } => self.hear_want(now, from, duty, asked),
            Message::Given { from, duty, term, asked, lasts } => {
                self.hear_given(now, from, duty, term, asked, lasts)
            }
            Message::Return { from, duty, term } => self.hear_return(now, from, duty, term),
            Message::Stay { from, asked } => self.hear_stay(now, from, asked),
            Message::Stays { from, asked, lasts } => self.hear_stays(now, from, asked, lasts),
            Message::Unstay { from } => self.stewardship.let_go(from),
        }
    }

    /// Whether we vote in the view that somebody asks about; who is behind is told ours.
    fn same_view(&mut self, now: Micros, from: ProcessId, epoch: Epoch) -> bool {
        if epoch < self.view.epoch {
            self.tell_view(from);
            return false;
        }
        if epoch != self.view.epoch {
            // We are behind: the asker tells us its view.
            self.send(from, Message::Hello { from: self.me, seen: self.seen });
            return false;
        }
        // In the void view, who has just started hears others first: it may have voted before, and forgotten.
        let ready = !self.void() || now >= self.started + self.settings.wait;
        ready && self.votes(self.me) && self.votes(from)
    }

    fn tell_view(&mut self, to: ProcessId) {
        let (steward, round) = match self.steward {
            Some((steward, round)) => (Some(steward), round),
            None => (None, Round::default()),
        };
        let news =
            Message::News { from: self.me, view: self.view.clone(), steward, round, duties: Vec::new() };
        self.send(to, news);
    }

    /// We do nothing more that the others must wait for.
    pub fn let_go(&mut self) {
        self.stay = 0;
        self.tell_all(Message::Unstay { from: self.me });
        self.tell_all(Message::Unstay { from: self.me });
    }

    /// We stop, on purpose: what we hold is given back at once, so that nobody has to wait it out.
    pub fn leave(&mut self, now: Micros) {
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        for (duty, term) in self.duties.drop_all() {
            if let Some((steward, _)) = self.steward.filter(|steward| steward.0 != self.me) {
                self.send(steward, Message::Return { from: self.me, duty, term });
            }
            self.commands.push_back(Command::Owns(duty, None));
        }
        if let Some(round) = self.stewardship.resign(now) {
            let epoch = self.view.epoch;
            self.tell_all(Message::Release { from: self.me, epoch, round });
            // Once more: a lost one costs the others a lease.
            self.tell_all(Message::Release { from: self.me, epoch, round });
        }
    }
}

/// Processes by number, for the log.
fn names(processes: &[ProcessId]) -> String {
    processes.iter().map(|process| process.ordinal.to_string()).collect::<Vec<_>>().join(",")
}
