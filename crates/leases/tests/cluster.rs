//! Whole clusters from their bootstrap on, on a virtual clock over a lossy network: death, loss of memory, all at once,
//! splits, a pause, a clean leave; drift within its bound; and any bytes.
#![allow(missing_docs)]

mod virtual_cluster;

use brackenledge_leases::{
    Command, FencingGuard, FencingToken, LeaseManager, MAX_MESSAGE_LENGTH, Message, ProcessId, Settings, Term,
};
use proptest::prelude::*;
use virtual_cluster::{Cluster, MS, Packet, ROLES};

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
        assert_ne!(cluster.holder(0), Some(old), "it must not act before it has received anything");
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
        cluster.execute_commands(old);
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
        // Half of one part in 200 each way: two clocks part by one in 200.
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
        datagrams.extend(texts.into_iter().map(|bytes| Packet { arrives_at: 0, from: 1, to: 0, bytes }));
        for Packet { from, mut bytes, .. } in datagrams {
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
