//! Which client's connection is closed where a new one needs its place.

use super::Frontend;
use super::connection::{ClientConnection, State};
use crate::net::Context;
use crate::net::event_loop::Millis;

/// A first request that is incomplete for this long may be evicted.
const STALL_TIMEOUT: Millis = 500.0;

/// Why a connection may be evicted. The first class that has a connection is evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// Its last response has been written.
    Closing,
    /// It has never sent anything. Some clients open hundreds of these.
    Silent,
    /// Its first request is incomplete for longer than [`STALL_TIMEOUT`].
    Stalled,
    /// It is between requests, and none so far was a job.
    NeverSentJob,
    /// It is between requests: its next one comes on a new connection then.
    Idle,
    /// It was accepted just now, and its first request is most likely on the way.
    Fresh,
}

/// A connection that may be evicted.
struct EvictionCandidate {
    slot: usize,
    class: EvictionClass,
    /// When its last response was written, or it was accepted. Of one class, the oldest is evicted first.
    since: Millis,
}

impl ClientConnection {
    /// Why it may be evicted now; `None` if it may not.
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
    /// Evicts one connection; returns whether there was one.
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

    /// Closes an idle connection, unless a request has come on it meanwhile.
    pub(super) fn close_idle(&mut self, slot: usize, cx: &mut Context) -> bool {
        self.on_ready(slot, cx);
        let is_idle = self.clients.get(slot).is_some_and(ClientConnection::is_idle);
        if is_idle {
            self.remove(slot, cx);
        }
        is_idle
    }
}
