//! Whole tiers from their very beginning on a virtual clock over a lossy network: death, loss of memory, all at once,
//! splits, a pause, a clean leave; drift within its bound; and any bytes.
#![allow(missing_docs)]

use brackenledge_leases::{
    Command, Deed, Fence, MESSAGE_MOST, Message, Micros, Ownership, ProcessId, Settings, Term,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;
const DUTIES: u8 = 2;

/// Numbers by SplitMix64: a test's own seed, the same everywhere.
struct Dice(u64);

impl Dice {
    fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) % most
    }
}

struct Tier {
    now: Micros,
    nodes: Vec<Option<Ownership>>,
    stopped: BTreeSet<usize>,
    cut: BTreeSet<(usize, usize)>,
    loss: u64,
    way: Vec<(Micros, usize, usize, Vec<u8>)>,
    dice: Dice,
    fences: Vec<Fence>,
    owners: BTreeMap<(u8, Term), ProcessId>,
    /// Clocks run faster or slower by so many parts in 10,000.
    pace: Vec<i64>,
    /// Membership notices a change so late.
    noticed: Vec<(Micros, usize, u64, bool)>,
    alive: BTreeMap<u16, u64>,
    /// Each time that a duty had another owner: when, which, who.
    changes: Vec<(Micros, u8, usize)>,
    /// How often somebody counted on being on the roll, or the check of that shows nothing.
    counted_on: usize,
}

impl Tier {
    fn new(number: usize, loss: u64, seed: u64) -> Tier {
        let mut tier = Tier {
            now: 1_000_000 * MS,
            nodes: (0..number).map(|_| None).collect(),
            stopped: BTreeSet::new(),
            cut: BTreeSet::new(),
            loss,
            way: Vec::new(),
            dice: Dice(seed),
            fences: vec![Fence::default(); number],
            owners: BTreeMap::new(),
            pace: vec![0; number],
            noticed: Vec::new(),
            alive: BTreeMap::new(),
            changes: Vec::new(),
            counted_on: 0,
        };
        (0..number).for_each(|at| tier.start(at));
        tier
    }

    /// A node's own clock.
    fn clock(&self, at: usize) -> Micros {
        (self.now as i64 + self.now as i64 / 10_000 * self.pace[at]) as Micros
    }

    fn start(&mut self, at: usize) {
        let incarnation = self.now / MS;
        let settings = Settings { stay: 2_500 * MS, ..Settings::new(self.nodes.len() as u16, DUTIES) };
        let me = ProcessId { ordinal: at as u16, incarnation };
        self.nodes[at] = Some(Ownership::new(self.clock(at), me, (self.now / 1_000_000) as u32, settings));
        self.fences[at] = Fence::default();
        self.noticed.push((self.now + 500 * MS, at, incarnation, true));
    }

    fn kill(&mut self, at: usize) {
        let killed = self.nodes[at].take();
        let incarnation = killed.map_or(0, |node| node.me().incarnation);
        self.noticed.push((self.now + 5_000 * MS, at, incarnation, false));
    }

    fn carry_out(&mut self, at: usize) {
        while let Some(order) = self.nodes[at].as_mut().and_then(Ownership::poll_command) {
            match order {
                Command::Send(to, message) => {
                    let bytes = message.write();
                    assert!(bytes.len() <= MESSAGE_MOST, "{} bytes: {message:?}", bytes.len());
                    for to in to.map_or((0..self.nodes.len()).collect(), |to| vec![usize::from(to)]) {
                        if to != at && !self.cut.contains(&(at, to)) && self.dice.below(100) >= self.loss {
                            let due = self.now + MS + self.dice.below(20_000);
                            self.way.push((due, at, to, bytes.clone()));
                        }
                    }
                }
                Command::Owns(duty, Some(_)) => self.changes.push((self.now, duty, at)),
                Command::Owns(..) | Command::Log(_) => {}
            }
        }
    }

