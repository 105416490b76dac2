//! Selects the client connection that is closed to make room for a new one.

use super::Frontend;
use super::connection::{ClientConnection, State};
use crate::net::Context;
use crate::net::event_loop::Millis;

/// A connection whose first request is still incomplete this long after it was accepted may be evicted.
const STALL_TIMEOUT: Millis = 500.0;

/// Why a connection may be evicted, in the order of eviction.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// Its last response has been written.
    Closing,
    /// Nothing was received within [`STALL_TIMEOUT`] of accepting it. Some clients open hundreds of these.
    Silent,
    /// Its first request was not complete within [`STALL_TIMEOUT`].
    Stalled,
    /// It is between requests, and none so far was a job.
    NeverSentJob,
    /// It is between requests. If it is evicted, the client sends its next request on a new connection.
    Idle,
    /// It was accepted less than [`STALL_TIMEOUT`] ago, so its first request is most likely on the way.
    Fresh,
}

/// A connection that may be evicted.
struct EvictionCandidate {
    slot: usize,
    class: EvictionClass,
    /// When its last response was buffered, or it was accepted. Within a class the oldest is evicted first.
    since: Millis,
}

impl ClientConnection {
    /// Why the connection may be evicted now; `None` if it may not.
    fn eviction_class(&self, now: Millis) -> Option<EvictionClass> {
        let is_written = self.stream.buffer.output().is_empty();
        let stalls_at = self.last_response_at + STALL_TIMEOUT;
        let class = match self.state {
            State::Closing if is_written => EvictionClass::Closing,
            State::ReadingHead if self.is_idle() && !self.has_sent_request && now < stalls_at => {
                EvictionClass::Fresh
            }
            State::ReadingHead if self.is_idle() && !self.has_sent_request => EvictionClass::Silent,
            State::ReadingHead if self.is_idle() && !self.has_sent_job => EvictionClass::NeverSentJob,
            State::ReadingHead if self.is_idle() => EvictionClass::Idle,
            State::ReadingHead | State::ReadingBody(..) if !self.has_sent_request && now >= stalls_at => {
                EvictionClass::Stalled
            }
            _ => return None,
        };
        Some(class)
    }
}

impl Frontend {
    /// Tries to evict one connection. Returns whether one was closed.
    pub(super) fn make_room(&mut self, cx: &mut Context) -> bool {
        let candidates = self.clients.iter().filter_map(|(slot, client)| {
            let class = client.eviction_class(cx.now)?;
            Some(EvictionCandidate { slot, class, since: client.last_response_at })
        });
        let first = candidates.min_by(|a, b| a.class.cmp(&b.class).then(a.since.total_cmp(&b.since)));
        let Some(EvictionCandidate { slot, class, .. }) = first else { return false };
        match class {
            EvictionClass::Closing | EvictionClass::Stalled => {
                self.remove(slot, cx);
                true
            }
            _ => self.close_idle(slot, cx),
        }
    }

    /// Closes an idle connection, unless reading it first finds a request. Returns whether it was closed
    /// here.
    pub(super) fn close_idle(&mut self, slot: usize, cx: &mut Context) -> bool {
        self.on_ready(slot, cx);
        let is_idle = self.clients.get(slot).is_some_and(ClientConnection::is_idle);
        if is_idle {
            self.remove(slot, cx);
        }
        is_idle
    }
}
