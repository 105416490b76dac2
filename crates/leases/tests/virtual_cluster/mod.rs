//! A simulated cluster on a virtual clock, with a network that loses and delays messages. After each step it
//! checks the invariants: a role has at most one holder, a term has at most one holder, and no leader
//! violates a member lease.
#![allow(dead_code)]

use brackenledge_leases::{
    Command, FencingGuard, LeaseManager, MAX_MESSAGE_LENGTH, Message, Micros, ProcessId, RoleGrant, Settings,
    Term,
};
use std::collections::{BTreeMap, BTreeSet};

pub const MS: Micros = 1_000;
pub const ROLES: u8 = 2;

/// Random numbers by SplitMix64, so that a seed gives the same run on every machine.
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

/// A node that was started or killed, and when membership detects it.
struct MembershipChange {
    detected_at: Micros,
    node: usize,
    incarnation: u64,
    alive: bool,
}

pub struct Cluster {
    pub now: Micros,
    pub nodes: Vec<Option<LeaseManager>>,
    pub paused: BTreeSet<usize>,
    /// Links that drop all messages, from one node to another.
    pub cut: BTreeSet<(usize, usize)>,
    /// Message loss in percent.
    loss: u64,
    /// Minimum delivery time of a message.
    pub delay: Micros,
    pub in_flight: Vec<Packet>,
    rng: Rng,
    guards: Vec<FencingGuard>,
    holders: BTreeMap<(u8, Term), ProcessId>,
    /// Clock drift of each node, in parts per 10,000.
    pub drift: Vec<i64>,
    /// Changes that membership has not detected yet.
    membership_changes: Vec<MembershipChange>,
    /// Incarnation of each process that membership considers alive, by ordinal.
    alive: BTreeMap<u16, u64>,
    /// How often a process was found to hold a member lease. If it is 0, the check of member leases has
    /// tested nothing.
    pub member_leases_seen: usize,
}