    /// Each owner does a deed to all, who accept it or not.
    fn deeds(&mut self) {
        for duty in 0..DUTIES {
            let mut believe = Vec::new();
            for at in (0..self.nodes.len()).filter(|at| !self.stopped.contains(at)) {
                let Some(node) = &self.nodes[at] else { continue };
                let Some(term) = node.may(self.clock(at), duty) else { continue };
                believe.push(at);
                let owner = self
                    .owners
                    .entry((duty, term))
                    .or_insert(ProcessId { ordinal: at as u16, incarnation: 0 });
                assert_eq!(usize::from(owner.ordinal), at, "two owners under {term}");
                for to in 0..self.fences.len() {
                    let _ =
                        self.fences[to].accept(duty, term, ProcessId { ordinal: at as u16, incarnation: 0 });
                }
            }
            assert!(believe.len() <= 1, "{believe:?} all own duty {duty} at {}", self.now);
        }
    }

    fn play(&mut self, ms: Micros) {
        let until = self.now + ms * MS;
        while self.now < until {
            self.now += 10 * MS;
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.way).into_iter().partition(|message| message.0 <= self.now);
            self.way = later;
            for (_, from, to, bytes) in due {
                if self.stopped.contains(&to) {
                    self.way.push((self.now, from, to, bytes));
                    continue;
                }
                let message = Message::read(&bytes).expect("a message");
                if let Message::News { duties, .. } = &message {
                    duties.iter().for_each(|&(duty, term, owner)| {
                        self.fences[to].heard(duty, term, ProcessId { incarnation: 0, ..owner })
                    });
                }
                let clock = self.clock(to);
                if let Some(node) = &mut self.nodes[to] {
                    node.handle_message(clock, from as u16, message);
                    self.carry_out(to);
                }
            }
            let (seen, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.noticed).into_iter().partition(|change| change.0 <= self.now);
            self.noticed = later;
            for (_, at, incarnation, here) in seen {
                let at = at as u16;
                if here {
                    self.alive.insert(at, incarnation);
                } else if self.alive.get(&at) == Some(&incarnation) {
                    self.alive.remove(&at);
                }
            }
            for at in 0..self.nodes.len() {
                let clock = self.clock(at);
                if self.stopped.contains(&at) {
                    continue;
                }
                let heard = |other: &u16| {
                    let other = usize::from(*other);
                    !self.cut.contains(&(other, at)) || other == at
                };
                let alive: Vec<ProcessId> = (self.alive.iter())
                    .filter(|(ordinal, _)| heard(ordinal))
                    .map(|(&ordinal, &incarnation)| ProcessId { ordinal, incarnation })
                    .collect();
                if let Some(node) = &mut self.nodes[at] {
                    node.alive(alive);
                    node.handle_timeout(clock);
                    self.carry_out(at);
                }
            }
            self.deeds();
            self.stays();
        }
    }

    /// Whoever counts on being on the roll is on that of every steward whose roll is newer than its own.
    fn stays(&mut self) {
        let stays = |at: usize, node: &Ownership| node.stays(self.clock(at)).is_some();
        let nodes = || self.nodes.iter().enumerate().filter_map(|(at, node)| Some((at, node.as_ref()?)));
        for (at, node) in nodes().filter(|(at, node)| stays(*at, node)) {
            for (other, steward) in nodes().filter(|(other, node)| node.is_steward(self.clock(*other))) {
                let (term, members) = steward.roll();
                let on = members.get(&(at as u16)) == Some(&node.me().incarnation);
                assert!(on || term <= node.roll().0, "{other} leaves {at} out at {}: {members:?}", self.now);
            }
        }
        self.counted_on += nodes().filter(|(at, node)| stays(*at, node)).count();
    }

    fn owner(&self, duty: u8) -> Option<usize> {
        (0..self.nodes.len()).find(|&at| {
            let node = self.nodes[at].as_ref().filter(|_| !self.stopped.contains(&at));
            node.is_some_and(|node| node.may(self.clock(at), duty).is_some())
        })
    }

    fn steward(&self) -> Option<usize> {
        (0..self.nodes.len())
            .find(|&at| self.nodes[at].as_ref().is_some_and(|node| node.is_steward(self.clock(at))))
    }

    fn begun(number: usize, loss: u64, seed: u64) -> Tier {
        let mut tier = Tier::new(number, loss, seed);
        tier.play(12_000);
        assert!(
            tier.owner(0).is_some() && tier.owner(1).is_some(),
            "{number} at {loss}%, seed {seed}: nobody owns"
        );
        tier
    }

    fn cut_between(&mut self, one: &[usize], other: &[usize]) {
        for &a in one {
            other.iter().for_each(|&b| self.cut.extend([(a, b), (b, a)]));
        }
    }
}

