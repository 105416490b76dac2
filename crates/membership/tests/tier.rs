//! Whole tiers on a virtual clock over a lossy network.
#![allow(missing_docs)]

use brackenledge_membership::{Command, MESSAGE_MOST, Membership, Millis, ProcessId, Standing, Times};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// A tier: members that may be down, and messages on the way.
struct Tier {
    now: Millis,
    members: Vec<Option<Membership>>,
    way: Vec<(Millis, usize, u16, Vec<u8>)>,
    loss: f64,
    /// Pairs (from, to) that hear nothing.
    cut: BTreeSet<(usize, usize)>,
    rng: ChaCha8Rng,
    downs: Vec<(Millis, usize, ProcessId)>,
    replaced: Vec<usize>,
}

fn process(ordinal: usize, incarnation: u64) -> ProcessId {
    ProcessId { ordinal: ordinal as u16, incarnation }
}

impl Tier {
    fn new(number: usize, loss: f64, seed: u64) -> Tier {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut tier = Tier {
            now: 0.0,
            members: Vec::new(),
            way: Vec::new(),
            loss,
            cut: BTreeSet::new(),
            rng,
            downs: Vec::new(),
            replaced: Vec::new(),
        };
        tier.members.resize_with(number, || None);
        (0..number).for_each(|at| tier.start(at, 1_000));
        tier
    }

    fn start(&mut self, at: usize, incarnation: u64) {
        let number = self.members.len();
        let seeds = (0..number).filter(|&other| other != at).map(|other| other as u16).collect();
        let times = Times::for_tier(number);
        self.members[at] = Some(Membership::new(self.now, process(at, incarnation), seeds, &times, 7));
    }

    fn carry_out(&mut self, at: usize) {
        while let Some(order) = self.members[at].as_mut().and_then(Membership::poll_command) {
            match order {
                Command::Send { to, bytes } => {
                    assert!(bytes.len() <= MESSAGE_MOST, "{} bytes", bytes.len());
                    let cut = self.cut.contains(&(at, usize::from(to)));
                    if !cut && self.rng.random::<f64>() >= self.loss {
                        let due = self.now + self.rng.random_range(1.0..30.0);
                        self.way.push((due, at, to, bytes));
                    }
                }
                Command::Down(process) => self.downs.push((self.now, at, process)),
                Command::Replaced => self.replaced.push(at),
                Command::Up(_) => {}
            }
        }
    }

    fn play(&mut self, until: Millis) {
        loop {
            let timers = self.members.iter().flatten().map(Membership::next_timeout);
            let messages = self.way.iter().map(|message| message.0);
            let next = timers.chain(messages).fold(f64::INFINITY, f64::min);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            let (due, later) = std::mem::take(&mut self.way).into_iter().partition(|m| m.0 <= self.now);
            self.way = later;
            let due: Vec<(Millis, usize, u16, Vec<u8>)> = due;
            for (_, _, to, bytes) in due {
                let to = usize::from(to);
                if let Some(member) = &mut self.members[to] {
                    assert!(member.handle_message(self.now, &bytes));
                    self.carry_out(to);
                }
            }
            for at in 0..self.members.len() {
                if let Some(member) = &mut self.members[at] {
                    member.handle_timeout(self.now);
                    self.carry_out(at);
                }
            }
        }
    }

    fn alive(&self, at: usize) -> BTreeSet<u16> {
        self.members[at].iter().flat_map(|member| member.alive().map(|p| p.ordinal)).collect()
    }
}

#[test]
fn a_tier_finds_together_and_notices_a_death_by_name_at_every_loss() {
    for (number, loss) in [(4, 0.0), (4, 0.3), (8, 0.1), (8, 0.3), (40, 0.1)] {
        let mut tier = Tier::new(number, loss, 1);
        tier.play(15_000.0);
        let all: BTreeSet<u16> = (0..number as u16).collect();
        (0..number).for_each(|at| assert_eq!(tier.alive(at), all, "{number} at {loss}"));
        tier.members[2] = None;
        tier.downs.clear();
        tier.play(40_000.0);
        let left: BTreeSet<u16> = all.iter().copied().filter(|&one| one != 2).collect();
        for at in (0..number).filter(|&at| at != 2) {
            assert_eq!(tier.alive(at), left, "{number} at {loss}, seen by {at}");
        }
        let first = tier.downs.iter().find(|down| down.2.ordinal == 2).expect("noticed").0;
        assert!(first < 15_000.0 + 10_000.0, "{number} at {loss}: noticed after {}", first - 15_000.0);
    }
}

