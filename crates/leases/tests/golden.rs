//! The bytes of every message between the processes of a cluster, and of a fencing token, pinned.
//!
//! Schedulers of two builds talk to one another while a cluster is upgraded: the bytes must not change with the names in
//! the source. The expected bytes were written by the build of commit 72e1d57; a test that fails here means that the
//! wire format has changed.
#![allow(missing_docs)]

use brackenledge_leases::{
    AcceptedView, Ballot, Epoch, FencingToken, Message, ProcessId, RoleGrant, Term, View,
};
use brackenledge_test_support::hex;

/// The value is encoded as exactly these bytes, and these bytes are decoded as the value.
fn pinned(message: Message, bytes: &str) {
    assert_eq!(hex::encode(&message.encode()), bytes, "{message:?}");
    assert_eq!(Message::decode(&hex::decode(bytes)), Ok(message));
}

fn process(ordinal: u16) -> ProcessId {
    ProcessId { ordinal, incarnation: 1_700_000_000_000 + u64::from(ordinal) }
}

const ME: u16 = 300;

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
    View { epoch: epoch(), voters: vec![process(1), process(2), process(ME)] }
}

fn next_view() -> View {
    View { epoch: Epoch { era: 1_700_000_123, number: 6 }, voters: vec![process(1), process(3), process(ME)] }
}

#[test]
fn messages_that_look_for_a_view_and_for_the_leaders_lease_have_these_bytes() {
    let (from, epoch, ballot) = (process(ME), epoch(), ballot());
    pinned(Message::JoinRequest { from, latest_epoch: epoch }, "00ac02acd295ffbc31fbe2cfaa0605");
    pinned(Message::Prepare { from, epoch, ballot }, "01ac02acd295ffbc31fbe2cfaa0605840704");
    pinned(
        Message::Promise { from, epoch, ballot, accepted: None },
        "02ac02acd295ffbc31fbe2cfaa060584070400",
    );
    let accepted = Some(AcceptedView { ballot: Ballot { counter: 899, proposer: 2 }, view: next_view() });
    pinned(
        Message::Promise { from, epoch, ballot, accepted },
        "02ac02acd295ffbc31fbe2cfaa060584070401830702fbe2cfaa0606030181d095ffbc310383d095ffbc31ac02acd295ffbc31",
    );
    pinned(
        Message::Reject {
            from,
            epoch,
            promised: Ballot { counter: 901, proposer: 7 },
            lease_remaining: 1_234_567,
        },
        "03ac02acd295ffbc31fbe2cfaa060585070787ad4b",
    );
    pinned(
        Message::LeaseRequest { from, epoch, ballot, requested_at: 9_876_543_210 },
        "04ac02acd295ffbc31fbe2cfaa0605840704eaadc0e524",
    );
    pinned(
        Message::LeaseGrant { from, epoch, ballot, requested_at: 9_876_543_211 },
        "05ac02acd295ffbc31fbe2cfaa0605840704ebadc0e524",
    );
    pinned(Message::LeaseRelease { from, epoch, ballot }, "08ac02acd295ffbc31fbe2cfaa0605840704");
}

#[test]
fn messages_that_propose_and_announce_a_view_have_these_bytes() {
    let (from, epoch, ballot) = (process(ME), epoch(), ballot());
    pinned(
        Message::Accept { from, epoch, ballot, next_view: next_view() },
        "06ac02acd295ffbc31fbe2cfaa0605840704fbe2cfaa0606030181d095ffbc310383d095ffbc31ac02acd295ffbc31",
    );
    pinned(Message::Accepted { from, epoch, ballot }, "07ac02acd295ffbc31fbe2cfaa0605840704");
    let none =
        Message::ViewUpdate { from, view: View::default(), leader: None, ballot, role_grants: Vec::new() };
    pinned(none, "09ac02acd295ffbc310000000084070400");
    let role_grants = vec![
        RoleGrant { role: 2, term: term(), holder: process(1) },
        RoleGrant { role: 9, term: Term { step: 78, ..term() }, holder: process(2) },
    ];
    pinned(
        Message::ViewUpdate { from, view: view(), leader: Some(process(2)), ballot, role_grants },
        "09ac02acd295ffbc31fbe2cfaa0605030181d095ffbc310282d095ffbc31ac02acd295ffbc31010282d095ffbc318407040202fbe2cfaa06058407044d0181d095ffbc3109fbe2cfaa06058407044e0282d095ffbc31",
    );
}

#[test]
fn messages_of_the_member_list_and_of_member_leases_have_these_bytes() {
    let from = process(ME);
    let members = vec![process(1), process(2), process(ME)];
    pinned(
        Message::MemberListPart { from, term: term(), part: 1, parts: 3, members },
        "0aac02acd295ffbc31fbe2cfaa06058407044d0103030181d095ffbc310282d095ffbc31ac02acd295ffbc31",
    );
    pinned(Message::MemberLeaseRequest { from, requested_at: 9_876_543_212 }, "0eac02acd295ffbc31ecadc0e524");
    pinned(
        Message::MemberLeaseGrant { from, requested_at: 9_876_543_213, duration: 2_500_000 },
        "0fac02acd295ffbc31edadc0e524a0cb9801",
    );
    pinned(Message::MemberLeaseRelease { from }, "10ac02acd295ffbc31");
}

#[test]
fn messages_of_role_leases_have_these_bytes() {
    let from = process(ME);
    pinned(
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
    pinned(grant, "0cac02acd295ffbc3104fbe2cfaa06058407044defadc0e524e0c65b");
    pinned(
        Message::RoleLeaseRelease { from, role: 5, term: term() },
        "0dac02acd295ffbc3105fbe2cfaa06058407044d",
    );
}

#[test]
fn a_fencing_token_has_these_bytes_and_the_payload_follows_as_it_is() {
    let token = FencingToken { holder: process(ME), role: 6, term: term() };
    let bytes = "ac02acd295ffbc3106fbe2cfaa06058407044d7061796c6f61642000ff";
    assert_eq!(hex::encode(&token.encode_message(b"payload \x00\xff")), bytes);
    assert_eq!(FencingToken::decode_message(&hex::decode(bytes)), Ok((token, &b"payload \x00\xff"[..])));
}
