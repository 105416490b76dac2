//! Who is in the tier and what we own on its behalf, on sockets: carries the orders of `membership` and `ownership`
//! out, and their messages to them. A datagram's first byte says whose it is; none begins a text of the others.
//!
//! The clock is CLOCK_BOOTTIME: it counts the time that the process was stopped, and that the machine slept. A pause
//! between asking the lease and the deed makes the deed late; its receivers refuse it by its term.

use super::epoch_store::EpochStore;
use super::event_loop::Millis;
use super::peer::Peer;
use brackenledge_leases::{Command, Deed, Fence, Living, Message, Ownership, Settings, Term};
use brackenledge_membership::{Command as MembershipCommand, MemberState, Membership, ProcessId, SwimConfig};
use brackenledge_policy::split_sums;
use brackenledge_protocol::operations::Operations;
use slog::{Logger, info, warn};
use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

/// The first byte of a datagram: membership's, ownership's, and an owner's deed. No text between schedulers, which is
/// ASCII, begins with one of them.
const MEMBERSHIP: u8 = 0xf1;
const OWNERSHIP: u8 = 0xf2;
const DEED: u8 = 0xf3;
/// What a scheduler saw of zones, for the owner of that duty.
pub const SEEN: u8 = 0xf4;
/// The longest datagram.
const DATAGRAM_MOST: usize = 256;

/// The duty of telling all the sums of loads, in tiers that have a relay.
pub const RELAY: u8 = 0;
/// The duty of planning where each zone's work goes, where operators ask for it.
pub const ZONES: u8 = 1;
/// Duties by number.
const DUTIES: [&str; 2] = ["relay", "zones"];

/// What a datagram turned out to be.
pub enum Heard {
    /// The tier's own: it has been taken in.
    Own,
    /// Sums of loads, by their owner under a term that holds.
    Sums(String),
    /// A plan for zones, likewise.
    Plan(Vec<u8>),
    /// What a scheduler saw of zones.
    Seen(Vec<u8>),
}

/// See the module's page.
pub struct Cluster {
    membership: Membership,
    ownership: Ownership,
    fence: Fence,
    /// How many schedulers budgets and allowances reckon with, and what they were told last.
    living: Living,
    living_told: usize,
    /// Where the latest epoch is kept, if anywhere; its last failure has been told.
    state: Option<EpochStore>,
    state_fails: bool,
    /// Sums that were ours to compute and not ours to tell.
    withheld: u64,
    /// Datagrams that made no sense.
    nonsense: u64,
    /// A newer process has our number: when we last got something that was meant for it.
    replaced: Option<u64>,
    leaving: bool,
    ordinal: u32,
    seats: usize,
    operations: Operations,
    seed: u64,
}

/// A newer process of our number that nothing was meant for in so long, in microseconds, is gone: longer than
/// membership takes to find that out.
const REPLACED: u64 = 15_000_000;

/// How long a scheduler may count on being on the roll, in microseconds, at the usual lease: longer than a steward takes to be
/// followed (1.6 to 2.2 s), or cover would pause with each that goes; it is what a lost scheduler's jobs wait.
const STAY: u64 = 2_300_000;

/// Microseconds on the clock that counts everything.
pub fn micros() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    u64::try_from(time.tv_sec).unwrap_or(0) * 1_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000
}

fn millis(micros: u64) -> Millis {
    micros as Millis / 1_000.0
}

impl Cluster {
    /// A process that has just started.
    pub fn new(ordinal: u32, seats: usize, operations: &Operations, seed: u64) -> Result<Cluster, String> {
        let state = operations.state_dir.as_deref().map(|at| EpochStore::open(at, ordinal)).transpose();
        let state = state.map_err(|error| format!("tier.state_dir: {error}"))?;
        Ok(Cluster::with(state, ordinal, seats, operations, seed))
    }

