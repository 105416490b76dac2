//! How many requests schedulers make, and which of their watches they keep.
#![allow(missing_docs)]

mod support;

use brackenledge_discovery::{EndpointDirectory, Freshness, RequestEnd};
use brackenledge_policy::Readiness;
use support::scenarios::{is_ready, requests, settled};
use support::simulated_discovery::{SERVICE_TIME, directory, endpoint};

#[test]
fn a_change_sent_to_watches_in_turn_opens_few_second_watches() {
    for count in [4, 40, 100] {
        let mut world = settled(count, &["a"], true);
        // What discovery takes where it is busy, by the logs of a large fleet: 20 watches a second.
        world.max_update_delay = 120.0 + 50.0 * f64::from(count);
        let (before, since) = (world.requests_opened, world.now);
        for n in 0..6 {
            world.change(endpoint(&format!("new{n}"), Readiness::Ready));
            world.change(endpoint("a", if n % 2 == 0 { Readiness::Draining } else { Readiness::Ready }));
            world.run_until(since + 2_000.0 * f64::from(n + 1));
        }
        let opened = world.requests_opened - before;
        println!("{count} schedulers: {opened} requests in 12 s, 6 changes");
        // A second watch beside each once in 2 s a scheduler, 20 s at least, is what they may open without cause.
        assert!(opened <= 15, "{count} schedulers: {opened} requests");
    }
}

/// Seven in ten are killed at once and restart together. Discovery serves one request after another, which sets a lower
/// bound on the time: they must not make it much longer, and the others must not add to the queue.
#[test]
fn a_cluster_that_restarts_together_has_its_lists_soon_after_discovery_could_send_them() {
    for count in [4, 40, 100] {
        let mut world = settled(count, &["a"], true);
        let restarted = count * 7 / 10;
        let (before, since) = (world.requests_opened, world.now);
        (0..restarted).for_each(|n| world.restart(n as usize, directory(world.now, n, count, true)));
        world.change(endpoint("b", Readiness::Ready));
        while !world.nodes.iter().all(|node| is_ready(node, "b")) {
            world.run_until(world.now + 100.0);
            assert!(world.now < since + 120_000.0, "{count} schedulers: some have no list");
        }
        let (opened, took) = (world.requests_opened - before, world.now - since);
        let minimum = f64::from(restarted) * SERVICE_TIME;
        println!(
            "{count} schedulers, {restarted} restarted: {opened} requests, {took:.0} ms of {minimum:.0} at least"
        );
        assert!(opened <= u64::from(restarted) * 5, "{count} schedulers: {opened} requests");
        assert!(took < 1_500.0 + 2.0 * minimum, "{count} schedulers: {took} ms, {minimum} at least");
    }
}

#[test]
fn a_second_watch_replaces_one_that_works_only_if_it_has_news() {
    for (news, cancelled) in [(0, 1), (1, 0)] {
        let mut node = directory(0.0, 0, 4, false);
        node.set_watching(0.0, true);
        let mut out = requests(&mut node).0;
        let answer = |node: &mut EndpointDirectory, now, request, index| {
            node.handle_connected(now, request);
            node.handle_response_head(now, request);
            node.handle_update(now, request, index, index == 3);
        };
        answer(&mut node, 1.0, out[0], 3);
        let mut now = 1.0;
        while out.len() < 2 {
            assert!(now < 60_000.0, "a second watch is due by then");
            now += 1_000.0;
            node.handle_keep_alive(now, out[0]);
            node.handle_timeout(now);
            out.extend(requests(&mut node).0);
        }
        answer(&mut node, now + 1.0, out[1], 3 + news);
        assert_eq!(requests(&mut node), (vec![], vec![out[cancelled]]));
        assert_eq!(node.freshness(), Freshness::Fresh);
        // Nor is anything opened when the one that was cancelled breaks off.
        node.handle_request_end(now + 11.0, out[cancelled], RequestEnd::Closed);
        node.handle_keep_alive(now + 1_500.0, out[1 - cancelled]);
        node.handle_timeout(now + 2_000.0);
        assert_eq!(requests(&mut node), (vec![], vec![]));
    }
}

#[test]
fn when_discovery_restarts_its_revisions_its_list_still_holds() {
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
