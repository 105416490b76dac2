//! Which endpoints are ready: partial updates, overrides, signals and rollouts.
#![allow(missing_docs)]

mod support;

use brackenledge_discovery::{Command, EndpointRecord, EndpointSignal, Freshness, RequestEnd, RequestKind};
use brackenledge_policy::Readiness;
use std::collections::BTreeSet;
use support::scenarios::{gossip_of_a_watch, is_ready, requests, restarted, settled};
use support::simulated_discovery::{Fault, World, directory, endpoint};

#[test]
fn what_a_partial_update_withdrew_is_not_ready_and_what_it_added_waits_for_a_complete_one() {
    let mut node = directory(0.0, 0, 1, false);
    node.load_cached(0.0, 3, vec![endpoint("a", Readiness::Ready), endpoint("b", Readiness::Ready)]);
    node.set_watching(0.0, true);
    let request = std::iter::from_fn(|| node.poll_command())
        .find_map(
            |command| if let Command::OpenRequest { request, .. } = command { Some(request) } else { None },
        )
        .expect("a request");
    node.handle_connected(1.0, request);
    node.handle_response_head(2.0, request);
    node.handle_entry(3.0, request, endpoint("c", Readiness::Ready));
    node.handle_entry(3.0, request, endpoint("a", Readiness::Draining));
    assert!(!is_ready(&node, "a") && is_ready(&node, "b") && node.find("c").is_none());
    // Nor does the withdrawal end with the request.
    node.handle_request_end(4.0, request, RequestEnd::Closed);
    assert!(!is_ready(&node, "a"));
    node.handle_timeout(2_000.0);
    let again = std::iter::from_fn(|| node.poll_command())
        .find_map(|command| {
            if let Command::OpenRequest { request, since_revision: 3, .. } = command {
                Some(request)
            } else {
                None
            }
        })
        .expect("a request from the revision held");
    node.handle_connected(2_001.0, again);
    node.handle_response_head(2_002.0, again);
    // A complete update as new as that one decides.
    node.handle_entry(2_003.0, again, endpoint("c", Readiness::Ready));
    node.handle_update(2_003.0, again, 4, false);
    assert!(is_ready(&node, "a") && is_ready(&node, "c"));
}

/// Seen on `zone+mass`, each time: peers sent a restarted scheduler that an endpoint was gone and then that it was back;
/// the second message uncovered the cached list, and a job was sent by it 1.6 s after the start.
#[test]
fn an_endpoint_that_peers_withdrew_is_ready_again_only_by_the_own_list() {
    for away in [Readiness::Gone, Readiness::Draining] {
        let (mut node, watch) = restarted();
        for text in gossip_of_a_watch(&[(1, "a", away), (3, "a", Readiness::Ready)]) {
            node.handle_message(10.0, 1, &text);
        }
        assert!(!is_ready(&node, "a"), "gossip of the return uncovered a list that is older than the loss");
        assert!(is_ready(&node, "b"));
        // The own list decides once it is as new as the withdrawal.
        node.handle_response_head(20.0, watch);
        node.handle_entry(20.0, watch, endpoint("a", Readiness::Ready));
        node.handle_update(20.0, watch, 3, false);
        assert!(is_ready(&node, "a"));
    }
}

#[test]
fn an_endpoint_that_a_partial_update_withdrew_is_not_made_ready_by_a_peer() {
    let (mut node, watch) = restarted();
    node.handle_response_head(5.0, watch);
    node.handle_entry(6.0, watch, endpoint("a", Readiness::Gone));
    node.handle_request_end(7.0, watch, RequestEnd::Closed);
    assert!(!is_ready(&node, "a"));
    for text in gossip_of_a_watch(&[(8, "a", Readiness::Draining), (9, "a", Readiness::Ready)]) {
        node.handle_message(10.0, 1, &text);
    }
    assert!(!is_ready(&node, "a"), "only the own list makes an endpoint ready");
}

