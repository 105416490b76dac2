//! Simulated clusters, from their bootstrap on, on a virtual clock and a lossy network: killed processes,
//! restarts with loss of state, of some or all processes at once, partitions, pauses, orderly shutdown, clock
//! drift within its bound, and arbitrary bytes as messages.
#![allow(missing_docs)]

mod virtual_cluster;

use brackenledge_leases::{
    Command, FencingGuard, FencingToken, LeaseManager, MAX_MESSAGE_LENGTH, Message, ProcessId, Settings, Term,
};
use proptest::prelude::*;
use virtual_cluster::{Cluster, MS, Packet, ROLES};

#[test]
fn a_cluster_bootstraps_and_replaces_a_killed_holder_or_leader_in_three_seconds() {
    for (size, loss) in [(3, 0), (5, 0), (5, 10), (5, 30), (8, 30), (12, 10)] {
        let mut takeover_times = Vec::new();
        for seed in 0..12 {
            let mut cluster = Cluster::bootstrapped(size, loss, seed);
            assert!(
                cluster.member_leases_seen > 100 * size,
                "cluster of {size}, loss {loss}%: only {} member leases seen",
                cluster.member_leases_seen
            );
            let victim = if seed % 2 == 0 { cluster.holder(0) } else { cluster.leader() };
            let victim = victim.expect("a holder or leader");
            cluster.kill(victim);
            let killed_at = cluster.now;
            while cluster.holder(0).is_none() && cluster.now < killed_at + 15_000 * MS {
                cluster.run(20);
            }
            takeover_times.push((cluster.now - killed_at) / MS);
        }
        takeover_times.sort_unstable();
        let context = format!("cluster of {size}, loss {loss}%: takeover times in ms {takeover_times:?}");
        assert!(takeover_times[takeover_times.len() / 2] <= 3_000, "{context}");
        assert!(takeover_times[takeover_times.len() - 1] <= 6_000, "{context}");
    }
}

#[test]
fn a_holder_that_is_paused_for_ten_seconds_holds_no_lease_when_it_resumes() {
    for seed in 0..6 {
        let mut cluster = Cluster::bootstrapped(5, 10, seed);
        let old = cluster.holder(0).expect("a holder");
        cluster.paused.insert(old);
        cluster.run(10_000);
        let new = cluster.holder(0).expect("another holder");
        assert_ne!(new, old);
        cluster.paused.clear();
        cluster.run(20);
        assert_ne!(
            cluster.holder(0),
            Some(old),
            "it must not hold the role before it has received a message"
        );
        cluster.run(5_000);
    }
}

#[test]
fn a_partition_without_a_majority_holds_no_role_and_rejoins() {
    for (side_a, side_b) in [(vec![0, 1], vec![2, 3, 4]), (vec![0, 2, 4, 6], vec![1, 3, 5, 7])] {
        let size = side_a.len() + side_b.len();
        let mut cluster = Cluster::bootstrapped(size, 10, 5);
        cluster.cut_between(&side_a, &side_b);
        cluster.run(15_000);
        let holder = cluster.holder(0);
        if side_a.len() != side_b.len() {
            assert!(holder.is_some_and(|index| side_b.contains(&index)), "holder {holder:?}");
        }
        cluster.cut.clear();
        cluster.run(15_000);
        assert!(cluster.holder(0).is_some() && cluster.holder(1).is_some());
    }
}

#[test]
fn a_cluster_recovers_after_voters_lose_their_state_one_by_one_or_all_at_once() {
    let mut cluster = Cluster::bootstrapped(5, 10, 6);
    for index in 0..5 {
        cluster.kill(index);
        cluster.start(index);
        cluster.run(8_000);
    }
    assert!(cluster.holder(0).is_some(), "one by one");
    for index in 0..5 {
        cluster.kill(index);
        cluster.start(index);
    }
    cluster.run(15_000);
    assert!(cluster.holder(0).is_some(), "all at once");
    for index in 0..3 {
        cluster.kill(index);
        cluster.start(index);
    }
    cluster.run(30_000);
    assert!(cluster.holder(0).is_some(), "three of five at once");
}

