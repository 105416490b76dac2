//! Accepts client connections.

use super::Frontend;
use super::connection::ClientConnection;
use crate::net::Context;
use crate::net::buffered_stream::BufferedStream;
use crate::net::event_loop::{Alarm, Millis, Owner};
use crate::net::listener::accept_next;
use slog::warn;
use std::io;
use std::rc::Rc;

/// Delay before accepting is retried after an error, or when all connections are in use and none may be
/// evicted.
const ACCEPT_RETRY_DELAY: Millis = 20.0;

impl Frontend {
    /// Accepts all connections that wait at the listener, evicting others where necessary.
    pub fn accept(&mut self, cx: &mut Context) {
        self.is_retry_scheduled = false;
        loop {
            if self.clients.len() >= self.max_clients && !self.make_room(cx) {
                self.schedule_accept_retry(cx);
                return;
            }
            match accept_next(&self.listener) {
                Ok(Some(stream)) => {
                    self.is_accept_failing = false;
                    self.add_client(BufferedStream::new(stream), cx);
                }
                Ok(None) => return,
                Err(error) => {
                    self.on_accept_error(&error, cx);
                    return;
                }
            }
        }
    }

    /// Evicts a connection and schedules a retry; retrying at once would be a busy loop. Only the first of
    /// consecutive errors is logged.
    fn on_accept_error(&mut self, error: &io::Error, cx: &mut Context) {
        if !std::mem::replace(&mut self.is_accept_failing, true) {
            warn!(cx.log, "accept_failed"; "error" => %error);
        }
        self.make_room(cx);
        self.schedule_accept_retry(cx);
    }

    fn schedule_accept_retry(&mut self, cx: &mut Context) {
        if !std::mem::replace(&mut self.is_retry_scheduled, true) {
            cx.event_loop.set_alarm(cx.now + ACCEPT_RETRY_DELAY, Alarm::Accept);
        }
    }

    fn add_client(&mut self, stream: BufferedStream, cx: &mut Context) {
        let entry = self.clients.vacant_entry();
        let id = entry.key();
        let client = entry.insert(ClientConnection::new(stream, id, Rc::clone(&self.rules), cx.now));
        if cx.event_loop.register(&mut client.stream.socket, Owner::Frontend(id)).is_err() {
            self.clients.remove(id);
        }
    }
}