    fn with(
        state: Option<EpochStore>,
        ordinal: u32,
        seats: usize,
        operations: &Operations,
        seed: u64,
    ) -> Cluster {
        let (number, size) = (ordinal, seats);
        let (ordinal, seats) = (ordinal as u16, seats as u16);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let me = ProcessId { ordinal, incarnation: unix.as_millis() as u64 };
        let seeds = (0..seats).filter(|&other| other != ordinal).collect();
        let times = SwimConfig::for_cluster_size(usize::from(seats));
        let now = micros();
        // A duty that nobody is asked to do is nobody's.
        let duties = if operations.zones.on { DUTIES.len() } else { DUTIES.len() - 1 };
        let usual = Settings::new(seats, duties as u8);
        // The other times keep their ratio to the lease.
        let scaled = |time: u64| (time as f64 * operations.lease * 1_000.0 / usual.lease as f64) as u64;
        let settings = Settings {
            voters: operations.voters,
            // Longer than a steward takes to be followed, or cover would pause with each that goes.
            stay: if operations.failover.on { scaled(STAY) } else { 0 },
            lease: scaled(usual.lease),
            beat: scaled(usual.beat),
            wait: scaled(usual.wait),
            dead: scaled(usual.dead),
            ..usual
        };
        let mut ownership = Ownership::new(now, me, unix.as_secs() as u32, settings);
        if let Some(state) = &state {
            ownership.recall(state.kept());
        }
        Cluster {
            membership: Membership::new(millis(now), me, seeds, &times, seed),
            ownership,
            fence: Fence::default(),
            // Whoever has not heard of a roll for `wait` reckons with all seats, and a roll is told each beat.
            living: Living::new(size, settings.wait + settings.beat),
            living_told: size,
            state,
            state_fails: false,
            withheld: 0,
            nonsense: 0,
            replaced: None,
            leaving: false,
            ordinal: number,
            seats: size,
            operations: operations.clone(),
            seed,
        }
    }

    /// Comes back as a process that has just started, once the newer one of our number is gone.
    fn come_back(&mut self, log: &Logger) {
        let (withheld, nonsense, fence) = (self.withheld, self.nonsense, std::mem::take(&mut self.fence));
        // What the decision module was told stands until it is told otherwise.
        let told = self.living_told;
        *self = Cluster::with(self.state.take(), self.ordinal, self.seats, &self.operations, self.seed);
        self.living_told = told;
        (self.withheld, self.nonsense, self.fence) = (withheld, nonsense, fence);
        info!(log, "the newer process of our number is gone: we take part again");
    }

    /// Takes a datagram in, if it is one of the tier's; `None`: it is none.
    pub fn handle_message(&mut self, from: u16, bytes: &[u8]) -> Option<Heard> {
        let (kind, bytes) = bytes.split_first()?;
        let now = micros();
        match *kind {
            MEMBERSHIP if self.replaced.is_some() => {
                if self.membership.is_for_newer_incarnation(bytes) {
                    self.replaced = Some(now);
                }
            }
            MEMBERSHIP => {
                self.membership.handle_message(millis(now), bytes);
            }
            OWNERSHIP => match Message::read(bytes) {
                Some(message) => {
                    if let Message::News { duties, steward, from, .. } = &message
                        && *steward == Some(*from)
                    {
                        duties.iter().for_each(|&(duty, term, owner)| self.fence.heard(duty, term, owner));
                    }
                    self.ownership.handle_message(now, from, message);
                }
                None => self.nonsense += 1,
            },
            DEED => {
                let deed = Deed::read(bytes).filter(|(deed, _)| deed.owner.ordinal == from);
                let sense = deed.and_then(|(deed, text)| match deed.duty {
                    RELAY => Some((deed, Heard::Sums(std::str::from_utf8(text).ok()?.to_owned()))),
                    ZONES => Some((deed, Heard::Plan(text.to_vec()))),
                    _ => None,
                });
                match sense {
                    Some((deed, heard)) => {
                        if self.fence.accept(deed.duty, deed.term, deed.owner).is_ok() {
                            return Some(heard);
                        }
                    }
                    None => self.nonsense += 1,
                }
            }
            SEEN => return Some(Heard::Seen(bytes.to_vec())),
            _ => return None,
        }
        Some(Heard::Own)
    }

