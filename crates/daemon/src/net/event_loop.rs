//! The event loop's parts: the poll, the clock, the timers, and the trait of all connections.

#[cfg(test)]
mod tests;

use super::buffered_stream::{BufferedStream, StreamState};

use mio::{Events, Interest, Poll, Token, event::Source};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use brackenledge_engine::AttemptId;

pub use brackenledge_policy::Millis;

/// The clock: Unix time when the program started, and from then on the monotonic clock. So it never runs backwards,
/// and a Unix time that others report (a worker's start) is a point on it.
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

/// What a timer is for. None can be cancelled: its handler checks that it still applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Alarm {
    /// The engine's timer has expired.
    EngineTimer,
    /// An attempt has waited for its response as long as it may.
    ResponseDeadline(AttemptId),
    /// An attempt whose request is not wholly written by now must not be sent any more.
    WriteDeadline(AttemptId),
    /// A connection to a worker should be open by now.
    Connect(u64),
    /// The last byte of a request, which was withheld, may be written.
    LastByte(u64),
    /// A health check has waited for its response as long as it may.
    HealthCheck(u64),
    /// The endpoint directory has a timeout: a late request, a message to be sent again.
    Discovery,
    /// Accepting may work again.
    Accept,
    /// Idle connections are swept.
    Sweep,
    /// The counters are to be logged.
    Counters,
    /// A step of the graceful shutdown is due.
    Shutdown,
    /// The process is about to end: every pending job is answered now.
    AnswerAll,
    /// Membership or leases have a timeout.
    Cluster,
    /// Zone routing has a timeout.
    ZoneRouting,
    /// Failover has a timeout, or a link to another scheduler is to be opened again.
    JobFailover,
}

/// Which part of the program owns a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    Listener,
    Signal,
    Peer,
    AdminListener,
    AdminClient(usize),
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
            Owner::AdminListener => 12,
            Owner::PeerLinkListener => 16,
            Owner::AdminClient(at) => (2 * at + 5) << 2,
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
            (_, 3) => Owner::AdminListener,
            (_, 4) => Owner::PeerLinkListener,
            _ if at % 2 == 1 => Owner::AdminClient((at - 5) / 2),
            _ => Owner::PeerLink((at - 6) / 2),
        }
    }
}

/// A poll that ends so long after its timeout was suspended on its way; the system rounds timeouts up to a millisecond.
const MAX_POLL_OVERRUN: Duration = Duration::from_millis(2);
/// Bytes read from one connection in one turn of the loop. A peer that sends as fast as it is read would otherwise
/// starve all other connections and the timers.
const MAX_BYTES_PER_TURN: usize = 64 * 1024;

/// The poll, the clock and the timers.
pub struct EventLoop {
    poll: Poll,
    /// Owners with more to read than one turn allows: the poll is edge-triggered and does not report them again.
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

    /// A number not given before.
    pub fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Registers a source with the poll for reading and writing.
    pub fn register(&self, source: &mut impl Source, owner: Owner) -> io::Result<()> {
        self.poll.registry().register(source, owner.token(), Interest::READABLE | Interest::WRITABLE)
    }

    /// Registers a source that is only read with the poll.
    pub fn register_readable(&self, source: &mut impl Source, owner: Owner) -> io::Result<()> {
        self.poll.registry().register(source, owner.token(), Interest::READABLE)
    }

    /// Takes a source off the poll before it is closed.
    pub fn deregister(&self, source: &mut impl Source) {
        // It fails only for a source that is not registered.
        let _ = self.poll.registry().deregister(source);
    }

    /// Sets an alarm at a point in time.
    pub fn set_alarm(&mut self, at: Millis, alarm: Alarm) {
        let serial = self.next_serial();
        self.alarms.push(Reverse(((at * 1_000.0).ceil().max(0.0) as u64, serial, alarm)));
    }

    /// The next alarm that was due at `then`, in the order of their times. `then` is when the poll last returned: an
    /// event that came in time is handled before its timeout, however long a turn takes. Alarms that are set and come
    /// due meanwhile wait for the next turn, so that they never starve the poll.
    pub fn due_alarm(&mut self, then: Millis) -> Option<Alarm> {
        let &Reverse((at, _, alarm)) = self.alarms.peek()?;
        (at as f64 <= then * 1_000.0).then(|| {
            self.alarms.pop();
            alarm
        })
    }

    /// Calls this owner in the next turn, whatever the poll reports. If it is closed by then, another may have its
    /// token, which is then called once without need.
    pub fn call_again(&mut self, owner: Owner) {
        self.again.push(owner);
    }

    /// The owners to be called in this turn besides those that the poll reports.
    pub fn take_again(&mut self) -> Vec<Owner> {
        std::mem::take(&mut self.again)
    }

    /// Waits for events, until the next alarm at most.
    pub fn wait(&mut self, events: &mut Events) -> io::Result<()> {
        let until = self.alarms.peek().map(|&Reverse((at, _, _))| at as f64 / 1_000.0 - self.now());
        let until = if self.again.is_empty() { until } else { Some(0.0) };
        let timeout = until.map(|left| Duration::from_secs_f64(left.max(0.0) / 1_000.0));
        let poll = &mut self.poll;
        poll_to_the_end(timeout, |timeout| {
            poll.poll(events, timeout)?;
            Ok(events.is_empty())
        })
    }
}

/// Polls until the timeout, so that whatever has come before it returns is reported: the alarms that are due are handled
/// next. `poll` returns whether it has reported nothing.
///
/// A signal, or SIGCONT after a stop, interrupts a poll, which then reports nothing. A stop at the very moment of the
/// timeout does not interrupt it, but it returns long after.
fn poll_to_the_end(
    timeout: Option<Duration>,
    mut poll: impl FnMut(Option<Duration>) -> io::Result<bool>,
) -> io::Result<()> {
    let began_at = Instant::now();
    let mut polled = poll(timeout);
    let was_suspended = timeout.is_some_and(|timeout| began_at.elapsed() > timeout + MAX_POLL_OVERRUN);
    if was_suspended && matches!(polled, Ok(true)) {
        polled = poll(Some(Duration::ZERO));
    }
    while matches!(&polled, Err(error) if error.kind() == io::ErrorKind::Interrupted) {
        polled = poll(Some(Duration::ZERO));
    }
    polled.map(drop)
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
    /// The number of bytes up to which input is buffered before `on_input` takes it.
    fn max_input(&self) -> usize;
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
    // A failed write does not mean that there is no input: an answer may wait to be read.
    let broken = connection.stream().flush().is_err();
    let mut taken = 0;
    loop {
        let before = connection.stream().buffer.input().len();
        let max_length = connection.max_input().min(before + MAX_BYTES_PER_TURN - taken);
        let state = connection.stream().fill(max_length);
        let held = connection.stream().buffer.input().len();
        if held > before && connection.on_input(context) == Flow::Close {
            return Flow::Close;
        }
        let drained = held < max_length;
        let mut full = connection.stream().buffer.input().len() >= connection.max_input();
        if state != StreamState::Open || broken && (drained || full) {
            connection.on_end(context);
            return Flow::Close;
        }
        if !broken {
            if push_out(connection, context) == Flow::Close {
                return Flow::Close;
            }
            full = connection.stream().buffer.input().len() >= connection.max_input();
        }
        // Where it was not drained, the poll does not report what is left: go on if reading or writing made room.
        if drained || full {
            return Flow::Keep;
        }
        taken += held.saturating_sub(before);
        if taken >= MAX_BYTES_PER_TURN {
            return Flow::Again;
        }
    }
}

/// Flushes a connection's output and notifies it when all is written; it may add output then.
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
