//! A cluster on a virtual clock, over a network that loses and delays messages. In each step it checks the invariants: no
//! two holders of a role or under a term, and no member lease that a leader does not keep.
#![allow(dead_code)]

use brackenledge_leases::{
    Command, FencingGuard, LeaseManager, MAX_MESSAGE_LENGTH, Message, Micros, ProcessId, RoleGrant, Settings,
    Term,
};
use std::collections::{BTreeMap, BTreeSet};

pub const MS: Micros = 1_000;
pub const ROLES: u8 = 2;

/// Numbers by SplitMix64: a test's own seed, the same everywhere.
struct Rng(u64);

impl Rng {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) % limit
    }
}

/// A message in flight.
pub struct Packet {
    pub arrives_at: Micros,
    pub from: usize,
    pub to: usize,
    pub bytes: Vec<u8>,
}

/// A node that has started or been killed, and when membership notices that.
struct MembershipChange {
    noticed_at: Micros,
    node: usize,
    incarnation: u64,
    alive: bool,
}

pub struct Cluster {
    pub now: Micros,
    pub nodes: Vec<Option<LeaseManager>>,
    pub paused: BTreeSet<usize>,
    pub cut: BTreeSet<(usize, usize)>,
    loss: u64,
    /// Least time that a message travels.
    pub delay: Micros,
    pub in_flight: Vec<Packet>,
    rng: Rng,
    guards: Vec<FencingGuard>,
    holders: BTreeMap<(u8, Term), ProcessId>,
    /// Clocks run faster or slower by so many parts in 10,000.
    pub drift: Vec<i64>,
    /// Membership notices a change so late.
    membership_changes: Vec<MembershipChange>,
    alive: BTreeMap<u16, u64>,
    /// How often a process held a member lease, or the check of them shows nothing.
    pub member_leases_seen: usize,
}

