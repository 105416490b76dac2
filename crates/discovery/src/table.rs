//! The table: one belief for each server, and the only place that decides ready, draining or gone.
//!
//! Four words meet here, the newer going before the older: what discovery's lists say, what a line said that broke
//! off, what a peer with a newer list says, and what the server's own behaviour lets one guess. Only the first can
//! make a server ready, be it for the first time or again: a withdrawal by one of the others ends when the own list is as
//! new as it, or when a watch that has worked for long enough since has not confirmed it.

use super::evidence::{ENOUGH, Evidence, Group, Release, STILL, ServerWord};
use super::gossip::{Change, tag};
use super::link::Freshness;
use brackenledge_policy::measure::hash;
use brackenledge_policy::{Millis, Readiness, WorkerEntry, WorkerId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// An entry of discovery's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// The server's name, the same at every scheduler.
    pub name: String,
    /// Where it listens for this scheduler; `None`: the list's word made no sense, and the old one stays.
    pub address: Option<SocketAddr>,
    /// Its zone, by its place in the settings.
    pub zone: u32,
    /// Its machine kind, likewise.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// What the list says of it.
    pub readiness: Readiness,
    /// A figure for comparing it with others.
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time.
    pub launched: Option<Millis>,
}

/// Gone servers are forgotten after this long, and their numbers given to others: nothing of a job that was sent
/// there is held any more, for a client waits some seconds only.
const FORGET: Millis = 600_000.0;
/// A withdrawal that no list has confirmed or undone is dropped once a watch has worked for so long since, lest one false
/// word last for good. Time without a watch does not count: what is held then may be older than the withdrawal.
const WORD_LIFE: Millis = 60_000.0;
/// Servers' own word holds back no more than this part of those listed as ready.
const HELD_BACK: f64 = 0.5;

/// Where a belief comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The list as it was before the start.
    Known,
    /// A line of a watch.
    Watch,
    /// A list asked for once.
    Fetch,
    /// A line of a watch or list that has not come whole.
    BrokenLine,
    /// Another scheduler, by its number.
    Scheduler(u32),
    /// The server's own behaviour.
    Behaviour,
}

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Source::Known => f.write_str("the list from before the start"),
            Source::Watch => f.write_str("the watch"),
            Source::Fetch => f.write_str("a list asked for"),
            Source::BrokenLine => f.write_str("a line that is not whole"),
            Source::Scheduler(number) => write!(f, "scheduler {number}"),
            Source::Behaviour => f.write_str("its own behaviour"),
        }
    }
}

/// What is believed of one server, and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Whether it takes new work.
    pub readiness: Readiness,
    /// How likely a ready one is to drain unheard, 0 to 1.
    pub doubt: f64,
    /// Who said so.
    pub source: Source,
    /// The version of the list that said so, or that was held when it was guessed.
    pub version: u64,
    /// How long it has been believed, in milliseconds.
    pub age: Millis,
}

/// A word that takes a server away before this scheduler's own list does.
#[derive(Clone, Copy)]
struct Word {
    readiness: Readiness,
    source: Source,
    /// The list that says so; a version held that is as new answers it.
    version: u64,
    at: Millis,
    /// Discovery has counted its versions from anew since, so that `version` says nothing about those to come.
    renumbered: bool,
}

impl Word {
    /// Whether what a list of this version says of the server is newer than the withdrawal.
    fn is_answered_by(&self, version: u64) -> bool {
        self.version <= version || self.renumbered
    }
}

pub(super) struct Server {
    pub(super) listed: Listed,
    hash: u64,
    version: u64,
    source: Source,
    since: Millis,
    /// When this roster first saw it, or saw it start again.
    seen: Millis,
    /// The snapshot that named it last.
    round: u64,
    word: Option<Word>,
    evidence: Evidence,
    withheld: bool,
    withheld_at: Millis,
    doubt: f64,
}

