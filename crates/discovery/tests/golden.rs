//! The texts that schedulers tell one another of discovery's list, pinned.
//!
//! Schedulers of two builds tell one another of changes while a tier is upgraded: the texts must not change with the
//! names in the source. The expected texts were written by the build of commit 72e1d57; a test that fails here means
//! that the wire format has changed.
#![allow(missing_docs)]

use brackenledge_discovery::{Command, Listed, Roster, RosterSettings};
use brackenledge_policy::Readiness;

fn listed(name: &str, readiness: Readiness) -> Listed {
    Listed {
        name: name.into(),
        address: None,
        zone: 0,
        kind: 0,
        cell: 0,
        readiness,
        weight: 1.0,
        launched: None,
    }
}

/// One of two schedulers, which holds version 7 of a list with `s-a` and `s-b`, both ready, and `s-c`.
fn roster(ordinal: u32, third: Readiness) -> Roster {
    let settings = RosterSettings {
        ordinal,
        schedulers: 2,
        messages: true,
        pushed: false,
        ask_within: 10_000.0,
        seed: 1,
    };
    let mut roster = Roster::new(0.0, settings);
    let entries =
        vec![listed("s-a", Readiness::Ready), listed("s-b", Readiness::Ready), listed("s-c", third)];
    roster.know(0.0, 7, entries);
    roster.want(0.0, true);
    roster
}

/// What it tells the other at its start, and then on a line of its watch with these entries.
fn told(entries: &[(&str, Readiness)], version: u64) -> (Vec<String>, Vec<String>) {
    let mut roster = roster(1, Readiness::Draining);
    let (mut at_start, mut later, mut heard) = (Vec::new(), Vec::new(), false);
    while let Some(order) = roster.poll_command() {
        match order {
            Command::Ask { call, .. } if !heard => {
                heard = true;
                roster.call_answered(1.0, call);
                for (name, readiness) in entries {
                    roster.call_entry(1.0, call, listed(name, *readiness));
                }
                // What was to be done before the line is from the start.
                let mut rest = Vec::new();
                while let Some(order) = roster.poll_command() {
                    rest.push(order);
                }
                at_start.extend(texts(rest));
                roster.call_line(1.0, call, version, false);
            }
            other if heard => later.extend(texts(vec![other])),
            other => at_start.extend(texts(vec![other])),
        }
    }
    (at_start, later)
}

fn texts(commands: Vec<Command>) -> Vec<String> {
    let text = |order| match order {
        Command::Tell { to, text } => {
            assert_eq!(to, 0);
            Some(text)
        }
        _ => None,
    };
    commands.into_iter().filter_map(text).collect()
}

/// The question of a scheduler that has just started.
const QUESTION: &str = "!Q7000000000000000Tv1c";
/// `s-a` drains, by version 9.
const DRAINING: &str = "!T9000000090000000yjmUy7100CNPc";
/// `s-b` is gone, by version 4097.
const GONE: &str = "!T1010000010100000YDIHMy200YnH3";
/// `s-c` is gone, by version 9.
const GONE_FIRST: &str = "!T9000000090000000IaSpjm200hd-k";
/// `s-c` is ready, by version 10.
const READY: &str = "!TA0000000A0000000IaSpjm000ESNi";
/// All three at once, by version 70000.
const ALL: &str = "!Tm5H00000m5H00000yjmUy7100YDIHMy200IaSpjm000SfM_";

const DRAINING_ENTRY: (&str, Readiness) = ("s-a", Readiness::Draining);
const GONE_ENTRY: (&str, Readiness) = ("s-b", Readiness::Gone);
const READY_ENTRY: (&str, Readiness) = ("s-c", Readiness::Ready);

#[test]
fn a_newcomers_question_and_each_change_have_these_texts() {
    for (entries, version, text) in [
        (&[DRAINING_ENTRY][..], 9, DRAINING),
        (&[GONE_ENTRY], 4_097, GONE),
        (&[("s-c", Readiness::Gone)], 9, GONE_FIRST),
        (&[READY_ENTRY], 10, READY),
        (&[DRAINING_ENTRY, GONE_ENTRY, READY_ENTRY], 70_000, ALL),
    ] {
        let (at_start, later) = told(entries, version);
        assert_eq!(at_start, [QUESTION], "{entries:?}");
        assert_eq!(later, [text], "{entries:?}");
    }
}

/// A roster that has done what is due at its start.
fn listener_with(third: Readiness) -> Roster {
    let mut roster = roster(0, third);
    while roster.poll_command().is_some() {}
    roster
}

fn listener() -> Roster {
    listener_with(Readiness::Draining)
}

fn standings(roster: &Roster) -> [bool; 3] {
    ["s-a", "s-b", "s-c"].map(|name| roster.find(name).is_some_and(|id| roster.ready(id)))
}

#[test]
fn another_roster_takes_the_texts_of_withdrawals_in_and_holds_the_servers_back() {
    assert_eq!(standings(&listener()), [true, true, false]);
    for (text, standing, firsts) in [
        (DRAINING, [false, true, false], 1),
        (GONE, [true, false, false], 1),
        (ALL, [false, false, false], 2),
    ] {
        let mut roster = listener();
        assert!(roster.heard(2.0, 1, text), "{text}");
        assert_eq!(standings(&roster), standing, "{text}");
        assert_eq!(roster.counts().heard_first, firsts, "{text}");
    }
}

#[test]
fn the_text_of_a_ready_server_makes_none_ready_nor_undoes_a_withdrawal() {
    let mut roster = listener();
    assert!(roster.heard(2.0, 1, READY));
    assert_eq!(standings(&roster), [true, true, false], "no message makes a server ready");
    // By another's own list it was ready all the time.
    let mut roster = listener_with(Readiness::Ready);
    assert!(roster.heard(2.0, 1, GONE_FIRST));
    assert_eq!(standings(&roster), [true, true, false]);
    assert!(roster.heard(3.0, 1, READY));
    assert_eq!(standings(&roster), [true, true, false], "its own list is older than the withdrawal");
}

/// What a roster answers to a text.
fn answers(text: &str) -> Vec<String> {
    let mut roster = listener();
    assert!(roster.heard(2.0, 1, text));
    roster.handle_timeout(2.0);
    let mut answers = Vec::new();
    while let Some(order) = roster.poll_command() {
        if let Command::Tell { to, text } = order {
            assert_eq!(to, 1);
            answers.push(text);
        }
    }
    answers
}

#[test]
fn a_question_and_a_telling_are_answered_by_these_texts() {
    for (asked, answer) in [(QUESTION, "!N7000000000000000NEyZ"), (DRAINING, "!N7000000090000000qZR1")] {
        assert_eq!(answers(asked), [answer], "{asked}");
    }
}

#[test]
fn a_text_with_one_symbol_changed_is_the_rosters_and_says_nothing() {
    let mut roster = listener();
    let garbled = DRAINING.replacen('T', "N", 1);
    assert_ne!(garbled, DRAINING);
    assert!(roster.heard(2.0, 1, &garbled));
    assert_eq!(standings(&roster), [true, true, false]);
    assert!(!roster.heard(2.0, 1, &DRAINING[1..]), "without its mark it is no text of the roster's");
}