#[test]
fn a_tier_begins_and_a_dead_owner_or_steward_is_followed_in_three_seconds() {
    for (number, loss) in [(3, 0), (5, 0), (5, 10), (5, 30), (8, 30), (12, 10)] {
        let mut slow = Vec::new();
        for seed in 0..12 {
            let mut tier = Tier::begun(number, loss, seed);
            assert!(tier.counted_on > 100 * number, "{number} at {loss}%: {}", tier.counted_on);
            let dead = if seed % 2 == 0 { tier.owner(0) } else { tier.steward() };
            let dead = dead.expect("somebody");
            tier.kill(dead);
            let died = tier.now;
            while tier.owner(0).is_none() && tier.now < died + 15_000 * MS {
                tier.play(20);
            }
            slow.push((tier.now - died) / MS);
        }
        slow.sort_unstable();
        assert!(slow[slow.len() / 2] <= 3_000, "{number} at {loss}%: {slow:?}");
        assert!(slow[slow.len() - 1] <= 6_000, "{number} at {loss}%: {slow:?}");
    }
}

#[test]
fn an_owner_that_stands_still_for_ten_seconds_wakes_up_to_nothing() {
    for seed in 0..6 {
        let mut tier = Tier::begun(5, 10, seed);
        let old = tier.owner(0).expect("an owner");
        tier.stopped.insert(old);
        tier.play(10_000);
        let new = tier.owner(0).expect("another owner");
        assert_ne!(new, old);
        tier.stopped.clear();
        tier.play(20);
        assert_ne!(tier.owner(0), Some(old), "it must not act before it has heard anything");
        tier.play(5_000);
    }
}

#[test]
fn a_side_without_a_majority_owns_nothing_and_finds_back() {
    for (one, other) in [(vec![0, 1], vec![2, 3, 4]), (vec![0, 2, 4, 6], vec![1, 3, 5, 7])] {
        let number = one.len() + other.len();
        let mut tier = Tier::begun(number, 10, 5);
        tier.cut_between(&one, &other);
        tier.play(15_000);
        let owner = tier.owner(0);
        if one.len() != other.len() {
            assert!(owner.is_some_and(|at| other.contains(&at)), "{owner:?}");
        }
        tier.cut.clear();
        tier.play(15_000);
        assert!(tier.owner(0).is_some() && tier.owner(1).is_some());
    }
}

#[test]
fn voters_may_lose_their_memory_one_by_one_and_all_at_once() {
    let mut tier = Tier::begun(5, 10, 6);
    for at in 0..5 {
        tier.kill(at);
        tier.start(at);
        tier.play(8_000);
    }
    assert!(tier.owner(0).is_some(), "one by one");
    for at in 0..5 {
        tier.kill(at);
        tier.start(at);
    }
    tier.play(15_000);
    assert!(tier.owner(0).is_some(), "all at once");
    for at in 0..3 {
        tier.kill(at);
        tier.start(at);
    }
    tier.play(30_000);
    assert!(tier.owner(0).is_some(), "three of five at once");
}

#[test]
fn a_tier_that_forgets_and_whose_clocks_go_back_begins_a_later_era_where_one_remembers_the_last() {
    let later = |remembers: Option<usize>| {
        let mut tier = Tier::begun(5, 10, 6);
        let epoch = |tier: &Tier| {
            let views = tier.nodes.iter().flatten().filter_map(|node| node.view());
            views.map(|view| view.epoch).max().expect("a view")
        };
        let last = epoch(&tier);
        let seen = tier.nodes.iter().flatten().map(Ownership::seen).max().expect("all know it");
        assert!(seen >= last);
        for at in 0..5 {
            tier.kill(at);
            tier.start(at);
            // Ten minutes earlier, by a clock that was set anew.
            let node = tier.nodes[at].take().expect("it has started");
            let settings = Settings { stay: 2_500 * MS, ..Settings::new(5, DUTIES) };
            let mut node = Ownership::new(tier.clock(at), node.me(), last.era - 600, settings);
            if remembers == Some(at) {
                node.recall(seen);
            }
            tier.nodes[at] = Some(node);
        }
        tier.play(20_000);
        assert!(tier.owner(0).is_some());
        epoch(&tier) > last
    };
    assert!(!later(None), "or this shows nothing");
    for at in 0..5 {
        assert!(later(Some(at)), "{at} remembered it alone");
    }
}

