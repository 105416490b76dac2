//! Six processes that lose 30% of their messages, each of which takes 200 ms: how long they are without a leader.
#![allow(missing_docs)]

mod virtual_cluster;

use brackenledge_leases::Micros;
use virtual_cluster::{Cluster, MS};

const SEEDS: u64 = 40;

/// A cluster that has bootstrapped without delay, and then has it.
fn slow_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::bootstrapped(6, 30, seed);
    cluster.delay = 200 * MS;
    cluster
}

/// Milliseconds without a leader from now on.
fn time_without_leader(cluster: &mut Cluster, ms: Micros) -> Micros {
    let mut without = 0;
    for _ in 0..ms / 20 {
        cluster.run(20);
        without += if cluster.leader().is_none() { 20 } else { 0 };
    }
    without
}

#[test]
fn a_leader_keeps_its_lease_while_a_voter_is_gone() {
    let mut without = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = slow_cluster(seed);
        let leader = cluster.leader().expect("a leader");
        cluster.kill((leader + 1) % 6);
        without.push(time_without_leader(&mut cluster, 4_800));
    }
    without.sort_unstable();
    println!("kept: {without:?}");
    assert_eq!(without[without.len() * 9 / 10], 0, "milliseconds without a leader: {without:?}");
    assert!(without[without.len() - 1] <= 1_500, "milliseconds without a leader: {without:?}");
}

#[test]
fn a_dead_leader_is_replaced() {
    let mut without = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = slow_cluster(seed);
        cluster.kill(cluster.leader().expect("a leader"));
        without.push(time_without_leader(&mut cluster, 12_000));
    }
    without.sort_unstable();
    println!("replaced: {without:?}");
    assert!(without[without.len() / 2] <= 4_000, "milliseconds without a leader: {without:?}");
    assert!(without[without.len() - 1] <= 8_000, "milliseconds without a leader: {without:?}");
}

/// Membership finds the dead voter after 5 s, and the leader has the next view chosen.
#[test]
fn a_leader_keeps_its_lease_through_a_change_of_the_view() {
    let mut without = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = slow_cluster(seed);
        let leader = cluster.leader().expect("a leader");
        cluster.kill((leader + 1) % 6);
        without.push(time_without_leader(&mut cluster, 8_000));
    }
    without.sort_unstable();
    println!("changed: {without:?}");
    assert_eq!(without[without.len() * 8 / 10], 0, "milliseconds without a leader: {without:?}");
    assert!(without[without.len() - 1] <= 2_000, "milliseconds without a leader: {without:?}");
}
