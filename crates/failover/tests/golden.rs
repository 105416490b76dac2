//! The bytes of every frame on a link between two schedulers, with every message about jobs, pinned.
//!
//! Schedulers of two builds hold records for one another while a cluster is upgraded: the bytes must not change with the
//! names in the source. The expected bytes were written by the build of commit 72e1d57; a test that fails here means
//! that the wire format has changed.
#![allow(missing_docs)]

use brackenledge_failover::{
    AttemptSnapshot, Execution, Frame, JobKey, JobOutcome, Message, OwnershipEpoch, ProcessId,
    RecordSnapshot, Term,
};
use brackenledge_leases::{Ballot, Epoch};
use brackenledge_test_support::hex;
use std::sync::Arc;

/// The frame is written as exactly these bytes, and these bytes are read as the frame.
fn pinned_frame(frame: Frame, bytes: &str) {
    assert_eq!(hex::encode(&frame.encode()), bytes, "{frame:?}");
    assert_eq!(Frame::decode(&mut hex::decode(bytes)), Ok(frame));
}

/// The message has these bytes by itself, and comes back from them.
fn pinned(message: Message, bytes: &str) {
    let written = postcard::to_allocvec(&message).expect("bytes");
    assert_eq!(hex::encode(&written), bytes, "{message:?}");
    assert_eq!(postcard::from_bytes::<Message>(&hex::decode(bytes)), Ok(message));
}

fn term() -> Term {
    Term {
        epoch: Epoch { era: 1_700_000_123, number: 5 },
        ballot: Ballot { counter: 900, proposer: 4 },
        step: 77,
    }
}

fn ownership_epoch() -> OwnershipEpoch {
    OwnershipEpoch { member_list_term: term(), grant_count: 1_001 }
}

fn key() -> JobKey {
    JobKey { class: 2, tenant: 513, idempotency_key: Arc::from("key-A") }
}

fn worker(name: &str) -> Arc<str> {
    Arc::from(name)
}

/// A record with this end, and both kinds of attempts.
fn record(outcome: Option<JobOutcome>) -> RecordSnapshot {
    RecordSnapshot {
        key: key(),
        owner: ProcessId { ordinal: 300, incarnation: 1_700_000_000_300 },
        claim_id: 70_000,
        ownership_epoch: ownership_epoch(),
        version: 6,
        payload: Arc::from(&b"what\x00\xfe"[..]),
        requires_ack: true,
        time_left: 2_345_678,
        attempts: vec![
            AttemptSnapshot {
                number: 0,
                worker: worker("w-1"),
                execution: Execution::NeverRan,
                age: 450_000,
            },
            AttemptSnapshot {
                number: 1,
                worker: worker("w-22"),
                execution: Execution::MayHaveRun,
                age: 130_000,
            },
        ],
        outcome,
    }
}

const CLAIM_ID: u64 = 70_000;

#[test]
fn messages_of_a_claim_have_these_bytes() {
    let (term, claim_id) = (term(), CLAIM_ID);
    pinned(
        Message::ClaimRequest { term, record: record(None) },
        "00fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe01ce958f01020003772d3101d0bb1b0104772d323200d0f70700",
    );
    pinned(
        Message::ClaimGranted { term, key: key(), claim_id, ownership_epoch: ownership_epoch(), version: 7 },
        "01fbe2cfaa06058407044d028104056b65792d41f0a204fbe2cfaa06058407044de90707",
    );
    pinned(
        Message::OwnedElsewhere { term, key: key(), claim_id },
        "02fbe2cfaa06058407044d028104056b65792d41f0a204",
    );
    pinned(
        Message::CapacityExceeded { term, key: key(), claim_id },
        "04fbe2cfaa06058407044d028104056b65792d41f0a204",
    );
}

