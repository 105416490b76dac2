//! Pins the encoding of every frame on a link between two schedulers and of every message about jobs.
//!
//! Schedulers of two builds exchange them while a cluster is upgraded, so a rename in the source must not
//! change the encoding. The expected bytes were written by the build of commit 72e1d57; a failure here means
//! that the wire format has changed.
#![allow(missing_docs)]

use brackenledge_failover::{
    AttemptSnapshot, Execution, Frame, JobKey, JobOutcome, Message, OwnershipEpoch, ProcessId,
    RecordSnapshot, Term,
};
use brackenledge_leases::{Ballot, Epoch};
use brackenledge_test_support::hex;
use std::sync::Arc;

/// Asserts that the frame is encoded as exactly these bytes, and that these bytes are decoded as the frame.
fn assert_frame_bytes(frame: Frame, bytes: &str) {
    assert_eq!(hex::encode(&frame.encode()), bytes, "{frame:?}");
    assert_eq!(Frame::decode(&mut hex::decode(bytes)), Ok(frame));
}

/// Asserts that the message without a frame is encoded as exactly these bytes, and that these bytes are
/// decoded as the message.
fn assert_message_bytes(message: Message, bytes: &str) {
    let encoded = postcard::to_allocvec(&message).expect("the message is encoded");
    assert_eq!(hex::encode(&encoded), bytes, "{message:?}");
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

/// A record with this outcome, and one attempt of each execution state.
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
fn claim_messages_have_these_bytes() {
    let (term, claim_id) = (term(), CLAIM_ID);
    assert_message_bytes(
        Message::ClaimRequest { term, record: record(None) },
        "00fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe01ce958f01020003772d3101d0bb1b0104772d323200d0f70700",
    );
    assert_message_bytes(
        Message::ClaimGranted { term, key: key(), claim_id, ownership_epoch: ownership_epoch(), version: 7 },
        "01fbe2cfaa06058407044d028104056b65792d41f0a204fbe2cfaa06058407044de90707",
    );
    assert_message_bytes(
        Message::OwnedElsewhere { term, key: key(), claim_id },
        "02fbe2cfaa06058407044d028104056b65792d41f0a204",
    );
    assert_message_bytes(
        Message::CapacityExceeded { term, key: key(), claim_id },
        "04fbe2cfaa06058407044d028104056b65792d41f0a204",
    );
}

#[test]
fn outcome_notices_have_these_bytes() {
    let served = JobOutcome::Served(Arc::from(&b"result\x00\xff"[..]));
    assert_message_bytes(
        Message::OutcomeNotice { key: key(), outcome: served },
        "03028104056b65792d410008726573756c7400ff",
    );
    assert_message_bytes(
        Message::OutcomeNotice { key: key(), outcome: JobOutcome::Rejected(Some(1_500)) },
        "03028104056b65792d410101dc0b",
    );
    assert_message_bytes(
        Message::OutcomeNotice { key: key(), outcome: JobOutcome::Rejected(None) },
        "03028104056b65792d410100",
    );
    assert_message_bytes(
        Message::OutcomeNotice { key: key(), outcome: JobOutcome::Failed },
        "03028104056b65792d4102",
    );
}

#[test]
fn messages_with_a_record_have_these_bytes_for_each_outcome() {
    let term = term();
    let served = Some(JobOutcome::Served(Arc::from(&b"result\x00\xff"[..])));
    assert_message_bytes(
        Message::ReportOwned { term, record: record(served) },
        "05fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe01ce958f01020003772d3101d0bb1b0104772d323200d0f707010008726573756c7400ff",
    );
    assert_message_bytes(
        Message::ReportOrphaned { term, record: record(Some(JobOutcome::Rejected(Some(1_500)))) },
        "06fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe01ce958f01020003772d3101d0bb1b0104772d323200d0f707010101dc0b",
    );
    assert_message_bytes(
        Message::Replicate { term, record: record(Some(JobOutcome::Failed)) },
        "07fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe01ce958f01020003772d3101d0bb1b0104772d323200d0f7070102",
    );
    let without_attempts = RecordSnapshot {
        requires_ack: false,
        attempts: Vec::new(),
        ..record(Some(JobOutcome::Rejected(None)))
    };
    assert_message_bytes(
        Message::Replicate { term, record: without_attempts },
        "07fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617400fe00ce958f0100010100",
    );
}

#[test]
fn messages_of_attempts_outcomes_and_ownership_have_these_bytes() {
    let (term, claim_id) = (term(), CLAIM_ID);
    let attempt_started = |number, execution| Message::AttemptStarted {
        term,
        key: key(),
        claim_id,
        version: 8,
        number,
        worker: worker("w-333"),
        execution,
    };
    assert_message_bytes(
        attempt_started(2, Execution::MayHaveRun),
        "08fbe2cfaa06058407044d028104056b65792d41f0a204080205772d33333300",
    );
    assert_message_bytes(
        attempt_started(3, Execution::NeverRan),
        "08fbe2cfaa06058407044d028104056b65792d41f0a204080305772d33333301",
    );
    let outcome = JobOutcome::Served(Arc::from(&b"done"[..]));
    assert_message_bytes(
        Message::JobFinished { term, key: key(), claim_id, version: 9, outcome },
        "09fbe2cfaa06058407044d028104056b65792d41f0a204090004646f6e65",
    );
    assert_message_bytes(
        Message::Discard { term, key: key(), claim_id },
        "0afbe2cfaa06058407044d028104056b65792d41f0a204",
    );
    assert_message_bytes(
        Message::TransferOwnership { term, key: key(), claim_id },
        "0bfbe2cfaa06058407044d028104056b65792d41f0a204",
    );
    assert_message_bytes(
        Message::Ack { term, key: key(), claim_id, version: 10 },
        "0cfbe2cfaa06058407044d028104056b65792d41f0a2040a",
    );
    assert_message_bytes(
        Message::OwnershipRevoked { term, key: key(), claim_id },
        "0dfbe2cfaa06058407044d028104056b65792d41f0a204",
    );
    assert_message_bytes(Message::ReportComplete { term }, "0efbe2cfaa06058407044d");
}

#[test]
fn frames_have_these_bytes_and_end_with_a_zero() {
    let from = ProcessId { ordinal: 300, incarnation: 1_700_000_000_300 };
    assert_frame_bytes(Frame::Hello { from, zone: 3 }, "010aac02acd295ffbc310300");
    assert_frame_bytes(Frame::Resume { received: 4_321 }, "0401e12100");
    let message = Message::ClaimRequest { term: term(), record: record(None) };
    assert_frame_bytes(
        Frame::Data { number: 500, received: 4_322, message },
        "0602f403e22131fbe2cfaa06058407044d028104056b65792d41ac02acd295ffbc31f0a204fbe2cfaa06058407044de90706067768617408fe01ce958f01020f03772d3101d0bb1b0104772d323204d0f7070100",
    );
    let message = Message::ReportComplete { term: term() };
    assert_frame_bytes(
        Frame::Data { number: 501, received: 0, message },
        "0402f5030c0efbe2cfaa06058407044d00",
    );
    assert_frame_bytes(Frame::Ack { received: 4_323 }, "0403e32100");
}