impl Server {
    /// The same with its reason.
    fn belief(&self, now: Millis) -> Belief {
        let (readiness, doubt) = self.believed();
        let (source, version, since) = match (self.listed.readiness, self.word) {
            (Readiness::Ready, Some(word)) => (word.source, word.version, word.at),
            (Readiness::Ready, None) if self.withheld => (Source::Behaviour, self.version, self.withheld_at),
            _ => (self.source, self.version, self.since),
        };
        Belief { readiness, doubt, source, version, age: (now - since).max(0.0) }
    }

    /// What is believed, and how much a ready one is doubted.
    pub(super) fn believed(&self) -> (Readiness, f64) {
        match (self.listed.readiness, self.word) {
            (Readiness::Ready, Some(word)) => (word.readiness, 0.0),
            (Readiness::Ready, None) if self.withheld => (Readiness::Draining, 0.0),
            (Readiness::Ready, None) => (Readiness::Ready, self.doubt),
            (other, _) => (other, 0.0),
        }
    }

    /// Whether its own behaviour tells of a drain.
    fn suspected(&self, now: Millis) -> bool {
        self.evidence.now(now) >= if self.withheld { STILL } else { ENOUGH }
    }

    fn group(&self) -> Group {
        (self.listed.zone, self.listed.kind)
    }
}

/// See the module's page.
#[derive(Default)]
pub(super) struct Table {
    servers: Vec<Option<Server>>,
    ids: HashMap<String, WorkerId>,
    tags: HashMap<u64, WorkerId>,
    free: Vec<WorkerId>,
    /// Gone servers by the time they went.
    gone: BTreeSet<(u64, WorkerId)>,
    /// Servers with a word or evidence against them.
    marked: BTreeSet<WorkerId>,
    changed: BTreeSet<WorkerId>,
    version: Option<u64>,
    version_at: Millis,
    round: u64,
    ready: usize,
    release: Release,
    /// Some server is doubted at present.
    doubting: bool,
    /// Servers taken away other than by a whole line since this was last asked.
    taken: Vec<WorkerId>,
}

impl Table {
    pub(super) fn get(&self, id: WorkerId) -> Option<&Server> {
        self.servers.get(id)?.as_ref()
    }

    pub(super) fn belief(&self, now: Millis, id: WorkerId) -> Option<Belief> {
        Some(self.get(id)?.belief(now))
    }

    pub(super) fn find(&self, name: &str) -> Option<WorkerId> {
        self.ids.get(name).copied()
    }

    pub(super) fn name(&self, id: WorkerId) -> Option<&str> {
        self.servers.get(id)?.as_ref().map(|server| server.listed.name.as_str())
    }

    pub(super) fn find_hash(&self, tag: u64) -> Option<WorkerId> {
        self.tags.get(&tag).copied()
    }

    pub(super) fn version(&self) -> Option<u64> {
        self.version
    }

    /// When the version held was learned.
    pub(super) fn version_at(&self) -> Millis {
        self.version_at
    }

    pub(super) fn listed_ready(&self) -> usize {
        self.ready
    }

    pub(super) fn len(&self) -> usize {
        self.ids.len()
    }

    /// All servers.
    pub(super) fn servers(&self) -> impl Iterator<Item = (WorkerId, &Listed, Readiness)> {
        let known = self.servers.iter().enumerate();
        known.filter_map(|(id, server)| {
            server.as_ref().map(|server| (id, &server.listed, server.believed().0))
        })
    }

    /// Servers believed listed (not gone), and of those the ones believed to take work.
    pub(super) fn standing(&self) -> (usize, usize) {
        let (mut listed, mut ready) = (0, 0);
        for server in self.servers.iter().flatten() {
            match server.believed().0 {
                Readiness::Gone => {}
                Readiness::Draining => listed += 1,
                Readiness::Ready => (listed, ready) = (listed + 1, ready + 1),
            }
        }
        (listed, ready)
    }

    /// Versions are counted from anew: what was known under the old ones stays until a whole list comes.
    pub(super) fn restart_versions(&mut self) {
        self.version = None;
        for server in self.servers.iter_mut().flatten() {
            server.version = 0;
            if let Some(word) = &mut server.word {
                word.renumbered = true;
            }
        }
    }