#[test]
fn messages_of_each_outcome_have_these_bytes() {
    let served = JobOutcome::Served(Arc::from(&b"result\x00\xff"[..]));
    pinned(
        Message::OutcomeNotice { key: key(), outcome: served },
        "03028104056b65792d410008726573756c7400ff",
    );
    pinned(
        Message::OutcomeNotice { key: key(), outcome: JobOutcome::Rejected(Some(1_500)) },
        "03028104056b65792d410101dc0b",
    );
    pinned(
        Message::OutcomeNotice { key: key(), outcome: JobOutcome::Rejected(None) },
        "03028104056b65792d410100",
    );
    pinned(Message::OutcomeNotice { key: key(), outcome: JobOutcome::Failed }, "03028104056b65792d4102");
}

#[test]
fn messages_that_carry_a_record_have_these_bytes_with_each_end() {
    let term = term();
    let served = Some(JobOutcome::Served(Arc::from(&b"result\x00\xff"[..])));
    pinned(
        Message::ReportOwned { term, record: record(served) },
        "05fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe01ce958f01020003772d3101d0bb1b0104772d323200d0f707010008726573756c7400ff",
    );
    pinned(
        Message::ReportOrphaned { term, record: record(Some(JobOutcome::Rejected(Some(1_500)))) },
        "06fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe01ce958f01020003772d3101d0bb1b0104772d323200d0f707010101dc0b",
    );
    pinned(
        Message::Replicate { term, record: record(Some(JobOutcome::Failed)) },
        "07fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe01ce958f01020003772d3101d0bb1b0104772d323200d0f7070102",
    );
    let bare = RecordSnapshot {
        requires_ack: false,
        attempts: Vec::new(),
        ..record(Some(JobOutcome::Rejected(None)))
    };
    pinned(
        Message::Replicate { term, record: bare },
        "07fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe00ce958f0100010100",
    );
}

#[test]
fn messages_of_attempts_and_ends_have_these_bytes() {
    let (term, claim_id) = (term(), CLAIM_ID);
    let note = |number, execution| Message::AttemptStarted {
        term,
        key: key(),
        claim_id,
        version: 8,
        number,
        worker: worker("w-333"),
        execution,
    };
    pinned(
        note(2, Execution::MayHaveRun),
        "08fbe2cfaa06058407044d028104056b65792d41f0a204080205772d33333300",
    );
    pinned(note(3, Execution::NeverRan), "08fbe2cfaa06058407044d028104056b65792d41f0a204080305772d33333301");
    let outcome = JobOutcome::Served(Arc::from(&b"done"[..]));
    pinned(
        Message::JobFinished { term, key: key(), claim_id, version: 9, outcome },
        "09fbe2cfaa06058407044d028104056b65792d41f0a204090004646f6e65",
    );
    pinned(Message::Discard { term, key: key(), claim_id }, "0afbe2cfaa06058407044d028104056b65792d41f0a204");
    pinned(
        Message::TransferOwnership { term, key: key(), claim_id },
        "0bfbe2cfaa06058407044d028104056b65792d41f0a204",
    );
    pinned(
        Message::Ack { term, key: key(), claim_id, version: 10 },
        "0cfbe2cfaa06058407044d028104056b65792d41f0a2040a",
    );
    pinned(
        Message::OwnershipRevoked { term, key: key(), claim_id },
        "0dfbe2cfaa06058407044d028104056b65792d41f0a204",
    );
    pinned(Message::ReportComplete { term }, "0efbe2cfaa06058407044d");
}

#[test]
fn each_frame_has_these_bytes_framed_so_that_a_zero_ends_it() {
    let from = ProcessId { ordinal: 300, incarnation: 1_700_000_000_300 };
    pinned_frame(Frame::Hello { from, zone: 3 }, "010aac02acd295ffbc310300");
    pinned_frame(Frame::Resume { received: 4_321 }, "0401e12100");
    let message = Message::ClaimRequest { term: term(), record: record(None) };
    pinned_frame(
        Frame::Data { number: 500, received: 4_322, message },
        "0602f403e22131fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617408fe01ce958f01020f03772d3101d0bb1b0104772d323204d0f7070100",
    );
    let message = Message::ReportComplete { term: term() };
    pinned_frame(Frame::Data { number: 501, received: 0, message }, "0402f5030c0efbe2cfaa06058407044d00");
    pinned_frame(Frame::Ack { received: 4_323 }, "0403e32100");
}
