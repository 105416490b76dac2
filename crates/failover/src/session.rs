//! A session delivers messages between two processes once and in order, over any number of connections.
//!
//! Messages are numbered. Those that the peer has not acknowledged are kept and sent again on the next
//! connection. A session ends only when one of the two processes ends. This module does no I/O and reads no
//! clock.

use crate::frame::Frame;
use crate::message::Message;
use brackenledge_leases::ProcessId;
use std::collections::VecDeque;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Number of messages after which they are acknowledged in a separate [`Frame::Ack`]. Any data frame sent
/// earlier acknowledges them too.
const MAX_UNACKED_MESSAGES: u64 = 32;
/// Approximate memory, in bytes, of a message without its payload and result.
const MESSAGE_OVERHEAD: usize = 128;

/// A protocol violation by a received frame; the connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SessionError {
    /// A `Hello` on a connection whose peer has already sent one.
    #[error("second Hello frame on a connection")]
    UnexpectedHello,
    /// An acknowledgement of a message that was never sent.
    #[error("peer acknowledged message {received}, which was never sent; the next message is {next}")]
    AckBeyondSent {
        /// The acknowledged number.
        received: u64,
        /// The number of the next message to be enqueued.
        next: u64,
    },
    /// A message whose number does not follow that of the last one.
    #[error("message {number} received out of order, expected message {expected}")]
    OutOfOrder {
        /// The received number.
        number: u64,
        /// The expected number.
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
    /// Messages enqueued but not acknowledged by the peer, by number.
    unacknowledged: VecDeque<OutgoingMessage>,
    unacknowledged_bytes: usize,
    /// The number of the first message not yet sent on the current connection.
    next_to_send: u64,
    /// Messages up to this number may be sent; later ones wait for a batch.
    last_urgent: u64,
    /// The number of the last message received from the peer.
    received: u64,
    /// The number of the last message acknowledged to the peer.
    acknowledged: u64,
    /// Whether there is a connection on which the peer has sent `Resume`.
    connected: bool,
}

impl Session {
    /// Creates a session with a process to which nothing has been sent yet.
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

    /// Approximate memory, in bytes, of the messages that the peer has not acknowledged.
    pub fn unacknowledged_bytes(&self) -> usize {
        self.unacknowledged_bytes
    }

    /// Whether all messages have been sent on the connection; `true` without a connection.
    pub fn is_flushed(&self) -> bool {
        !self.connected || self.next_to_send == self.next_number
    }

    /// Enqueues a message. If it is not urgent it is batched: it is sent with the next urgent message, or
    /// after [`Session::release_batch`].
    pub fn enqueue(&mut self, message: Message, urgent: bool) {
        // This is the size in memory: the message is encoded only when it is sent.
        let size = message_size(&message);
        self.unacknowledged.push_back(OutgoingMessage { number: self.next_number, message, size });
        self.unacknowledged_bytes += size;
        if urgent {
            self.last_urgent = self.next_number;
        }
        self.next_number += 1;
    }

    /// Allows all batched messages to be sent.
    pub fn release_batch(&mut self) {
        self.last_urgent = self.next_number - 1;
    }

    /// Prepares the session for a new connection; returns the frame to send on it after `Hello`.
    pub fn on_connected(&mut self) -> Frame {
        self.connected = false;
        self.acknowledged = self.received;
        Frame::Resume { received: self.received }
    }

    /// Stops sending until there is a new connection.
    pub fn on_disconnected(&mut self) {
        self.connected = false;
    }

    /// Handles a frame and returns the message that it contains, if it is a [`Frame::Data`].
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
                // On a connection, numbers are consecutive and start after the number in the local `Resume`.
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

    /// Returns the next frame to send on the connection, or `None` if there is none.
    pub fn poll_frame(&mut self) -> Option<Frame> {
        if !self.connected {
            return None;
        }
        let first = self.unacknowledged.front().map_or(self.next_number, |first| first.number);
        let index = self.next_to_send.max(first) - first;
        let next = self.unacknowledged.get(index as usize).filter(|next| next.number <= self.last_urgent);
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
