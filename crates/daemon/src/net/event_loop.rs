//! The event loop's parts: the poll, the one clock, the timers, and what a connection is.

use super::buffered_stream::{BufferedStream, StreamState};

use mio::{Events, Interest, Poll, Registry, Token, event::Source};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use brackenledge_engine::DispatchId;

pub use brackenledge_policy::Millis;

/// The one clock: Unix time when the program started, and from then on the monotonic clock. So it never runs
/// backwards, and a Unix time told by others (a worker's start) is a point on it as it stands.
pub struct Clock {
    origin: Instant,
    unix: Millis,
}

impl Clock {
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), unix: unix.as_secs_f64() * 1_000.0 }
    }

    pub fn now(&self) -> Millis {
        self.unix + self.origin.elapsed().as_secs_f64() * 1_000.0
    }
}

/// What a timer is for. None can be taken back: whoever gets one checks that it still means something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Alarm {
    /// The decision module asked to be woken.
    Wake,
    /// A dispatch has waited as long as it may.
    Dispatch(DispatchId),
    /// A dispatch whose last byte has not left by now must not leave any more.
    Leave(DispatchId),
    /// A connection to a backend server has had the time that it may take to come up.
    Connect(u64),
    /// The last byte of a request may be written.
    Held(u64),
    /// A probe has waited as long as it may.
    Probe(u64),
    /// The endpoint directory waits for something that is due: a late request, a message to be sent again.
    Discovery,
    /// Accepting may work again.
    Accept,
    /// A look at idle connections.
    Sweep,
    /// A line for the log on what was done.
    Report,
    /// A step of stopping is due.
    Shutdown,
    /// The program is about to end: whatever is owed an answer gets it now.
    AnswerAll,
    /// Membership or ownership has something due.
    Cluster,
    /// The plan for zones is looked at.
    ZoneRouting,
    /// Handover has something due, or a link to another scheduler is to be tried again.
    JobFailover,
}

/// Which part of the program owns a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    Listener,
    Signal,
    Peer,
    ControlListener,
    Control(usize),
    PeerLinkListener,
    PeerLink(usize),
    Frontend(usize),
    Backend(usize),
    Discovery(usize),
}

impl Owner {
    pub fn token(self) -> Token {
        Token(match self {
            Owner::Listener => 0,
            Owner::Signal => 4,
            Owner::Peer => 8,
            Owner::ControlListener => 12,
            Owner::PeerLinkListener => 16,
            Owner::Control(at) => (2 * at + 5) << 2,
            Owner::PeerLink(at) => (2 * at + 6) << 2,
            Owner::Frontend(at) => at << 2 | 1,
            Owner::Backend(at) => at << 2 | 2,
            Owner::Discovery(at) => at << 2 | 3,
        })
    }

    pub fn of(token: Token) -> Self {
        let at = token.0 >> 2;
        match (token.0 & 3, at) {
            (1, _) => Owner::Frontend(at),
            (2, _) => Owner::Backend(at),
            (3, _) => Owner::Discovery(at),
            (_, 0) => Owner::Listener,
            (_, 1) => Owner::Signal,
            (_, 2) => Owner::Peer,
            (_, 3) => Owner::ControlListener,
            (_, 4) => Owner::PeerLinkListener,
            _ if at % 2 == 1 => Owner::Control((at - 5) / 2),
            _ => Owner::PeerLink((at - 6) / 2),
        }
    }
}

/// Bytes that one connection may bring in one turn. Whoever sends as fast as it is read would keep the program from
/// all others, and from its timers.
const TURN_MOST: usize = 64 * 1024;

/// The poll, the clock and the timers.
pub struct EventLoop {
    poll: Poll,
    /// Those who had more to read than one turn allows, of which the poll won't tell again.
    again: Vec<Owner>,
    clock: Clock,
    alarms: BinaryHeap<Reverse<(u64, u64, Alarm)>>,
    serial: u64,
}

impl EventLoop {
    pub fn new() -> io::Result<Self> {
        Ok(EventLoop {
            poll: Poll::new()?,
            again: Vec::new(),
            clock: Clock::new(),
            alarms: BinaryHeap::new(),
            serial: 0,
        })
    }

    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    pub fn registry(&self) -> &Registry {
        self.poll.registry()
    }

    /// A number not given before.
    pub fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Lets the poll watch a source for everything.
    pub fn watch(&self, source: &mut impl Source, owner: Owner) -> io::Result<()> {
        self.registry().register(source, owner.token(), Interest::READABLE | Interest::WRITABLE)
    }

    /// Brings an alarm at a point in time.
    pub fn set_alarm(&mut self, at: Millis, alarm: Alarm) {
        let serial = self.next_serial();
        self.alarms.push(Reverse(((at * 1_000.0).ceil().max(0.0) as u64, serial, alarm)));
    }