#[test]
fn a_steward_and_owner_that_leaves_hands_over_at_once() {
    for seed in 0..6 {
        let mut tier = Tier::begun(5, 0, seed);
        let (old, clock) = (tier.owner(0).expect("an owner"), tier.now);
        let now = tier.clock(old);
        if let Some(node) = &mut tier.nodes[old] {
            node.leave(now);
        }
        tier.carry_out(old);
        while tier.owner(0).is_none() {
            tier.play(10);
            assert!(
                tier.now < clock + 1_500 * MS,
                "seed {seed}: nobody owns after {} ms",
                (tier.now - clock) / MS
            );
        }
        assert_ne!(tier.owner(0), Some(old));
    }
}

#[test]
fn clocks_that_drift_within_the_bound_never_let_two_own() {
    for seed in 0..6 {
        let mut tier = Tier::new(5, 20, seed);
        // Half of one part in 200 each way: two clocks part by one in 200.
        tier.pace = vec![25, -25, 25, -25, 0];
        tier.play(12_000);
        for _ in 0..4 {
            let Some(owner) = tier.owner(0) else { continue };
            tier.cut_between(&[owner], &(0..5).filter(|&at| at != owner).collect::<Vec<_>>());
            tier.play(6_000);
            tier.cut.clear();
            tier.play(6_000);
        }
    }
}

#[test]
fn a_fence_refuses_what_is_old_what_is_another_s_and_what_it_cannot_judge() {
    let term = |step| Term { step, ..Term::default() };
    let (a, b) = (ProcessId { ordinal: 1, incarnation: 1 }, ProcessId { ordinal: 2, incarnation: 1 });
    let mut fence = Fence::default();
    assert!(fence.accept(0, term(5), a).is_err(), "nothing is known yet");
    fence.heard(0, term(5), a);
    assert!(fence.accept(0, term(5), a).is_ok());
    assert!(fence.accept(0, term(5), b).is_err(), "another's");
    assert!(fence.accept(0, term(6), b).is_ok(), "a newer one");
    assert!(fence.accept(0, term(5), a).is_err(), "an old one");
    assert!(fence.accept(1, term(9), a).is_err(), "another duty");
    assert_eq!((fence.accepted, fence.refused), (2, 4));
    let deed = Deed { owner: a, duty: 0, term: term(u32::MAX) };
    let bytes = deed.write(b"text");
    assert_eq!(Deed::read(&bytes), Some((deed, &b"text"[..])));
    assert!(bytes.len() - 4 <= Deed::HEAD_MOST);
}

proptest! {
    #[test]
    fn any_bytes_are_a_message_or_none_and_do_no_harm(
        texts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 1..30),
        flips in proptest::collection::vec((any::<usize>(), any::<u8>()), 1..6),
    ) {
        let mut tier = Tier::new(3, 0, 1);
        tier.play(6_000);
        let mut seen = std::mem::take(&mut tier.way);
        seen.extend(texts.into_iter().map(|text| (0, 1, 0, text)));
        for (_, from, _, mut bytes) in seen {
            for &(at, bits) in &flips {
                let length = bytes.len().max(1);
                if let Some(byte) = bytes.get_mut(at % length) {
                    *byte ^= bits;
                }
            }
            let clock = tier.clock(0);
            if let (Some(message), Some(node)) = (Message::read(&bytes), &mut tier.nodes[0]) {
                prop_assert!(message.write().len() <= MESSAGE_MOST);
                node.handle_message(clock, from as u16, message);
                node.handle_timeout(clock + MS);
                while let Some(order) = node.poll_command() {
                    if let Command::Send(_, message) = order {
                        prop_assert!(message.write().len() <= MESSAGE_MOST);
                    }
                }
            }
        }
    }
}
