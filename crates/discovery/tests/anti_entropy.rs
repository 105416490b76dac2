//! A scheduler that has missed changes in gossip pulls them from its peers.
#![allow(missing_docs)]

mod support;

use brackenledge_discovery::EndpointDirectory;
use brackenledge_policy::Readiness;
use support::scenarios::{gossip_of_a_watch, is_ready, restarted, settled, take_requests};
use support::simulated_discovery::{Fault, Millis, World, directory, endpoint};

const SCHEDULERS: u16 = 204;
const WORKERS: usize = 24;
/// The latest time after a change at which it counts as received, plus the shortest grace period of a drain.
const PROPAGATION_LIMIT: Millis = 6_250.0;

fn old_endpoint(n: usize) -> String {
    format!("old-{n}")
}

/// Many schedulers that have just started with a cached list. Discovery answers about four of them a second,
/// so most have no working watch yet.
fn start(workers: usize, seed: u64) -> World<EndpointDirectory> {
    let list = || (0..workers).map(|n| endpoint(&old_endpoint(n), Readiness::Ready));
    let mut nodes: Vec<_> = (0..SCHEDULERS).map(|n| directory(0.0, n, SCHEDULERS, true)).collect();
    for node in &mut nodes {
        node.load_cached(0.0, workers as u64, list().collect());
    }
    let mut world = World::new(nodes, seed);
    list().for_each(|entry| world.change(entry));
    world.start();
    world.run_until(11_700.0);
    world
}

/// Removes the first endpoints and adds new ones at the same time.
fn replace(world: &mut World<EndpointDirectory>, removed: usize, added: usize) {
    (0..removed).for_each(|n| world.change(endpoint(&old_endpoint(n), Readiness::Gone)));
    (0..added).for_each(|n| world.change(endpoint(&format!("new-{n}"), Readiness::Ready)));
}

/// Number of schedulers at which one of the removed endpoints is still ready.
fn uninformed(world: &World<EndpointDirectory>, removed: usize) -> usize {
    let is_uninformed = |node: &&EndpointDirectory| (0..removed).any(|n| is_ready(node, &old_endpoint(n)));
    world.nodes.iter().filter(is_uninformed).count()
}

#[test]
fn all_schedulers_learn_a_change_in_time_however_many_messages_it_fills() {
    for (workers, removed, added) in
        [(WORKERS, 14, 12), (WORKERS, 14, 14), (WORKERS, 16, 16), (400, 300, 300)]
    {
        for loss in [0.0, 0.2] {
            for seed in 0..if workers == WORKERS { 12 } else { 1 } {
                let mut world = start(workers, seed);
                world.message_loss = loss;
                replace(&mut world, removed, added);
                world.run_until(world.now + PROPAGATION_LIMIT);
                let uninformed = uninformed(&world, removed);
                assert_eq!(uninformed, 0, "{removed} removed, {added} added, loss {loss}, seed {seed}");
            }
        }
    }
}

#[test]
fn a_scheduler_that_was_cut_off_from_its_peers_learns_what_it_missed_soon_after() {
    for (count, connected) in [(4, 1), (40, 1), (40, 20)] {
        let mut world = settled(count, &["a", "b", "c"], true);
        (connected..count.into()).for_each(|node| world.set_fault(node, Fault::OneWay));
        world.run_until(world.now + 3_000.0);
        let isolated = usize::from(count) - 1;
        world.cut_off[isolated] = true;
        world.change(endpoint("a", Readiness::Draining));
        world.run_until(world.now + 4_000.0);
        assert!(is_ready(&world.nodes[isolated], "a"), "no report can have reached it");
        world.cut_off[isolated] = false;
        world.run_until(world.now + 1_400.0);
        assert!(!is_ready(&world.nodes[isolated], "a"), "{count} schedulers, {connected} with a watch");
    }
}

#[test]
fn schedulers_that_restart_together_learn_from_those_that_did_not() {
    for seed in 0..10 {
        let mut world = settled(40, &["a", "b", "c"], true);
        world.rng = fastrand::Rng::with_seed(seed);
        world.change(endpoint("a", Readiness::Draining));
        world.run_until(world.now + 1_000.0);
        // Nothing from discovery reaches any scheduler, and 90 % of the schedulers are killed.
        (0..40).for_each(|node| world.set_fault(node, Fault::OneWay));
        for n in 0..36_u16 {
            let mut restarted = directory(world.now, n, 40, true);
            let list = ["a", "b", "c"].map(|name| endpoint(name, Readiness::Ready));
            restarted.load_cached(world.now, 3, list.into());
            world.restart(n.into(), restarted);
        }
        world.run_until(world.now + PROPAGATION_LIMIT);
        let uninformed = world.nodes.iter().filter(|node| is_ready(node, "a")).count();
        assert_eq!(uninformed, 0, "seed {seed}");
    }
}

#[test]
fn a_removal_reported_by_a_peer_outlasts_an_older_update_of_the_schedulers_own_list() {
    let (mut node, watch) = restarted();
    // At revision 9 a peer reports as gone `c`, which this scheduler does not know, and `a`, which is
    // draining here.
    node.handle_response_head(1.0, watch);
    node.handle_entry(1.0, watch, endpoint("a", Readiness::Draining));
    node.handle_update(1.0, watch, 5, false);
    for text in gossip_reporting_removals() {
        node.handle_message(2.0, 1, &text);
    }
    // This scheduler's own watch, which is behind, reports both as ready.
    for name in ["a", "c"] {
        node.handle_entry(3.0, watch, endpoint(name, Readiness::Ready));
    }
    node.handle_update(3.0, watch, 7, false);
    assert!(is_ready(&node, "b") && !is_ready(&node, "a") && !is_ready(&node, "c"));
    // A newer update of the watch makes them ready.
    for name in ["a", "c"] {
        node.handle_entry(4.0, watch, endpoint(name, Readiness::Ready));
    }
    node.handle_update(4.0, watch, 10, false);
    assert!(is_ready(&node, "a") && is_ready(&node, "c"));
}

/// Gossip of a peer whose watch reports `c` as ready at revision 8, and `a` and `c` as gone at revision 9.
fn gossip_reporting_removals() -> Vec<String> {
    gossip_of_a_watch(&[(8, "c", Readiness::Ready), (9, "a", Readiness::Gone), (9, "c", Readiness::Gone)])
}

#[test]
fn schedulers_that_know_the_same_changes_send_little_gossip() {
    let mut world = settled(40, &["a", "b", "c"], true);
    (1..40).for_each(|node| world.set_fault(node, Fault::OneWay));
    world.change(endpoint("a", Readiness::Draining));
    world.run_until(world.now + 10_000.0);
    let (messages, bytes) = (world.messages_sent, world.message_bytes_sent);
    world.run_until(world.now + 20_000.0);
    let per_scheduler_second = |sent: u64| sent as f64 / (40.0 * 20.0);
    let (messages, bytes) = (
        per_scheduler_second(world.messages_sent - messages),
        per_scheduler_second(world.message_bytes_sent - bytes),
    );
    println!(
        "{messages:.2} messages and {bytes:.0} bytes a second per scheduler, all but one without a watch"
    );
    assert!(messages < 5.0 && bytes < 140.0, "{messages} messages, {bytes} bytes a second per scheduler");
    let (_, cancelled) = take_requests(&mut world.nodes[0]);
    assert!(cancelled.is_empty());
}