    /// Takes in an entry of a complete line; gives what peers are to be told, if that takes a server away or back.
    pub(super) fn apply(
        &mut self,
        now: Millis,
        version: u64,
        source: Source,
        entry: Listed,
    ) -> Option<Change> {
        let id = match self.ids.get(&entry.name) {
            Some(&id) => id,
            None if entry.readiness == Readiness::Gone => return None,
            None => self.add(now, &entry),
        };
        let round = self.round + 1;
        let server = self.servers[id].as_mut()?;
        let was = (server.listed.readiness, server.listed.launched);
        let same = server.listed == entry
            || entry.address.is_none() && {
                let address = server.listed.address;
                server.listed == Listed { address, ..entry.clone() }
            };
        server.round = round;
        (server.version, server.source) = (version, source);
        let before = server.believed().0;
        let had_word = server.word.take_if(|word| word.is_answered_by(version)).is_some();
        if same && !had_word && server.evidence.nothing(now) {
            return None;
        }
        let address = entry.address.or(server.listed.address);
        server.listed = Listed { address, ..entry };
        // A confirmed word undoes all guesses.
        server.evidence = Evidence::default();
        server.withheld = false;
        let is = server.listed.readiness;
        let group = server.group();
        if is != was.0 {
            server.since = now;
        }
        let restarted = server.listed.launched.is_some() && server.listed.launched != was.1;
        if restarted {
            server.seen = now;
            if was == (Readiness::Ready, was.1) && is == Readiness::Ready && was.1.is_some() {
                // It has been through a drain that was never heard of: a release may be under way.
                self.release.went(now, group);
                self.release.came(now, group);
            }
        }
        if server.word.is_none() {
            self.marked.remove(&id);
        }
        self.note(now, id, was.0, is, group);
        self.changed.insert(id);
        let tag = tag(self.get(id)?.hash);
        (is != was.0 || is != before).then_some(Change { tag, readiness: is, version })
    }

    /// Keeps the counts that follow from a change of the list's word.
    fn note(&mut self, now: Millis, id: WorkerId, was: Readiness, is: Readiness, group: Group) {
        if was == is {
            return;
        }
        self.ready = self.ready + usize::from(is == Readiness::Ready) - usize::from(was == Readiness::Ready);
        match (was, is) {
            (Readiness::Ready, _) => self.release.went(now, group),
            // The first list is no release.
            (_, Readiness::Ready) if self.version.is_some() => self.release.came(now, group),
            _ => {}
        }
        if is == Readiness::Gone {
            self.gone.insert((now.to_bits(), id));
        } else if was == Readiness::Gone {
            self.gone.retain(|&(_, gone)| gone != id);
        }
    }

    fn add(&mut self, now: Millis, entry: &Listed) -> WorkerId {
        let hash = hash(&entry.name);
        let id = self.free.pop().unwrap_or(self.servers.len());
        if id == self.servers.len() {
            self.servers.push(None);
        }
        let listed = Listed { readiness: Readiness::Gone, launched: None, ..entry.clone() };
        self.servers[id] = Some(Server {
            listed,
            hash,
            version: 0,
            source: Source::Known,
            since: now,
            seen: now,
            round: 0,
            word: None,
            evidence: Evidence::default(),
            withheld: false,
            withheld_at: now,
            doubt: 0.0,
        });
        self.ids.insert(entry.name.clone(), id);
        self.tags.insert(tag(hash), id);
        id
    }

