//! Whole clusters on a virtual clock over a lossy network.
#![allow(missing_docs)]

use brackenledge_membership::{
    Command, MAX_MESSAGE_BYTES, MemberState, Membership, Millis, ProcessId, SwimConfig,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// A message in flight.
struct Packet {
    arrives_at: Millis,
    to: usize,
    bytes: Vec<u8>,
}

/// A cluster: members that may be down, and messages in flight.
struct Cluster {
    now: Millis,
    members: Vec<Option<Membership>>,
    in_flight: Vec<Packet>,
    loss: f64,
    /// Pairs (from, to) without delivery.
    cut: BTreeSet<(usize, usize)>,
    rng: ChaCha8Rng,
    downs: Vec<(Millis, usize, ProcessId)>,
    superseded: Vec<usize>,
}

fn process(ordinal: usize, incarnation: u64) -> ProcessId {
    ProcessId { ordinal: ordinal as u16, incarnation }
}

impl Cluster {
    fn new(number: usize, loss: f64, seed: u64) -> Cluster {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = Cluster {
            now: 0.0,
            members: Vec::new(),
            in_flight: Vec::new(),
            loss,
            cut: BTreeSet::new(),
            rng,
            downs: Vec::new(),
            superseded: Vec::new(),
        };
        cluster.members.resize_with(number, || None);
        (0..number).for_each(|at| cluster.start(at, 1_000));
        cluster
    }

    fn start(&mut self, at: usize, incarnation: u64) {
        let number = self.members.len();
        let seeds = (0..number).filter(|&other| other != at).map(|other| other as u16).collect();
        let config = SwimConfig::for_cluster_size(number);
        self.members[at] = Some(Membership::new(self.now, process(at, incarnation), seeds, &config, 7));
    }

    fn execute_commands(&mut self, at: usize) {
        while let Some(command) = self.members[at].as_mut().and_then(Membership::poll_command) {
            match command {
                Command::Send { to, bytes } => {
                    assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{} bytes", bytes.len());
                    let is_cut = self.cut.contains(&(at, usize::from(to)));
                    if !is_cut && self.rng.random::<f64>() >= self.loss {
                        let arrives_at = self.now + self.rng.random_range(1.0..30.0);
                        self.in_flight.push(Packet { arrives_at, to: usize::from(to), bytes });
                    }
                }
                Command::MemberDown(process) => self.downs.push((self.now, at, process)),
                Command::Superseded => self.superseded.push(at),
                Command::MemberUp(_) => {}
            }
        }
    }

    fn run_until(&mut self, until: Millis) {
        loop {
            let timers = self.members.iter().flatten().map(Membership::next_timeout);
            let messages = self.in_flight.iter().map(|packet| packet.arrives_at);
            let next = timers.chain(messages).fold(f64::INFINITY, f64::min);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            let (due, later): (Vec<Packet>, Vec<Packet>) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|packet| packet.arrives_at <= self.now);
            self.in_flight = later;
            for Packet { to, bytes, .. } in due {
                if let Some(member) = &mut self.members[to] {
                    assert!(member.handle_message(self.now, &bytes));
                    self.execute_commands(to);
                }
            }
            for at in 0..self.members.len() {
                if let Some(member) = &mut self.members[at] {
                    member.handle_timeout(self.now);
                    self.execute_commands(at);
                }
            }
        }
    }

    fn alive(&self, at: usize) -> BTreeSet<u16> {
        self.members[at].iter().flat_map(|member| member.active_members().map(|p| p.ordinal)).collect()
    }
}

#[test]
fn a_cluster_forms_and_detects_a_failure_at_every_loss() {
    for (number, loss) in [(4, 0.0), (4, 0.3), (8, 0.1), (8, 0.3), (40, 0.1)] {
        let mut cluster = Cluster::new(number, loss, 1);
        cluster.run_until(15_000.0);
        let all: BTreeSet<u16> = (0..number as u16).collect();
        (0..number).for_each(|at| assert_eq!(cluster.alive(at), all, "{number} at {loss}"));
        cluster.members[2] = None;
        cluster.downs.clear();
        cluster.run_until(40_000.0);
        let left: BTreeSet<u16> = all.iter().copied().filter(|&one| one != 2).collect();
        for at in (0..number).filter(|&at| at != 2) {
            assert_eq!(cluster.alive(at), left, "{number} at {loss}, seen by {at}");
        }
        let first = cluster.downs.iter().find(|down| down.2.ordinal == 2).expect("noticed").0;
        assert!(first < 15_000.0 + 10_000.0, "{number} at {loss}: noticed after {}", first - 15_000.0);
    }
}

