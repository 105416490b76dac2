//! The calls to discovery that the roster asks for, and what they say, piece by piece.

use super::Context;
use super::buffered_stream::BufferedStream;
use super::event_loop::{Alarm, Connection, EventLoop, Flow, Millis, Owner, drive};
use brackenledge_discovery::{self as roster, CallKind, Ending, Listed};
use brackenledge_policy::Readiness;
use brackenledge_protocol::config::Endpoint;
use brackenledge_protocol::http::{AnswerHead, HEAD_MOST, take_answer_head};
use brackenledge_protocol::list_stream::{ListReader, Piece};
use mio::net::TcpStream;
use slab::Slab;
use slog::warn;
use std::net::SocketAddr;

/// A list is read as it comes, so its size is bounded only against an answer that never ends.
const LIST_MOST: usize = 256 * 1024 * 1024;
/// Input held before it is read on.
const INPUT_MOST: usize = 64 * 1024;

/// The names by which discovery places servers, and the settings their numbers.
pub struct Places {
    /// Zones, by index.
    pub zones: Vec<String>,
    /// Machine kinds, by index.
    pub kinds: Vec<String>,
}

impl Places {
    /// An entry of the list in the roster's terms.
    pub fn listed(&self, endpoint: Endpoint) -> Listed {
        let place = |names: &[String], name: Option<&String>| {
            let at = name.and_then(|name| names.iter().position(|known| known == name));
            at.map_or(u32::MAX, |at| at as u32)
        };
        Listed {
            zone: place(&self.zones, endpoint.zone.as_ref()),
            kind: place(&self.kinds, endpoint.kind.as_ref()),
            cell: endpoint.group.unwrap_or(0),
            // A state that the protocol does not name is no leave to send.
            readiness: match endpoint.status.as_deref() {
                None | Some("ready") => Readiness::Ready,
                Some("gone") => Readiness::Gone,
                Some(_) => Readiness::Draining,
            },
            address: endpoint.address.parse().ok(),
            weight: endpoint.weight.unwrap_or(1.0),
            launched: endpoint.since_ms.filter(|&since| since > 0.0),
            name: endpoint.name,
        }
    }
}

/// One call: a watch, or the whole list once.
struct Call {
    link: BufferedStream,
    id: roster::Call,
    connecting: bool,
    head: Option<AnswerHead>,
    reader: ListReader,
    kind: CallKind,
    /// How it ends, as far as is known yet.
    ending: Ending,
}

impl Call {
    /// Reads the body as far as it has come.
    fn read(&mut self, cx: &mut Context) -> Flow {
        let Some(head) = &mut self.head else { return Flow::Keep };
        let Ok(ended) = head.body.advance(&mut self.link.buffer) else {
            self.ending = Ending::Nonsense;
            return Flow::Close;
        };
        let bytes = head.body.take_all(&mut self.link.buffer);
        let (now, id, roster) = (cx.now, self.id, &mut *cx.roster);
        let mut whole = false;
        let read = self.reader.feed(&bytes, |piece| match piece {
            Piece::Entry(entry) => roster.call_entry(now, id, cx.places.listed(entry)),
            Piece::List { index, snapshot } => {
                whole = true;
                roster.call_line(now, id, index, snapshot);
            }
            Piece::Beat => roster.call_beat(now, id),
        });
        if let Err(error) = read {
            warn!(cx.log, "discovery said what makes no sense"; "what" => error);
            self.ending = Ending::Nonsense;
            return Flow::Close;
        }
        roster.call_bytes(now, id, self.reader.midway());
        if whole && self.kind == CallKind::Fetch {
            self.ending = Ending::Done;
            return Flow::Close;
        }
        if ended { Flow::Close } else { Flow::Keep }
    }
}