    /// Does what is due; how long until something is due again.
    pub fn handle_timeout(&mut self, peer: &Peer, log: &Logger) -> Millis {
        let now = micros();
        if let Some(last) = self.replaced {
            if now < last + REPLACED || self.leaving {
                return 1_000.0;
            }
            self.come_back(log);
        }
        self.membership.handle_timeout(millis(now));
        self.carry_out(peer, log);
        self.ownership.handle_timeout(now);
        self.carry_out(peer, log);
        let next = self.membership.next_timeout().min(millis(self.ownership.next_timeout(now)));
        // Never at once again: what is due now was done now.
        (next - millis(now)).clamp(1.0, 1_000.0)
    }

    /// Carries out what both have ordered.
    pub fn carry_out(&mut self, peer: &Peer, log: &Logger) {
        let mut changed = false;
        while let Some(order) = self.membership.poll_command() {
            match order {
                MembershipCommand::Send { to, bytes } => send(peer, Some(to), MEMBERSHIP, &bytes),
                MembershipCommand::MemberUp(process) => {
                    changed = true;
                    info!(log, "member up"; "ordinal" => process.ordinal, "boot" => process.incarnation);
                }
                MembershipCommand::MemberDown(process) => {
                    changed = true;
                    info!(log, "member down"; "ordinal" => process.ordinal, "boot" => process.incarnation);
                }
                MembershipCommand::Superseded => {
                    info!(log, "another process has our number and is newer: we own nothing any more");
                    self.ownership.leave(micros());
                    self.replaced = Some(micros());
                }
            }
        }
        if changed {
            self.ownership.alive(self.membership.active_members());
        }
        while let Some(order) = self.ownership.poll_command() {
            match order {
                Command::Send(to, message) => {
                    if self.remembered(log) {
                        send(peer, to, OWNERSHIP, &message.write());
                    }
                }
                Command::Owns(duty, term) => {
                    let name = DUTIES.get(usize::from(duty)).copied().unwrap_or("unknown");
                    let term = term.map_or("none".into(), |term| term.to_string());
                    info!(log, "duty"; "name" => name, "our_term" => term);
                    if let Some(known) = self.ownership.known(duty) {
                        self.fence.heard(duty, known.term, known.owner);
                    }
                }
                Command::Log(text) => info!(log, "tier"; "what" => text),
            }
        }
    }

    /// Whether what we know of epochs is kept, where it has to be. What can't be kept must not be told: without its
    /// disk a process takes no part, and serves on.
    fn remembered(&mut self, log: &Logger) -> bool {
        let Some(state) = &mut self.state else { return true };
        let kept = state.keep(self.ownership.seen());
        let failed = kept.is_err();
        if let Err(error) = kept
            && !self.state_fails
        {
            warn!(log, "tier.state_dir can't be written: we take no part in the tier until it can"; "error" => %error);
        }
        self.state_fails = failed;
        !failed
    }

    /// How many schedulers are to be reckoned with, if that is another number than was told last.
    pub fn living_changed(&mut self) -> Option<u32> {
        let now = micros();
        let on_roll = if self.replaced.is_some() { None } else { self.ownership.on_roll(now) };
        let count = self.living.count(now, on_roll);
        (std::mem::replace(&mut self.living_told, count) != count).then_some(count as u32)
    }

    /// We stop: what we own is given back, and the others hear that we go.
    pub fn leave(&mut self, peer: &Peer, log: &Logger) {
        let now = micros();
        self.leaving = true;
        self.ownership.leave(now);
        self.membership.leave(millis(now));
        self.carry_out(peer, log);
    }

    /// Who we are.
    pub fn me(&self) -> ProcessId {
        self.membership.me()
    }

    /// The roll of members with its term, and until when we may count on being on it.
    pub fn roll(&self) -> (Term, &BTreeMap<u16, u64>, Option<u64>) {
        let (term, members) = self.ownership.roll();
        (term, members, self.ownership.stays(micros()))
    }

    /// We do nothing more that others must wait for.
    pub fn let_go(&mut self, peer: &Peer, log: &Logger) {
        self.ownership.let_go();
        self.carry_out(peer, log);
    }

