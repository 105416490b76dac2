//! The event loop's parts: the poll, the clock and the timers; in a module of their own, the connections that it drives.

mod connection;
#[cfg(test)]
mod tests;

pub use self::connection::{Connection, Flow, drive, flush_output};

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
    /// Unix time at `origin`.
    unix_origin: Millis,
}

impl Clock {
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), unix_origin: unix.as_secs_f64() * 1_000.0 }
    }

    pub fn now(&self) -> Millis {
        self.unix_origin + self.origin.elapsed().as_secs_f64() * 1_000.0
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

/// An alarm in the queue. The earliest one comes first, and of those due at one time the one that was set first: the
/// order of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledAlarm {
    due_at_micros: u64,
    serial: u64,
    alarm: Alarm,
}

/// The poll, the clock and the timers.
pub struct EventLoop {
    poll: Poll,
    /// Owners with more to read than one turn allows: the poll is edge-triggered and does not report them again.
    again: Vec<Owner>,
    clock: Clock,
    alarms: BinaryHeap<Reverse<ScheduledAlarm>>,
    last_serial: u64,
}

impl EventLoop {
    pub fn new() -> io::Result<Self> {
        Ok(EventLoop {
            poll: Poll::new()?,
            again: Vec::new(),
            clock: Clock::new(),
            alarms: BinaryHeap::new(),
            last_serial: 0,
        })
    }

    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// A number that was not given out before.
    pub fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
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
        let due_at_micros = (at * 1_000.0).ceil().max(0.0) as u64;
        let serial = self.next_serial();
        self.alarms.push(Reverse(ScheduledAlarm { due_at_micros, serial, alarm }));
    }

    /// Removes the next alarm that was due when the poll last returned, at `polled_at`. So an event that came in time is
    /// handled before its timeout, however long a turn takes, and alarms that come due meanwhile wait for the next turn:
    /// they never starve the poll.
    pub fn pop_due_alarm(&mut self, polled_at: Millis) -> Option<Alarm> {
        let &Reverse(next) = self.alarms.peek()?;
        if next.due_at_micros as f64 > polled_at * 1_000.0 {
            return None;
        }
        self.alarms.pop();
        Some(next.alarm)
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

    /// The time until the earliest alarm; `None`: none is set.
    fn time_to_next_alarm(&self) -> Option<Duration> {
        let &Reverse(next) = self.alarms.peek()?;
        let left = next.due_at_micros as f64 / 1_000.0 - self.now();
        Some(Duration::from_secs_f64(left.max(0.0) / 1_000.0))
    }

    /// Waits for events, until the next alarm at most.
    pub fn wait(&mut self, events: &mut Events) -> io::Result<()> {
        let timeout = if self.again.is_empty() { self.time_to_next_alarm() } else { Some(Duration::ZERO) };
        let poll = &mut self.poll;
        poll_to_the_end(timeout, |timeout| {
            poll.poll(events, timeout)?;
            Ok(if events.is_empty() { Polled::Nothing } else { Polled::Events })
        })
    }
}

/// What a poll has reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Polled {
    Events,
    Nothing,
}

/// Polls until the timeout, so that whatever has come before it returns is reported: the alarms that are due are handled
/// next.
///
/// A signal, or SIGCONT after a stop, interrupts a poll, which then reports nothing. A stop at the very moment of the
/// timeout does not interrupt it, but it returns long after.
fn poll_to_the_end(
    timeout: Option<Duration>,
    mut poll: impl FnMut(Option<Duration>) -> io::Result<Polled>,
) -> io::Result<()> {
    let began_at = Instant::now();
    let mut polled = poll(timeout);
    let was_suspended = timeout.is_some_and(|timeout| began_at.elapsed() > timeout + MAX_POLL_OVERRUN);
    if was_suspended && matches!(polled, Ok(Polled::Nothing)) {
        polled = poll(Some(Duration::ZERO));
    }
    while matches!(&polled, Err(error) if error.kind() == io::ErrorKind::Interrupted) {
        polled = poll(Some(Duration::ZERO));
    }
    polled.map(drop)
}
