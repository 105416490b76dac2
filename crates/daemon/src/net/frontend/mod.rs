//! The client side: reads jobs from HTTP requests and writes the responses.
//!
//! **Invariant.** A connection carries one request at a time, and is closed only by [`Frontend::remove`],
//! which abandons its open job.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `accept` | accepts connections |
//! | `connection` | a connection's state and its callbacks |
//! | `request_reader` | reads requests and submits the jobs in them |
//! | `admission` | admission rules, and jobs from request heads |
//! | `responses` | writes responses |
//! | `eviction` | selects the connection that is closed for a new one |
//! | `timeouts` | request, linger and unread output timeouts |

mod accept;
mod admission;
mod connection;
mod eviction;
mod request_reader;
mod responses;
mod timeouts;

pub use self::admission::AdmissionRules;

use self::connection::{ClientConnection, State};
use super::Context;
use super::event_loop::{Flow, Millis, Owner, drive};
use brackenledge_engine::{Answer, ClientId};
use brackenledge_failover::Waiter;
use brackenledge_policy::JobId;
use mio::net::TcpListener;
use slab::Slab;
use std::rc::Rc;

/// The listener and all client connections.
pub struct Frontend {
    listener: TcpListener,
    rules: Rc<AdmissionRules>,
    clients: Slab<ClientConnection>,
    max_clients: usize,
    /// Whether an alarm is set to retry accepting.
    is_retry_scheduled: bool,
    /// Whether the last accept failed. Its error has been logged.
    is_accept_failing: bool,
}

impl Frontend {
    /// `max_clients`: maximum number of open client connections.
    pub fn new(listener: TcpListener, rules: AdmissionRules, max_clients: usize) -> Self {
        Frontend {
            listener,
            rules: Rc::new(rules),
            clients: Slab::new(),
            max_clients,
            is_retry_scheduled: false,
            is_accept_failing: false,
        }
    }

    /// `Retry-After` of rejections that the policy does not decide; `None` if the settings disable the
    /// header.
    pub fn retry_after(&self) -> Option<Millis> {
        self.rules.retry_after
    }

    /// Handles a readiness event of a client connection.
    pub fn on_ready(&mut self, slot: usize, cx: &mut Context) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        match drive(client, cx) {
            Flow::Keep => {}
            Flow::Requeue => cx.event_loop.requeue(Owner::Frontend(slot)),
            Flow::Close => self.remove(slot, cx),
        }
    }

    /// Responds to the client of a job, unless it has disconnected. Its slot may have been reused by then.
    pub fn answer(&mut self, slot: ClientId, job: JobId, answer: Answer, cx: &mut Context) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        if !matches!(client.state, State::AwaitingJob(open) if open == job) {
            return;
        }
        self.respond(slot, answer, cx);
    }

    /// Responds to the client of a replicated job, unless it has disconnected.
    pub fn answer_replicated(&mut self, slot: ClientId, waiter: Waiter, answer: Answer, cx: &mut Context) {
        let Some(client) = self.clients.get(slot) else { return };
        if matches!(client.state, State::AwaitingReplicatedJob(open) if open == waiter) {
            self.respond(slot, answer, cx);
        }
    }

    fn respond(&mut self, slot: ClientId, answer: Answer, cx: &mut Context) {
        let client = &mut self.clients[slot];
        client.respond(answer, cx);
        // The next request may already be buffered; the poll does not report it again.
        client.read_requests(cx);
        self.on_ready(slot, cx);
    }

    /// Closes every connection that is between requests.
    pub fn close_all_idle(&mut self, cx: &mut Context) {
        let idle = self.clients.iter().filter(|(_, client)| client.is_idle());
        let idle: Vec<usize> = idle.map(|(slot, _)| slot).collect();
        for slot in idle {
            self.close_idle(slot, cx);
        }
    }

    /// Whether any client waits for a response or may still be sending. A client that has got its last
    /// response but not closed its side may still have data in flight. If the process exited with that data
    /// unread, the connection would be reset, possibly before the client has read the response. The linger
    /// timeout limits the wait for such clients.
    pub fn has_unfinished_clients(&self) -> bool {
        self.clients.iter().any(|(_, client)| !client.is_idle())
    }

    /// Closes a connection and abandons its open job.
    fn remove(&mut self, slot: usize, cx: &mut Context) {
        let mut client = self.clients.remove(slot);
        client.abandon_job(cx);
        cx.event_loop.deregister(&mut client.stream.socket);
    }
}

#[cfg(test)]
mod tests;
