//! Whole clusters on a virtual clock, over a simulated network that loses, delays and reorders messages.
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

/// A cluster on a virtual clock.
struct Cluster {
    now: Millis,
    /// Indexed by ordinal; `None` if the process does not run.
    members: Vec<Option<Membership>>,
    in_flight: Vec<Packet>,
    /// Probability that a message is lost.
    loss: f64,
    /// Pairs (from, to) between which no message is delivered.
    blocked_links: BTreeSet<(usize, usize)>,
    rng: ChaCha8Rng,
    /// `MemberDown` commands: the time, the ordinal of the member that reported it, and the process that is
    /// down.
    reported_down: Vec<(Millis, usize, ProcessId)>,
    /// Ordinals of the members that reported `Superseded`.
    superseded: Vec<usize>,
}

fn process(ordinal: usize, incarnation: u64) -> ProcessId {
    ProcessId { ordinal: ordinal as u16, incarnation }
}

impl Cluster {
    fn new(size: usize, loss: f64, seed: u64) -> Cluster {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = Cluster {
            now: 0.0,
            members: Vec::new(),
            in_flight: Vec::new(),
            loss,
            blocked_links: BTreeSet::new(),
            rng,
            reported_down: Vec::new(),
            superseded: Vec::new(),
        };
        cluster.members.resize_with(size, || None);
        (0..size).for_each(|ordinal| cluster.start(ordinal, 1_000));
        cluster
    }

    fn start(&mut self, ordinal: usize, incarnation: u64) {
        let size = self.members.len();
        let seeds = (0..size).filter(|&other| other != ordinal).map(|other| other as u16).collect();
        let config = SwimConfig::for_cluster_size(size);
        let me = process(ordinal, incarnation);
        self.members[ordinal] = Some(Membership::new(self.now, me, seeds, &config, 7));
    }

