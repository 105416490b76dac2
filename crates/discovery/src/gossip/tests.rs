use super::message::{MAX_CHANGES_PER_MESSAGE, MAX_MESSAGE_BYTES};
use super::*;

fn change(tag: u64, readiness: Readiness, revision: u64) -> EndpointChange {
    EndpointChange { tag, readiness, revision }
}

#[test]
fn messages_round_trip_and_corrupt_messages_are_rejected() {
    let changes: Vec<EndpointChange> = (0..MAX_CHANGES_PER_MESSAGE as u64)
        .map(|n| change(n * 2_654_435_761, Readiness::Draining, 900 + n))
        .collect();
    let message = Message { purpose: Purpose::Push, held_revision: 950, known_revision: 951, changes };
    let text = message.encode();
    assert!(text.len() <= MAX_MESSAGE_BYTES && is_gossip(&text));
    assert_eq!(Message::decode(&text), Ok(message));
    let mut rng = Rng::with_seed(5);
    for _ in 0..5_000 {
        let mut bytes = text.clone().into_bytes();
        let at = rng.usize(1..bytes.len());
        bytes[at] ^= 1 << rng.u8(0..7);
        let corrupt = String::from_utf8(bytes).unwrap_or_default();
        assert!(Message::decode(&corrupt).is_err(), "{corrupt}");
        assert!(Message::decode(&text[..rng.usize(..text.len())]).is_err());
    }
}

#[test]
fn a_change_is_resent_only_until_the_peer_knows_of_it() {
    let mut rng = Rng::with_seed(1);
    let (mut gossip, mut other) = (Gossip::new(0.0, 0, 3), Gossip::new(0.0, 1, 3));
    gossip.due_messages(0.0, 0, &mut rng);
    gossip.on_list_change(10.0, 7, &[change(5, Readiness::Draining, 7)]);
    let sent = gossip.due_messages(10.0, 7, &mut rng);
    assert_eq!(sent.iter().map(|message| message.to).collect::<Vec<_>>(), [1, 2]);
    let received = other.handle_message(11.0, 0, &sent[0].text, 3).expect("push is valid");
    assert_eq!((received.held_revision, received.new_changes), (7, vec![change(5, Readiness::Draining, 7)]));
    let replies = other.due_messages(11.0, 3, &mut rng);
    let reply = replies.iter().find(|message| message.to == 0).expect("push is answered");
    gossip.handle_message(12.0, 1, &reply.text, 7).expect("reply is valid");
    let mut later: Vec<u16> = Vec::new();
    while gossip.next_timeout().is_finite() {
        let due = gossip.due_messages(gossip.next_timeout(), 7, &mut rng);
        later.extend(due.into_iter().map(|message| message.to));
    }
    assert!(later.len() == PUSH_RETRY_INTERVALS.len() && later.iter().all(|&to| to == 2), "{later:?}");
}

#[test]
fn a_scheduler_pulls_the_recent_changes_at_startup() {
    let mut rng = Rng::with_seed(1);
    let (mut old, mut new) = (Gossip::new(0.0, 0, 2), Gossip::new(5_000.0, 1, 2));
    old.due_messages(0.0, 0, &mut rng);
    old.on_list_change(10.0, 7, &[change(5, Readiness::Draining, 7)]);
    while old.next_timeout().is_finite() {
        old.due_messages(old.next_timeout(), 7, &mut rng);
    }
    let pulls = new.due_messages(5_000.0, 0, &mut rng);
    old.handle_message(5_001.0, 1, &pulls[0].text, 7).expect("pull is valid");
    let replies = old.due_messages(5_001.0, 7, &mut rng);
    let received = new.handle_message(5_002.0, 0, &replies[0].text, 0).expect("reply is valid");
    assert_eq!(received.new_changes, [change(5, Readiness::Draining, 7)]);
    assert_eq!(new.next_timeout(), f64::INFINITY, "no further startup pull is due after an answer");
}
