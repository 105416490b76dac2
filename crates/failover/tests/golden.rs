//! The bytes of every frame on a link between two schedulers, with every message of jobs in hand, pinned.
//!
//! Schedulers of two builds hold jobs for one another while a tier is upgraded: the bytes must not change with the
//! names in the source. The expected bytes were written by the build of commit 72e1d57; a test that fails here means
//! that the wire format has changed.
#![allow(missing_docs)]

use brackenledge_failover::{Ballot, Fate, Frame, Key, Message, ProcessId, Ran, Sent, Term};
use brackenledge_leases::{Epoch, Round};
use std::sync::Arc;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(digit).collect()
}

/// The frame is written as exactly these bytes, and these bytes are read as the frame.
fn pinned_frame(frame: Frame, bytes: &str) {
    assert_eq!(hex(&frame.write()), bytes, "{frame:?}");
    assert_eq!(Frame::read(&mut unhex(bytes)), Some(frame));
}

/// The message has these bytes by itself, and comes back from them.
fn pinned(message: Message, bytes: &str) {
    let written = postcard::to_allocvec(&message).expect("bytes");
    assert_eq!(hex(&written), bytes, "{message:?}");
    assert_eq!(postcard::from_bytes::<Message>(&unhex(bytes)), Ok(message));
}

fn roll() -> Term {
    Term { epoch: Epoch { era: 1_700_000_123, number: 5 }, round: Round { count: 900, by: 4 }, step: 77 }
}

fn ballot() -> Ballot {
    Ballot { roll: roll(), turn: 1_001 }
}

fn key() -> Key {
    Key { class: 2, tenant: 513, name: Arc::from("key-A") }
}

fn worker(name: &str) -> Arc<str> {
    Arc::from(name)
}

/// A record with this end, and both kinds of attempts.
fn record(fate: Option<Fate>) -> Sent {
    Sent {
        key: key(),
        holder: ProcessId { ordinal: 300, incarnation: 1_700_000_000_300 },
        ask: 70_000,
        ballot: ballot(),
        version: 6,
        what: Arc::from(&b"what\x00\xfe"[..]),
        gated: true,
        left: 2_345_678,
        tried: vec![(0, worker("w-1"), Ran::Never, 450_000), (1, worker("w-22"), Ran::Maybe, 130_000)],
        fate,
    }
}

const ASK: u64 = 70_000;

#[test]
fn messages_that_open_a_job_have_these_bytes() {
    let (roll, ask) = (roll(), ASK);
    pinned(
        Message::Open { roll, record: record(None) },
        "00fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe01ce958f01020003772d3101d0bb1b0104772d323200d0f70700",
    );
    pinned(
        Message::Opened { roll, key: key(), ask, ballot: ballot(), version: 7 },
        "01fbe2cfaa06058407044d028104056b65792d41f0a204fbe2cfaa06058407044de90707",
    );
    pinned(Message::Lives { roll, key: key(), ask }, "02fbe2cfaa06058407044d028104056b65792d41f0a204");
    pinned(Message::Full { roll, key: key(), ask }, "04fbe2cfaa06058407044d028104056b65792d41f0a204");
}

#[test]
fn messages_that_tell_each_end_of_a_job_have_these_bytes() {
    let served = Fate::Served(Arc::from(&b"result\x00\xff"[..]));
    pinned(Message::Told { key: key(), fate: served }, "03028104056b65792d410008726573756c7400ff");
    pinned(Message::Told { key: key(), fate: Fate::Denied(Some(1_500)) }, "03028104056b65792d410101dc0b");
    pinned(Message::Told { key: key(), fate: Fate::Denied(None) }, "03028104056b65792d410100");
    pinned(Message::Told { key: key(), fate: Fate::Failed }, "03028104056b65792d4102");
}

#[test]
fn messages_that_carry_a_record_have_these_bytes_with_each_end() {
    let roll = roll();
    let served = Some(Fate::Served(Arc::from(&b"result\x00\xff"[..])));
    pinned(
        Message::Place { roll, record: record(served) },
        "05fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe01ce958f01020003772d3101d0bb1b0104772d323200d0f707010008726573756c7400ff",
    );
    pinned(
        Message::Orphan { roll, record: record(Some(Fate::Denied(Some(1_500)))) },
        "06fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe01ce958f01020003772d3101d0bb1b0104772d323200d0f707010101dc0b",
    );
    pinned(
        Message::Keep { roll, record: record(Some(Fate::Failed)) },
        "07fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe01ce958f01020003772d3101d0bb1b0104772d323200d0f7070102",
    );
    let bare = Sent { gated: false, tried: Vec::new(), ..record(Some(Fate::Denied(None))) };
    pinned(
        Message::Keep { roll, record: bare },
        "07fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe00ce958f0100010100",
    );
}

#[test]
fn messages_that_note_and_end_have_these_bytes() {
    let (roll, ask) = (roll(), ASK);
    let note = |number, ran| Message::Note {
        roll,
        key: key(),
        ask,
        version: 8,
        number,
        worker: worker("w-333"),
        ran,
    };
    pinned(note(2, Ran::Maybe), "08fbe2cfaa06058407044d028104056b65792d41f0a204080205772d33333300");
    pinned(note(3, Ran::Never), "08fbe2cfaa06058407044d028104056b65792d41f0a204080305772d33333301");
    let fate = Fate::Served(Arc::from(&b"done"[..]));
    pinned(
        Message::Done { roll, key: key(), ask, version: 9, fate },
        "09fbe2cfaa06058407044d028104056b65792d41f0a204090004646f6e65",
    );
    pinned(Message::Forget { roll, key: key(), ask }, "0afbe2cfaa06058407044d028104056b65792d41f0a204");
    pinned(Message::Yield { roll, key: key(), ask }, "0bfbe2cfaa06058407044d028104056b65792d41f0a204");
    pinned(
        Message::Noted { roll, key: key(), ask, version: 10 },
        "0cfbe2cfaa06058407044d028104056b65792d41f0a2040a",
    );
    pinned(Message::Refused { roll, key: key(), ask }, "0dfbe2cfaa06058407044d028104056b65792d41f0a204");
    pinned(Message::Reported { roll }, "0efbe2cfaa06058407044d");
}

#[test]
fn each_frame_has_these_bytes_framed_so_that_a_zero_ends_it() {
    let from = ProcessId { ordinal: 300, incarnation: 1_700_000_000_300 };
    pinned_frame(Frame::Hello { from, zone: 3 }, "010aac02acd295ffbc310300");
    pinned_frame(Frame::Welcome { got: 4_321 }, "0401e12100");
    let message = Message::Open { roll: roll(), record: record(None) };
    pinned_frame(
        Frame::Data { number: 500, got: 4_322, message },
        "0602f403e22131fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617408fe01ce958f01020f03772d3101d0bb1b0104772d323204d0f7070100",
    );
    let message = Message::Reported { roll: roll() };
    pinned_frame(Frame::Data { number: 501, got: 0, message }, "0402f5030c0efbe2cfaa06058407044d00");
    pinned_frame(Frame::Got { got: 4_323 }, "0403e32100");
}