    /// The next alarm that had come due by then, in the order of their times. `then` is when the poll last told what
    /// had happened: whatever came in time is seen before its time is up, however long a turn takes. Alarms that others
    /// set meanwhile wait for the next turn, so that none of them keeps the poll from its turn.
    pub fn due_alarm(&mut self, then: Millis) -> Option<Alarm> {
        let &Reverse((at, _, alarm)) = self.alarms.peek()?;
        (at as f64 <= then * 1_000.0).then(|| {
            self.alarms.pop();
            alarm
        })
    }

    /// Has this one called in the next turn, whatever the poll tells. It may have gone by then, and another may have
    /// its place, which is called once for nothing.
    pub fn call_again(&mut self, owner: Owner) {
        self.again.push(owner);
    }

    /// Those to be called in this turn besides the ones that the poll tells of.
    pub fn take_again(&mut self) -> Vec<Owner> {
        std::mem::take(&mut self.again)
    }

    /// Waits for events, until the next alarm at most.
    pub fn wait(&mut self, events: &mut Events) -> io::Result<()> {
        let until = self.alarms.peek().map(|&Reverse((at, _, _))| at as f64 / 1_000.0 - self.now());
        let until = if self.again.is_empty() { until } else { Some(0.0) };
        let timeout = until.map(|left| Duration::from_secs_f64(left.max(0.0) / 1_000.0));
        let mut told = self.poll.poll(events, timeout);
        // A signal, or the going on after a stop, cuts the wait short and tells nothing. What has come by now must be
        // told all the same: the alarms that are due are played next.
        while matches!(&told, Err(e) if e.kind() == io::ErrorKind::Interrupted) {
            told = self.poll.poll(events, Some(Duration::ZERO));
        }
        told
    }
}

/// What becomes of a connection after a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    Keep,
    /// Keep it, and drive it again in the next turn: more may wait to be read.
    Again,
    Close,
}

/// A connection: an object that is called back. What it hands on goes through `C`.
pub trait Connection<C> {
    /// Its socket with its buffers.
    fn stream(&mut self) -> &mut BufferedStream;
    /// Whether it waits to be connected.
    fn connecting(&self) -> bool {
        false
    }
    /// It is connected.
    fn on_open(&mut self, _context: &mut C) -> Flow {
        Flow::Keep
    }
    /// All output has been handed to the system.
    fn on_written(&mut self, _context: &mut C) -> Flow {
        Flow::Keep
    }
    /// Input came.
    fn on_input(&mut self, context: &mut C) -> Flow;
    /// The other side ended its sending, or the connection broke. Input that came before was shown.
    fn on_end(&mut self, context: &mut C);
    /// Input that it holds at most before it is asked.
    fn input_most(&self) -> usize;
}

/// Calls a connection back for all that has happened to it.
pub fn drive<C>(connection: &mut dyn Connection<C>, context: &mut C) -> Flow {
    if connection.connecting() {
        let socket = &connection.stream().socket;
        if socket.take_error().ok().flatten().is_some() {
            connection.on_end(context);
            return Flow::Close;
        }
        if socket.peer_addr().is_err() {
            return Flow::Keep;
        }
        if connection.on_open(context) == Flow::Close {
            return Flow::Close;
        }
    }
    // A write that fails does not mean that nothing came: an answer may wait to be read.
    let broken = connection.stream().flush().is_err();
    let mut taken = 0;
    loop {
        let before = connection.stream().buffer.input().len();
        let most = connection.input_most().min(before + TURN_MOST - taken);
        let state = connection.stream().fill(most);
        let held = connection.stream().buffer.input().len();
        if held > before && connection.on_input(context) == Flow::Close {
            return Flow::Close;
        }
        let drained = held < most;
        let mut full = connection.stream().buffer.input().len() >= connection.input_most();
        if state != StreamState::Open || broken && (drained || full) {
            connection.on_end(context);
            return Flow::Close;
        }
        if !broken {
            if push_out(connection, context) == Flow::Close {
                return Flow::Close;
            }
            full = connection.stream().buffer.input().len() >= connection.input_most();
        }
        // Where it was not drained, the poll won't tell of what is left: go on if room was made, by reading or writing.
        if drained || full {
            return Flow::Keep;
        }
        taken += held.saturating_sub(before);
        if taken >= TURN_MOST {
            return Flow::Again;
        }
    }
}

/// Writes what a connection has to write, and tells it when all is out; it may have more to write then.
pub fn push_out<C>(connection: &mut dyn Connection<C>, context: &mut C) -> Flow {
    loop {
        match connection.stream().flush() {
            Ok(true) if connection.on_written(context) == Flow::Close => return Flow::Close,
            Ok(true) if !connection.stream().buffer.output().is_empty() => {}
            Ok(_) => return Flow::Keep,
            Err(_) => {
                connection.on_end(context);
                return Flow::Close;
            }
        }
    }
}