    fn execute_commands(&mut self, from: usize) {
        while let Some(command) = self.members[from].as_mut().and_then(Membership::poll_command) {
            match command {
                Command::Send { to, bytes } => {
                    assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{} bytes", bytes.len());
                    let is_blocked = self.blocked_links.contains(&(from, usize::from(to)));
                    if !is_blocked && self.rng.random::<f64>() >= self.loss {
                        let arrives_at = self.now + self.rng.random_range(1.0..30.0);
                        self.in_flight.push(Packet { arrives_at, to: usize::from(to), bytes });
                    }
                }
                Command::MemberDown(process) => self.reported_down.push((self.now, from, process)),
                Command::Superseded => self.superseded.push(from),
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
            for ordinal in 0..self.members.len() {
                if let Some(member) = &mut self.members[ordinal] {
                    member.handle_timeout(self.now);
                    self.execute_commands(ordinal);
                }
            }
        }
    }

    /// Ordinals of the active members, as the member `observer` sees them.
    fn active(&self, observer: usize) -> BTreeSet<u16> {
        self.members[observer].iter().flat_map(|member| member.active_members().map(|p| p.ordinal)).collect()
    }
}

#[test]
fn a_cluster_forms_and_detects_a_failure_at_every_loss() {
    for (size, loss) in [(4, 0.0), (4, 0.3), (8, 0.1), (8, 0.3), (40, 0.1)] {
        let mut cluster = Cluster::new(size, loss, 1);
        cluster.run_until(15_000.0);
        let all: BTreeSet<u16> = (0..size as u16).collect();
        (0..size)
            .for_each(|observer| assert_eq!(cluster.active(observer), all, "{size} members, loss {loss}"));
        cluster.members[2] = None;
        cluster.reported_down.clear();
        cluster.run_until(40_000.0);
        let remaining: BTreeSet<u16> = all.iter().copied().filter(|&ordinal| ordinal != 2).collect();
        for observer in (0..size).filter(|&ordinal| ordinal != 2) {
            assert_eq!(
                cluster.active(observer),
                remaining,
                "{size} members, loss {loss}, seen by {observer}"
            );
        }
        let first = cluster.reported_down.iter().find(|down| down.2.ordinal == 2).expect("detected").0;
        let delay = first - 15_000.0;
        assert!(first < 15_000.0 + 10_000.0, "{size} members, loss {loss}: detected after {delay} ms");
    }
}

#[test]
fn a_restarted_scheduler_is_another_process_and_a_leave_is_known_at_once() {
    let mut cluster = Cluster::new(5, 0.1, 3);
    cluster.run_until(5_000.0);
    cluster.members[1] = None;
    cluster.start(1, 6_000);
    cluster.run_until(10_000.0);
    for observer in [0, 2, 3, 4] {
        let seen: Vec<ProcessId> =
            cluster.members[observer].iter().flat_map(Membership::active_members).collect();
        assert!(
            seen.contains(&process(1, 6_000)) && !seen.contains(&process(1, 1_000)),
            "{observer}: {seen:?}"
        );
    }
    assert!(
        cluster.reported_down.iter().any(|down| down.2 == process(1, 1_000)),
        "the older process must be reported down: {:?}",
        cluster.reported_down
    );
    let now = cluster.now;
    cluster.reported_down.clear();
    cluster.members[3].as_mut().expect("member 3 runs").leave(now);
    cluster.execute_commands(3);
    cluster.run_until(now + 1_500.0);
    for observer in [0, 1, 2, 4] {
        assert!(!cluster.active(observer).contains(&3), "{observer} must know that 3 left");
    }
}

#[test]
fn a_partitioned_member_rejoins_and_of_two_processes_with_one_ordinal_the_newer_stays() {
    let mut cluster = Cluster::new(6, 0.0, 4);
    cluster.run_until(5_000.0);
    for other in 0..6 {
        cluster.blocked_links.extend([(2, other), (other, 2)]);
    }
    cluster.run_until(15_000.0);
    assert!(!cluster.active(0).contains(&2));
    cluster.blocked_links.clear();
    cluster.run_until(25_000.0);
    assert!((0..6).all(|observer| cluster.active(observer).len() == 6), "{:?}", cluster.active(2));
    // A one-way partition: no message reaches member 4, but the others receive its messages.
    for other in 0..6 {
        cluster.blocked_links.insert((other, 4));
    }
    cluster.run_until(40_000.0);
    cluster.blocked_links.clear();
    cluster.run_until(55_000.0);
    assert!((0..6).all(|observer| cluster.active(observer).len() == 6));
    // A second process with ordinal 5: the first learns that it has been superseded.
    let older = cluster.members[5].take();
    cluster.start(5, 99_000);
    cluster.run_until(60_000.0);
    let newer = std::mem::replace(&mut cluster.members[5], older);
    cluster.run_until(70_000.0);
    assert!(cluster.superseded.contains(&5), "the older process must be superseded");
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
            cluster.members[0]
                .iter()
                .flat_map(Membership::peers)
                .filter(|peer| peer.0.ordinal == 1)
                .map(|peer| peer.1),
        );
    }
    seen.dedup();
    assert_eq!(seen, [MemberState::Alive, MemberState::Suspect, MemberState::Down]);
}

proptest! {
    /// Guards against a panic on arbitrary bytes, and on valid messages with flipped bits.
    #[test]
    fn arbitrary_bytes_are_counted_and_cause_no_panic(
        messages in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 1..40),
        flips in proptest::collection::vec((any::<usize>(), any::<u8>()), 0..8),
    ) {
        let mut cluster = Cluster::new(3, 0.0, 9);
        cluster.run_until(500.0);
        let mut member = cluster.members[0].take().expect("member 0 runs");
        for message in messages {
            member.handle_message(600.0, &message);
        }
        // Valid messages with some bits flipped.
        cluster.run_until(1_200.0);
        let in_flight = std::mem::take(&mut cluster.in_flight);
        for Packet { mut bytes, .. } in in_flight {
            for &(position, mask) in &flips {
                let index = position % bytes.len();
                bytes[index] ^= mask;
            }
            member.handle_message(1_300.0, &bytes);
        }
        member.handle_timeout(10_000.0);
        prop_assert!(member.counts().malformed <= member.counts().received);
        while member.poll_command().is_some() {}
    }
}
