//! Six processes with 30% message loss and a message delay of 200 ms: how long they are without a leader.
#![allow(missing_docs)]

mod virtual_cluster;

use brackenledge_leases::Micros;
use virtual_cluster::{Cluster, MS};

const SEEDS: u64 = 40;

/// A cluster whose network becomes slow after the bootstrap.
fn slow_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::bootstrapped(6, 30, seed);
    cluster.delay = 200 * MS;
    cluster
}

/// Runs the cluster for `ms` and returns for how many of these milliseconds it had no leader.
fn time_without_leader(cluster: &mut Cluster, ms: Micros) -> Micros {
    let mut leaderless_ms = 0;
    for _ in 0..ms / 20 {
        cluster.run(20);
        leaderless_ms += if cluster.leader().is_none() { 20 } else { 0 };
    }
    leaderless_ms
}

#[test]
fn a_leader_keeps_its_lease_after_a_voter_is_killed() {
    let mut leaderless_ms = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = slow_cluster(seed);
        let leader = cluster.leader().expect("a leader");
        cluster.kill((leader + 1) % 6);
        leaderless_ms.push(time_without_leader(&mut cluster, 4_800));
    }
    leaderless_ms.sort_unstable();
    println!("voter killed, leaderless ms: {leaderless_ms:?}");
    assert_eq!(
        leaderless_ms[leaderless_ms.len() * 9 / 10],
        0,
        "time without a leader in ms: {leaderless_ms:?}"
    );
    assert!(
        leaderless_ms[leaderless_ms.len() - 1] <= 1_500,
        "time without a leader in ms: {leaderless_ms:?}"
    );
}

#[test]
fn a_killed_leader_is_replaced() {
    let mut leaderless_ms = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = slow_cluster(seed);
        cluster.kill(cluster.leader().expect("a leader"));
        leaderless_ms.push(time_without_leader(&mut cluster, 12_000));
    }
    leaderless_ms.sort_unstable();
    println!("leader killed, leaderless ms: {leaderless_ms:?}");
    assert!(
        leaderless_ms[leaderless_ms.len() / 2] <= 4_000,
        "time without a leader in ms: {leaderless_ms:?}"
    );
    assert!(
        leaderless_ms[leaderless_ms.len() - 1] <= 8_000,
        "time without a leader in ms: {leaderless_ms:?}"
    );
}

/// Membership detects the killed voter after 5 s, and the leader then proposes the next view.
#[test]
fn a_leader_keeps_its_lease_through_a_view_change() {
    let mut leaderless_ms = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = slow_cluster(seed);
        let leader = cluster.leader().expect("a leader");
        cluster.kill((leader + 1) % 6);
        leaderless_ms.push(time_without_leader(&mut cluster, 8_000));
    }
    leaderless_ms.sort_unstable();
    println!("view changed, leaderless ms: {leaderless_ms:?}");
    assert_eq!(
        leaderless_ms[leaderless_ms.len() * 8 / 10],
        0,
        "time without a leader in ms: {leaderless_ms:?}"
    );
    assert!(
        leaderless_ms[leaderless_ms.len() - 1] <= 2_000,
        "time without a leader in ms: {leaderless_ms:?}"
    );
}
