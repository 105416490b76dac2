//! A session delivers messages between two processes once and in order, over any number of connections.
//!
//! Messages are numbered. What the peer has not acknowledged is kept, and sent again on the next connection; a session
//! ends only with one of the two processes. No I/O and no clock.

use crate::frame::Frame;
use crate::message::Message;
use brackenledge_leases::ProcessId;
use std::collections::VecDeque;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Messages received until they are acknowledged in a frame of its own; any frame sent before acknowledges them too.
const MAX_UNACKED_MESSAGES: u64 = 32;
/// What a message takes in memory beside payload and result, roughly.
const MESSAGE_OVERHEAD: usize = 128;

/// A frame that violates the protocol: its connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SessionError {
    /// A `Hello` on a connection whose peer is known.
    #[error("a second Hello on a connection")]
    UnexpectedHello,
    /// An acknowledgement of a message that was never sent.
    #[error("message {received} is acknowledged, and {next} is the next to be sent")]
    AckBeyondSent {
        /// The number acknowledged.
        received: u64,
        /// The number of the next message.
        next: u64,
    },
    /// A message that does not follow the last one.
    #[error("message {number} instead of {expected}")]
    OutOfOrder {
        /// The number received.
        number: u64,
        /// The number that should have come.
        expected: u64,
    },
}

#[derive(Clone, Debug)]
struct OutgoingMessage {
    number: u64,
    message: Message,
    size: usize,
}

/// One side of a session with another process.
#[derive(Clone, Debug)]
pub struct Session {
    peer: ProcessId,
    /// The number of the next message to be enqueued; the first is 1.
    next_number: u64,
    /// Enqueued and not acknowledged, by number.
    unacknowledged: VecDeque<OutgoingMessage>,
    unacknowledged_bytes: usize,
    /// The first of these not yet given to the current connection.
    next_to_send: u64,
    /// Messages up to this number are sent without waiting for a batch.
    last_urgent: u64,
    /// The number of the peer's last message received.
    received: u64,
    /// The last number acknowledged to the peer.
    acknowledged: u64,
    /// A connection is up, and the peer has sent `Resume` on it.
    connected: bool,
}

impl Session {
    /// A session with a process that has received nothing from us yet.
    pub fn new(peer: ProcessId) -> Session {
        Session {
            peer,
            next_number: 1,
            unacknowledged: VecDeque::new(),
            unacknowledged_bytes: 0,
            next_to_send: 1,
            last_urgent: 0,
            received: 0,
            acknowledged: 0,
            connected: false,
        }
    }

    /// The other process.
    pub fn peer(&self) -> ProcessId {
        self.peer
    }

    /// Bytes of the messages that the peer has not acknowledged, roughly.
    pub fn unacknowledged_bytes(&self) -> usize {
        self.unacknowledged_bytes
    }

    /// Whether all messages have been given to the connection, if there is one.
    pub fn is_flushed(&self) -> bool {
        !self.connected || self.next_to_send == self.next_number
    }

    /// Enqueues a message. One that is not urgent is batched: it is sent with the next urgent one, or after
    /// [`Session::release_batch`].
    pub fn enqueue(&mut self, message: Message, urgent: bool) {
        // Its size in memory; it is encoded when it is sent.
        let size = message_size(&message);
        self.unacknowledged.push_back(OutgoingMessage { number: self.next_number, message, size });
        self.unacknowledged_bytes += size;
        if urgent {
            self.last_urgent = self.next_number;
        }
        self.next_number += 1;
    }

    /// Batched messages may be sent.
    pub fn release_batch(&mut self) {
        self.last_urgent = self.next_number - 1;
    }

    /// A connection is up; the frame that starts the session on it.
    pub fn on_connected(&mut self) -> Frame {
        self.connected = false;
        self.acknowledged = self.received;
        Frame::Resume { received: self.received }
    }

    /// The connection is lost.
    pub fn on_disconnected(&mut self) {
        self.connected = false;
    }

    /// Handles a frame; returns the message that it carries.
    pub fn handle_frame(&mut self, frame: Frame) -> Result<Option<Message>, SessionError> {
        match frame {
            Frame::Hello { .. } => Err(SessionError::UnexpectedHello),
            Frame::Resume { received } => {
                self.handle_ack(received)?;
                self.next_to_send = received + 1;
                self.connected = true;
                Ok(None)
            }
            Frame::Ack { received } => self.handle_ack(received).map(|()| None),
            Frame::Data { number, received, message } => {
                self.handle_ack(received)?;
                // Numbers are consecutive on a connection, and start after the one in our `Resume`.
                let expected = self.received + 1;
                if number != expected {
                    return Err(SessionError::OutOfOrder { number, expected });
                }
                self.received = number;
                Ok(Some(message))
            }
        }
    }

    fn handle_ack(&mut self, received: u64) -> Result<(), SessionError> {
        if received >= self.next_number {
            return Err(SessionError::AckBeyondSent { received, next: self.next_number });
        }
        while self.unacknowledged.front().is_some_and(|first| first.number <= received) {
            let size = self.unacknowledged.pop_front().map_or(0, |first| first.size);
            self.unacknowledged_bytes -= size;
        }
        Ok(())
    }

    /// The next frame for the connection, if there is one to send.
    pub fn poll_frame(&mut self) -> Option<Frame> {
        if !self.connected {
            return None;
        }
        let first = self.unacknowledged.front().map_or(self.next_number, |first| first.number);
        let at = self.next_to_send.max(first) - first;
        let next = self.unacknowledged.get(at as usize).filter(|next| next.number <= self.last_urgent);
        if let Some(OutgoingMessage { number, message, .. }) = next {
            self.next_to_send = number + 1;
            self.acknowledged = self.received;
            return Some(Frame::Data { number: *number, received: self.received, message: message.clone() });
        }
        if self.received >= self.acknowledged + MAX_UNACKED_MESSAGES {
            self.acknowledged = self.received;
            return Some(Frame::Ack { received: self.received });
        }
        None
    }
}

fn message_size(message: &Message) -> usize {
    let content = match message {
        Message::ClaimRequest { record, .. }
        | Message::ReportOwned { record, .. }
        | Message::ReportOrphaned { record, .. }
        | Message::Replicate { record, .. } => {
            record.payload.len() + record.outcome.as_ref().map_or(0, |outcome| outcome.result_len())
        }
        Message::OutcomeNotice { outcome, .. } | Message::JobFinished { outcome, .. } => outcome.result_len(),
        _ => 0,
    };
    MESSAGE_OVERHEAD + content
}
