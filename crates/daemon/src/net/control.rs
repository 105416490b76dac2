//! The operators' door: a listener of its own, one line a connection, one reply.
//!
//! Callers are connections like the clients', on the same event loop, so an answer never waits for another
//! caller. A caller that sends nothing whole is held until its time is up or until a newer one needs its room,
//! whichever comes first; no caller can make the door hold more than its cap of connections of
//! [`control::LINE_MOST`] bytes each. What the calls mean is read in `protocol::control`; the drain's states are
//! the engine's.

use super::Context;
use super::buffered_stream::BufferedStream;
use super::discovery::deregister;
use super::event_loop::{Connection, Flow, Millis, Owner, drive};
use brackenledge_discovery::Availability;
use brackenledge_engine::stats::{Gauges, lines};
use brackenledge_protocol::control::{self, Call, Read, Refusal};
use mio::net::TcpListener;
use slab::Slab;
use std::io::ErrorKind;

// Callers held at once and the time for a line are the operators' (protocol::operations): operators make one
// call at a time, so a flood beyond the cap pushes out its own oldest; the time is longer than the 4 s that
// slow callers are known to take, so that they are answered, and short enough that a flood gives its room back.
/// A caller that does not read its reply is closed this long after it was written.
const LINGER: Millis = 1_000.0;

/// One caller's connection.
struct Caller {
    link: BufferedStream,
    since: Millis,
    /// Its place in the order of arrival: callers taken in one turn share their time.
    serial: u64,
    /// The reply is written: nothing more is read.
    replied: bool,
    classes: std::rc::Rc<[String]>,
}

impl Caller {
    fn reply(&mut self, text: &str) {
        self.link.buffer.push(text.as_bytes());
        self.replied = true;
    }

    fn take(&mut self, call: Call, cx: &mut Context) -> String {
        match call {
            // Yes once discovery has spoken or a list from before names a server that takes work.
            Call::Ping if cx.endpoints.can_serve() => "done yes\n".into(),
            Call::Ping => "done no\n".into(),
            Call::Info => {
                let Availability { listed, ready } = cx.endpoints.availability();
                let gauges = Gauges {
                    open_requests: cx.core.owed(),
                    registry_entries: listed,
                    out_of_rotation: listed - ready,
                };
                let mut text = String::from("done\n");
                for line in lines(cx.core.figures(), &self.classes, &gauges) {
                    text.push_str(&line);
                    text.push('\n');
                }
                for line in
                    cx.job_failover.iter().flat_map(|job_failover| job_failover.figures(&self.classes))
                {
                    text.push_str(&line);
                    text.push('\n');
                }
                text.push_str("end\n");
                text
            }
            Call::Members => cx.cluster.as_ref().map_or_else(off, |cluster| whole(cluster.members_lines())),
            Call::Duties => cx.cluster.as_ref().map_or_else(off, |cluster| whole(cluster.duties_lines())),
            Call::Zones => match &mut *cx.zones {
                Some(zones) => whole(zones.status_lines(cx.now)),
                None => "error zones are off: set zones.on in the operators' file\n".into(),
            },
            Call::LameDuck => format!("done {}\n", cx.drain.lame_duck(cx.now).reply_text()),
            Call::Rejoin => format!("done {}\n", cx.drain.rejoin().reply_text()),
        }
    }
}

/// The reply to a question on the tier where there is none.
fn off() -> String {
    "error the tier is off: set tier.on in the operators' file\n".into()
}

/// Lines between `done` and `end`.
fn whole(lines: Vec<String>) -> String {
    let lines: String = lines.into_iter().map(|line| line + "\n").collect();
    format!("done\n{lines}end\n")
}

