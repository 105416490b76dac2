//! Timeouts of clients' connections.

use super::Frontend;
use super::connection::{ClientConnection, State};
use crate::net::Context;
use crate::net::event_loop::Millis;
use brackenledge_protocol::http::RequestError;

/// A client's first request must be complete this long after it connected, and later ones this long after their first
/// byte. A client that has sent nothing at all until then is closed: connections are few.
const REQUEST_TIMEOUT: Millis = 2_000.0;
/// A client that leaves output unread for this long won't read it.
const UNREAD_OUTPUT_TIMEOUT: Millis = 5_000.0;
/// A connection that is being closed may still send for this long, so that its client reads the last response.
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

    fn has_lingered(&self, now: Millis) -> bool {
        matches!(self.state, State::Closing)
            && self.stream.buffer.output().is_empty()
            && now >= self.last_response_at + LINGER_TIMEOUT
    }

    fn has_timed_out(&self, now: Millis) -> bool {
        self.is_request_late(now) || self.has_lingered(now) || self.is_output_unread(now)
    }
}

impl Frontend {
    /// Ends what has taken too long: incomplete requests, output that is not read, and connections being closed.
    pub fn sweep(&mut self, cx: &mut Context) {
        let now = cx.now;
        let timed_out = self.clients.iter().filter(|(_, client)| client.has_timed_out(now));
        let timed_out: Vec<usize> = timed_out.map(|(slot, _)| slot).collect();
        for slot in timed_out {
            let client = &mut self.clients[slot];
            // A client that has sent nothing is owed no response, nor is one that does not read.
            if client.request_began_at.is_none() || client.is_output_unread(now) {
                self.remove(slot, cx);
            } else {
                client.reject(RequestError::Timeout, cx);
                self.on_ready(slot, cx);
            }
        }
    }
}