#[test]
fn an_override_outlives_an_outage_and_expires_once_a_working_watch_has_not_confirmed_it() {
    let (mut node, watch) = restarted();
    for text in gossip_of_a_watch(&[(5, "a", Readiness::Gone)]) {
        node.handle_message(10.0, 1, &text);
    }
    // Discovery is silent for two minutes: nothing confirms or ends the override.
    node.handle_request_end(20.0, watch, RequestEnd::Closed);
    let mut asked = Vec::new();
    for second in 1..=120 {
        let now = 1_000.0 * f64::from(second);
        node.handle_timeout(now);
        for request in requests(&mut node).0 {
            asked.push(request);
            node.handle_request_end(now, request, RequestEnd::NoConnection);
        }
        assert!(!is_ready(&node, "a"), "ready by the cached list after {second} s");
    }
    // A watch is open again, on time, and never mentions the endpoint: the report was false.
    let mut watches = BTreeSet::new();
    for step in 0..200 {
        let now = 121_000.0 + 500.0 * f64::from(step);
        node.handle_timeout(now);
        let (opened, cancelled) = requests(&mut node);
        for request in opened {
            node.handle_connected(now, request);
            node.handle_response_head(now, request);
            node.handle_update(now, request, 2, false);
            watches.insert(request);
        }
        watches.retain(|request| !cancelled.contains(request));
        watches.iter().for_each(|&request| node.handle_keep_alive(now, request));
        assert!(
            now > 180_000.0 || !is_ready(&node, "a"),
            "ended {} ms after the watch came up",
            now - 121_000.0
        );
    }
    assert!(is_ready(&node, "a"), "one false message would withdraw an endpoint for good");
}

#[test]
fn the_policy_is_notified_of_an_endpoint_whose_override_has_expired() {
    let (mut node, watch) = restarted();
    node.handle_response_head(2.0, watch);
    node.handle_update(2.0, watch, 2, false);
    for text in gossip_of_a_watch(&[(5, "a", Readiness::Gone)]) {
        node.handle_message(10.0, 1, &text);
    }
    let mut watches = BTreeSet::from([watch]);
    let mut notified_ready = false;
    for step in 0..400 {
        let now = 500.0 * f64::from(step);
        node.handle_timeout(now);
        while let Some(command) = node.poll_command() {
            match command {
                Command::OpenRequest { request, .. } => {
                    node.handle_connected(now, request);
                    node.handle_response_head(now, request);
                    node.handle_update(now, request, 2, false);
                    watches.insert(request);
                }
                Command::CancelRequest { request } => {
                    watches.remove(&request);
                }
                Command::UpdateEndpoints { entries, .. } => {
                    let of_a = entries.iter().find(|entry| entry.0.name == "a");
                    notified_ready =
                        of_a.map_or(notified_ready, |entry| entry.0.readiness == Readiness::Ready);
                }
                _ => {}
            }
        }
        assert_eq!(notified_ready, is_ready(&node, "a"), "{now} ms");
        watches.iter().for_each(|&request| node.handle_keep_alive(now, request));
    }
    assert!(notified_ready, "the override has not expired");
}

/// After SIGHUP a scheduler may watch a discovery replica that lags behind the one that its peers still watch.
#[test]
fn a_snapshot_older_than_an_override_does_not_end_it() {
    let (mut node, watch) = restarted();
    node.handle_response_head(2.0, watch);
    node.handle_update(2.0, watch, 5, false);
    for text in gossip_of_a_watch(&[(7, "a", Readiness::Gone)]) {
        node.handle_message(10.0, 1, &text);
    }
    node.handle_address_change(20.0);
    node.request_poll(20.0);
    let mut polled = 0;
    for step in 0..40 {
        let now = 20.0 + 100.0 * f64::from(step);
        node.handle_timeout(now);
        while let Some(command) = node.poll_command() {
            if let Command::OpenRequest { request, kind: RequestKind::Poll, .. } = command {
                node.handle_connected(now, request);
                node.handle_response_head(now, request);
                node.handle_entry(now, request, endpoint("a", Readiness::Ready));
                node.handle_entry(now, request, endpoint("b", Readiness::Ready));
                node.handle_update(now, request, 5, true);
                node.handle_request_end(now, request, RequestEnd::Complete);
                polled += 1;
            }
        }
    }
    assert!(polled > 0, "no list was polled");
    assert!(!is_ready(&node, "a"), "revision 5 ended an override of revision 7");
}

