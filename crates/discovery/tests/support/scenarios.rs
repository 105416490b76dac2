//! Initial states of tests, and queries of a scheduler's state. Each node is the endpoint directory of one
//! scheduler.
#![allow(dead_code, missing_docs)]

use super::simulated_discovery::{World, directory, endpoint};
use brackenledge_discovery::{Command, EndpointDirectory, Freshness, RequestId};
use brackenledge_policy::Readiness;

/// A world in which all schedulers have a working watch and know these endpoints as ready.
pub fn settled(count: u16, names: &[&str], gossip: bool) -> World<EndpointDirectory> {
    let mut world = World::new((0..count).map(|n| directory(0.0, n, count, gossip)).collect(), 3);
    for name in names {
        world.change(endpoint(name, Readiness::Ready));
    }
    world.start();
    world.run_until(6_000.0 + 1_000.0 * f64::from(count));
    for node in &world.nodes {
        assert!(
            names.iter().all(|name| is_ready(node, name)),
            "endpoints not all ready after {} requests",
            world.requests_opened
        );
        assert_eq!(
            node.freshness(),
            Freshness::Fresh,
            "list not fresh after {} requests",
            world.requests_opened
        );
    }
    world
}

pub fn is_ready(node: &EndpointDirectory, name: &str) -> bool {
    node.find(name).is_some_and(|id| node.is_ready(id))
}

/// Runs the world until the endpoint is not ready at this scheduler, and returns how long this takes in ms.
pub fn time_until_not_ready(
    world: &mut World<EndpointDirectory>,
    node: usize,
    name: &str,
    limit: f64,
) -> f64 {
    let since = world.now;
    while is_ready(&world.nodes[node], name) {
        assert!(world.now < since + limit, "{name} is still ready after {limit} ms");
        world.run_until(world.now + 1.0);
    }
    world.now - since
}

/// The gossip that a scheduler sends to another one when the sender's own watch delivers these updates one
/// after another.
pub fn gossip_of_a_watch(updates: &[(u64, &str, Readiness)]) -> Vec<String> {
    let mut sender = directory(0.0, 1, 2, true);
    sender.load_cached(0.0, 0, vec![endpoint("a", Readiness::Ready), endpoint("b", Readiness::Ready)]);
    sender.set_watching(0.0, true);
    let watch = take_requests(&mut sender).0[0];
    sender.handle_response_head(1.0, watch);
    let mut messages = Vec::new();
    for &(revision, name, readiness) in updates {
        sender.handle_entry(2.0, watch, endpoint(name, readiness));
        sender.handle_update(2.0, watch, revision, false);
        while let Some(command) = sender.poll_command() {
            if let Command::SendMessage { text, .. } = command {
                messages.push(text);
            }
        }
    }
    messages
}

/// A scheduler that has restarted, and its watch. The scheduler holds the cached list; the watch has not
/// delivered anything yet.
pub fn restarted() -> (EndpointDirectory, RequestId) {
    let mut node = directory(0.0, 0, 2, true);
    node.load_cached(0.0, 0, vec![endpoint("a", Readiness::Ready), endpoint("b", Readiness::Ready)]);
    node.set_watching(0.0, true);
    let watch = take_requests(&mut node).0[0];
    node.handle_connected(1.0, watch);
    (node, watch)
}

/// Takes all pending commands of a scheduler. Returns the requests that the commands open, and those that
/// they cancel.
pub fn take_requests(node: &mut EndpointDirectory) -> (Vec<RequestId>, Vec<RequestId>) {
    let (mut opened, mut cancelled) = (Vec::new(), Vec::new());
    while let Some(command) = node.poll_command() {
        match command {
            Command::OpenRequest { request, .. } => opened.push(request),
            Command::CancelRequest { request } => cancelled.push(request),
            _ => {}
        }
    }
    (opened, cancelled)
}