#[test]
fn a_restart_is_another_process_and_a_leave_is_known_at_once() {
    let mut tier = Tier::new(5, 0.1, 3);
    tier.play(5_000.0);
    tier.members[1] = None;
    tier.start(1, 6_000);
    tier.play(10_000.0);
    for at in [0, 2, 3, 4] {
        let seen: Vec<ProcessId> = tier.members[at].iter().flat_map(Membership::alive).collect();
        assert!(seen.contains(&process(1, 6_000)) && !seen.contains(&process(1, 1_000)), "{at}: {seen:?}");
    }
    assert!(
        tier.downs.iter().any(|down| down.2 == process(1, 1_000)),
        "the old one is gone: {:?}",
        tier.downs
    );
    let now = tier.now;
    tier.downs.clear();
    tier.members[3].as_mut().expect("it runs").leave(now);
    tier.carry_out(3);
    tier.play(now + 1_500.0);
    for at in [0, 1, 2, 4] {
        assert!(!tier.alive(at).contains(&3), "{at} has heard that 3 left");
    }
}

#[test]
fn who_was_cut_off_comes_back_and_of_two_under_one_number_the_newer_stays() {
    let mut tier = Tier::new(6, 0.0, 4);
    tier.play(5_000.0);
    for other in 0..6 {
        tier.cut.extend([(2, other), (other, 2)]);
    }
    tier.play(15_000.0);
    assert!(!tier.alive(0).contains(&2));
    tier.cut.clear();
    tier.play(25_000.0);
    assert!((0..6).all(|at| tier.alive(at).len() == 6), "{:?}", tier.alive(2));
    // A one-way cut: 4 hears nobody, yet others hear it through.
    for other in 0..6 {
        tier.cut.insert((other, 4));
    }
    tier.play(40_000.0);
    tier.cut.clear();
    tier.play(55_000.0);
    assert!((0..6).all(|at| tier.alive(at).len() == 6));
    // A second process under number 5: the first is told that it has been replaced.
    let old = tier.members[5].take();
    tier.start(5, 99_000);
    tier.play(60_000.0);
    let newer = std::mem::replace(&mut tier.members[5], old);
    tier.play(70_000.0);
    assert!(tier.replaced.contains(&5), "the older one is told");
    tier.members[5] = newer;
    tier.play(80_000.0);
    let seen: Vec<ProcessId> = tier.members[0].iter().flat_map(Membership::alive).collect();
    assert!(seen.contains(&process(5, 99_000)) && !seen.contains(&process(5, 1_000)), "{seen:?}");
}

#[test]
fn suspicion_is_shown_before_somebody_is_gone() {
    let mut tier = Tier::new(4, 0.0, 5);
    tier.play(5_000.0);
    tier.members[1] = None;
    let mut seen = Vec::new();
    for step in 0..250 {
        tier.play(5_000.0 + 50.0 * f64::from(step));
        seen.extend(
            tier.members[0].iter().flat_map(Membership::others).filter(|o| o.0.ordinal == 1).map(|o| o.1),
        );
    }
    seen.dedup();
    assert_eq!(seen, [Standing::Alive, Standing::Suspected, Standing::Gone]);
}

proptest! {
    /// Whatever comes off the network ends with itself.
    #[test]
    fn any_bytes_are_counted_and_do_no_harm(
        texts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 1..40),
        flips in proptest::collection::vec((any::<usize>(), any::<u8>()), 0..8),
    ) {
        let mut tier = Tier::new(3, 0.0, 9);
        tier.play(500.0);
        let mut member = tier.members[0].take().expect("a member");
        for text in texts {
            member.handle_message(600.0, &text);
        }
        // Real messages with some bits turned over.
        tier.play(1_200.0);
        let way = std::mem::take(&mut tier.way);
        for (_, _, _, mut bytes) in way {
            for &(at, bits) in &flips {
                let at = at % bytes.len();
                bytes[at] ^= bits;
            }
            member.handle_message(1_300.0, &bytes);
        }
        member.handle_timeout(10_000.0);
        prop_assert!(member.counts().nonsense <= member.counts().heard);
        while member.poll_command().is_some() {}
    }
}
