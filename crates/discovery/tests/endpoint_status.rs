//! Endpoint readiness under partial updates, status overrides, signals and rollouts.
#![allow(missing_docs)]

mod support;

use brackenledge_discovery::{Command, EndpointRecord, EndpointSignal, Freshness, RequestEnd, RequestKind};
use brackenledge_policy::Readiness;
use std::collections::BTreeSet;
use support::scenarios::{gossip_of_a_watch, is_ready, restarted, settled, take_requests};
use support::simulated_discovery::{Fault, World, directory, endpoint};

#[test]
fn a_partial_update_withdraws_endpoints_at_once_but_makes_none_ready() {
    let mut node = directory(0.0, 0, 1, false);
    node.load_cached(0.0, 3, vec![endpoint("a", Readiness::Ready), endpoint("b", Readiness::Ready)]);
    node.set_watching(0.0, true);
    let request = std::iter::from_fn(|| node.poll_command())
        .find_map(
            |command| if let Command::OpenRequest { request, .. } = command { Some(request) } else { None },
        )
        .expect("a request is opened");
    node.handle_connected(1.0, request);
    node.handle_response_head(2.0, request);
    node.handle_entry(3.0, request, endpoint("c", Readiness::Ready));
    node.handle_entry(3.0, request, endpoint("a", Readiness::Draining));
    assert!(!is_ready(&node, "a") && is_ready(&node, "b") && node.find("c").is_none());
    // The withdrawal outlasts the request.
    node.handle_request_end(4.0, request, RequestEnd::Closed);
    assert!(!is_ready(&node, "a"));
    node.handle_timeout(2_000.0);
    let second_request = std::iter::from_fn(|| node.poll_command())
        .find_map(|command| {
            if let Command::OpenRequest { request, since_revision: 3, .. } = command {
                Some(request)
            } else {
                None
            }
        })
        .expect("a request since the held revision is opened");
    node.handle_connected(2_001.0, second_request);
    node.handle_response_head(2_002.0, second_request);
    // A complete update that is as new as the partial one ends the withdrawal.
    node.handle_entry(2_003.0, second_request, endpoint("c", Readiness::Ready));
    node.handle_update(2_003.0, second_request, 4, false);
    assert!(is_ready(&node, "a") && is_ready(&node, "c"));
}

/// Peers report to a restarted scheduler that an endpoint is gone and then that it is back. If the second
/// report ended the override set by the first, the cached list would take effect again, although it is older
/// than both. In every run of `zone+mass` a job was sent that way, 1.6 s after the start.
#[test]
fn an_endpoint_withdrawn_by_peers_becomes_ready_again_only_by_the_schedulers_own_list() {
    for away in [Readiness::Gone, Readiness::Draining] {
        let (mut node, watch) = restarted();
        for text in gossip_of_a_watch(&[(1, "a", away), (3, "a", Readiness::Ready)]) {
            node.handle_message(10.0, 1, &text);
        }
        assert!(!is_ready(&node, "a"), "ready by a cached list that is older than the withdrawal");
        assert!(is_ready(&node, "b"));
        // The scheduler's own list takes effect once it is as new as the withdrawal.
        node.handle_response_head(20.0, watch);
        node.handle_entry(20.0, watch, endpoint("a", Readiness::Ready));
        node.handle_update(20.0, watch, 3, false);
        assert!(is_ready(&node, "a"));
    }
}

#[test]
fn a_peer_does_not_make_an_endpoint_ready_that_a_partial_update_withdrew() {
    let (mut node, watch) = restarted();
    node.handle_response_head(5.0, watch);
    node.handle_entry(6.0, watch, endpoint("a", Readiness::Gone));
    node.handle_request_end(7.0, watch, RequestEnd::Closed);
    assert!(!is_ready(&node, "a"));
    for text in gossip_of_a_watch(&[(8, "a", Readiness::Draining), (9, "a", Readiness::Ready)]) {
        node.handle_message(10.0, 1, &text);
    }
    assert!(!is_ready(&node, "a"), "ready by a peer's report");
}

