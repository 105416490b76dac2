//! The event loop: the poll, the clock and the alarms. The submodule `connection` drives the connections'
//! protocols.

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

/// A clock that starts at the Unix time of its creation and advances with the monotonic clock. It never runs
/// backwards, and can be compared with Unix times that other processes report, such as a worker's start.
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

/// The purpose of an alarm. Alarms can't be cancelled: the handler checks whether the alarm still applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Alarm {
    /// The engine's timer has expired.
    EngineTimer,
    /// The response deadline of an attempt has passed.
    ResponseDeadline(AttemptId),
    /// The write deadline of an attempt has passed: if its request is not fully written, it must not be sent.
    WriteDeadline(AttemptId),
    /// The connect timeout of the worker connection with this serial has passed.
    Connect(u64),
    /// The withheld last byte of a request may be written on the worker connection with this serial.
    LastByte(u64),
    /// The health check on the worker connection with this serial has timed out.
    HealthCheck(u64),
    /// The endpoint directory has a timeout, such as a late request or a message to retransmit.
    Discovery,
    /// Accepting clients is to be retried.
    Accept,
    /// Connections are to be checked for timeouts.
    Sweep,
    /// The counters are to be logged.
    Counters,
    /// The graceful shutdown starts to close connections, and unsent jobs are transferred to other
    /// schedulers.
    Shutdown,
    /// The graceful shutdown's deadline for responses has come: every pending job is failed.
    FailPendingJobs,
    /// Membership or leases have a timeout.
    Cluster,
    /// Zone routing has a timeout.
    ZoneRouting,
    /// Failover has a timeout, or a link to another scheduler is to be reopened.
    JobFailover,
}

/// The component that a poll token belongs to. The low two bits of a token are 1 to 3 for frontend, backend
/// and discovery connections, with the slot above them. The other owners share 0: above it, 0 to 4 are the
/// single sockets, odd numbers from 5 the admin clients and even numbers from 6 the peer links.
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
            Owner::AdminClient(slot) => (2 * slot + 5) << 2,
            Owner::PeerLink(slot) => (2 * slot + 6) << 2,
            Owner::Frontend(slot) => slot << 2 | 1,
            Owner::Backend(slot) => slot << 2 | 2,
            Owner::Discovery(slot) => slot << 2 | 3,
        })
    }

    pub fn of(token: Token) -> Self {
        let index = token.0 >> 2;
        match (token.0 & 3, index) {
            (1, _) => Owner::Frontend(index),
            (2, _) => Owner::Backend(index),
            (3, _) => Owner::Discovery(index),
            (_, 0) => Owner::Listener,
            (_, 1) => Owner::Signal,
            (_, 2) => Owner::Peer,
            (_, 3) => Owner::AdminListener,
            (_, 4) => Owner::PeerLinkListener,
            _ if index % 2 == 1 => Owner::AdminClient((index - 5) / 2),
            _ => Owner::PeerLink((index - 6) / 2),
        }
    }
}

/// A poll that returns later than this after its timeout is assumed to have been suspended. The system rounds
/// timeouts up to a millisecond.
const MAX_POLL_OVERRUN: Duration = Duration::from_millis(2);

/// An alarm in the queue. The derived order follows the fields: the earliest alarm first, and of several due
/// at the same time the one that was set first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledAlarm {
    due_at_micros: u64,
    serial: u64,
    alarm: Alarm,
}

/// The poll, the clock and the alarm queue.
pub struct EventLoop {
    poll: Poll,
    /// Owners with more to read than one iteration allows. The poll is edge-triggered and does not report
    /// them again.
    requeued: Vec<Owner>,
    clock: Clock,
    alarms: BinaryHeap<Reverse<ScheduledAlarm>>,
    last_serial: u64,
}

impl EventLoop {
    pub fn new() -> io::Result<Self> {
        Ok(EventLoop {
            poll: Poll::new()?,
            requeued: Vec::new(),
            clock: Clock::new(),
            alarms: BinaryHeap::new(),
            last_serial: 0,
        })
    }

    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns a number that is unique within this event loop.
    pub fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    /// Registers a source with the poll for reading and writing.
    pub fn register(&self, source: &mut impl Source, owner: Owner) -> io::Result<()> {
        self.poll.registry().register(source, owner.token(), Interest::READABLE | Interest::WRITABLE)
    }

    /// Registers a source with the poll for reading only.
    pub fn register_readable(&self, source: &mut impl Source, owner: Owner) -> io::Result<()> {
        self.poll.registry().register(source, owner.token(), Interest::READABLE)
    }

    /// Removes a source from the poll before it is closed.
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

    /// Removes the next alarm that was due when the poll last returned, at `polled_at`. An event that came in
    /// time is thereby handled before its timeout, however long an iteration takes. Alarms that become due
    /// during the iteration wait for the next one, so they can't starve the poll.
    pub fn pop_due_alarm(&mut self, polled_at: Millis) -> Option<Alarm> {
        let &Reverse(next) = self.alarms.peek()?;
        if next.due_at_micros as f64 > polled_at * 1_000.0 {
            return None;
        }
        self.alarms.pop();
        Some(next.alarm)
    }

    /// Schedules a call of this owner in the next iteration, whether or not the poll reports it. If the owner
    /// is closed before then and its token is reused, the new owner gets one spurious call.
    pub fn requeue(&mut self, owner: Owner) {
        self.requeued.push(owner);
    }

    /// Removes and returns the owners to be called in this iteration in addition to those that the poll
    /// reports.
    pub fn take_requeued(&mut self) -> Vec<Owner> {
        std::mem::take(&mut self.requeued)
    }

    /// The time until the earliest alarm; `None` if none is set.
    fn time_to_next_alarm(&self) -> Option<Duration> {
        let &Reverse(next) = self.alarms.peek()?;
        let left = next.due_at_micros as f64 / 1_000.0 - self.now();
        Some(Duration::from_secs_f64(left.max(0.0) / 1_000.0))
    }

    /// Waits for events, until the next alarm at most.
    pub fn wait(&mut self, events: &mut Events) -> io::Result<()> {
        let timeout = if self.requeued.is_empty() { self.time_to_next_alarm() } else { Some(Duration::ZERO) };
        let poll = &mut self.poll;
        poll_until_timeout(timeout, |timeout| {
            poll.poll(events, timeout)?;
            Ok(if events.is_empty() { Polled::Nothing } else { Polled::Events })
        })
    }
}

/// Whether a poll reported events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Polled {
    Events,
    Nothing,
}

/// Polls until the timeout. Every event that arrives before this function returns is reported, because due
/// alarms are handled right after it.
///
/// A signal, or SIGCONT after a stop, interrupts a poll, which then reports no events. A stop at the moment
/// of the timeout does not interrupt it, but makes it return long after the timeout.
fn poll_until_timeout(
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
