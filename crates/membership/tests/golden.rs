//! Pins the encoding of a process's identity and of the first messages between two members that join.
//!
//! Schedulers of two builds exchange messages while a cluster is upgraded, so that a rename in the source
//! must not change the encoding. The expected bytes were written by the build of commit 72e1d57; a failure
//! here means that the wire format has changed. All random choices come from the fixed seed.
#![allow(missing_docs)]

use brackenledge_membership::{Command, Membership, ProcessId, SwimConfig};
use brackenledge_test_support::hex;

const JOINER: ProcessId = ProcessId { ordinal: 0, incarnation: 1_700_000_000_123 };
const SEED: ProcessId = ProcessId { ordinal: 1, incarnation: 1_700_000_000_456 };

fn member(me: ProcessId, seeds: Vec<u16>) -> Membership {
    let config = SwimConfig::for_cluster_size(seeds.len() + 1);
    Membership::new(0.0, me, seeds, &config, 7)
}

/// The messages to send, with their receivers, and all other commands.
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

/// The joiner's announcement to the seed.
const ANNOUNCEMENT: &str = "00fbd095ffbc31000001000006";
/// The seed's answer to the announcement.
const ANSWER: &str = "01c8d395ffbc31000000fbd095ffbc3100070000";

#[test]
fn a_process_id_has_these_bytes() {
    let process = ProcessId { ordinal: 300, incarnation: 1_700_000_000_300 };
    let bytes = "ac02acd295ffbc31";
    let written = postcard::to_allocvec(&process).expect("a process id can be encoded");
    assert_eq!(hex::encode(&written), bytes);
    assert_eq!(postcard::from_bytes::<ProcessId>(&hex::decode(bytes)), Ok(process));
}

#[test]
fn a_newcomer_announces_itself_to_a_seed_with_these_bytes() {
    let mut joiner = member(JOINER, vec![1]);
    joiner.handle_timeout(0.0);
    let (sent, others) = commands(&mut joiner);
    assert_eq!((sent, others), (vec![(1, ANNOUNCEMENT.to_owned())], Vec::new()));
}

#[test]
fn the_announcement_is_answered_with_these_bytes() {
    let mut seed = member(SEED, vec![0]);
    let announcement = ANNOUNCEMENT;
    assert!(seed.handle_message(5.0, &hex::decode(announcement)));
    let (sent, others) = commands(&mut seed);
    assert_eq!((sent, others), (vec![(0, ANSWER.to_owned())], vec![Command::MemberUp(JOINER)]));
    assert!(seed.active_members().any(|process| process == JOINER));
}

#[test]
fn the_answer_makes_the_seed_a_member() {
    let mut joiner = member(JOINER, vec![1]);
    joiner.handle_timeout(0.0);
    assert!(joiner.handle_message(10.0, &hex::decode(ANSWER)));
    assert!(commands(&mut joiner).1.contains(&Command::MemberUp(SEED)));
    assert!(joiner.active_members().any(|process| process == SEED));
}