impl Cluster {
    pub fn new(number: usize, loss: u64, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            now: 1_000_000 * MS,
            nodes: (0..number).map(|_| None).collect(),
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            loss,
            delay: MS,
            in_flight: Vec::new(),
            rng: Rng(seed),
            guards: vec![FencingGuard::default(); number],
            holders: BTreeMap::new(),
            drift: vec![0; number],
            membership_changes: Vec::new(),
            alive: BTreeMap::new(),
            member_leases_seen: 0,
        };
        (0..number).for_each(|at| cluster.start(at));
        cluster
    }

    /// A node's own clock.
    pub fn clock(&self, at: usize) -> Micros {
        (self.now as i64 + self.now as i64 / 10_000 * self.drift[at]) as Micros
    }

    pub fn start(&mut self, at: usize) {
        let incarnation = self.now / MS;
        let settings =
            Settings { member_lease_duration: 2_500 * MS, ..Settings::new(self.nodes.len() as u16, ROLES) };
        let me = ProcessId { ordinal: at as u16, incarnation };
        self.nodes[at] = Some(LeaseManager::new(self.clock(at), me, (self.now / 1_000_000) as u32, settings));
        self.guards[at] = FencingGuard::default();
        let noticed_at = self.now + 500 * MS;
        self.membership_changes.push(MembershipChange { noticed_at, node: at, incarnation, alive: true });
    }

    pub fn kill(&mut self, at: usize) {
        let killed = self.nodes[at].take();
        let incarnation = killed.map_or(0, |node| node.me().incarnation);
        let noticed_at = self.now + 5_000 * MS;
        self.membership_changes.push(MembershipChange { noticed_at, node: at, incarnation, alive: false });
    }

    pub fn execute_commands(&mut self, at: usize) {
        while let Some(command) = self.nodes[at].as_mut().and_then(LeaseManager::poll_command) {
            match command {
                Command::Send { to, message } => self.send(at, vec![usize::from(to)], message),
                Command::Broadcast(message) => self.send(at, (0..self.nodes.len()).collect(), message),
                Command::RoleLeaseChanged { .. } | Command::Event(_) => {}
            }
        }
    }

    fn send(&mut self, at: usize, receivers: Vec<usize>, message: Message) {
        let bytes = message.encode();
        assert!(bytes.len() <= MAX_MESSAGE_LENGTH, "{} bytes: {message:?}", bytes.len());
        for to in receivers {
            if to != at && !self.cut.contains(&(at, to)) && self.rng.below(100) >= self.loss {
                let arrives_at = self.now + self.delay + self.rng.below(20_000);
                self.in_flight.push(Packet { arrives_at, from: at, to, bytes: bytes.clone() });
            }
        }
    }

    /// Each holder acts on all, who accept it or not.
    fn act(&mut self) {
        for role in 0..ROLES {
            let mut believers = Vec::new();
            for at in (0..self.nodes.len()).filter(|at| !self.paused.contains(at)) {
                let Some(node) = &self.nodes[at] else { continue };
                let Some(term) = node.holds_lease(self.clock(at), role) else { continue };
                believers.push(at);
                let holder = self
                    .holders
                    .entry((role, term))
                    .or_insert(ProcessId { ordinal: at as u16, incarnation: 0 });
                assert_eq!(usize::from(holder.ordinal), at, "two holders under {term}");
                for to in 0..self.guards.len() {
                    let _ =
                        self.guards[to].accept(role, term, ProcessId { ordinal: at as u16, incarnation: 0 });
                }
            }
            assert!(believers.len() <= 1, "{believers:?} all hold role {role} at {}", self.now);
        }
    }

    pub fn run(&mut self, ms: Micros) {
        let until = self.now + ms * MS;
        while self.now < until {
            self.now += 10 * MS;
            self.deliver_due();
            self.update_membership();
            for at in 0..self.nodes.len() {
                if !self.paused.contains(&at) {
                    self.handle_timeout(at);
                }
            }
            self.act();
            self.check_member_leases();
        }
    }

    fn deliver_due(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|packet| packet.arrives_at <= self.now);
        self.in_flight = later;
        for packet in due {
            if self.paused.contains(&packet.to) {
                self.in_flight.push(Packet { arrives_at: self.now, ..packet });
            } else {
                self.deliver(packet.from, packet.to, &packet.bytes);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let message = Message::decode(bytes).expect("a message");
        if let Message::ViewUpdate { role_grants, .. } = &message {
            role_grants.iter().for_each(|&RoleGrant { role, term, holder }| {
                self.guards[to].observe(role, term, ProcessId { incarnation: 0, ..holder })
            });
        }
        let clock = self.clock(to);
        if let Some(node) = &mut self.nodes[to] {
            node.handle_message(clock, from as u16, message);
            self.execute_commands(to);
        }
    }

    /// Membership finds out what has changed long enough ago.
    fn update_membership(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.membership_changes)
            .into_iter()
            .partition(|change| change.noticed_at <= self.now);
        self.membership_changes = later;
        for MembershipChange { node, incarnation, alive, .. } in due {
            let ordinal = node as u16;
            if alive {
                self.alive.insert(ordinal, incarnation);
            } else if self.alive.get(&ordinal) == Some(&incarnation) {
                self.alive.remove(&ordinal);
            }
        }
    }

    fn handle_timeout(&mut self, at: usize) {
        let clock = self.clock(at);
        let reachable = |other: &u16| {
            let other = usize::from(*other);
            !self.cut.contains(&(other, at)) || other == at
        };
        let alive: Vec<ProcessId> = (self.alive.iter())
            .filter(|(ordinal, _)| reachable(ordinal))
            .map(|(&ordinal, &incarnation)| ProcessId { ordinal, incarnation })
            .collect();
        if let Some(node) = &mut self.nodes[at] {
            node.set_alive_members(alive);
            node.handle_timeout(clock);
            self.execute_commands(at);
        }
    }

    /// A process that holds a member lease is in the list of every leader whose list is newer than its own.
    fn check_member_leases(&mut self) {
        let holds_lease = |at: usize, node: &LeaseManager| node.member_lease(self.clock(at)).is_some();
        let nodes = || self.nodes.iter().enumerate().filter_map(|(at, node)| Some((at, node.as_ref()?)));
        for (at, node) in nodes().filter(|(at, node)| holds_lease(*at, node)) {
            for (other, leader) in nodes().filter(|(other, node)| node.is_leader(self.clock(*other))) {
                let (term, members) = (leader.member_list().term, &leader.member_list().members);
                let on = members.contains(node.me());
                assert!(
                    on || term <= node.member_list().term,
                    "{other} leaves {at} out at {}: {members:?}",
                    self.now
                );
            }
        }
        self.member_leases_seen += nodes().filter(|(at, node)| holds_lease(*at, node)).count();
    }

    pub fn holder(&self, role: u8) -> Option<usize> {
        (0..self.nodes.len()).find(|&at| {
            let node = self.nodes[at].as_ref().filter(|_| !self.paused.contains(&at));
            node.is_some_and(|node| node.holds_lease(self.clock(at), role).is_some())
        })
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len())
            .find(|&at| self.nodes[at].as_ref().is_some_and(|node| node.is_leader(self.clock(at))))
    }

    pub fn bootstrapped(number: usize, loss: u64, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(number, loss, seed);
        cluster.run(12_000);
        assert!(
            cluster.holder(0).is_some() && cluster.holder(1).is_some(),
            "{number} at {loss}%, seed {seed}: nobody holds a role"
        );
        cluster
    }

    pub fn cut_between(&mut self, one: &[usize], other: &[usize]) {
        for &a in one {
            other.iter().for_each(|&b| self.cut.extend([(a, b), (b, a)]));
        }
    }
}
