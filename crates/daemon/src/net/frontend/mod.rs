//! The clients' side: reads jobs from HTTP requests, and writes the responses.
//!
//! **Invariant.** A connection carries one request at a time, and ends only in [`Frontend::remove`], which abandons the
//! job that is open on it.
//!
//! | module | job |
//! | --- | --- |
//! | `accept` | accepts connections |
//! | `connection` | a connection's state and its callbacks |
//! | `request_reader` | reads requests and submits the jobs in them |
//! | `admission` | which requests are admitted as jobs |
//! | `responses` | writes responses |
//! | `eviction` | which connection gives way to a new one |
//! | `timeouts` | ends what has taken too long |

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

/// The listener and all clients' connections.
pub struct Frontend {
    listener: TcpListener,
    rules: Rc<AdmissionRules>,
    clients: Slab<ClientConnection>,
    max_clients: usize,
    /// An alarm is set to accept again.
    is_retry_scheduled: bool,
    /// The last accept failed, and that has been logged.
    is_accept_failing: bool,
}

impl Frontend {
    /// `max_clients`: connections that may be open at the same time.
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

    /// The `Retry-After` of clients that are rejected for other reasons than the policy's.
    pub fn retry_after(&self) -> Option<Millis> {
        self.rules.retry_after
    }

    /// Handles what the poll reports of a client's connection.
    pub fn on_ready(&mut self, slot: usize, cx: &mut Context) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        match drive(client, cx) {
            Flow::Keep => {}
            Flow::Again => cx.event_loop.call_again(Owner::Frontend(slot)),
            Flow::Close => self.remove(slot, cx),
        }
    }

    /// Responds to the client of a job, unless it has gone; another may have its slot by now.
    pub fn answer(&mut self, slot: ClientId, job: JobId, answer: Answer, cx: &mut Context) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        if !matches!(client.state, State::AwaitingJob(open) if open == job) {
            return;
        }
        self.respond(slot, answer, cx);
    }

    /// Responds to the client of a replicated job, unless it has gone.
    pub fn answer_replicated(&mut self, slot: ClientId, waiter: Waiter, answer: Answer, cx: &mut Context) {
        let Some(client) = self.clients.get(slot) else { return };
        if matches!(client.state, State::AwaitingReplicatedJob(open) if open == waiter) {
            self.respond(slot, answer, cx);
        }
    }

    fn respond(&mut self, slot: ClientId, answer: Answer, cx: &mut Context) {
        let client = &mut self.clients[slot];
        client.respond(answer, cx);
        // The next request may have come already, which the poll won't report again.
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

    /// Whether a client is owed a response or may still be sending. One that has got its last response and not closed its
    /// side yet may have more on the way: with that unread, the end of the process would reset the connection, maybe
    /// before the response was read. The linger timeout is for that.
    pub fn has_unfinished_clients(&self) -> bool {
        self.clients.iter().any(|(_, client)| !client.is_idle())
    }

    /// Closes a connection, and abandons the job that is open on it.
    fn remove(&mut self, slot: usize, cx: &mut Context) {
        let mut client = self.clients.remove(slot);
        client.abandon_job(cx);
        cx.event_loop.deregister(&mut client.stream.socket);
    }
}

#[cfg(test)]
mod tests;