impl Connection<Context<'_>> for Caller {
    fn stream(&mut self) -> &mut BufferedStream {
        &mut self.link
    }

    fn on_written(&mut self, _cx: &mut Context) -> Flow {
        if self.replied { Flow::Close } else { Flow::Keep }
    }

    fn on_input(&mut self, cx: &mut Context) -> Flow {
        let input = self.link.buffer.input();
        let read =
            if self.replied { Read::Refused(Refusal::SecondLine) } else { control::read(input, false) };
        let used = input.len();
        match read {
            Read::Partial => return Flow::Keep,
            Read::Call(call) => {
                let reply = self.take(call, cx);
                self.reply(&reply);
            }
            // A second line after the reply has nobody to read its error: the reply stands.
            Read::Refused(_) if self.replied => {}
            Read::Refused(why) => self.reply(&control::refusal(why)),
        }
        self.link.buffer.consume(used);
        Flow::Keep
    }

    /// A caller that ends its sending ends its line: it is answered, as far as the socket takes the reply now,
    /// since the connection closes after this.
    fn on_end(&mut self, cx: &mut Context) {
        let input = self.link.buffer.input();
        if self.replied || input.is_empty() {
            return;
        }
        let reply = match control::read(input, true) {
            Read::Call(call) => self.take(call, cx),
            Read::Refused(why) => control::refusal(why),
            Read::Partial => return,
        };
        let used = self.link.buffer.input().len();
        self.link.buffer.consume(used);
        self.reply(&reply);
        let _ = self.link.flush();
    }

    fn input_most(&self) -> usize {
        control::LINE_MOST + 1
    }
}

/// The door's listener and its callers.
pub struct Control {
    listener: TcpListener,
    callers: Slab<Caller>,
    classes: std::rc::Rc<[String]>,
    taken: u64,
    callers_most: usize,
    line_time: Millis,
}

impl Control {
    /// A door on a listener that is bound already.
    pub fn new(listener: TcpListener, classes: Vec<String>, callers_most: usize, line_time: Millis) -> Self {
        Control { listener, callers: Slab::new(), classes: classes.into(), taken: 0, callers_most, line_time }
    }

    /// The listener, for the poll.
    pub fn listener(&mut self) -> &mut TcpListener {
        &mut self.listener
    }

    /// Takes the callers that wait. Where all room is taken, the caller held longest gives way.
    pub fn accept(&mut self, cx: &mut Context) {
        loop {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {
                    continue;
                }
                // Out of descriptors: the poll tells again while callers wait, and a sweep makes room.
                Err(_) => {
                    self.push_out_oldest(cx);
                    return;
                }
            };
            if self.callers.len() >= self.callers_most {
                self.push_out_oldest(cx);
            }
            self.taken += 1;
            let entry = self.callers.vacant_entry();
            let at = entry.key();
            let caller = entry.insert(Caller {
                link: BufferedStream::new(stream),
                since: cx.now,
                serial: self.taken,
                replied: false,
                classes: std::rc::Rc::clone(&self.classes),
            });
            if cx.event_loop.watch(&mut caller.link.socket, Owner::Control(at)).is_err() {
                self.callers.remove(at);
                continue;
            }
            // What came with the connection is answered in this turn.
            self.on_ready(at, cx);
        }
    }

    fn push_out_oldest(&mut self, cx: &mut Context) {
        let oldest = self.callers.iter().min_by_key(|(_, caller)| caller.serial).map(|(at, _)| at);
        if let Some(at) = oldest {
            self.remove(at, cx);
        }
    }

    /// The poll has something for a caller.
    pub fn on_ready(&mut self, at: usize, cx: &mut Context) {
        let Some(caller) = self.callers.get_mut(at) else { return };
        match drive(caller, cx) {
            Flow::Keep => {}
            Flow::Again => cx.event_loop.call_again(Owner::Control(at)),
            Flow::Close => self.remove(at, cx),
        }
    }

    /// Ends callers whose time is up: those without a whole line, and those that leave their reply unread.
    pub fn sweep(&mut self, cx: &mut Context) {
        let (now, line_time) = (cx.now, self.line_time);
        let late: Vec<usize> = (self.callers.iter())
            .filter(|(_, c)| now >= c.since + if c.replied { line_time + LINGER } else { line_time })
            .map(|(at, _)| at)
            .collect();
        for at in late {
            let caller = &mut self.callers[at];
            if !caller.replied {
                // Said, if the socket takes it; either way the connection ends.
                caller.reply(&control::refusal(Refusal::TooSlow));
                let _ = caller.link.flush();
            }
            self.remove(at, cx);
        }
    }

    fn remove(&mut self, at: usize, cx: &mut Context) {
        let mut caller = self.callers.remove(at);
        deregister(&mut caller.link, cx.event_loop);
    }
}
