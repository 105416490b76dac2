//! Timeouts of client connections.

use super::Frontend;
use super::connection::{ClientConnection, State};
use crate::net::Context;
use crate::net::event_loop::Millis;
use brackenledge_protocol::http::RequestError;

/// Time within which a client's first request must be complete, counted from accepting the connection, and
/// each later request, counted from its first byte. A connection without any input by then is closed, because
/// the number of connections is limited.
const REQUEST_TIMEOUT: Millis = 2_000.0;
/// A client that has not read its response within this time is assumed never to read it.
const UNREAD_OUTPUT_TIMEOUT: Millis = 5_000.0;
/// How long a connection stays open after its last response was buffered, so that the client can read that
/// response while it still sends. It stays open longer if the response is not written by then.
const LINGER_TIMEOUT: Millis = 1_000.0;

impl ClientConnection {
    fn is_output_unread(&self, now: Millis) -> bool {
        !self.stream.buffer.output().is_empty() && now >= self.last_response_at + UNREAD_OUTPUT_TIMEOUT
    }

    fn is_request_late(&self, now: Millis) -> bool {
        match self.state {
            State::AwaitingJob(_) | State::AwaitingReplicatedJob(_) | State::Closing => false,
            _ if self.has_sent_request => {
                self.request_began_at.is_some_and(|began_at| now >= began_at + REQUEST_TIMEOUT)
            }
            _ => now >= self.last_response_at + REQUEST_TIMEOUT,
        }
    }

    fn has_linger_expired(&self, now: Millis) -> bool {
        matches!(self.state, State::Closing)
            && self.stream.buffer.output().is_empty()
            && now >= self.last_response_at + LINGER_TIMEOUT
    }

    fn has_timed_out(&self, now: Millis) -> bool {
        self.is_request_late(now) || self.has_linger_expired(now) || self.is_output_unread(now)
    }
}

impl Frontend {
    /// Handles timeouts: rejects incomplete requests, and closes connections whose output is not read, that
    /// lingered after the last response, or that never sent anything.
    pub fn sweep(&mut self, cx: &mut Context) {
        let now = cx.now;
        let timed_out = self.clients.iter().filter(|(_, client)| client.has_timed_out(now));
        let timed_out: Vec<usize> = timed_out.map(|(slot, _)| slot).collect();
        for slot in timed_out {
            let client = &mut self.clients[slot];
            // No response is due to a client that has sent nothing, or that does not read.
            if client.request_began_at.is_none() || client.is_output_unread(now) {
                self.remove(slot, cx);
            } else {
                client.reject(RequestError::Timeout, cx);
                self.on_ready(slot, cx);
            }
        }
    }
}
