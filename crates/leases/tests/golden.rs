//! Golden tests of the encoding of every message between the processes of a cluster, and of a fencing token.
//!
//! Schedulers of different builds communicate while a cluster is upgraded, so a renaming in the source must
//! not change the encoding. The expected bytes were produced by the build of commit 72e1d57. If a test fails,
//! the wire format has changed.
#![allow(missing_docs)]

use brackenledge_leases::{
    AcceptedView, Ballot, Epoch, FencingToken, Message, ProcessId, RoleGrant, Term, View,
};
use brackenledge_test_support::hex;

/// Checks that the message is encoded as exactly these bytes, and that these bytes are decoded as the
/// message.
fn assert_encoding(message: Message, bytes: &str) {
    assert_eq!(hex::encode(&message.encode()), bytes, "{message:?}");
    assert_eq!(Message::decode(&hex::decode(bytes)), Ok(message));
}

fn process(ordinal: u16) -> ProcessId {
    ProcessId { ordinal, incarnation: 1_700_000_000_000 + u64::from(ordinal) }
}

const SENDER: u16 = 300;

fn epoch() -> Epoch {
    Epoch { era: 1_700_000_123, number: 5 }
}

fn ballot() -> Ballot {
    Ballot { counter: 900, proposer: 4 }
}

fn term() -> Term {
    Term { epoch: epoch(), ballot: ballot(), step: 77 }
}

fn view() -> View {
    View { epoch: epoch(), voters: vec![process(1), process(2), process(SENDER)] }
}

fn next_view() -> View {
    View {
        epoch: Epoch { era: 1_700_000_123, number: 6 },
        voters: vec![process(1), process(3), process(SENDER)],
    }
}

#[test]
fn encoding_of_join_request_and_leader_lease_messages() {
    let (from, epoch, ballot) = (process(SENDER), epoch(), ballot());
    assert_encoding(Message::JoinRequest { from, latest_epoch: epoch }, "00ac02acd295ffbc31fbe2cfaa0605");
    assert_encoding(Message::Prepare { from, epoch, ballot }, "01ac02acd295ffbc31fbe2cfaa0605840704");
    assert_encoding(
        Message::Promise { from, epoch, ballot, accepted: None },
        "02ac02acd295ffbc31fbe2cfaa060584070400",
    );
    let accepted = Some(AcceptedView { ballot: Ballot { counter: 899, proposer: 2 }, view: next_view() });
    assert_encoding(
        Message::Promise { from, epoch, ballot, accepted },
        "02ac02acd295ffbc31fbe2cfaa060584070401830702fbe2cfaa0606030181d095ffbc310383d095ffbc31ac02acd295ffbc31",
    );
    assert_encoding(
        Message::Reject {
            from,
            epoch,
            promised: Ballot { counter: 901, proposer: 7 },
            lease_remaining: 1_234_567,
        },
        "03ac02acd295ffbc31fbe2cfaa060585070787ad4b",
    );
    assert_encoding(
        Message::LeaseRequest { from, epoch, ballot, requested_at: 9_876_543_210 },
        "04ac02acd295ffbc31fbe2cfaa0605840704eaadc0e524",
    );
    assert_encoding(
        Message::LeaseGrant { from, epoch, ballot, requested_at: 9_876_543_211 },
        "05ac02acd295ffbc31fbe2cfaa0605840704ebadc0e524",
    );
    assert_encoding(Message::LeaseRelease { from, epoch, ballot }, "08ac02acd295ffbc31fbe2cfaa0605840704");
}

#[test]
fn encoding_of_view_messages() {
    let (from, epoch, ballot) = (process(SENDER), epoch(), ballot());
    assert_encoding(
        Message::Accept { from, epoch, ballot, next_view: next_view() },
        "06ac02acd295ffbc31fbe2cfaa0605840704fbe2cfaa0606030181d095ffbc310383d095ffbc31ac02acd295ffbc31",
    );
    assert_encoding(Message::Accepted { from, epoch, ballot }, "07ac02acd295ffbc31fbe2cfaa0605840704");
    let bootstrap_view =
        Message::ViewUpdate { from, view: View::default(), leader: None, ballot, role_grants: Vec::new() };
    assert_encoding(bootstrap_view, "09ac02acd295ffbc310000000084070400");
    let role_grants = vec![
        RoleGrant { role: 2, term: term(), holder: process(1) },
        RoleGrant { role: 9, term: Term { step: 78, ..term() }, holder: process(2) },
    ];
    assert_encoding(
        Message::ViewUpdate { from, view: view(), leader: Some(process(2)), ballot, role_grants },
        "09ac02acd295ffbc31fbe2cfaa0605030181d095ffbc310282d095ffbc31ac02acd295ffbc31010282d095ffbc318407040202fbe2cfaa06058407044d0181d095ffbc3109fbe2cfaa06058407044e0282d095ffbc31",
    );
}

#[test]
fn encoding_of_member_list_and_member_lease_messages() {
    let from = process(SENDER);
    let members = vec![process(1), process(2), process(SENDER)];
    assert_encoding(
        Message::MemberListPart { from, term: term(), part: 1, parts: 3, members },
        "0aac02acd295ffbc31fbe2cfaa06058407044d0103030181d095ffbc310282d095ffbc31ac02acd295ffbc31",
    );
    assert_encoding(
        Message::MemberLeaseRequest { from, requested_at: 9_876_543_212 },
        "0eac02acd295ffbc31ecadc0e524",
    );
    assert_encoding(
        Message::MemberLeaseGrant { from, requested_at: 9_876_543_213, duration: 2_500_000 },
        "0fac02acd295ffbc31edadc0e524a0cb9801",
    );
    assert_encoding(Message::MemberLeaseRelease { from }, "10ac02acd295ffbc31");
}

#[test]
fn encoding_of_role_lease_messages() {
    let from = process(SENDER);
    assert_encoding(
        Message::RoleLeaseRequest { from, role: 3, requested_at: 9_876_543_214 },
        "0bac02acd295ffbc3103eeadc0e524",
    );
    let grant = Message::RoleLeaseGrant {
        from,
        role: 4,
        term: term(),
        requested_at: 9_876_543_215,
        duration: 1_500_000,
    };
    assert_encoding(grant, "0cac02acd295ffbc3104fbe2cfaa06058407044defadc0e524e0c65b");
    assert_encoding(
        Message::RoleLeaseRelease { from, role: 5, term: term() },
        "0dac02acd295ffbc3105fbe2cfaa06058407044d",
    );
}

#[test]
fn encoding_of_a_fencing_token_followed_by_the_unchanged_payload() {
    let token = FencingToken { holder: process(SENDER), role: 6, term: term() };
    let bytes = "ac02acd295ffbc3106fbe2cfaa06058407044d7061796c6f61642000ff";
    assert_eq!(hex::encode(&token.encode_message(b"payload \x00\xff")), bytes);
    assert_eq!(FencingToken::decode_message(&hex::decode(bytes)), Ok((token, &b"payload \x00\xff"[..])));
}
