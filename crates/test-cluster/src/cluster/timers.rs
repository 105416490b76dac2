//! Timers of the event loop.

use crate::{ConnectionId, Millis};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An action of the event loop that is due at a certain time.
#[derive(Clone, Debug, PartialEq)]
pub enum Timer {
    /// Deliver the packets that have arrived on a connection.
    Arrival(ConnectionId),
    /// Deliver a datagram.
    Datagram {
        /// The sending scheduler.
        from: usize,
        /// The receiving scheduler.
        to: usize,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// Complete the workers' executions that are due.
    WorkerProgress,
    /// Answer the next queued request to discovery, while discovery is overloaded.
    DiscoveryResponse,
    /// Publish the changes to the endpoint list that are due.
    EndpointChange,
    /// Send a keep-alive line on each watch.
    WatchKeepAlive,
    /// Create the next job.
    NextJob,
    /// Send a client's request for a job.
    Request {
        /// Index of the job.
        job: usize,
    },
    /// Abort a client's request if it is still without a response.
    RequestTimeout {
        /// Index of the job.
        job: usize,
        /// Id of the request.
        request: String,
    },
    /// Abort a client's connection if it is still not established.
    ConnectTimeout(ConnectionId),
    /// Start a health check of each scheduler.
    HealthChecks,
    /// Abort a health check that is still without a response.
    HealthCheckTimeout(ConnectionId),
    /// Begin the scenario's fault with this index.
    FaultBegins(usize),
    /// End the scenario's fault with this index.
    FaultEnds(usize),
    /// Fail the run if the cluster is still not ready.
    StartTimeout,
}

/// A timer with its due time. Timers that are due at the same time fire in the order in which they were
/// scheduled.
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

/// The pending timers. Their times are cluster times, in milliseconds since the creation of the cluster, as
/// given by [`Clock::now`](super::runtime::Clock::now), and not times since the start of traffic.
#[derive(Default)]
pub struct TimerQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Adds a timer that is due at cluster time `at`; a time below 0 counts as 0.
    pub fn schedule(&mut self, at: Millis, timer: Timer) {
        self.last_sequence += 1;
        let due_us = (at.max(0.0) * 1_000.0).ceil() as u64;
        self.heap.push(Reverse(Scheduled { due_us, sequence: self.last_sequence, timer }));
    }

    /// Cluster time at which the next timer is due; `None` without timers.
    pub fn next_due(&self) -> Option<Millis> {
        self.heap.peek().map(|next| next.0.due())
    }

    /// Removes and returns the next timer if it is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<Timer> {
        self.next_due().filter(|&due| due <= now)?;
        self.heap.pop().map(|next| next.0.timer)
    }
}
