//! Spreading of endpoint list changes between schedulers by gossip.
#![allow(missing_docs)]

mod support;

use brackenledge_discovery::{Command, StatusSource};
use brackenledge_policy::Readiness;
use support::scenarios::{is_ready, settled, time_until_not_ready};
use support::simulated_discovery::{FAULTS, Fault, directory, endpoint};

#[test]
fn one_working_watch_keeps_all_schedulers_up_to_date() {
    let mut world = settled(4, &["a", "b", "c"], true);
    (1..4).for_each(|node| world.set_fault(node, Fault::BlackHole));
    world.change(endpoint("a", Readiness::Draining));
    let since = world.now;
    for node in 0..4 {
        time_until_not_ready(&mut world, node, "a", 150.0);
    }
    assert!(world.now - since <= 150.0);
    let [own, by_gossip] =
        [0, 1].map(|n| world.nodes[n].status(world.now, world.nodes[n].find("a").expect("known")));
    let (own, by_gossip) = (own.expect("a status"), by_gossip.expect("a status"));
    assert_eq!((own.source, own.readiness), (StatusSource::Watch, Readiness::Draining));
    assert!(matches!(by_gossip.source, StatusSource::Peer(_)), "{by_gossip:?}");
    assert_eq!((by_gossip.revision, by_gossip.readiness), (own.revision, Readiness::Draining));
    assert!(own.age <= 150.0 && by_gossip.age <= own.age);
    // Gossip never adds an endpoint.
    world.change(endpoint("d", Readiness::Ready));
    world.run_until(world.now + 500.0);
    assert!(is_ready(&world.nodes[0], "d") && world.nodes[1].find("d").is_none());
    // Half of the messages are lost, so they have to be resent.
    world.message_loss = 0.5;
    world.change(endpoint("b", Readiness::Draining));
    for node in 0..4 {
        time_until_not_ready(&mut world, node, "b", 2_500.0);
    }
}

#[test]
fn a_large_cluster_spreads_a_change_without_sending_it_from_all_to_all() {
    let mut world = settled(40, &["a", "b"], true);
    (1..40).for_each(|node| world.set_fault(node, Fault::BlackHole));
    let before = world.messages_sent;
    world.change(endpoint("a", Readiness::Draining));
    world.run_until(world.now + 900.0);
    let missed = world.nodes.iter().filter(|node| is_ready(node, "a")).count();
    assert!(missed <= 2, "{missed} of 40 schedulers have not learned of the change");
    let messages = world.messages_sent - before;
    assert!(messages < 40 * 39, "{messages} messages, as many as if each scheduler sent to all others");
}

#[test]
fn a_watch_that_sends_only_keep_alives_is_suspected_once_a_peer_holds_a_newer_revision() {
    let mut world = settled(2, &["a", "b"], true);
    world.set_fault(0, Fault::KeepAlivesOnly);
    // Gossip does not add endpoints, so the first scheduler learns of this change only by its revision.
    world.change(endpoint("c", Readiness::Ready));
    world.run_until(world.now + 1_200.0);
    assert!(is_ready(&world.nodes[0], "c"), "no second watch has brought the endpoint");
}

#[test]
fn outdated_corrupt_and_foreign_messages_have_no_effect() {
    let mut world = settled(2, &["a", "b"], true);
    world.change(endpoint("a", Readiness::Draining));
    let (mut node, mut texts) = (directory(0.0, 1, 2, true), Vec::new());
    node.load_cached(0.0, 1, vec![endpoint("a", Readiness::Ready), endpoint("b", Readiness::Ready)]);
    let now = world.now;
    node.set_watching(now, true);
    let request = std::iter::from_fn(|| node.poll_command())
        .find_map(|o| if let Command::OpenRequest { request, .. } = o { Some(request) } else { None })
        .expect("a request is opened");
    node.handle_response_head(now, request);
    node.handle_entry(now, request, endpoint("b", Readiness::Draining));
    node.handle_update(now, request, 2, false);
    while let Some(command) = node.poll_command() {
        if let Command::SendMessage { text, .. } = command {
            texts.push(text);
        }
    }
    assert!(!texts.is_empty());
    world.run_until(now + 500.0);
    // The messages have revision 2, which is older than what discovery has sent since.
    for text in &texts {
        assert!(world.nodes[0].handle_message(world.now, 1, text));
        for at in 0..text.len() {
            let corrupt: String =
                text.char_indices().map(|(n, c)| if n == at && n > 0 { '~' } else { c }).collect();
            assert!(world.nodes[0].handle_message(world.now, 1, &corrupt));
        }
    }
    assert!(is_ready(&world.nodes[0], "b"));
    assert!(!world.nodes[0].handle_message(world.now, 1, "0abcd"), "a load report was taken for gossip");
}

#[test]
fn a_drain_reaches_all_schedulers_as_long_as_one_is_connected_to_discovery() {
    // In each run one random scheduler keeps its link to discovery and the others have random faults. No
    // message between schedulers is lost.
    for seed in 0..120 {
        let mut world = settled(3, &["a", "b", "c", "d"], true);
        let mut rng = fastrand::Rng::with_seed(seed);
        let connected = rng.usize(..3);
        for node in (0..3).filter(|&node| node != connected) {
            world.set_fault(node, FAULTS[rng.usize(..FAULTS.len())]);
        }
        world.run_until(world.now + 2_000.0 * rng.f64());
        world.change(endpoint("b", Readiness::Draining));
        let since = world.now;
        for node in 0..3 {
            // It takes discovery up to 120 ms to send the change to a scheduler, and a message up to 22 ms.
            time_until_not_ready(&mut world, node, "b", 145.0);
        }
        assert!(world.now - since <= 145.0, "seed {seed}");
    }
}