#[test]
fn an_override_survives_an_outage_and_expires_if_a_working_watch_does_not_confirm_it() {
    let (mut node, watch) = restarted();
    for text in gossip_of_a_watch(&[(5, "a", Readiness::Gone)]) {
        node.handle_message(10.0, 1, &text);
    }
    // Discovery is unreachable for two minutes, so nothing confirms or supersedes the override.
    node.handle_request_end(20.0, watch, RequestEnd::Closed);
    let mut opened_requests = Vec::new();
    for second in 1..=120 {
        let now = 1_000.0 * f64::from(second);
        node.handle_timeout(now);
        for request in take_requests(&mut node).0 {
            opened_requests.push(request);
            node.handle_request_end(now, request, RequestEnd::NoConnection);
        }
        assert!(!is_ready(&node, "a"), "ready by the cached list after {second} s");
    }
    // A watch works again and never mentions the endpoint, so the report was false.
    let mut watches = BTreeSet::new();
    for step in 0..200 {
        let now = 121_000.0 + 500.0 * f64::from(step);
        node.handle_timeout(now);
        let (opened, cancelled) = take_requests(&mut node);
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
            "the override ended {} ms after the watch worked again",
            now - 121_000.0
        );
    }
    assert!(is_ready(&node, "a"), "the override of a single false report has not expired");
}

#[test]
fn the_policy_is_notified_when_an_override_expires() {
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

/// After a reload by SIGHUP, a scheduler may watch a discovery replica that lags behind the one that its
/// peers still watch.
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
    assert!(polled > 0, "no poll was opened");
    assert!(!is_ready(&node, "a"), "a list of revision 5 ended an override of revision 7");
}

#[test]
fn an_outage_of_discovery_alone_leaves_at_least_half_of_the_endpoints_ready() {
    let names: Vec<String> = (0..12).map(|n| format!("s{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = settled(3, &names, true);
    world.set_down(true);
    world.run_until(world.now + 60_000.0);
    for node in &world.nodes {
        assert_eq!(node.freshness(), Freshness::Stale);
        assert!(names.iter().all(|name| is_ready(node, name)));
    }
    // Even if every endpoint rejects jobs, at most half of them are suspected.
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
fn endpoints_that_drain_during_an_outage_are_suspected_by_their_signals() {
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
            assert!(node.is_ready(id), "suspected after a single signal");
            node.handle_signal(now, id, EndpointSignal::ConnectionRefused);
            assert!(!node.is_ready(id));
        }
        assert_eq!(names.iter().filter(|name| is_ready(&world.nodes[0], name)).count(), 7 - step);
    }
    // A confirmed list clears the suspicions.
    world.set_down(false);
    world.run_until(world.now + 6_000.0);
    assert!(world.nodes.iter().all(|node| names.iter().all(|name| is_ready(node, name))));
    // While the list is fresh, signals have no effect.
    let (now, node) = (world.now, &mut world.nodes[0]);
    let id = node.find("a").expect("known");
    (0..9).for_each(|_| node.handle_signal(now, id, EndpointSignal::ConnectionRefused));
    assert!(node.is_ready(id));
}

#[test]
fn endpoints_next_in_a_rollout_have_a_drain_probability_while_the_list_is_not_fresh() {
    let placed = |name: &str, zone, readiness| EndpointRecord { zone, ..endpoint(name, readiness) };
    let mut world = World::new(vec![directory(0.0, 0, 1, false)], 3);
    for (name, zone) in [("a1", 1), ("a2", 1), ("b1", 2), ("b2", 2)] {
        world.change(placed(name, zone, Readiness::Ready));
    }
    world.start();
    world.run_until(6_000.0);
    // A replacement in zone 1 is ready; then the connection fails silently.
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
    assert_eq!(
        probabilities.get("a9").copied().unwrap_or(0.0),
        0.0,
        "the replacement itself is not replaced"
    );
}

#[test]
fn gone_endpoints_are_removed_after_their_retention_and_their_ids_reused() {
    let mut world = settled(1, &["a", "b"], false);
    let old = world.nodes[0].find("a").expect("known");
    world.change(endpoint("a", Readiness::Gone));
    world.run_until(world.now + 1_000.0);
    world.change(endpoint("c", Readiness::Ready));
    world.run_until(world.now + 1_000.0);
    assert_ne!(world.nodes[0].find("c"), Some(old), "id reused while jobs may still be in flight");
    assert_eq!(world.nodes[0].len(), 3);
    world.run_until(world.now + 700_000.0);
    assert_eq!((world.nodes[0].len(), world.nodes[0].find("a")), (2, None));
    world.change(endpoint("d", Readiness::Ready));
    world.run_until(world.now + 1_000.0);
    assert_eq!(world.nodes[0].find("d"), Some(old));
    // An endpoint is replaced every second for an hour. Only those gone within the last ten minutes are kept.
    for n in 0..3_600 {
        world.change(endpoint(&format!("m{n}"), Readiness::Ready));
        world.run_until(world.now + 500.0);
        world.change(endpoint(&format!("m{n}"), Readiness::Gone));
        world.run_until(world.now + 500.0);
    }
    assert!(world.nodes[0].len() < 640, "{}", world.nodes[0].len());
}