    /// A line is complete: the table is of this version now. After a whole list who was not named is gone; gives
    /// what peers are to be told of these.
    pub(super) fn commit(&mut self, now: Millis, version: u64, snapshot: bool) -> Vec<Change> {
        self.round += 1;
        let mut away = Vec::new();
        if snapshot {
            for id in 0..self.servers.len() {
                let Some(server) = self.servers[id].as_mut().filter(|server| server.round < self.round)
                else {
                    continue;
                };
                let was = server.listed.readiness;
                if was == Readiness::Gone {
                    continue;
                }
                server.listed.readiness = Readiness::Gone;
                (server.since, server.version) = (now, version);
                server.word = server.word.filter(|word| !word.is_answered_by(version));
                if server.word.is_none() {
                    self.marked.remove(&id);
                }
                let (group, tag) = (server.group(), tag(server.hash));
                self.note(now, id, was, Readiness::Gone, group);
                self.changed.insert(id);
                away.push(Change { tag, readiness: Readiness::Gone, version });
            }
        }
        if self.version != Some(version) {
            self.version_at = now;
        }
        self.version = Some(version);
        away
    }

    /// Drops the words that a complete line has answered: the list held is as new as they, or it is a whole one that was
    /// asked for after they were heard, and versions were counted from anew meanwhile. A whole list that is merely older
    /// comes from a discovery that lags, and answers nothing.
    pub(super) fn answer_words(&mut self, asked_at: Millis, snapshot: bool) {
        let held = self.version.unwrap_or(0);
        for id in self.marked.clone() {
            let Some(server) = self.servers[id].as_mut() else { continue };
            if server
                .word
                .is_some_and(|word| word.version <= held || snapshot && word.renumbered && word.at < asked_at)
            {
                server.word = None;
                self.changed.insert(id);
            }
        }
    }

    /// A line that is not complete yet takes a server away.
    pub(super) fn withdraw(&mut self, now: Millis, id: WorkerId, readiness: Readiness) {
        let version = self.version.unwrap_or(0) + 1;
        self.word(now, id, readiness, version, Source::BrokenLine);
    }

    /// Another scheduler's word on a server. Older words, and those that would make one ready, change nothing: below a
    /// withdrawal lies the own list, which is older than it, and so older than the server's return. Tells whether
    /// something is taken away by it.
    pub(super) fn word(
        &mut self,
        now: Millis,
        id: WorkerId,
        readiness: Readiness,
        version: u64,
        source: Source,
    ) -> bool {
        let held = self.version.unwrap_or(0);
        let Some(server) = self.servers.get_mut(id).and_then(Option::as_mut) else { return false };
        if readiness == Readiness::Ready
            || version <= held
            || server.word.is_some_and(|word| word.version > version)
        {
            return false;
        }
        if server.listed.readiness != Readiness::Ready {
            return false;
        }
        let before = server.believed().0;
        server.word = Some(Word { readiness, source, version, at: now, renumbered: false });
        let after = server.believed().0;
        self.marked.insert(id);
        if before != after {
            self.changed.insert(id);
        }
        let taken = before == Readiness::Ready && after != Readiness::Ready;
        if taken {
            self.taken.push(id);
        }
        taken
    }

    /// Takes in what a server's behaviour says; tells whether its weight is enough to look again.
    pub(super) fn evidence(&mut self, now: Millis, id: WorkerId, word: ServerWord) -> bool {
        let Some(server) = self.servers.get_mut(id).and_then(Option::as_mut) else { return false };
        if server.listed.readiness != Readiness::Ready {
            return false;
        }
        server.evidence.add(now, word);
        if server.evidence.nothing(now) && server.word.is_none() && !server.withheld {
            return false;
        }
        self.marked.insert(id);
        server.suspected(now) != server.withheld
    }

    /// Weighs evidence and the release under way anew. While discovery's word is fresh neither counts.
    pub(super) fn review(&mut self, now: Millis, fresh: Freshness) {
        let unsure = fresh != Freshness::Fresh;
        let most = (HELD_BACK * self.ready as f64) as usize;
        let weight = |&id: &WorkerId| self.get(id).map_or(0.0, |server| server.evidence.now(now));
        let suspected = |&id: &WorkerId| self.get(id).is_some_and(|server| server.suspected(now));
        let mut suspects: Vec<WorkerId> = self.marked.iter().copied().filter(suspected).collect();
        suspects.sort_by(|a, b| weight(b).total_cmp(&weight(a)).then(a.cmp(b)));
        suspects.truncate(if unsure { most } else { 0 });
        for id in self.marked.clone() {
            let Some(server) = self.servers[id].as_mut() else { continue };
            let withheld = suspects.contains(&id);
            if withheld != server.withheld {
                (server.withheld, server.withheld_at) = (withheld, now);
                if withheld {
                    self.taken.push(id);
                }
                self.changed.insert(id);
            }
        }
        let release = self.release.under_way(now);
        if unsure && release || self.doubting {
            self.doubt_release(unsure && release);
        }
    }

