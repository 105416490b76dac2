//! Timers of the event loop.

use crate::{ConnectionId, Millis};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is to be done at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Timer {
    /// Something arrives on a connection.
    Arrival(ConnectionId),
    /// A datagram arrives.
    Datagram {
        /// The sending scheduler.
        from: usize,
        /// The receiving one.
        to: usize,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// A worker ends an execution.
    WorkerProgress,
    /// Overloaded discovery answers its next request.
    DiscoveryRequest,
    /// Discovery announces a change.
    EndpointChange,
    /// Watches get an empty line.
    WatchKeepAlive,
    /// A client creates a job.
    NextJob,
    /// A client sends a request for a job.
    Request {
        /// The job.
        job: usize,
    },
    /// A client stops waiting for a request.
    RequestTimeout {
        /// Its job.
        job: usize,
        /// Its id.
        request: String,
    },
    /// A client's connection must be up.
    ConnectTimeout(ConnectionId),
    /// The front proxy checks the schedulers.
    HealthChecks,
    /// A health check must be answered.
    HealthCheckTimeout(ConnectionId),
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds(usize),
    /// All schedulers must serve.
    StartTimeout,
}

/// A timer and its time; timers of one time keep the order in which they were scheduled.
struct Scheduled {
    due_us: u64,
    sequence: u64,
    timer: Timer,
}

impl Scheduled {
    fn due(&self) -> Millis {
        self.due_us as f64 / 1_000.0
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.due_us, self.sequence) == (other.due_us, other.sequence)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due_us, self.sequence).cmp(&(other.due_us, other.sequence))
    }
}

/// All timers, by their time on the cluster's clock.
#[derive(Default)]
pub struct TimerQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Adds a timer.
    pub fn schedule(&mut self, at: Millis, timer: Timer) {
        self.last_sequence += 1;
        let due_us = (at.max(0.0) * 1_000.0).ceil() as u64;
        self.heap.push(Reverse(Scheduled { due_us, sequence: self.last_sequence, timer }));
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.heap.peek().map(|next| next.0.due())
    }

    /// Takes the next timer, if it is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<Timer> {
        self.next_due().filter(|&due| due <= now)?;
        self.heap.pop().map(|next| next.0.timer)
    }
}
