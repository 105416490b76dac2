//! Two sessions over connections that come and go.

use super::*;
use proptest::prelude::*;

fn message(number: u32) -> Message {
    let term = brackenledge_leases::Term { step: number, ..Default::default() };
    Message::ReportComplete { term }
}

/// Both ends, and the frames in transit between them.
struct Pair {
    ends: [Session; 2],
    in_transit: [VecDeque<Frame>; 2],
    sent: [u32; 2],
    received: [Vec<Message>; 2],
}

impl Pair {
    fn new() -> Pair {
        let process = |ordinal| ProcessId { ordinal, incarnation: 1 };
        let ends = [Session::new(process(1)), Session::new(process(0))];
        Pair { ends, in_transit: Default::default(), sent: [0; 2], received: Default::default() }
    }

    fn connect(&mut self) {
        for at in 0..2 {
            self.in_transit[at].clear();
            self.ends[at].on_disconnected();
        }
        for at in 0..2 {
            let frame = self.ends[at].on_connected();
            self.in_transit[at].push_back(frame);
        }
    }

    fn step(&mut self, from: usize) {
        while let Some(frame) = self.ends[from].poll_frame() {
            self.in_transit[from].push_back(frame);
        }
        if let Some(frame) = self.in_transit[from].pop_front() {
            let mut bytes = frame.encode();
            let frame = Frame::decode(&mut bytes).expect("a frame");
            let message = self.ends[1 - from].handle_frame(frame).expect("a valid frame");
            self.received[1 - from].extend(message);
        }
    }
}

proptest! {
    #[test]
    fn all_that_is_sent_arrives_once_and_in_order_whatever_connections_do(
        actions in proptest::collection::vec(0..7_u8, 1..400),
    ) {
        let mut pair = Pair::new();
        for action in actions {
            let at = usize::from(action % 2);
            match action {
                0 | 1 => {
                    pair.sent[at] += 1;
                    let message = message(pair.sent[at]);
                    pair.ends[at].enqueue(message, action == 0);
                }
                6 => pair.connect(),
                _ => pair.step(at),
            }
        }
        pair.connect();
        pair.ends.iter_mut().for_each(Session::release_batch);
        for _ in 0..2_000 {
            pair.step(0);
            pair.step(1);
        }
        for at in 0..2 {
            let wanted: Vec<Message> = (1..=pair.sent[at]).map(message).collect();
            prop_assert_eq!(&pair.received[1 - at], &wanted);
            // What was received is not kept for longer than it takes to acknowledge it.
            prop_assert!(pair.ends[at].unacknowledged.len() < MAX_UNACKED_MESSAGES as usize);
        }
    }

    #[test]
    fn any_bytes_are_a_frame_or_none(mut bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut session = Session::new(ProcessId { ordinal: 1, incarnation: 1 });
        session.enqueue(message(1), true);
        if let Ok(frame) = Frame::decode(&mut bytes) {
            let _ = session.handle_frame(frame);
        }
        prop_assert!(session.unacknowledged.len() <= 1);
    }
}