#[test]
fn in_an_outage_of_discovery_alone_no_scheduler_is_left_without_endpoints() {
    let names: Vec<String> = (0..12).map(|n| format!("s{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = settled(3, &names, true);
    world.set_down(true);
    world.run_until(world.now + 60_000.0);
    for node in &world.nodes {
        assert_eq!(node.freshness(), Freshness::Stale);
        assert!(names.iter().all(|name| is_ready(node, name)));
    }
    // Nor when every endpoint rejects work: half of them are held back at most.
    let now = world.now;
    let node = &mut world.nodes[0];
    for _ in 0..5 {
        for name in &names {
            let id = node.find(name).expect("known");
            node.handle_signal(now, id, EndpointSignal::ReturnedWithCapacity);
        }
    }
    assert_eq!(names.iter().filter(|name| is_ready(node, name)).count(), 6);
}

#[test]
fn three_endpoints_that_drain_unnoticed_are_suspected_by_their_own_signals() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut world = settled(2, &names, true);
    world.set_down(true);
    world.run_until(world.now + 100.0);
    for (step, name) in ["a", "b", "c"].into_iter().enumerate() {
        world.run_until(world.now + 1_000.0);
        let now = world.now;
        for node in &mut world.nodes {
            let id = node.find(name).expect("known");
            node.handle_signal(now, id, EndpointSignal::ReturnedWithCapacity);
            assert!(node.is_ready(id), "one signal does not suffice");
            node.handle_signal(now, id, EndpointSignal::ConnectionRefused);
            assert!(!node.is_ready(id));
        }
        assert_eq!(names.iter().filter(|name| is_ready(&world.nodes[0], name)).count(), 7 - step);
    }
    // A confirmed list undoes what was only inferred.
    world.set_down(false);
    world.run_until(world.now + 6_000.0);
    assert!(world.nodes.iter().all(|node| names.iter().all(|name| is_ready(node, name))));
    // While the watch is fresh, signals alone hold nothing back.
    let (now, node) = (world.now, &mut world.nodes[0]);
    let id = node.find("a").expect("known");
    (0..9).for_each(|_| node.handle_signal(now, id, EndpointSignal::ConnectionRefused));
    assert!(node.is_ready(id));
}

#[test]
fn while_nothing_is_confirmed_the_likely_next_of_a_rollout_have_a_drain_probability() {
    let placed = |name: &str, zone, readiness| EndpointRecord { zone, ..endpoint(name, readiness) };
    let mut world = World::new(vec![directory(0.0, 0, 1, false)], 3);
    for (name, zone) in [("a1", 1), ("a2", 1), ("b1", 2), ("b2", 2)] {
        world.change(placed(name, zone, Readiness::Ready));
    }
    world.start();
    world.run_until(6_000.0);
    // A replacement in zone 1 is up; then the connection dies.
    world.change(placed("a9", 1, Readiness::Ready));
    world.change(placed("b1", 2, Readiness::Draining));
    world.run_until(6_200.0);
    world.set_fault(0, Fault::BlackHole);
    let mut probabilities = std::collections::BTreeMap::new();
    world.run_until(8_000.0);
    let node = &mut world.nodes[0];
    node.handle_timeout(20_000.0);
    while let Some(command) = node.poll_command() {
        if let Command::UpdateEndpoints { entries, .. } = command {
            probabilities
                .extend(entries.into_iter().map(|entry| (entry.0.name.clone(), entry.0.drain_probability)));
        }
    }
    assert!(probabilities["a1"] > probabilities["b2"] && probabilities["b2"] > 0.0, "{probabilities:?}");
    assert_eq!(probabilities.get("a9").copied().unwrap_or(0.0), 0.0, "the new one is not next");
}

#[test]
fn endpoints_gone_for_long_are_forgotten_and_their_ids_reused() {
    let mut world = settled(1, &["a", "b"], false);
    let old = world.nodes[0].find("a").expect("known");
    world.change(endpoint("a", Readiness::Gone));
    world.run_until(world.now + 1_000.0);
    world.change(endpoint("c", Readiness::Ready));
    world.run_until(world.now + 1_000.0);
    assert_ne!(world.nodes[0].find("c"), Some(old), "a job may still be out there");
    assert_eq!(world.nodes[0].len(), 3);
    world.run_until(world.now + 700_000.0);
    assert_eq!((world.nodes[0].len(), world.nodes[0].find("a")), (2, None));
    world.change(endpoint("d", Readiness::Ready));
    world.run_until(world.now + 1_000.0);
    assert_eq!(world.nodes[0].find("d"), Some(old));
    // A machine that is replaced every second for an hour leaves no more than those that went in the last ten minutes.
    for n in 0..3_600 {
        world.change(endpoint(&format!("m{n}"), Readiness::Ready));
        world.run_until(world.now + 500.0);
        world.change(endpoint(&format!("m{n}"), Readiness::Gone));
        world.run_until(world.now + 500.0);
    }
    assert!(world.nodes[0].len() < 640, "{}", world.nodes[0].len());
}
