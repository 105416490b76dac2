//! Log events for endpoint status changes.
#![allow(missing_docs)]

mod support;

use brackenledge_discovery::{
    Command, EndpointDirectory, EndpointSignal, Event, RequestEnd, RequestId, StatusChange,
    StatusChangeSource, StatusChangeSummary, StatusSource,
};
use brackenledge_policy::Readiness::{self, Draining, Gone, Ready};
use support::scenarios::{gossip_of_a_watch, restarted, take_requests};
use support::simulated_discovery::endpoint;

/// The status events among the commands since the last call.
fn status_events(node: &mut EndpointDirectory) -> Vec<Event> {
    std::iter::from_fn(|| node.poll_command())
        .filter_map(|command| match command {
            Command::Event(event @ Event::EndpointStatusChanged(_))
            | Command::Event(event @ Event::EndpointStatusChangedMany(_)) => Some(event),
            _ => None,
        })
        .collect()
}

fn reported_change(
    endpoint: &str,
    from: Readiness,
    to: Readiness,
    source: StatusSource,
    revision: u64,
) -> Event {
    status_change(endpoint, from, to, StatusChangeSource::Reported(source), revision)
}

fn status_change(
    endpoint: &str,
    from: Readiness,
    to: Readiness,
    source: StatusChangeSource,
    revision: u64,
) -> Event {
    Event::EndpointStatusChanged(StatusChange { endpoint: endpoint.into(), from, to, source, revision })
}

/// A scheduler with a working watch and a list of revision 1, in which `a` and `b` are ready.
fn watching() -> (EndpointDirectory, RequestId) {
    let (mut node, watch) = restarted();
    node.handle_response_head(2.0, watch);
    update(&mut node, watch, 1, &[("a", Ready), ("b", Ready)]);
    (node, watch)
}

/// Handles an update of the watch that arrives in a single read.
fn update(node: &mut EndpointDirectory, watch: RequestId, revision: u64, entries: &[(&str, Readiness)]) {
    let now = 10.0 * revision as f64;
    for &(name, readiness) in entries {
        node.handle_entry(now, watch, endpoint(name, readiness));
    }
    node.handle_update(now, watch, revision, false);
    node.handle_bytes(now, watch, false);
}

#[test]
fn neither_the_first_list_nor_added_endpoints_are_logged() {
    let (mut node, watch) = watching();
    update(&mut node, watch, 2, &[("c", Ready), ("d", Draining)]);
    assert_eq!(status_events(&mut node), []);
}

#[test]
fn each_status_change_by_an_update_is_logged_once_with_its_source_and_revision() {
    let (mut node, watch) = watching();
    status_events(&mut node);
    update(&mut node, watch, 2, &[("a", Draining), ("b", Ready)]);
    assert_eq!(status_events(&mut node), [reported_change("a", Ready, Draining, StatusSource::Watch, 2)]);
    update(&mut node, watch, 3, &[("a", Ready)]);
    assert_eq!(status_events(&mut node), [reported_change("a", Draining, Ready, StatusSource::Watch, 3)]);
    update(&mut node, watch, 4, &[("a", Ready), ("b", Gone)]);
    assert_eq!(status_events(&mut node), [reported_change("b", Ready, Gone, StatusSource::Watch, 4)]);
    update(&mut node, watch, 5, &[("b", Ready)]);
    assert_eq!(status_events(&mut node), [reported_change("b", Gone, Ready, StatusSource::Watch, 5)]);
}

#[test]
fn an_endpoint_missing_from_a_snapshot_is_logged_as_gone() {
    let (mut node, watch) = watching();
    status_events(&mut node);
    node.handle_entry(20.0, watch, endpoint("b", Ready));
    node.handle_update(20.0, watch, 2, true);
    assert_eq!(status_events(&mut node), [reported_change("a", Ready, Gone, StatusSource::Watch, 2)]);
}

