//! The roster: what one scheduler believes of the backend servers, where it heard it, and how it stays true while
//! discovery is silent, slow or cut off.
//!
//! It does no I/O, reads no clock and knows no HTTP: calls of discovery, messages of peers and outcomes of
//! dispatches go in with the time at which they happened; [`Command`]s come out, to be carried out in the order
//! given. It promises that
//!
//! - a server that discovery, in a whole line or in one that broke off, or a peer with a newer list has called
//!   draining or gone is not [`Roster::ready`] from the same instant on;
//! - only what this scheduler's own list has named can be ready; a peer's word never adds a server, nor does it make
//!   one ready again that was withdrawn, whoever withdrew it;
//! - a stale table goes on being used, whatever its age: in a plain outage nobody is left without service. What is
//!   held back meanwhile, on the servers' own word alone, is at most half of the servers listed as ready;
//! - calls are paid from a bucket whose rate falls with the number of schedulers, so that doubt, outages and
//!   broken watches never flood a discovery service that all of them share.
//!
//! It does not choose servers for jobs: the decision module does, from the entries that it is given here.

mod evidence;
mod gossip;
mod link;
mod table;

pub use evidence::ServerWord;
pub use link::{Call, CallKind, Ending, Freshness};
pub use table::{Belief, Listed, Source};

use brackenledge_policy::{ListKind, Millis, Readiness, WorkerEntry, WorkerId};
use fastrand::Rng;
use gossip::Gossip;
use link::Link;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use table::Table;

/// What a roster is told at its start.
#[derive(Clone, Debug)]
pub struct RosterSettings {
    /// This scheduler's number, 0-based.
    pub ordinal: u32,
    /// How many schedulers share discovery and the servers.
    pub schedulers: u32,
    /// They may send one another messages.
    pub messages: bool,
    /// Changes arrive without the decision module's asking: the roster opens its watch by itself.
    pub pushed: bool,
    /// For how long a list may be used without a watch after a call, by the settings.
    pub ask_within: Millis,
    /// For random numbers.
    pub seed: u64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Open this call to discovery.
    Ask {
        /// Names the call from now on.
        call: Call,
        /// A watch or the whole list.
        kind: CallKind,
        /// For a watch: the version held.
        since: u64,
    },
    /// End this call.
    Drop {
        /// The call.
        call: Call,
    },
    /// Send a message of 256 bytes at most to one scheduler.
    Tell {
        /// The receiver's number.
        to: u32,
        /// The message.
        text: String,
    },
    /// Tell the decision module.
    Learn {
        /// What the entries stand for.
        kind: ListKind,
        /// The lines that changed.
        entries: Vec<Learned>,
    },
    /// A line for the log, with the cause.
    Log(String),
}

/// An entry for the decision module; two are the same if they tell the same.
#[derive(Clone, Debug)]
pub struct Learned(pub WorkerEntry);

impl PartialEq for Learned {
    fn eq(&self, other: &Self) -> bool {
        let key = |e: &WorkerEntry| (e.id, e.readiness, e.zone, e.kind, e.cell, e.launched.map(f64::to_bits));
        key(&self.0) == key(&other.0) && self.0.name == other.0.name && self.0.doubt == other.0.doubt
    }
}

/// Counts since the start, for the log and for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls made to discovery.
    pub calls: u64,
    /// Calls that failed, or watches that broke.
    pub failed: u64,
    /// Watches opened beside one in doubt.
    pub doubled: u64,
    /// Messages sent to other schedulers, and their bytes.
    pub told: u64,
    /// Bytes of those messages.
    pub told_bytes: u64,
    /// Drains and ends first heard of from another scheduler.
    pub heard_first: u64,
}

/// What one call has said of a line that is not complete yet.
#[derive(Default)]
struct Unfinished {
    asked_at: Millis,
    entries: Vec<Listed>,
}

