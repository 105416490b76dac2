//! Golden texts of the gossip messages on endpoints.
//!
//! Schedulers of two builds exchange these messages while a cluster is upgraded, so their encoding must not
//! change. The expected texts were written by the build of commit 72e1d57. A failure here means that the wire
//! format has changed.
#![allow(missing_docs)]

use brackenledge_discovery::{Command, DiscoverySettings, EndpointDirectory, EndpointRecord};
use brackenledge_policy::Readiness;

fn record(name: &str, readiness: Readiness) -> EndpointRecord {
    EndpointRecord {
        name: name.into(),
        address: None,
        zone: 0,
        kind: 0,
        cell: 0,
        readiness,
        weight: 1.0,
        started_at: None,
    }
}

/// One of two schedulers, which holds revision 7 of a list with `s-a` and `s-b`, both ready, and `s-c`.
fn directory(ordinal: u16, third: Readiness) -> EndpointDirectory {
    let settings = DiscoverySettings {
        ordinal,
        schedulers: 2,
        gossip: true,
        push_mode: false,
        max_list_age: 10_000.0,
        seed: 1,
    };
    let mut directory = EndpointDirectory::new(0.0, settings);
    let entries =
        vec![record("s-a", Readiness::Ready), record("s-b", Readiness::Ready), record("s-c", third)];
    directory.load_cached(0.0, 7, entries);
    directory.set_watching(0.0, true);
    directory
}

/// The messages that the scheduler sends to the other one at its start, and those after its watch has
/// delivered an update with these entries.
fn messages_sent(entries: &[(&str, Readiness)], revision: u64) -> (Vec<String>, Vec<String>) {
    let mut directory = directory(1, Readiness::Draining);
    let (mut at_start, mut later, mut updated) = (Vec::new(), Vec::new(), false);
    while let Some(command) = directory.poll_command() {
        match command {
            Command::OpenRequest { request, .. } if !updated => {
                updated = true;
                directory.handle_response_head(1.0, request);
                for (name, readiness) in entries {
                    directory.handle_entry(1.0, request, record(name, *readiness));
                }
                // Messages that were due before the update belong to the start.
                let mut rest = Vec::new();
                while let Some(command) = directory.poll_command() {
                    rest.push(command);
                }
                at_start.extend(texts(rest));
                directory.handle_update(1.0, request, revision, false);
            }
            other if updated => later.extend(texts(vec![other])),
            other => at_start.extend(texts(vec![other])),
        }
    }
    (at_start, later)
}

fn texts(commands: Vec<Command>) -> Vec<String> {
    let text = |command| match command {
        Command::SendMessage { to, text } => {
            assert_eq!(to, 0);
            Some(text)
        }
        _ => None,
    };
    commands.into_iter().filter_map(text).collect()
}

/// The pull sent after a start.
const PULL: &str = "!Q7000000000000000Tv1c";
/// `s-a` is draining at revision 9.
const DRAINING: &str = "!T9000000090000000yjmUy7100CNPc";
/// `s-b` is gone at revision 4097.
const GONE: &str = "!T1010000010100000YDIHMy200YnH3";
/// `s-c` is gone at revision 9.
const THIRD_GONE: &str = "!T9000000090000000IaSpjm200hd-k";
/// `s-c` is ready at revision 10.
const READY: &str = "!TA0000000A0000000IaSpjm000ESNi";
/// `s-a` is draining, `s-b` is gone and `s-c` is ready, all at revision 70000.
const ALL: &str = "!Tm5H00000m5H00000yjmUy7100YDIHMy200IaSpjm000SfM_";

const DRAINING_ENTRY: (&str, Readiness) = ("s-a", Readiness::Draining);
const GONE_ENTRY: (&str, Readiness) = ("s-b", Readiness::Gone);
const READY_ENTRY: (&str, Readiness) = ("s-c", Readiness::Ready);

#[test]
fn the_pull_after_a_start_and_each_change_have_these_texts() {
    for (entries, revision, text) in [
        (&[DRAINING_ENTRY][..], 9, DRAINING),
        (&[GONE_ENTRY], 4_097, GONE),
        (&[("s-c", Readiness::Gone)], 9, THIRD_GONE),
        (&[READY_ENTRY], 10, READY),
        (&[DRAINING_ENTRY, GONE_ENTRY, READY_ENTRY], 70_000, ALL),
    ] {
        let (at_start, later) = messages_sent(entries, revision);
        assert_eq!(at_start, [PULL], "{entries:?}");
        assert_eq!(later, [text], "{entries:?}");
    }
}

/// A scheduler whose commands from its start have been taken.
fn receiver_with(third: Readiness) -> EndpointDirectory {
    let mut directory = directory(0, third);
    while directory.poll_command().is_some() {}
    directory
}

fn receiver() -> EndpointDirectory {
    receiver_with(Readiness::Draining)
}

fn ready_endpoints(directory: &EndpointDirectory) -> [bool; 3] {
    ["s-a", "s-b", "s-c"].map(|name| directory.find(name).is_some_and(|id| directory.is_ready(id)))
}

#[test]
fn a_peer_that_receives_the_texts_of_withdrawals_holds_the_endpoints_back() {
    assert_eq!(ready_endpoints(&receiver()), [true, true, false]);
    for (text, ready, first_reports) in [
        (DRAINING, [false, true, false], 1),
        (GONE, [true, false, false], 1),
        (ALL, [false, false, false], 2),
    ] {
        let mut directory = receiver();
        assert!(directory.handle_message(2.0, 1, text), "{text}");
        assert_eq!(ready_endpoints(&directory), ready, "{text}");
        assert_eq!(directory.counts().first_reported_by_peer, first_reports, "{text}");
    }
}

#[test]
fn the_text_of_a_ready_endpoint_makes_none_ready_nor_ends_an_override() {
    let mut directory = receiver();
    assert!(directory.handle_message(2.0, 1, READY));
    assert_eq!(ready_endpoints(&directory), [true, true, false], "no message makes an endpoint ready");
    // Another scheduler, whose own list reports `s-c` as ready.
    let mut directory = receiver_with(Readiness::Ready);
    assert!(directory.handle_message(2.0, 1, THIRD_GONE));
    assert_eq!(ready_endpoints(&directory), [true, true, false]);
    assert!(directory.handle_message(3.0, 1, READY));
    assert_eq!(ready_endpoints(&directory), [true, true, false], "its own list is older than the override");
}

/// The messages by which a scheduler replies to a text.
fn replies(text: &str) -> Vec<String> {
    let mut directory = receiver();
    assert!(directory.handle_message(2.0, 1, text));
    directory.handle_timeout(2.0);
    let mut replies = Vec::new();
    while let Some(command) = directory.poll_command() {
        if let Command::SendMessage { to, text } = command {
            assert_eq!(to, 1);
            replies.push(text);
        }
    }
    replies
}

#[test]
fn a_pull_and_a_push_are_answered_by_these_texts() {
    for (message, reply) in [(PULL, "!N7000000000000000NEyZ"), (DRAINING, "!N7000000090000000qZR1")] {
        assert_eq!(replies(message), [reply], "{message}");
    }
}

#[test]
fn a_text_with_one_symbol_changed_is_gossip_without_effect() {
    let mut directory = receiver();
    let corrupt = DRAINING.replacen('T', "N", 1);
    assert_ne!(corrupt, DRAINING);
    assert!(directory.handle_message(2.0, 1, &corrupt));
    assert_eq!(ready_endpoints(&directory), [true, true, false]);
    assert!(
        !directory.handle_message(2.0, 1, &DRAINING[1..]),
        "a text without the leading `!` is not gossip"
    );
}
