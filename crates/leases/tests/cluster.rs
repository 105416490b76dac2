//! Whole clusters from their bootstrap on, on a virtual clock over a lossy network: death, loss of memory, all at once,
//! splits, a pause, a clean leave; drift within its bound; and any bytes.
#![allow(missing_docs)]

use brackenledge_leases::{
    Command, FencingGuard, FencingToken, LeaseManager, MAX_MESSAGE_LENGTH, Message, Micros, ProcessId,
    RoleGrant, Settings, Term,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;
const ROLES: u8 = 2;

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

struct Cluster {
    now: Micros,
    nodes: Vec<Option<LeaseManager>>,
    paused: BTreeSet<usize>,
    cut: BTreeSet<(usize, usize)>,
    loss: u64,
    in_flight: Vec<(Micros, usize, usize, Vec<u8>)>,
    rng: Rng,
    guards: Vec<FencingGuard>,
    holders: BTreeMap<(u8, Term), ProcessId>,
    /// Clocks run faster or slower by so many parts in 10,000.
    drift: Vec<i64>,
    /// Membership notices a change so late.
    membership_changes: Vec<(Micros, usize, u64, bool)>,
    alive: BTreeMap<u16, u64>,
    /// Each time that a role had another holder: when, which, who.
    changes: Vec<(Micros, u8, usize)>,
    /// How often a process held a member lease, or the check of them shows nothing.
    member_leases_seen: usize,
}

impl Cluster {
    fn new(number: usize, loss: u64, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            now: 1_000_000 * MS,
            nodes: (0..number).map(|_| None).collect(),
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            loss,
            in_flight: Vec::new(),
            rng: Rng(seed),
            guards: vec![FencingGuard::default(); number],
            holders: BTreeMap::new(),
            drift: vec![0; number],
            membership_changes: Vec::new(),
            alive: BTreeMap::new(),
            changes: Vec::new(),
            member_leases_seen: 0,
        };
        (0..number).for_each(|at| cluster.start(at));
        cluster
    }

    /// A node's own clock.
    fn clock(&self, at: usize) -> Micros {
        (self.now as i64 + self.now as i64 / 10_000 * self.drift[at]) as Micros
    }

    fn start(&mut self, at: usize) {
        let incarnation = self.now / MS;
        let settings =
            Settings { member_lease_duration: 2_500 * MS, ..Settings::new(self.nodes.len() as u16, ROLES) };
        let me = ProcessId { ordinal: at as u16, incarnation };
        self.nodes[at] = Some(LeaseManager::new(self.clock(at), me, (self.now / 1_000_000) as u32, settings));
        self.guards[at] = FencingGuard::default();
        self.membership_changes.push((self.now + 500 * MS, at, incarnation, true));
    }

    fn kill(&mut self, at: usize) {
        let killed = self.nodes[at].take();
        let incarnation = killed.map_or(0, |node| node.me().incarnation);
        self.membership_changes.push((self.now + 5_000 * MS, at, incarnation, false));
    }

    fn carry_out(&mut self, at: usize) {
        while let Some(command) = self.nodes[at].as_mut().and_then(LeaseManager::poll_command) {
            match command {
                Command::Send { to, message } => self.send(at, vec![usize::from(to)], message),
                Command::Broadcast(message) => self.send(at, (0..self.nodes.len()).collect(), message),
                Command::RoleLeaseChanged { role, term: Some(_) } => self.changes.push((self.now, role, at)),
                Command::RoleLeaseChanged { .. } | Command::Event(_) => {}
            }
        }
    }

    fn send(&mut self, at: usize, receivers: Vec<usize>, message: Message) {
        let bytes = message.encode();
        assert!(bytes.len() <= MAX_MESSAGE_LENGTH, "{} bytes: {message:?}", bytes.len());
        for to in receivers {
            if to != at && !self.cut.contains(&(at, to)) && self.rng.below(100) >= self.loss {
                let due = self.now + MS + self.rng.below(20_000);
                self.in_flight.push((due, at, to, bytes.clone()));
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

    fn run(&mut self, ms: Micros) {
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
            std::mem::take(&mut self.in_flight).into_iter().partition(|message| message.0 <= self.now);
        self.in_flight = later;
        for (_, from, to, bytes) in due {
            if self.paused.contains(&to) {
                self.in_flight.push((self.now, from, to, bytes));
            } else {
                self.deliver(from, to, &bytes);
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
            self.carry_out(to);
        }
    }

    /// Membership finds out what has changed long enough ago.
    fn update_membership(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.membership_changes).into_iter().partition(|change| change.0 <= self.now);
        self.membership_changes = later;
        for (_, at, incarnation, alive) in due {
            let ordinal = at as u16;
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
            self.carry_out(at);
        }
    }

    /// A process that holds a member lease is in the list of every leader whose list is newer than its own.
    fn check_member_leases(&mut self) {
        let holds_lease = |at: usize, node: &LeaseManager| node.member_lease(self.clock(at)).is_some();
        let nodes = || self.nodes.iter().enumerate().filter_map(|(at, node)| Some((at, node.as_ref()?)));
        for (at, node) in nodes().filter(|(at, node)| holds_lease(*at, node)) {
            for (other, leader) in nodes().filter(|(other, node)| node.is_leader(self.clock(*other))) {
                let (term, members) = (leader.member_list().term, &leader.member_list().members);
                let on = members.get(&(at as u16)) == Some(&node.me().incarnation);
                assert!(
                    on || term <= node.member_list().term,
                    "{other} leaves {at} out at {}: {members:?}",
                    self.now
                );
            }
        }
        self.member_leases_seen += nodes().filter(|(at, node)| holds_lease(*at, node)).count();
    }

    fn holder(&self, role: u8) -> Option<usize> {
        (0..self.nodes.len()).find(|&at| {
            let node = self.nodes[at].as_ref().filter(|_| !self.paused.contains(&at));
            node.is_some_and(|node| node.holds_lease(self.clock(at), role).is_some())
        })
    }

    fn leader(&self) -> Option<usize> {
        (0..self.nodes.len())
            .find(|&at| self.nodes[at].as_ref().is_some_and(|node| node.is_leader(self.clock(at))))
    }

    fn bootstrapped(number: usize, loss: u64, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(number, loss, seed);
        cluster.run(12_000);
        assert!(
            cluster.holder(0).is_some() && cluster.holder(1).is_some(),
            "{number} at {loss}%, seed {seed}: nobody holds a role"
        );
        cluster
    }

    fn cut_between(&mut self, one: &[usize], other: &[usize]) {
        for &a in one {
            other.iter().for_each(|&b| self.cut.extend([(a, b), (b, a)]));
        }
    }
}

#[test]
fn a_cluster_bootstraps_and_a_dead_holder_or_leader_is_replaced_in_three_seconds() {
    for (number, loss) in [(3, 0), (5, 0), (5, 10), (5, 30), (8, 30), (12, 10)] {
        let mut slow = Vec::new();
        for seed in 0..12 {
            let mut cluster = Cluster::bootstrapped(number, loss, seed);
            assert!(
                cluster.member_leases_seen > 100 * number,
                "{number} at {loss}%: {}",
                cluster.member_leases_seen
            );
            let dead = if seed % 2 == 0 { cluster.holder(0) } else { cluster.leader() };
            let dead = dead.expect("somebody");
            cluster.kill(dead);
            let died = cluster.now;
            while cluster.holder(0).is_none() && cluster.now < died + 15_000 * MS {
                cluster.run(20);
            }
            slow.push((cluster.now - died) / MS);
        }
        slow.sort_unstable();
        assert!(slow[slow.len() / 2] <= 3_000, "{number} at {loss}%: {slow:?}");
        assert!(slow[slow.len() - 1] <= 6_000, "{number} at {loss}%: {slow:?}");
    }
}

#[test]
fn a_holder_that_is_paused_for_ten_seconds_holds_nothing_when_it_goes_on() {
    for seed in 0..6 {
        let mut cluster = Cluster::bootstrapped(5, 10, seed);
        let old = cluster.holder(0).expect("a holder");
        cluster.paused.insert(old);
        cluster.run(10_000);
        let new = cluster.holder(0).expect("another holder");
        assert_ne!(new, old);
        cluster.paused.clear();
        cluster.run(20);
        assert_ne!(cluster.holder(0), Some(old), "it must not act before it has heard anything");
        cluster.run(5_000);
    }
}

#[test]
fn a_side_without_a_majority_holds_nothing_and_rejoins() {
    for (one, other) in [(vec![0, 1], vec![2, 3, 4]), (vec![0, 2, 4, 6], vec![1, 3, 5, 7])] {
        let number = one.len() + other.len();
        let mut cluster = Cluster::bootstrapped(number, 10, 5);
        cluster.cut_between(&one, &other);
        cluster.run(15_000);
        let holder = cluster.holder(0);
        if one.len() != other.len() {
            assert!(holder.is_some_and(|at| other.contains(&at)), "{holder:?}");
        }
        cluster.cut.clear();
        cluster.run(15_000);
        assert!(cluster.holder(0).is_some() && cluster.holder(1).is_some());
    }
}

#[test]
fn voters_may_lose_their_memory_one_by_one_and_all_at_once() {
    let mut cluster = Cluster::bootstrapped(5, 10, 6);
    for at in 0..5 {
        cluster.kill(at);
        cluster.start(at);
        cluster.run(8_000);
    }
    assert!(cluster.holder(0).is_some(), "one by one");
    for at in 0..5 {
        cluster.kill(at);
        cluster.start(at);
    }
    cluster.run(15_000);
    assert!(cluster.holder(0).is_some(), "all at once");
    for at in 0..3 {
        cluster.kill(at);
        cluster.start(at);
    }
    cluster.run(30_000);
    assert!(cluster.holder(0).is_some(), "three of five at once");
}

#[test]
fn a_restarted_cluster_whose_clocks_go_back_begins_a_later_era_if_one_process_restores_the_last() {
    let later = |remembers: Option<usize>| {
        let mut cluster = Cluster::bootstrapped(5, 10, 6);
        let epoch = |cluster: &Cluster| {
            let views = cluster.nodes.iter().flatten().filter_map(|node| node.view());
            views.map(|view| view.epoch).max().expect("a view")
        };
        let last = epoch(&cluster);
        let latest =
            cluster.nodes.iter().flatten().map(LeaseManager::latest_epoch).max().expect("all know it");
        assert!(latest >= last);
        for at in 0..5 {
            cluster.kill(at);
            cluster.start(at);
            // Ten minutes earlier, by a clock that was set anew.
            let node = cluster.nodes[at].take().expect("it has started");
            let settings = Settings { member_lease_duration: 2_500 * MS, ..Settings::new(5, ROLES) };
            let mut node = LeaseManager::new(cluster.clock(at), node.me(), last.era - 600, settings);
            if remembers == Some(at) {
                node.restore_epoch(latest);
            }
            cluster.nodes[at] = Some(node);
        }
        cluster.run(20_000);
        assert!(cluster.holder(0).is_some());
        epoch(&cluster) > last
    };
    assert!(!later(None), "or this shows nothing");
    for at in 0..5 {
        assert!(later(Some(at)), "{at} remembered it alone");
    }
}

#[test]
fn a_leader_and_holder_that_leaves_is_replaced_at_once() {
    for seed in 0..6 {
        let mut cluster = Cluster::bootstrapped(5, 0, seed);
        let (old, clock) = (cluster.holder(0).expect("a holder"), cluster.now);
        let now = cluster.clock(old);
        if let Some(node) = &mut cluster.nodes[old] {
            node.leave(now);
        }
        cluster.carry_out(old);
        while cluster.holder(0).is_none() {
            cluster.run(10);
            assert!(
                cluster.now < clock + 1_500 * MS,
                "seed {seed}: nobody holds the role after {} ms",
                (cluster.now - clock) / MS
            );
        }
        assert_ne!(cluster.holder(0), Some(old));
    }
}

#[test]
fn clocks_that_drift_within_the_bound_never_let_two_hold_a_role() {
    for seed in 0..6 {
        let mut cluster = Cluster::new(5, 20, seed);
        // Half of one part in 200 each in_flight: two clocks part by one in 200.
        cluster.drift = vec![25, -25, 25, -25, 0];
        cluster.run(12_000);
        for _ in 0..4 {
            let Some(holder) = cluster.holder(0) else { continue };
            cluster.cut_between(&[holder], &(0..5).filter(|&at| at != holder).collect::<Vec<_>>());
            cluster.run(6_000);
            cluster.cut.clear();
            cluster.run(6_000);
        }
    }
}

#[test]
fn a_guard_rejects_an_old_term_another_holder_and_an_unknown_role() {
    let term = |step| Term { step, ..Term::default() };
    let (a, b) = (ProcessId { ordinal: 1, incarnation: 1 }, ProcessId { ordinal: 2, incarnation: 1 });
    let mut guard = FencingGuard::default();
    assert!(guard.accept(0, term(5), a).is_err(), "nothing is known yet");
    guard.observe(0, term(5), a);
    assert!(guard.accept(0, term(5), a).is_ok());
    assert!(guard.accept(0, term(5), b).is_err(), "another's");
    assert!(guard.accept(0, term(6), b).is_ok(), "a newer one");
    assert!(guard.accept(0, term(5), a).is_err(), "an old one");
    assert!(guard.accept(1, term(9), a).is_err(), "another role");
    assert_eq!((guard.accepted, guard.rejected), (2, 4));
    let token = FencingToken { holder: a, role: 0, term: term(u32::MAX) };
    let bytes = token.encode_message(b"text");
    assert_eq!(FencingToken::decode_message(&bytes), Ok((token, &b"text"[..])));
    assert!(bytes.len() - 4 <= FencingToken::MAX_ENCODED_LENGTH);
}

proptest! {
    #[test]
    fn any_bytes_are_a_message_or_none_and_do_no_harm(
        texts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 1..30),
        flips in proptest::collection::vec((any::<usize>(), any::<u8>()), 1..6),
    ) {
        let mut cluster = Cluster::new(3, 0, 1);
        cluster.run(6_000);
        let mut datagrams = std::mem::take(&mut cluster.in_flight);
        datagrams.extend(texts.into_iter().map(|text| (0, 1, 0, text)));
        for (_, from, _, mut bytes) in datagrams {
            for &(at, bits) in &flips {
                let length = bytes.len().max(1);
                if let Some(byte) = bytes.get_mut(at % length) {
                    *byte ^= bits;
                }
            }
            let clock = cluster.clock(0);
            if let (Some(message), Some(node)) = (Message::decode(&bytes).ok(), &mut cluster.nodes[0]) {
                prop_assert!(message.encode().len() <= MAX_MESSAGE_LENGTH);
                node.handle_message(clock, from as u16, message);
                node.handle_timeout(clock + MS);
                while let Some(command) = node.poll_command() {
                    if let Command::Send { message, .. } | Command::Broadcast(message) = command {
                        prop_assert!(message.encode().len() <= MAX_MESSAGE_LENGTH);
                    }
                }
            }
        }
    }
}