/// See the module's page.
pub struct Roster {
    table: Table,
    link: Link,
    gossip: Option<Gossip>,
    rng: Rng,
    unfinished: BTreeMap<Call, Unfinished>,
    /// Any list has come from discovery in this life.
    told: bool,
    fresh: Freshness,
    /// Since when it has been fresh without a break, if it is.
    fresh_since: Option<Millis>,
    commands: std::collections::VecDeque<Command>,
    counts: Counts,
    /// The newest version that a peer claims and that we lack, and by when it should have come.
    lacking: Option<(u64, Millis)>,
    lacking_wait: Millis,
    settled_claim: u64,
}

/// Lists reach schedulers some hundred milliseconds apart; a version that a peer holds is missing only after this.
const LACKING: Millis = 300.0;
/// The same for each scheduler: discovery tells the watches of a large tier one after another, some 20 a second where
/// it is busy, and whoever asks beside a watch that is only in turn makes the turns longer for all.
const LACKING_EACH: Millis = 50.0;

impl Roster {
    /// A roster that knows nothing yet.
    pub fn new(now: Millis, settings: RosterSettings) -> Self {
        let mut rng = Rng::with_seed(settings.seed ^ 0x05ea_5011);
        let gossip = (settings.messages && settings.schedulers > 1)
            .then(|| Gossip::new(now, settings.ordinal, settings.schedulers));
        Roster {
            table: Table::default(),
            link: Link::new(now, &settings, rng.u64(..)),
            gossip,
            rng,
            unfinished: BTreeMap::new(),
            told: false,
            fresh: Freshness::Stale,
            fresh_since: None,
            commands: Default::default(),
            counts: Counts::default(),
            lacking: None,
            lacking_wait: LACKING.max(LACKING_EACH * f64::from(settings.schedulers)),
            settled_claim: 0,
        }
    }

    // ---- What may be asked.

    /// Where a server listens.
    pub fn address(&self, id: WorkerId) -> Option<SocketAddr> {
        self.table.get(id)?.listed.address
    }

    /// Whether a server takes new work, as far as is believed now.
    pub fn ready(&self, id: WorkerId) -> bool {
        self.table.get(id).is_some_and(|server| server.believed().0 == Readiness::Ready)
    }

    /// What is believed of a server, who said so, and how long ago.
    pub fn belief(&self, now: Millis, id: WorkerId) -> Option<Belief> {
        self.table.belief(now, id)
    }

    /// Whether jobs can be served: discovery has spoken, or the list from before the start names a server that
    /// takes work. An empty one says nothing, and a front that sent jobs on it would see them denied.
    pub fn serves(&self) -> bool {
        self.told || self.table.listed_ready() > 0
    }

    /// All servers that are known, with what is believed of them.
    pub fn servers(&self) -> impl Iterator<Item = (WorkerId, &Listed, Readiness)> {
        self.table.servers()
    }

    /// The zone of a server.
    pub fn zone(&self, id: WorkerId) -> Option<u32> {
        Some(self.table.get(id)?.listed.zone)
    }

    /// The version of the list held.
    pub fn version(&self) -> Option<u64> {
        self.table.version()
    }

    /// How far discovery's word can be relied on now.
    pub fn freshness(&self) -> Freshness {
        self.fresh
    }

    /// Servers in the table, gone ones that are not yet forgotten included.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Servers believed to be listed, gone ones left out, and of those the ones believed to take work.
    pub fn standing(&self) -> (usize, usize) {
        self.table.standing()
    }

    /// Whether no server is known at all.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The server of this name.
    pub fn find(&self, name: &str) -> Option<WorkerId> {
        self.table.find(name)
    }

    /// The name of a server.
    pub fn name(&self, id: WorkerId) -> Option<&str> {
        self.table.name(id)
    }

    // ---- Discovery.

    /// The list as it was before a restart.
    pub fn know(&mut self, now: Millis, index: u64, entries: Vec<Listed>) {
        for entry in entries {
            self.table.apply(now, index, Source::Known, entry);
        }
        self.table.commit(now, index, false);
        self.learn(now, ListKind::Cached);
    }

