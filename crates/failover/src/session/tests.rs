//! Tests of two sessions over connections that are lost and set up again.

use super::*;
use proptest::prelude::*;

fn message(number: u32) -> Message {
    let term = brackenledge_leases::Term { step: number, ..Default::default() };
    Message::ReportComplete { term }
}

/// Both sides of a session, and the frames in transit from each of them.
struct SessionPair {
    sessions: [Session; 2],
    in_transit: [VecDeque<Frame>; 2],
    sent: [u32; 2],
    received: [Vec<Message>; 2],
}

impl SessionPair {
    fn new() -> SessionPair {
        let process = |ordinal| ProcessId { ordinal, incarnation: 1 };
        let sessions = [Session::new(process(1)), Session::new(process(0))];
        SessionPair { sessions, in_transit: Default::default(), sent: [0; 2], received: Default::default() }
    }

    fn connect(&mut self) {
        for side in 0..2 {
            self.in_transit[side].clear();
            self.sessions[side].on_disconnected();
        }
        for side in 0..2 {
            let frame = self.sessions[side].on_connected();
            self.in_transit[side].push_back(frame);
        }
    }

    /// Sends all frames that one side has ready, and delivers the first one in transit to the other side.
    fn step(&mut self, from: usize) {
        while let Some(frame) = self.sessions[from].poll_frame() {
            self.in_transit[from].push_back(frame);
        }
        if let Some(frame) = self.in_transit[from].pop_front() {
            let mut bytes = frame.encode();
            let frame = Frame::decode(&mut bytes).expect("a frame");
            let message = self.sessions[1 - from].handle_frame(frame).expect("a valid frame");
            self.received[1 - from].extend(message);
        }
    }
}

proptest! {
    #[test]
    fn messages_arrive_once_and_in_order_over_any_sequence_of_connections(
        actions in proptest::collection::vec(0..7_u8, 1..400),
    ) {
        let mut pair = SessionPair::new();
        for action in actions {
            let side = usize::from(action % 2);
            match action {
                0 | 1 => {
                    pair.sent[side] += 1;
                    let message = message(pair.sent[side]);
                    pair.sessions[side].enqueue(message, action == 0);
                }
                6 => pair.connect(),
                _ => pair.step(side),
            }
        }
        pair.connect();
        pair.sessions.iter_mut().for_each(Session::release_batch);
        for _ in 0..2_000 {
            pair.step(0);
            pair.step(1);
        }
        for side in 0..2 {
            let expected: Vec<Message> = (1..=pair.sent[side]).map(message).collect();
            prop_assert_eq!(&pair.received[1 - side], &expected);
            // The receiver acknowledges messages before there are that many, and the sender then drops them.
            prop_assert!(pair.sessions[side].unacknowledged.len() < MAX_UNACKED_MESSAGES as usize);
        }
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(mut bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut session = Session::new(ProcessId { ordinal: 1, incarnation: 1 });
        session.enqueue(message(1), true);
        if let Ok(frame) = Frame::decode(&mut bytes) {
            let _ = session.handle_frame(frame);
        }
        prop_assert!(session.unacknowledged.len() <= 1);
    }
}
