//! What all parts of the cluster share: clock, random numbers, timers, poll sources, and the history.

use super::sources::Sources;
use super::timers::{Timer, TimerQueue};
use crate::history::HistoryEvent;
use crate::{Error, Millis};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Instant;

/// Times before the start of traffic are this far in the past.
const BEFORE_TRAFFIC: Millis = 1e15;

/// The cluster's clock, and the time at which traffic began.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
    traffic_start: Option<Millis>,
}

impl Clock {
    fn new() -> Clock {
        Clock { began: Instant::now(), traffic_start: None }
    }

    /// Time since the cluster was made.
    pub fn now(&self) -> Millis {
        self.began.elapsed().as_secs_f64() * 1_000.0
    }

    /// Traffic begins now.
    pub fn start_traffic(&mut self) {
        self.traffic_start = Some(self.now());
    }

    /// Whether traffic has begun.
    pub fn has_traffic(&self) -> bool {
        self.traffic_start.is_some()
    }

    /// Time since traffic began; far below zero before that.
    pub fn since_start(&self) -> Millis {
        self.now() - self.traffic_start.unwrap_or(BEFORE_TRAFFIC)
    }

    /// The time on this clock of a time since traffic began.
    pub fn time_of(&self, at: Millis) -> Millis {
        self.traffic_start.unwrap_or(0.0) + at
    }
}

/// What all parts share.
pub struct Runtime {
    /// The clock.
    pub clock: Clock,
    /// Random numbers.
    pub rng: ChaCha8Rng,
    /// Timers.
    pub timers: TimerQueue,
    /// What the poll watches.
    pub sources: Sources,
    /// What was observed.
    pub history: Vec<HistoryEvent>,
    failure: Option<Error>,
}

impl Runtime {
    /// With random numbers from this seed.
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

    /// Adds to the history.
    pub fn record(&mut self, event: HistoryEvent) {
        self.history.push(event);
    }

    /// Adds a timer for this long from now.
    pub fn schedule_after(&mut self, delay: Millis, timer: Timer) {
        self.timers.schedule(self.clock.now() + delay, timer);
    }

    /// Ends the run with an error; the first one counts.
    pub fn fail(&mut self, error: Error) {
        self.failure.get_or_insert(error);
    }

    /// The error that ends the run.
    pub fn take_failure(&mut self) -> Option<Error> {
        self.failure.take()
    }
}