impl Cluster {
    pub fn new(size: usize, loss: u64, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            now: 1_000_000 * MS,
            nodes: (0..size).map(|_| None).collect(),
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            loss,
            delay: MS,
            in_flight: Vec::new(),
            rng: Rng(seed),
            guards: vec![FencingGuard::default(); size],
            holders: BTreeMap::new(),
            drift: vec![0; size],
            membership_changes: Vec::new(),
            alive: BTreeMap::new(),
            member_leases_seen: 0,
        };
        (0..size).for_each(|index| cluster.start(index));
        cluster
    }

    /// Reading of the node's own clock.
    pub fn clock(&self, index: usize) -> Micros {
        (self.now as i64 + self.now as i64 / 10_000 * self.drift[index]) as Micros
    }

    pub fn start(&mut self, index: usize) {
        let incarnation = self.now / MS;
        let settings =
            Settings { member_lease_duration: 2_500 * MS, ..Settings::new(self.nodes.len() as u16, ROLES) };
        let me = ProcessId { ordinal: index as u16, incarnation };
        self.nodes[index] =
            Some(LeaseManager::new(self.clock(index), me, (self.now / 1_000_000) as u32, settings));
        self.guards[index] = FencingGuard::default();
        let detected_at = self.now + 500 * MS;
        self.membership_changes.push(MembershipChange { detected_at, node: index, incarnation, alive: true });
    }

    pub fn kill(&mut self, index: usize) {
        let killed = self.nodes[index].take();
        let incarnation = killed.map_or(0, |node| node.me().incarnation);
        let detected_at = self.now + 5_000 * MS;
        self.membership_changes.push(MembershipChange {
            detected_at,
            node: index,
            incarnation,
            alive: false,
        });
    }

    pub fn execute_commands(&mut self, index: usize) {
        while let Some(command) = self.nodes[index].as_mut().and_then(LeaseManager::poll_command) {
            match command {
                Command::Send { to, message } => self.send(index, vec![usize::from(to)], message),
                Command::Broadcast(message) => self.send(index, (0..self.nodes.len()).collect(), message),
                Command::RoleLeaseChanged { .. } | Command::Event(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, receivers: Vec<usize>, message: Message) {
        let bytes = message.encode();
        assert!(bytes.len() <= MAX_MESSAGE_LENGTH, "{} bytes: {message:?}", bytes.len());
        for to in receivers {
            if to != from && !self.cut.contains(&(from, to)) && self.rng.below(100) >= self.loss {
                let arrives_at = self.now + self.delay + self.rng.below(20_000);
                self.in_flight.push(Packet { arrives_at, from, to, bytes: bytes.clone() });
            }
        }
    }

    /// Each holder sends an action to all nodes, whose guards accept or reject it. Checks that there is one
    /// holder for each role and term.
    fn send_actions(&mut self) {
        for role in 0..ROLES {
            let mut current_holders = Vec::new();
            for index in (0..self.nodes.len()).filter(|index| !self.paused.contains(index)) {
                let Some(node) = &self.nodes[index] else { continue };
                let Some(term) = node.holds_lease(self.clock(index), role) else { continue };
                current_holders.push(index);
                let holder = self
                    .holders
                    .entry((role, term))
                    .or_insert(ProcessId { ordinal: index as u16, incarnation: 0 });
                assert_eq!(usize::from(holder.ordinal), index, "two holders under {term}");
                for to in 0..self.guards.len() {
                    let _ = self.guards[to].accept(
                        role,
                        term,
                        ProcessId { ordinal: index as u16, incarnation: 0 },
                    );
                }
            }
            assert!(current_holders.len() <= 1, "{current_holders:?} all hold role {role} at {}", self.now);
        }
    }

    pub fn run(&mut self, ms: Micros) {
        let until = self.now + ms * MS;
        while self.now < until {
            self.now += 10 * MS;
            self.deliver_due();
            self.update_membership();
            for index in 0..self.nodes.len() {
                if !self.paused.contains(&index) {
                    self.handle_timeout(index);
                }
            }
            self.send_actions();
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
        let message = Message::decode(bytes).expect("a valid message");
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

    /// Applies the changes that membership has detected by now.
    fn update_membership(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.membership_changes)
            .into_iter()
            .partition(|change| change.detected_at <= self.now);
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

    fn handle_timeout(&mut self, index: usize) {
        let clock = self.clock(index);
        let reachable = |other: &u16| {
            let other = usize::from(*other);
            !self.cut.contains(&(other, index)) || other == index
        };
        let alive: Vec<ProcessId> = (self.alive.iter())
            .filter(|(ordinal, _)| reachable(ordinal))
            .map(|(&ordinal, &incarnation)| ProcessId { ordinal, incarnation })
            .collect();
        if let Some(node) = &mut self.nodes[index] {
            node.set_alive_members(alive);
            node.handle_timeout(clock);
            self.execute_commands(index);
        }
    }

    /// Checks that each holder of a member lease is in every leader's list that is newer than its own list.
    fn check_member_leases(&mut self) {
        let holds_lease = |index: usize, node: &LeaseManager| node.member_lease(self.clock(index)).is_some();
        let nodes =
            || self.nodes.iter().enumerate().filter_map(|(index, node)| Some((index, node.as_ref()?)));
        for (index, node) in nodes().filter(|(index, node)| holds_lease(*index, node)) {
            for (other, leader) in nodes().filter(|(other, node)| node.is_leader(self.clock(*other))) {
                let (term, members) = (leader.member_list().term, &leader.member_list().members);
                let listed = members.contains(node.me());
                assert!(
                    listed || term <= node.member_list().term,
                    "leader {other} does not list {index}, which holds a member lease, at {}: {members:?}",
                    self.now
                );
            }
        }
        self.member_leases_seen += nodes().filter(|(index, node)| holds_lease(*index, node)).count();
    }

    pub fn holder(&self, role: u8) -> Option<usize> {
        (0..self.nodes.len()).find(|&index| {
            let node = self.nodes[index].as_ref().filter(|_| !self.paused.contains(&index));
            node.is_some_and(|node| node.holds_lease(self.clock(index), role).is_some())
        })
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len())
            .find(|&index| self.nodes[index].as_ref().is_some_and(|node| node.is_leader(self.clock(index))))
    }

    pub fn bootstrapped(size: usize, loss: u64, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(size, loss, seed);
        cluster.run(12_000);
        assert!(
            cluster.holder(0).is_some() && cluster.holder(1).is_some(),
            "cluster of {size}, loss {loss}%, seed {seed}: a role has no holder after the bootstrap"
        );
        cluster
    }

    pub fn cut_between(&mut self, side_a: &[usize], side_b: &[usize]) {
        for &a in side_a {
            side_b.iter().for_each(|&b| self.cut.extend([(a, b), (b, a)]));
        }
    }
}