#[test]
fn a_restart_is_another_process_and_a_leave_is_known_at_once() {
    let mut cluster = Cluster::new(5, 0.1, 3);
    cluster.run_until(5_000.0);
    cluster.members[1] = None;
    cluster.start(1, 6_000);
    cluster.run_until(10_000.0);
    for at in [0, 2, 3, 4] {
        let seen: Vec<ProcessId> = cluster.members[at].iter().flat_map(Membership::active_members).collect();
        assert!(seen.contains(&process(1, 6_000)) && !seen.contains(&process(1, 1_000)), "{at}: {seen:?}");
    }
    assert!(
        cluster.downs.iter().any(|down| down.2 == process(1, 1_000)),
        "the old one is gone: {:?}",
        cluster.downs
    );
    let now = cluster.now;
    cluster.downs.clear();
    cluster.members[3].as_mut().expect("it runs").leave(now);
    cluster.execute_commands(3);
    cluster.run_until(now + 1_500.0);
    for at in [0, 1, 2, 4] {
        assert!(!cluster.alive(at).contains(&3), "{at} knows that 3 left");
    }
}

#[test]
fn a_partitioned_member_rejoins_and_of_two_under_one_ordinal_the_newer_stays() {
    let mut cluster = Cluster::new(6, 0.0, 4);
    cluster.run_until(5_000.0);
    for other in 0..6 {
        cluster.cut.extend([(2, other), (other, 2)]);
    }
    cluster.run_until(15_000.0);
    assert!(!cluster.alive(0).contains(&2));
    cluster.cut.clear();
    cluster.run_until(25_000.0);
    assert!((0..6).all(|at| cluster.alive(at).len() == 6), "{:?}", cluster.alive(2));
    // A one-way partition: nothing reaches 4, yet others receive its messages.
    for other in 0..6 {
        cluster.cut.insert((other, 4));
    }
    cluster.run_until(40_000.0);
    cluster.cut.clear();
    cluster.run_until(55_000.0);
    assert!((0..6).all(|at| cluster.alive(at).len() == 6));
    // A second process under number 5: the first learns that it has been superseded.
    let old = cluster.members[5].take();
    cluster.start(5, 99_000);
    cluster.run_until(60_000.0);
    let newer = std::mem::replace(&mut cluster.members[5], old);
    cluster.run_until(70_000.0);
    assert!(cluster.superseded.contains(&5), "the older one is superseded");
    cluster.members[5] = newer;
    cluster.run_until(80_000.0);
    let seen: Vec<ProcessId> = cluster.members[0].iter().flat_map(Membership::active_members).collect();
    assert!(seen.contains(&process(5, 99_000)) && !seen.contains(&process(5, 1_000)), "{seen:?}");
}

#[test]
fn a_member_is_suspect_before_it_is_down() {
    let mut cluster = Cluster::new(4, 0.0, 5);
    cluster.run_until(5_000.0);
    cluster.members[1] = None;
    let mut seen = Vec::new();
    for step in 0..250 {
        cluster.run_until(5_000.0 + 50.0 * f64::from(step));
        seen.extend(
            cluster.members[0].iter().flat_map(Membership::peers).filter(|o| o.0.ordinal == 1).map(|o| o.1),
        );
    }
    seen.dedup();
    assert_eq!(seen, [MemberState::Alive, MemberState::Suspect, MemberState::Down]);
}

proptest! {
    /// Whatever comes off the network ends with itself.
    #[test]
    fn any_bytes_are_counted_and_do_no_harm(
        texts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 1..40),
        flips in proptest::collection::vec((any::<usize>(), any::<u8>()), 0..8),
    ) {
        let mut cluster = Cluster::new(3, 0.0, 9);
        cluster.run_until(500.0);
        let mut member = cluster.members[0].take().expect("a member");
        for text in texts {
            member.handle_message(600.0, &text);
        }
        // Real messages with some bits turned over.
        cluster.run_until(1_200.0);
        let in_flight = std::mem::take(&mut cluster.in_flight);
        for Packet { mut bytes, .. } in in_flight {
            for &(at, bits) in &flips {
                let at = at % bytes.len();
                bytes[at] ^= bits;
            }
            member.handle_message(1_300.0, &bytes);
        }
        member.handle_timeout(10_000.0);
        prop_assert!(member.counts().malformed <= member.counts().received);
        while member.poll_command().is_some() {}
    }
}