#[test]
fn a_partial_update_is_logged_as_the_source_only_if_its_rest_is_late_or_missing() {
    let (mut node, watch) = watching();
    status_events(&mut node);
    node.handle_entry(20.0, watch, endpoint("a", Draining));
    node.handle_bytes(20.0, watch, true);
    assert_eq!(status_events(&mut node), [], "logged although the rest of the update may follow at once");
    node.handle_timeout(node.next_timeout());
    assert_eq!(
        status_events(&mut node),
        [reported_change("a", Ready, Draining, StatusSource::PartialUpdate, 2)]
    );
    node.handle_update(180.0, watch, 2, false);
    assert_eq!(status_events(&mut node), [], "logged again although the rest of the update only confirms it");
    node.handle_entry(190.0, watch, endpoint("b", Gone));
    node.handle_request_end(190.0, watch, RequestEnd::Closed);
    assert_eq!(status_events(&mut node), [reported_change("b", Ready, Gone, StatusSource::PartialUpdate, 3)]);
}

#[test]
fn the_start_and_the_end_of_an_override_by_a_peer_are_logged() {
    let (mut node, watch) = watching();
    status_events(&mut node);
    for text in gossip_of_a_watch(&[(5, "a", Gone)]) {
        node.handle_message(20.0, 1, &text);
    }
    assert_eq!(status_events(&mut node), [reported_change("a", Ready, Gone, StatusSource::Peer(1), 5)]);
    update(&mut node, watch, 6, &[]);
    assert_eq!(status_events(&mut node), [reported_change("a", Gone, Ready, StatusSource::Watch, 6)]);
}

#[test]
fn the_expiry_of_an_unconfirmed_override_is_logged() {
    let (mut node, watch) = watching();
    status_events(&mut node);
    for text in gossip_of_a_watch(&[(5, "a", Draining)]) {
        node.handle_message(20.0, 1, &text);
    }
    status_events(&mut node);
    // The watch works and is rotated regularly; no list mentions the endpoint.
    let mut watches = vec![watch];
    for step in 0..200 {
        let now = 1_000.0 + 500.0 * f64::from(step);
        node.handle_timeout(now);
        let mut events = Vec::new();
        while let Some(command) = node.poll_command() {
            match command {
                Command::OpenRequest { request, .. } => watches.push(request),
                Command::CancelRequest { request } => watches.retain(|&known| known != request),
                Command::Event(event @ Event::EndpointStatusChanged(_)) => events.push(event),
                _ => {}
            }
        }
        if !events.is_empty() {
            let expired = StatusChangeSource::OverrideExpired;
            assert_eq!(events, [status_change("a", Draining, Ready, expired, 5)]);
            assert!(now >= 60_000.0);
            return;
        }
        for &request in &watches {
            node.handle_response_head(now, request);
            node.handle_keep_alive(now, request);
        }
    }
    panic!("the override has not expired");
}

#[test]
fn the_start_of_a_suspicion_and_its_end_by_a_fresh_watch_are_logged() {
    let (mut node, watch) = watching();
    node.handle_request_end(20.0, watch, RequestEnd::Closed);
    take_requests(&mut node);
    let a = node.find("a").expect("known");
    for _ in 0..2 {
        node.handle_signal(30.0, a, EndpointSignal::ConnectionRefused);
    }
    assert_eq!(status_events(&mut node), [reported_change("a", Ready, Draining, StatusSource::Signals, 1)]);
    node.handle_timeout(200.0);
    let next_watch = take_requests(&mut node).0[0];
    node.handle_response_head(200.0, next_watch);
    node.handle_keep_alive(200.0, next_watch);
    let cleared = StatusChangeSource::SignalsCleared;
    assert_eq!(status_events(&mut node), [status_change("a", Draining, Ready, cleared, 1)]);
}

#[test]
fn more_than_twenty_simultaneous_changes_are_logged_as_one_summary() {
    let (mut node, watch) = watching();
    let names: Vec<String> = (0..21).map(|n| format!("s{n}")).collect();
    let entries = |readiness| names.iter().map(|name| (name.as_str(), readiness)).collect::<Vec<_>>();
    update(&mut node, watch, 2, &entries(Ready));
    status_events(&mut node);
    update(&mut node, watch, 3, &entries(Draining)[..20]);
    assert_eq!(status_events(&mut node).len(), 20);
    let mut mixed = entries(Ready);
    mixed[20].1 = Gone;
    update(&mut node, watch, 4, &mixed);
    let summary = StatusChangeSummary {
        to_ready: 20,
        to_draining: 0,
        to_gone: 1,
        source: Some(StatusChangeSource::Reported(StatusSource::Watch)),
        revision: 4,
    };
    assert_eq!(status_events(&mut node), [Event::EndpointStatusChangedMany(summary)]);
}
