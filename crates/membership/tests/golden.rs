//! Pins the bytes of a process's identity, and of the first messages of two members that join.
//!
//! Schedulers of two builds probe one another while a cluster is upgraded: the bytes must not change with the names
//! in the source. The expected bytes were written by the build of commit 72e1d57; a test that fails here means that the
//! wire format has changed. All random choices come from the fixed seed.
#![allow(missing_docs)]

use brackenledge_membership::{Command, Membership, ProcessId, SwimConfig};
use brackenledge_test_support::hex;

const ONE: ProcessId = ProcessId { ordinal: 0, incarnation: 1_700_000_000_123 };
const OTHER: ProcessId = ProcessId { ordinal: 1, incarnation: 1_700_000_000_456 };

fn member(me: ProcessId, seeds: Vec<u16>) -> Membership {
    let config = SwimConfig::for_cluster_size(seeds.len() + 1);
    Membership::new(0.0, me, seeds, &config, 7)
}

/// All that is to be sent, by receiver, and everything else that is to be done.
fn commands(member: &mut Membership) -> (Vec<(u16, String)>, Vec<Command>) {
    let (mut sent, mut others) = (Vec::new(), Vec::new());
    while let Some(command) = member.poll_command() {
        match command {
            Command::Send { to, bytes } => sent.push((to, hex::encode(&bytes))),
            other => others.push(other),
        }
    }
    (sent, others)
}

/// The announcement of one member to the other.
const ANNOUNCEMENT: &str = "00fbd095ffbc31000001000006";
/// The other's answer to it.
const ANSWER: &str = "01c8d395ffbc31000000fbd095ffbc3100070000";

#[test]
fn a_process_has_these_bytes() {
    let process = ProcessId { ordinal: 300, incarnation: 1_700_000_000_300 };
    let bytes = "ac02acd295ffbc31";
    let written = postcard::to_allocvec(&process).expect("bytes");
    assert_eq!(hex::encode(&written), bytes);
    assert_eq!(postcard::from_bytes::<ProcessId>(&hex::decode(bytes)), Ok(process));
}

#[test]
fn a_newcomer_announces_itself_to_a_seed_with_these_bytes() {
    let mut one = member(ONE, vec![1]);
    one.handle_timeout(0.0);
    let (sent, others) = commands(&mut one);
    assert_eq!((sent, others), (vec![(1, ANNOUNCEMENT.to_owned())], Vec::new()));
}

#[test]
fn the_announcement_is_answered_with_these_bytes() {
    let mut other = member(OTHER, vec![0]);
    let announcement = ANNOUNCEMENT;
    assert!(other.handle_message(5.0, &hex::decode(announcement)));
    let (sent, others) = commands(&mut other);
    assert_eq!((sent, others), (vec![(0, ANSWER.to_owned())], vec![Command::MemberUp(ONE)]));
    assert!(other.active_members().any(|process| process == ONE));
}

#[test]
fn the_answer_makes_the_other_a_member() {
    let mut one = member(ONE, vec![1]);
    one.handle_timeout(0.0);
    assert!(one.handle_message(10.0, &hex::decode(ANSWER)));
    assert!(commands(&mut one).1.contains(&Command::MemberUp(OTHER)));
    assert!(one.active_members().any(|process| process == OTHER));
}
