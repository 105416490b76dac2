//! The bytes of every message between processes of a tier, and of the head of an owner's deed, pinned.
//!
//! Schedulers of two builds talk to one another while a tier is upgraded: the bytes must not change with the names in
//! the source. The expected bytes were written by the build of commit 72e1d57; a test that fails here means that the
//! wire format has changed.
#![allow(missing_docs)]

use brackenledge_leases::{Deed, Epoch, Message, ProcessId, Round, Term, View};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(digit).collect()
}

/// The value is written as exactly these bytes, and these bytes are read as the value.
fn pinned(message: Message, bytes: &str) {
    assert_eq!(hex(&message.write()), bytes, "{message:?}");
    assert_eq!(Message::read(&unhex(bytes)), Some(message));
}

fn process(ordinal: u16) -> ProcessId {
    ProcessId { ordinal, incarnation: 1_700_000_000_000 + u64::from(ordinal) }
}

const ME: u16 = 300;

fn epoch() -> Epoch {
    Epoch { era: 1_700_000_123, number: 5 }
}

fn round() -> Round {
    Round { count: 900, by: 4 }
}

fn term() -> Term {
    Term { epoch: epoch(), round: round(), step: 77 }
}

fn view() -> View {
    View { epoch: epoch(), voters: vec![process(1), process(2), process(ME)] }
}

fn next_view() -> View {
    View { epoch: Epoch { era: 1_700_000_123, number: 6 }, voters: vec![process(1), process(3), process(ME)] }
}

#[test]
fn messages_that_look_for_a_view_and_for_the_lease_have_these_bytes() {
    let (from, epoch, round) = (process(ME), epoch(), round());
    pinned(Message::Hello { from, seen: epoch }, "00ac02acd295ffbc31fbe2cfaa0605");
    pinned(Message::Ask { from, epoch, round }, "01ac02acd295ffbc31fbe2cfaa0605840704");
    pinned(Message::Yes { from, epoch, round, accepted: None }, "02ac02acd295ffbc31fbe2cfaa060584070400");
    let accepted = Some((Round { count: 899, by: 2 }, next_view()));
    pinned(
        Message::Yes { from, epoch, round, accepted },
        "02ac02acd295ffbc31fbe2cfaa060584070401830702fbe2cfaa0606030181d095ffbc310383d095ffbc31ac02acd295ffbc31",
    );
    pinned(
        Message::No { from, epoch, promised: Round { count: 901, by: 7 }, left: 1_234_567 },
        "03ac02acd295ffbc31fbe2cfaa060585070787ad4b",
    );
    pinned(
        Message::Lease { from, epoch, round, asked: 9_876_543_210 },
        "04ac02acd295ffbc31fbe2cfaa0605840704eaadc0e524",
    );
    pinned(
        Message::Granted { from, epoch, round, asked: 9_876_543_211 },
        "05ac02acd295ffbc31fbe2cfaa0605840704ebadc0e524",
    );
    pinned(Message::Release { from, epoch, round }, "08ac02acd295ffbc31fbe2cfaa0605840704");
}

#[test]
fn messages_that_propose_and_tell_a_view_have_these_bytes() {
    let (from, epoch, round) = (process(ME), epoch(), round());
    pinned(
        Message::Propose { from, epoch, round, next: next_view() },
        "06ac02acd295ffbc31fbe2cfaa0605840704fbe2cfaa0606030181d095ffbc310383d095ffbc31ac02acd295ffbc31",
    );
    pinned(Message::Taken { from, epoch, round }, "07ac02acd295ffbc31fbe2cfaa0605840704");
    let none = Message::News { from, view: View::default(), steward: None, round, duties: Vec::new() };
    pinned(none, "09ac02acd295ffbc310000000084070400");
    let duties = vec![(2, term(), process(1)), (9, Term { step: 78, ..term() }, process(2))];
    pinned(
        Message::News { from, view: view(), steward: Some(process(2)), round, duties },
        "09ac02acd295ffbc31fbe2cfaa0605030181d095ffbc310282d095ffbc31ac02acd295ffbc31010282d095ffbc318407040202fbe2cfaa06058407044d0181d095ffbc3109fbe2cfaa06058407044e0282d095ffbc31",
    );
}

#[test]
fn messages_of_the_roll_and_of_stays_have_these_bytes() {
    let from = process(ME);
    let members = vec![process(1), process(2), process(ME)];
    pinned(
        Message::Roll { from, term: term(), part: 1, parts: 3, members },
        "0aac02acd295ffbc31fbe2cfaa06058407044d0103030181d095ffbc310282d095ffbc31ac02acd295ffbc31",
    );
    pinned(Message::Stay { from, asked: 9_876_543_212 }, "0eac02acd295ffbc31ecadc0e524");
    pinned(
        Message::Stays { from, asked: 9_876_543_213, lasts: 2_500_000 },
        "0fac02acd295ffbc31edadc0e524a0cb9801",
    );
    pinned(Message::Unstay { from }, "10ac02acd295ffbc31");
}

#[test]
fn messages_of_duties_have_these_bytes() {
    let from = process(ME);
    pinned(Message::Want { from, duty: 3, asked: 9_876_543_214 }, "0bac02acd295ffbc3103eeadc0e524");
    let given = Message::Given { from, duty: 4, term: term(), asked: 9_876_543_215, lasts: 1_500_000 };
    pinned(given, "0cac02acd295ffbc3104fbe2cfaa06058407044defadc0e524e0c65b");
    pinned(Message::Return { from, duty: 5, term: term() }, "0dac02acd295ffbc3105fbe2cfaa06058407044d");
}

#[test]
fn the_head_of_a_deed_has_these_bytes_and_its_payload_follows_as_it_is() {
    let deed = Deed { owner: process(ME), duty: 6, term: term() };
    let bytes = "ac02acd295ffbc3106fbe2cfaa06058407044d7061796c6f61642000ff";
    assert_eq!(hex(&deed.write(b"payload \x00\xff")), bytes);
    assert_eq!(Deed::read(&unhex(bytes)), Some((deed, &b"payload \x00\xff"[..])));
}