#[test]
fn a_restarted_cluster_whose_clocks_were_set_back_starts_a_later_era_if_one_process_restores_its_epoch() {
    let starts_later_epoch = |restored_by: Option<usize>| {
        let mut cluster = Cluster::bootstrapped(5, 10, 6);
        let epoch = |cluster: &Cluster| {
            let views = cluster.nodes.iter().flatten().filter_map(|node| node.view());
            views.map(|view| view.epoch).max().expect("a view")
        };
        let last = epoch(&cluster);
        let latest =
            cluster.nodes.iter().flatten().map(LeaseManager::latest_epoch).max().expect("a running node");
        assert!(latest >= last);
        for index in 0..5 {
            cluster.kill(index);
            cluster.start(index);
            // The wall clock has been set back by ten minutes.
            let node = cluster.nodes[index].take().expect("the node has just been started");
            let settings = Settings { member_lease_duration: 2_500 * MS, ..Settings::new(5, ROLES) };
            let mut node = LeaseManager::new(cluster.clock(index), node.me(), last.era - 600, settings);
            if restored_by == Some(index) {
                node.restore_epoch(latest);
            }
            cluster.nodes[index] = Some(node);
        }
        cluster.run(20_000);
        assert!(cluster.holder(0).is_some());
        epoch(&cluster) > last
    };
    assert!(
        !starts_later_epoch(None),
        "clocks set back must lead to an earlier era, or the test proves nothing"
    );
    for index in 0..5 {
        assert!(starts_later_epoch(Some(index)), "only node {index} restored its epoch");
    }
}

#[test]
fn a_holder_that_shuts_down_in_an_orderly_way_is_replaced_at_once() {
    for seed in 0..6 {
        let mut cluster = Cluster::bootstrapped(5, 0, seed);
        let (old, left_at) = (cluster.holder(0).expect("a holder"), cluster.now);
        let now = cluster.clock(old);
        if let Some(node) = &mut cluster.nodes[old] {
            node.leave(now);
        }
        cluster.execute_commands(old);
        while cluster.holder(0).is_none() {
            cluster.run(10);
            assert!(
                cluster.now < left_at + 1_500 * MS,
                "seed {seed}: the role has no holder after {} ms",
                (cluster.now - left_at) / MS
            );
        }
        assert_ne!(cluster.holder(0), Some(old));
    }
}

#[test]
fn clock_drift_within_the_bound_never_results_in_two_holders() {
    for seed in 0..6 {
        let mut cluster = Cluster::new(5, 20, seed);
        // 25 in 10,000 each way: two clocks diverge by 1 in 200, the bound.
        cluster.drift = vec![25, -25, 25, -25, 0];
        cluster.run(12_000);
        for _ in 0..4 {
            let Some(holder) = cluster.holder(0) else { continue };
            cluster.cut_between(&[holder], &(0..5).filter(|&index| index != holder).collect::<Vec<_>>());
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
    assert!(guard.accept(0, term(5), a).is_err(), "no term is known yet");
    guard.observe(0, term(5), a);
    assert!(guard.accept(0, term(5), a).is_ok());
    assert!(guard.accept(0, term(5), b).is_err(), "same term, another holder");
    assert!(guard.accept(0, term(6), b).is_ok(), "newer term");
    assert!(guard.accept(0, term(5), a).is_err(), "older term");
    assert!(guard.accept(1, term(9), a).is_err(), "role without a known term");
    assert_eq!((guard.accepted, guard.rejected), (2, 4));
    let token = FencingToken { holder: a, role: 0, term: term(u32::MAX) };
    let bytes = token.encode_message(b"text");
    assert_eq!(FencingToken::decode_message(&bytes), Ok((token, &b"text"[..])));
    assert!(bytes.len() - 4 <= FencingToken::MAX_ENCODED_LENGTH);
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected_without_a_panic(
        random_messages in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 1..30),
        flips in proptest::collection::vec((any::<usize>(), any::<u8>()), 1..6),
    ) {
        let mut cluster = Cluster::new(3, 0, 1);
        cluster.run(6_000);
        let mut datagrams = std::mem::take(&mut cluster.in_flight);
        datagrams
            .extend(random_messages.into_iter().map(|bytes| Packet { arrives_at: 0, from: 1, to: 0, bytes }));
        for Packet { from, mut bytes, .. } in datagrams {
            for &(position, bits) in &flips {
                let length = bytes.len().max(1);
                if let Some(byte) = bytes.get_mut(position % length) {
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