impl Connection<Context<'_>> for Call {
    fn stream(&mut self) -> &mut BufferedStream {
        &mut self.link
    }

    fn connecting(&self) -> bool {
        self.connecting
    }

    fn on_open(&mut self, cx: &mut Context) -> Flow {
        self.connecting = false;
        self.ending = Ending::Broken;
        cx.roster.call_up(cx.now, self.id);
        Flow::Keep
    }

    fn on_input(&mut self, cx: &mut Context) -> Flow {
        if self.head.is_none() {
            match take_answer_head(&mut self.link.buffer, LIST_MOST) {
                Ok(Some(head)) if head.status == 200 => self.head = Some(head),
                Ok(None) => return Flow::Keep,
                Ok(Some(_)) => {
                    self.ending = Ending::Refused;
                    return Flow::Close;
                }
                Err(_) => {
                    self.ending = Ending::Nonsense;
                    return Flow::Close;
                }
            }
            cx.roster.call_answered(cx.now, self.id);
        }
        self.read(cx)
    }

    // What a list said before its connection ended has been read.
    fn on_end(&mut self, _: &mut Context) {}

    fn input_most(&self) -> usize {
        INPUT_MOST + HEAD_MOST
    }
}

/// The client of the discovery service: it makes the calls that the roster orders.
pub struct Discovery {
    address: SocketAddr,
    calls: Slab<Call>,
    /// The roster's alarm that is set.
    armed: Millis,
}

impl Discovery {
    pub fn new(address: SocketAddr) -> Self {
        Discovery { address, calls: Slab::new(), armed: f64::INFINITY }
    }

    /// Discovery has a new address. The old one is about to end its calls, which would be no outage: the watch
    /// goes on at the new one at once, from the version that is held.
    pub fn move_to(&mut self, address: SocketAddr, cx: &mut Context) {
        self.address = address;
        cx.roster.moved(cx.now);
    }

    /// Makes a call.
    pub fn ask(&mut self, id: roster::Call, kind: CallKind, since: u64, cx: &mut Context) {
        let Ok(stream) = TcpStream::connect(self.address) else {
            cx.roster.call_ended(cx.now, id, Ending::NoConnection);
            return;
        };
        let target = match kind {
            CallKind::Watch => format!("/discovery/hosts?follow=1&since={since}"),
            CallKind::Fetch => "/discovery/hosts".to_owned(),
        };
        let mut link = BufferedStream::new(stream);
        let request =
            format!("GET {target} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.address);
        link.buffer.push(request.as_bytes());
        let at = self.calls.insert(Call {
            link,
            id,
            connecting: true,
            head: None,
            reader: ListReader::new(kind == CallKind::Watch),
            kind,
            ending: Ending::NoConnection,
        });
        if cx.event_loop.watch(&mut self.calls[at].link.socket, Owner::Discovery(at)).is_err() {
            self.calls.remove(at);
            cx.roster.call_ended(cx.now, id, Ending::NoConnection);
        }
    }

    /// Ends a call that is not wanted any more.
    pub fn drop_call(&mut self, id: roster::Call, cx: &mut Context) {
        if let Some(at) = self.calls.iter().find(|(_, call)| call.id == id).map(|(at, _)| at) {
            deregister(&mut self.calls.remove(at).link, cx.event_loop);
        }
    }

    /// The poll has something for a call.
    pub fn on_ready(&mut self, at: usize, cx: &mut Context) {
        let Some(call) = self.calls.get_mut(at) else { return };
        match drive(call, cx) {
            Flow::Keep => {}
            Flow::Again => cx.event_loop.call_again(Owner::Discovery(at)),
            Flow::Close => {
                let mut call = self.calls.remove(at);
                deregister(&mut call.link, cx.event_loop);
                cx.roster.call_ended(cx.now, call.id, call.ending);
            }
        }
    }

    /// The roster's alarm has come due.
    pub fn on_alarm(&mut self, cx: &mut Context) {
        if cx.now >= self.armed {
            self.armed = f64::INFINITY;
        }
        cx.roster.handle_timeout(cx.now);
    }

    /// Keeps an alarm set for whatever the roster waits for.
    pub fn arm(&mut self, cx: &mut Context) {
        let next = cx.roster.next_timeout();
        if next < self.armed {
            self.armed = next;
            cx.event_loop.set_alarm(next, Alarm::Roster);
        }
    }
}

/// Takes a socket off the poll before it is closed.
pub fn deregister(link: &mut BufferedStream, event_loop: &EventLoop) {
    // A socket that the poll does not know any more is closed all the same.
    let _ = event_loop.registry().deregister(&mut link.socket);
}