    /// The decision module wants to be told of changes, or no longer.
    pub fn want(&mut self, now: Millis, on: bool) {
        self.link.want(now, on);
        self.follow(now);
    }

    /// The decision module wants the whole list once.
    pub fn fetch(&mut self, now: Millis) {
        self.link.fetch(now);
        self.follow(now);
    }

    /// Discovery has a new address: calls to the old one are in doubt, and a new watch is opened at once.
    pub fn moved(&mut self, now: Millis) {
        self.link.moved(now);
        self.follow(now);
    }

    /// A call's connection is up.
    pub fn call_up(&mut self, now: Millis, call: Call) {
        self.link.up(now, call);
        self.follow(now);
    }

    /// A call was answered: its head has come.
    pub fn call_answered(&mut self, now: Millis, call: Call) {
        self.link.answered(now, call);
        self.follow(now);
    }

    /// Bytes have come; `midway`: they end within a line.
    pub fn call_bytes(&mut self, now: Millis, call: Call, midway: bool) {
        self.link.bytes(now, call, midway);
        self.follow(now);
    }

    /// An empty line has come: nothing has changed.
    pub fn call_beat(&mut self, now: Millis, call: Call) {
        self.link.line(now, call, false);
        self.follow(now);
    }

    /// One entry of a line has come whole. What takes a server away counts at once, for the line may break off;
    /// all else waits for the line's end.
    pub fn call_entry(&mut self, now: Millis, call: Call, entry: Listed) {
        if entry.readiness != Readiness::Ready
            && let Some(id) = self.table.find(&entry.name)
        {
            self.table.withdraw(now, id, entry.readiness);
            self.learn(now, ListKind::Delta);
        }
        if let Some(unfinished) = self.unfinished.get_mut(&call) {
            unfinished.entries.push(entry);
        }
    }

    /// A line has come whole: the entries given since the last one are changes, or all there is.
    pub fn call_line(&mut self, now: Millis, call: Call, index: u64, snapshot: bool) {
        let Some(unfinished) = self.unfinished.get_mut(&call) else { return };
        let entries = std::mem::take(&mut unfinished.entries);
        let asked_at = unfinished.asked_at;
        let source = if self.link.is_watch(call) { Source::Watch } else { Source::Fetch };
        self.link.line(now, call, self.table.version() != Some(index));
        if self.table.version().is_some_and(|held| index < held) {
            if asked_at < self.table.version_at() && !self.link.is_watch(call) {
                self.log(format!(
                    "a list of version {index} is ignored: it was asked for before a newer one came"
                ));
                return self.follow(now);
            }
            // Discovery has begun anew, and counts from there.
            self.log(format!("discovery's list went back to version {index}"));
            self.table.restart_versions();
            if !snapshot {
                self.link.fetch(now);
            }
        }
        self.told = true;
        let held = self.table.version();
        let mut away = Vec::new();
        for entry in entries {
            if let Some(change) = self.table.apply(now, index, source, entry) {
                away.push(change);
            }
        }
        away.extend(self.table.commit(now, index, snapshot));
        self.table.answer_words(asked_at, snapshot);
        if let Some(gossip) = &mut self.gossip
            && (held != Some(index) || !away.is_empty())
        {
            gossip.changed(now, index, &away);
        }
        if self.lacking.is_some_and(|(version, _)| version <= index) {
            self.lacking = None;
        }
        self.learn(now, ListKind::Delta);
        self.follow(now);
    }

    /// A call has ended.
    pub fn call_ended(&mut self, now: Millis, call: Call, ending: Ending) {
        self.unfinished.remove(&call);
        if let Some(cause) = self.link.ended(now, call, ending) {
            self.counts.failed += 1;
            self.log(cause);
        }
        self.follow(now);
    }

    // ---- Other schedulers and the servers themselves.

