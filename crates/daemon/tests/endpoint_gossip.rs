//! Effects of gossip about endpoints that is received from another scheduler.
#![allow(missing_docs)]

mod support;

use brackenledge_discovery::{Command, DiscoverySettings, EndpointDirectory, EndpointRecord};
use brackenledge_policy::Readiness;
use std::collections::BTreeSet;
use std::time::Instant;
use support::{
    RESPONSE_HEAD, Scheduler, TEST_TIMEOUT, TwoWorkers, accept, assert_all_jobs_go_to, bind_loopback,
    endpoint_list, entry, job_request, line_chunk, ms, read_message, send, two_workers, wait_until_not_used,
};

/// The gossip messages of another scheduler whose watch has received one update.
fn gossip_after_update(entries: &[(&str, Readiness)], index: u64) -> Vec<String> {
    gossip_after_updates(&[(index, entries)])
}

/// The gossip messages of another scheduler whose watch has received these updates, each a revision and its
/// entries.
fn gossip_after_updates(updates: &[(u64, &[(&str, Readiness)])]) -> Vec<String> {
    let settings = DiscoverySettings {
        ordinal: 1,
        schedulers: 2,
        gossip: true,
        push_mode: false,
        max_list_age: 10_000.0,
        seed: 1,
    };
    let mut directory = EndpointDirectory::new(0.0, settings);
    let record = |name: &str, readiness| EndpointRecord {
        name: name.into(),
        address: None,
        zone: 0,
        kind: 0,
        cell: 0,
        readiness,
        weight: 1.0,
        started_at: None,
    };
    let known: BTreeSet<&str> =
        updates.iter().flat_map(|(_, entries)| entries.iter().map(|(name, _)| *name)).collect();
    directory.load_cached(0.0, 1, known.into_iter().map(|name| record(name, Readiness::Ready)).collect());
    directory.set_watching(0.0, true);
    let mut texts = Vec::new();
    while let Some(command) = directory.poll_command() {
        if let Command::OpenRequest { request, .. } = command {
            directory.handle_response_head(1.0, request);
            for &(index, entries) in updates {
                for (name, readiness) in entries {
                    directory.handle_entry(1.0, request, record(name, *readiness));
                }
                directory.handle_update(1.0, request, index, false);
            }
        } else if let Command::SendMessage { text, .. } = command {
            texts.push(text);
        }
    }
    texts
}

#[test]
fn gossip_takes_effect_while_the_own_watch_is_silent() {
    let TwoWorkers { scheduler, a, b, watch: _watch } = two_workers();
    for text in gossip_after_update(&[("s-a", Readiness::Draining)], 7) {
        scheduler.peer.send_to(text.as_bytes(), scheduler.peer_address).expect("sent");
    }
    wait_until_not_used(&scheduler, &a);
    assert_all_jobs_go_to(&scheduler, &b, &a, 6);
    // The scheduler acknowledges the gossip, and opens a second watch for the updates that it missed,
    // although its first watch is not late yet.
    let mut buffer = [0; 300];
    let since = Instant::now();
    loop {
        let length = scheduler.peer.recv(&mut buffer).expect("a message");
        if buffer[..length].starts_with(b"!N") {
            break;
        }
        assert!(since.elapsed() < TEST_TIMEOUT);
    }
    let mut second = accept(&scheduler.discovery);
    assert!(read_message(&mut second).contains("since=2"));
}

#[test]
fn after_a_restart_gossip_can_withdraw_an_endpoint_but_only_the_own_list_makes_it_ready() {
    let (a, b) = (bind_loopback(), bind_loopback());
    let scheduler = Scheduler::start(&[entry("s-a", &a, "ready"), entry("s-b", &b, "ready")]);
    // Discovery does not respond to the watch yet.
    let mut watch = accept(&scheduler.discovery);
    read_message(&mut watch);
    scheduler.wait_until_ready();
    let updates: [(u64, &[(&str, Readiness)]); 2] =
        [(7, &[("s-a", Readiness::Gone)]), (9, &[("s-a", Readiness::Ready)])];
    for text in gossip_after_updates(&updates) {
        scheduler.peer.send_to(text.as_bytes(), scheduler.peer_address).expect("sent");
    }
    wait_until_not_used(&scheduler, &a);
    assert_all_jobs_go_to(&scheduler, &b, &a, 6);
    let whole = endpoint_list(9, true, &[entry("s-a", &a, "ready"), entry("s-b", &b, "ready")]);
    send(&mut watch, &format!("{RESPONSE_HEAD}{}", line_chunk(&whole)));
    std::thread::sleep(ms(100));
    // Both workers are used now: of two concurrent jobs, each worker gets one.
    let _clients = [
        scheduler.send_request(&job_request("view", "r1", "x")),
        scheduler.send_request(&job_request("view", "r2", "x")),
    ];
    accept(&a);
    accept(&b);
}

#[test]
fn corrupt_gossip_changes_nothing() {
    let TwoWorkers { scheduler, a, b, watch: _watch } = two_workers();
    for text in gossip_after_update(&[("s-a", Readiness::Draining), ("s-b", Readiness::Draining)], 7) {
        for at in 1..text.len() {
            let mut bytes = text.clone().into_bytes();
            bytes[at] = if bytes[at] == b'z' { b'y' } else { b'z' };
            scheduler.peer.send_to(&bytes, scheduler.peer_address).expect("sent");
        }
    }
    std::thread::sleep(ms(100));
    // Both workers are still used: of two concurrent jobs, each worker gets one.
    let _clients = [
        scheduler.send_request(&job_request("view", "g1", "x")),
        scheduler.send_request(&job_request("view", "g2", "x")),
    ];
    accept(&a);
    accept(&b);
}

#[test]
fn status_changes_are_logged_in_both_directions_with_their_source() {
    let TwoWorkers { scheduler, a, b: _b, mut watch } = two_workers();
    send(&mut watch, &line_chunk(endpoint_list(3, false, &[entry("s-a", &a, "draining")])));
    scheduler.wait_for_log_line(&[
        "endpoint_status_changed, endpoint: s-a, from: ready, to: draining, source: watch, revision: 3",
    ]);
    send(&mut watch, &line_chunk(endpoint_list(4, false, &[entry("s-a", &a, "ready")])));
    scheduler.wait_for_log_line(&[
        "endpoint_status_changed, endpoint: s-a, from: draining, to: ready, source: watch, revision: 4",
    ]);
    for text in gossip_after_update(&[("s-b", Readiness::Gone)], 7) {
        scheduler.peer.send_to(text.as_bytes(), scheduler.peer_address).expect("sent");
    }
    scheduler.wait_for_log_line(&[
        "endpoint_status_changed, endpoint: s-b, from: ready, to: gone, source: peer_1, revision: 7",
    ]);
}
