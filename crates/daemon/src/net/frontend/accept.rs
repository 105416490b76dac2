//! Accepts clients' connections.

use super::Frontend;
use super::connection::ClientConnection;
use crate::net::Context;
use crate::net::buffered_stream::BufferedStream;
use crate::net::event_loop::{Alarm, Millis, Owner};
use slog::warn;
use std::io::ErrorKind;
use std::rc::Rc;

/// After an accept failed for want of file descriptors, the next one is tried this much later.
const ACCEPT_RETRY_DELAY: Millis = 20.0;

impl Frontend {
    /// Accepts the connections that wait at the listener.
    pub fn accept(&mut self, cx: &mut Context) {
        self.is_retry_scheduled = false;
        loop {
            if self.clients.len() >= self.max_clients && !self.make_room(cx) {
                self.schedule_accept_retry(cx);
                return;
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    self.is_accept_failing = false;
                    self.register(BufferedStream::new(stream), cx);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // The client closed the connection before it was accepted.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    // Mostly for want of file descriptors. The poll won't report the connections that wait again, and
                    // trying at once would spin.
                    if !std::mem::replace(&mut self.is_accept_failing, true) {
                        warn!(cx.log, "accept_failed"; "error" => %e);
                    }
                    self.make_room(cx);
                    self.schedule_accept_retry(cx);
                    return;
                }
            }
        }
    }

    fn schedule_accept_retry(&mut self, cx: &mut Context) {
        if !std::mem::replace(&mut self.is_retry_scheduled, true) {
            cx.event_loop.set_alarm(cx.now + ACCEPT_RETRY_DELAY, Alarm::Accept);
        }
    }

    fn register(&mut self, stream: BufferedStream, cx: &mut Context) {
        let entry = self.clients.vacant_entry();
        let id = entry.key();
        let client = entry.insert(ClientConnection::new(stream, id, Rc::clone(&self.rules), cx.now));
        if cx.event_loop.register(&mut client.stream.socket, Owner::Frontend(id)).is_err() {
            self.clients.remove(id);
        }
    }
}
