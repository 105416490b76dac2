//! The number of requests that schedulers open, and which of their watches they keep.
#![allow(missing_docs)]

mod support;

use brackenledge_discovery::{EndpointDirectory, Freshness, RequestEnd};
use brackenledge_policy::Readiness;
use support::scenarios::{is_ready, settled, take_requests};
use support::simulated_discovery::{SERVICE_TIME, directory, endpoint};

#[test]
fn a_change_sent_to_watches_in_turn_opens_few_second_watches() {
    for count in [4, 40, 100] {
        let mut world = settled(count, &["a"], true);
        // A busy discovery service updates 20 watches a second, according to the logs of a large fleet.
        world.max_update_delay = 120.0 + 50.0 * f64::from(count);
        let (before, since) = (world.requests_opened, world.now);
        for n in 0..6 {
            world.change(endpoint(&format!("new{n}"), Readiness::Ready));
            world.change(endpoint("a", if n % 2 == 0 { Readiness::Draining } else { Readiness::Ready }));
            world.run_until(since + 2_000.0 * f64::from(n + 1));
        }
        let opened = world.requests_opened - before;
        println!("{count} schedulers: {opened} requests in 12 s, 6 changes");
        // Rotation alone opens one second watch per scheduler every 2 s times the number of schedulers, 20 s
        // at least.
        assert!(opened <= 15, "{count} schedulers: {opened} requests");
    }
}

/// 70 % of the schedulers are killed at once and restart together. Discovery serves one request after
/// another, which sets a lower bound on the recovery time. The restarted schedulers must not exceed it by
/// much, and the others must not add to the queue.
#[test]
fn schedulers_that_restart_together_receive_their_lists_about_as_fast_as_discovery_can_send_them() {
    for count in [4, 40, 100] {
        let mut world = settled(count, &["a"], true);
        let restarted = count * 7 / 10;
        let (before, since) = (world.requests_opened, world.now);
        (0..restarted).for_each(|n| world.restart(n as usize, directory(world.now, n, count, true)));
        world.change(endpoint("b", Readiness::Ready));
        while !world.nodes.iter().all(|node| is_ready(node, "b")) {
            world.run_until(world.now + 100.0);
            assert!(world.now < since + 120_000.0, "{count} schedulers: some have no list after 120 s");
        }
        let (opened, took) = (world.requests_opened - before, world.now - since);
        let minimum = f64::from(restarted) * SERVICE_TIME;
        println!(
            "{count} schedulers, {restarted} restarts: {opened} requests, {took:.0} ms (minimum {minimum:.0})"
        );
        assert!(opened <= u64::from(restarted) * 5, "{count} schedulers: {opened} requests");
        assert!(took < 1_500.0 + 2.0 * minimum, "{count} schedulers: {took} ms (minimum {minimum})");
    }
}

#[test]
fn a_second_watch_replaces_a_working_one_only_if_it_delivers_a_new_revision() {
    for (new_revisions, cancelled) in [(0, 1), (1, 0)] {
        let mut node = directory(0.0, 0, 4, false);
        node.set_watching(0.0, true);
        let mut opened = take_requests(&mut node).0;
        let respond = |node: &mut EndpointDirectory, now, request, revision| {
            node.handle_connected(now, request);
            node.handle_response_head(now, request);
            node.handle_update(now, request, revision, revision == 3);
        };
        respond(&mut node, 1.0, opened[0], 3);
        let mut now = 1.0;
        while opened.len() < 2 {
            assert!(now < 60_000.0, "a second watch is due by then");
            now += 1_000.0;
            node.handle_keep_alive(now, opened[0]);
            node.handle_timeout(now);
            opened.extend(take_requests(&mut node).0);
        }
        respond(&mut node, now + 1.0, opened[1], 3 + new_revisions);
        assert_eq!(take_requests(&mut node), (vec![], vec![opened[cancelled]]));
        assert_eq!(node.freshness(), Freshness::Fresh);
        // No request is opened when the cancelled watch breaks off.
        node.handle_request_end(now + 11.0, opened[cancelled], RequestEnd::Closed);
        node.handle_keep_alive(now + 1_500.0, opened[1 - cancelled]);
        node.handle_timeout(now + 2_000.0);
        assert_eq!(take_requests(&mut node), (vec![], vec![]));
    }
}

#[test]
fn lists_are_applied_after_discovery_restarts_its_count_of_revisions() {
    let mut world = settled(2, &["a", "b", "c"], true);
    (0..9).for_each(|n| {
        world.change(endpoint("b", if n % 2 == 0 { Readiness::Draining } else { Readiness::Ready }))
    });
    world.run_until(world.now + 1_000.0);
    assert!(!is_ready(&world.nodes[0], "b"));
    world.restart_revisions();
    world.change(endpoint("b", Readiness::Ready));
    world.run_until(world.now + 3_000.0);
    for node in &world.nodes {
        assert_eq!(node.revision(), Some(world.revision));
        assert!(is_ready(node, "a") && is_ready(node, "b"));
    }
    world.change(endpoint("a", Readiness::Draining));
    world.run_until(world.now + 500.0);
    assert!(world.nodes.iter().all(|node| !is_ready(node, "a")));
}
