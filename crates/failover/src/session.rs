//! What is said to another process arrives once and in order, or one of the two has ended: connections between them come
//! and go, and what the other has not said it has is said again on the next one. No I/O, no clock.

use crate::message::{Frame, Message};
use brackenledge_leases::ProcessId;
use std::collections::VecDeque;

/// What has come is said after so many messages at the latest; it goes along with whatever is sent before.
const SAY_AFTER: u64 = 32;

/// A frame that can't be: its connection is to be ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Nonsense;

/// Our side of what is said between us and one other process.
#[derive(Clone, Debug)]
pub struct Session {
    peer: ProcessId,
    /// The number of the next message we say.
    next: u64,
    /// Said, and not known to have come: numbers, and bytes of each.
    open: VecDeque<(u64, Message, usize)>,
    bytes: usize,
    /// The first of these not yet given to the connection that is up.
    unsent: u64,
    /// The last of them that is to go out by itself.
    soon: u64,
    got: u64,
    said_got: u64,
    up: bool,
}

impl Session {
    /// With a process that has heard nothing from us yet.
    pub fn new(peer: ProcessId) -> Session {
        Session {
            peer,
            next: 1,
            open: VecDeque::new(),
            bytes: 0,
            unsent: 1,
            soon: 0,
            got: 0,
            said_got: 0,
            up: false,
        }
    }

    /// Whom it is with.
    pub fn peer(&self) -> ProcessId {
        self.peer
    }

    /// Bytes of what is not known to have come.
    pub fn waiting(&self) -> usize {
        self.bytes
    }

    /// Whether all that was said has gone to the connection, if there is one.
    pub fn sent(&self) -> bool {
        !self.up || self.unsent == self.next
    }

    /// Says something, now or once a connection is up; what nobody waits for goes with the next that is wanted soon, or
    /// when [`Session::hurry`] says so.
    pub fn say(&mut self, message: Message, soon: bool) {
        // What it takes here; its bytes are made when it goes out.
        let size = size(&message);
        self.open.push_back((self.next, message, size));
        self.bytes += size;
        if soon {
            self.soon = self.next;
        }
        self.next += 1;
    }

    /// All that waits for company goes.
    pub fn hurry(&mut self) {
        self.soon = self.next - 1;
    }

    /// A connection is up, and this is our word on it.
    pub fn begin(&mut self) -> Frame {
        self.up = false;
        self.said_got = self.got;
        Frame::Welcome { got: self.got }
    }

    /// The connection is gone.
    pub fn ended(&mut self) {
        self.up = false;
    }

    /// Takes a frame in; the message that it brings, if that is new. `Err`: it makes no sense.
    pub fn take(&mut self, frame: Frame) -> Result<Option<Message>, Nonsense> {
        match frame {
            Frame::Hello { .. } => Err(Nonsense),
            Frame::Welcome { got } => {
                self.came(got)?;
                self.unsent = got + 1;
                self.up = true;
                Ok(None)
            }
            Frame::Got { got } => self.came(got).map(|()| None),
            Frame::Data { number, got, message } => {
                self.came(got)?;
                // Numbers follow one another on a connection, and a new one begins at what we said we have.
                if number != self.got + 1 {
                    return Err(Nonsense);
                }
                self.got = number;
                Ok(Some(message))
            }
        }
    }

    fn came(&mut self, got: u64) -> Result<(), Nonsense> {
        if got >= self.next {
            return Err(Nonsense);
        }
        while self.open.front().is_some_and(|first| first.0 <= got) {
            let size = self.open.pop_front().map_or(0, |first| first.2);
            self.bytes -= size;
        }
        Ok(())
    }

    /// The next frame for the connection, if there is one.
    pub fn next_frame(&mut self) -> Option<Frame> {
        if !self.up {
            return None;
        }
        let first = self.open.front().map_or(self.next, |first| first.0);
        let at = self.unsent.max(first) - first;
        if let Some((number, message, _)) = self.open.get(at as usize).filter(|open| open.0 <= self.soon) {
            self.unsent = number + 1;
            self.said_got = self.got;
            return Some(Frame::Data { number: *number, got: self.got, message: message.clone() });
        }
        if self.got >= self.said_got + SAY_AFTER {
            self.said_got = self.got;
            return Some(Frame::Got { got: self.got });
        }
        None
    }
}

fn size(message: &Message) -> usize {
    let more = match message {
        Message::Open { record, .. }
        | Message::Place { record, .. }
        | Message::Orphan { record, .. }
        | Message::Keep { record, .. } => record.what.len() + fate(record.fate.as_ref()),
        Message::Told { fate: end, .. } | Message::Done { fate: end, .. } => fate(Some(end)),
        _ => 0,
    };
    128 + more
}

fn fate(fate: Option<&crate::Fate>) -> usize {
    match fate {
        Some(crate::Fate::Served(result)) => result.len(),
        _ => 0,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn word(number: u32) -> Message {
        let term = brackenledge_leases::Term { step: number, ..Default::default() };
        Message::Reported { roll: term }
    }

    /// Both ends, and what is on the way between them.
    struct Pair {
        ends: [Session; 2],
        way: [VecDeque<Frame>; 2],
        said: [u32; 2],
        heard: [Vec<Message>; 2],
    }

    impl Pair {
        fn new() -> Pair {
            let process = |ordinal| ProcessId { ordinal, incarnation: 1 };
            let ends = [Session::new(process(1)), Session::new(process(0))];
            Pair { ends, way: Default::default(), said: [0; 2], heard: Default::default() }
        }

        fn connect(&mut self) {
            for at in 0..2 {
                self.way[at].clear();
                self.ends[at].ended();
            }
            for at in 0..2 {
                let frame = self.ends[at].begin();
                self.way[at].push_back(frame);
            }
        }

        fn step(&mut self, from: usize) {
            while let Some(frame) = self.ends[from].next_frame() {
                self.way[from].push_back(frame);
            }
            if let Some(frame) = self.way[from].pop_front() {
                let mut bytes = frame.write();
                let frame = Frame::read(&mut bytes).expect("a frame");
                let message = self.ends[1 - from].take(frame).expect("sense");
                self.heard[1 - from].extend(message);
            }
        }
    }

    proptest! {
        #[test]
        fn all_that_is_said_arrives_once_and_in_order_whatever_connections_do(
            deeds in proptest::collection::vec(0..7_u8, 1..400),
        ) {
            let mut pair = Pair::new();
            for deed in deeds {
                let at = usize::from(deed % 2);
                match deed {
                    0 | 1 => {
                        pair.said[at] += 1;
                        let message = word(pair.said[at]);
                        pair.ends[at].say(message, deed == 0);
                    }
                    6 => pair.connect(),
                    _ => pair.step(at),
                }
            }
            pair.connect();
            pair.ends.iter_mut().for_each(Session::hurry);
            for _ in 0..2_000 {
                pair.step(0);
                pair.step(1);
            }
            for at in 0..2 {
                let wanted: Vec<Message> = (1..=pair.said[at]).map(word).collect();
                prop_assert_eq!(&pair.heard[1 - at], &wanted);
                // What came is not held for longer than it takes to say so.
                prop_assert!(pair.ends[at].open.len() < SAY_AFTER as usize);
            }
        }

        #[test]
        fn any_bytes_are_a_frame_or_none(mut bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let mut session = Session::new(ProcessId { ordinal: 1, incarnation: 1 });
            session.say(word(1), true);
            if let Some(frame) = Frame::read(&mut bytes) {
                let _ = session.take(frame);
            }
            prop_assert!(session.open.len() <= 1);
        }
    }
}