    /// Doubts the servers that the release under way has not come to, or none.
    fn doubt_release(&mut self, release: bool) {
        self.doubting = release;
        let since = self.release.since();
        let is_old = |server: &Server| server.listed.readiness == Readiness::Ready && server.seen < since;
        let mut old: BTreeMap<Group, usize> = BTreeMap::new();
        if release {
            for server in self.servers.iter().flatten().filter(|server| is_old(server)) {
                *old.entry(server.group()).or_default() += 1;
            }
        }
        for (id, server) in self.servers.iter_mut().enumerate() {
            let Some(server) = server.as_mut() else { continue };
            let group = server.group();
            let doubt = old.get(&group).filter(|_| is_old(server));
            let doubt = doubt.map_or(0.0, |&old| self.release.doubt(group, old));
            if doubt != server.doubt {
                server.doubt = doubt;
                self.changed.insert(id);
            }
        }
    }

    /// Forgets servers gone for long, and words that nothing has answered for long. `fresh_since`: since when a watch has
    /// worked without a break, if one does.
    pub(super) fn forget(&mut self, now: Millis, fresh_since: Option<Millis>) {
        while let Some(&(at, id)) = self.gone.first()
            && now >= f64::from_bits(at) + FORGET
        {
            self.gone.pop_first();
            if let Some(server) = self.servers[id].take() {
                self.ids.remove(&server.listed.name);
                if self.tags.get(&tag(server.hash)) == Some(&id) {
                    self.tags.remove(&tag(server.hash));
                }
                self.marked.remove(&id);
                self.changed.remove(&id);
                self.free.push(id);
            }
        }
        for id in self.marked.clone() {
            let Some(server) = self.servers[id].as_mut() else { continue };
            let unanswered =
                |word: Word| fresh_since.is_some_and(|since| now >= word.at.max(since) + WORD_LIFE);
            if server.word.is_some_and(unanswered) {
                server.word = None;
                self.changed.insert(id);
            }
            if server.word.is_none() && !server.withheld && server.evidence.nothing(now) {
                self.marked.remove(&id);
            }
        }
    }

    /// When something is to be forgotten next.
    pub(super) fn next_timeout(&self) -> Millis {
        self.gone.first().map_or(f64::INFINITY, |&(at, _)| f64::from_bits(at) + FORGET)
    }

    /// A line for the log on each server that was taken away other than by a whole line.
    pub(super) fn take_reasons(&mut self, now: Millis) -> Vec<String> {
        let taken = std::mem::take(&mut self.taken);
        let reason = |id: WorkerId| {
            let server = self.get(id)?;
            let Belief { readiness, source, version, .. } = server.belief(now);
            let what = if readiness == Readiness::Gone { "gone" } else { "draining" };
            Some(format!("{} is taken for {what} by word of {source}, version {version}", server.listed.name))
        };
        taken.into_iter().filter_map(reason).collect()
    }

    /// The entries that have changed since this was last asked, for the decision module.
    pub(super) fn take_changes(&mut self) -> Vec<WorkerEntry> {
        let changed = std::mem::take(&mut self.changed);
        let entry = |id: WorkerId| {
            let server = self.get(id)?;
            let (readiness, doubt) = server.believed();
            let Listed { name, zone, kind, cell, weight, launched, .. } = server.listed.clone();
            Some(WorkerEntry { id, name, zone, kind, cell, readiness, weight, launched, doubt })
        };
        changed.into_iter().filter_map(entry).collect()
    }
}