    /// Tells all the sums of loads, if that is ours to do at this moment.
    pub fn tell_sums(&mut self, peer: &Peer, text: &str) {
        let Some(term) = self.ownership.may(micros(), RELAY) else {
            self.withheld += 1;
            return;
        };
        for part in split_sums(text, DATAGRAM_MOST - 1 - Deed::HEAD_MOST) {
            self.tell_deed(peer, RELAY, term, part.as_bytes());
        }
    }

    /// The term under which we own a duty at this moment.
    pub fn may(&self, duty: u8) -> Option<Term> {
        self.ownership.may(micros(), duty)
    }

    /// Who owns a duty, as heard last.
    pub fn owner_of(&self, duty: u8) -> Option<ProcessId> {
        let own = self.may(duty).map(|_| self.me());
        own.or_else(|| self.ownership.known(duty).map(|known| known.owner))
    }

    /// Does a deed of ours, to all: under the term by which it was found to be ours just now.
    pub fn tell_deed(&self, peer: &Peer, duty: u8, term: Term, what: &[u8]) {
        send(peer, None, DEED, &Deed { owner: self.membership.me(), duty, term }.write(what));
    }

    /// For operators: the view, and a line for each process.
    pub fn members(&self) -> Vec<String> {
        let shown = self.ownership.shown(micros());
        let name =
            |process: Option<ProcessId>| process.map_or("none".into(), |process| process.ordinal.to_string());
        let mut lines = vec![match &shown.view {
            Some((view, age)) => {
                let voters: Vec<String> = view.voters.iter().map(|voter| voter.ordinal.to_string()).collect();
                format!(
                    "view={}.{} age_ms={} steward={} voters={} living={}",
                    view.epoch.era,
                    view.epoch.number,
                    age / 1_000,
                    name(shown.steward),
                    voters.join(","),
                    self.living_told
                )
            }
            None => format!("view=none age_ms=0 steward=none voters=none living={}", self.living_told),
        }];
        let me = self.membership.me();
        let mut all: Vec<(ProcessId, &str)> = (self.membership.peers())
            .map(|(process, standing)| {
                let word = match standing {
                    MemberState::Alive => "alive",
                    MemberState::Suspect => "suspected",
                    MemberState::Down => "gone",
                };
                (process, word)
            })
            .chain([(me, "alive")])
            .collect();
        all.sort();
        lines.extend(all.into_iter().map(|(process, word)| {
            let agreed = shown.roll.1.get(&process.ordinal) == Some(&process.incarnation);
            let (ordinal, incarnation) = (process.ordinal, process.incarnation);
            let own = if process == me { "yes" } else { "no" };
            format!("member={ordinal} boot={incarnation} standing={word} on_roll={agreed} self={own}")
        }));
        lines
    }

    /// For operators: a line for each duty, and one of counts.
    pub fn duties(&self) -> Vec<String> {
        let now = micros();
        let shown = self.ownership.shown(now);
        let duties = if self.operations.zones.on { DUTIES.len() } else { DUTIES.len() - 1 };
        let mut lines: Vec<String> = (DUTIES.iter().take(duties).enumerate())
            .map(|(duty, name)| match shown.duties.get(&(duty as u8)) {
                Some((term, owner, left)) => {
                    let left = left.map_or("none".into(), |left| (left / 1_000).to_string());
                    format!("duty={name} owner={} term={term} own_lease_left_ms={left}", owner.ordinal)
                }
                None => format!("duty={name} owner=none term=none own_lease_left_ms=none"),
            })
            .collect();
        let counts = self.membership.counts();
        lines.push(format!(
            "deeds_accepted={} deeds_refused={} sums_withheld={} nonsense={} dropped={} given_up_by_mistake={}",
            self.fence.accepted,
            self.fence.refused,
            self.withheld,
            self.nonsense + counts.malformed,
            self.ownership.dropped,
            counts.false_deaths
        ));
        lines
    }
}

pub(super) fn send(peer: &Peer, to: Option<u16>, kind: u8, bytes: &[u8]) {
    let mut datagram = Vec::with_capacity(bytes.len() + 1);
    datagram.push(kind);
    datagram.extend_from_slice(bytes);
    peer.send(to.map(u32::from), &datagram);
}

#[cfg(test)]
mod tests;
