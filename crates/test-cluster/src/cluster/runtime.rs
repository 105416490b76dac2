//! State shared by all modules of the cluster: clock, random numbers, timers, poll registrations, and the
//! history.

use super::sources::Sources;
use super::timers::{Timer, TimerQueue};
use crate::history::HistoryEvent;
use crate::{Error, Millis};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Instant;

/// Subtracted from the clock to give times before the start of traffic: such a time is far below zero.
const PRE_TRAFFIC_OFFSET: Millis = 1e15;

/// The cluster's monotonic clock. It has two scales, both in milliseconds: cluster time counts from the
/// creation of the cluster and is used for timers, the network, discovery and health checks; traffic time
/// counts from the start of traffic and is used for the history, jobs, workers and faults.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    created_at: Instant,
    traffic_start: Option<Millis>,
}

impl Clock {
    fn new() -> Clock {
        Clock { created_at: Instant::now(), traffic_start: None }
    }

    /// Cluster time: time since the cluster was created.
    pub fn now(&self) -> Millis {
        self.created_at.elapsed().as_secs_f64() * 1_000.0
    }

    /// Sets the zero of traffic time to now.
    pub fn start_traffic(&mut self) {
        self.traffic_start = Some(self.now());
    }

    /// Whether [`start_traffic`](Self::start_traffic) has been called.
    pub fn has_traffic(&self) -> bool {
        self.traffic_start.is_some()
    }

    /// Traffic time: time since the start of traffic; far below zero before that.
    pub fn since_traffic_start(&self) -> Millis {
        self.now() - self.traffic_start.unwrap_or(PRE_TRAFFIC_OFFSET)
    }

    /// Converts traffic time to cluster time.
    pub fn cluster_time_of(&self, at: Millis) -> Millis {
        self.traffic_start.unwrap_or(0.0) + at
    }
}

/// State shared by all modules of the cluster.
pub struct Runtime {
    pub clock: Clock,
    /// Seeded by the scenario.
    pub rng: ChaCha8Rng,
    /// Due at cluster times.
    pub timers: TimerQueue,
    /// Registrations with the poll.
    pub sources: Sources,
    /// Observed events, in order.
    pub history: Vec<HistoryEvent>,
    /// Ends the run; see [`fail`](Self::fail).
    failure: Option<Error>,
}

impl Runtime {
    /// Creates the shared state with a random number generator seeded by `seed`.
    pub fn new(seed: u64, sources: Sources) -> Runtime {
        Runtime {
            clock: Clock::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            timers: TimerQueue::default(),
            sources,
            history: Vec::new(),
            failure: None,
        }
    }

    /// Appends an event to the history.
    pub fn record(&mut self, event: HistoryEvent) {
        self.history.push(event);
    }

    /// Schedules a timer that is due `delay` milliseconds from now.
    pub fn schedule_after(&mut self, delay: Millis, timer: Timer) {
        self.timers.schedule(self.clock.now() + delay, timer);
    }

    /// Makes the run end with an error after the current iteration of the event loop. Only the first error is
    /// kept.
    pub fn fail(&mut self, error: Error) {
        self.failure.get_or_insert(error);
    }

    /// Takes the error that ends the run, if there is one.
    pub fn take_failure(&mut self) -> Option<Error> {
        self.failure.take()
    }
}