    /// A message has come from another scheduler; tells whether it was one of the roster's.
    pub fn heard(&mut self, now: Millis, from: u32, text: &str) -> bool {
        if !gossip::is_gossip(text) {
            return false;
        }
        let held = self.table.version().unwrap_or(0);
        let Some(gossip) = &mut self.gossip else { return true };
        let Some(heard) = gossip.hear(now, from, text, held) else { return true };
        for change in heard.changes {
            if let Some(id) = self.table.find_hash(change.tag)
                && self.table.word(now, id, change.readiness, change.version, Source::Scheduler(from))
            {
                self.counts.heard_first += 1;
            }
        }
        if heard.version > held.max(self.settled_claim)
            && self.told
            && self.lacking.is_none_or(|(version, _)| heard.version > version)
        {
            // Never all at once: those that one slow round left behind lack the same version.
            let wait = self.lacking_wait * (1.0 + self.rng.f64());
            let by = self.lacking.map_or(now + wait, |(_, by)| by);
            self.lacking = Some((heard.version, by));
        }
        self.learn(now, ListKind::Delta);
        self.follow(now);
        true
    }

    /// What a server's own behaviour says.
    pub fn server_says(&mut self, now: Millis, id: WorkerId, word: ServerWord) {
        if self.table.evidence(now, id, word) {
            self.table.review(now, self.fresh);
            self.learn(now, ListKind::Delta);
        }
    }

    // ---- Time and orders.

    /// When [`Roster::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Millis {
        let gossip = self.gossip.as_ref().map_or(f64::INFINITY, Gossip::next_timeout);
        let lacking = self.lacking.map_or(f64::INFINITY, |(_, by)| by);
        self.link.next_timeout().min(gossip).min(lacking).min(self.table.next_timeout())
    }

    /// Time has passed.
    pub fn handle_timeout(&mut self, now: Millis) {
        if let Some((version, by)) = self.lacking
            && now >= by
        {
            self.lacking = None;
            self.settled_claim = version;
            self.log(format!(
                "another scheduler holds list version {version}, this one does not: asking again"
            ));
            self.link.doubt(now);
        }
        self.table.forget(now, self.fresh_since);
        self.follow(now);
    }

    /// The next thing to do.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Lets what follows from the latest event follow.
    fn follow(&mut self, now: Millis) {
        self.link.handle_timeout(now);
        while let Some(order) = self.link.poll_command() {
            match order {
                link::LinkCommand::Ask { call, kind, beside } => {
                    self.counts.calls += 1;
                    self.counts.doubled += u64::from(beside);
                    self.unfinished.insert(call, Unfinished { asked_at: now, entries: Vec::new() });
                    let since = self.table.version().unwrap_or(0);
                    self.commands.push_back(Command::Ask { call, kind, since });
                }
                link::LinkCommand::Drop { call } => {
                    self.unfinished.remove(&call);
                    self.commands.push_back(Command::Drop { call });
                }
            }
        }
        let fresh = self.link.freshness(now);
        if fresh != self.fresh {
            self.fresh = fresh;
            self.fresh_since = (fresh == Freshness::Fresh).then_some(now);
            self.table.review(now, fresh);
            self.learn(now, ListKind::Delta);
        }
        if let Some(gossip) = &mut self.gossip {
            let held = self.table.version().unwrap_or(0);
            for (to, text) in gossip.due(now, held, &mut self.rng) {
                self.counts.told += 1;
                self.counts.told_bytes += text.len() as u64;
                self.commands.push_back(Command::Tell { to, text });
            }
        }
    }

    /// Tells the decision module what has changed. That is never a whole list: who is missing in one is told as gone.
    fn learn(&mut self, now: Millis, kind: ListKind) {
        for reason in self.table.take_reasons(now) {
            self.log(reason);
        }
        let entries = self.table.take_changes();
        if !entries.is_empty() {
            self.commands
                .push_back(Command::Learn { kind, entries: entries.into_iter().map(Learned).collect() });
        }
    }

    fn log(&mut self, text: String) {
        self.commands.push_back(Command::Log(text));
    }
}
