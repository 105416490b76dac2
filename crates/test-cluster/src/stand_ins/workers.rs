//! Stand-in for workers, by the protocol's page: slots and a queue, a warm-up, drains, restarts, slowness and failures.
//! Attempts under an idempotency key that a zone's workers have executed are dropped by all of them for a while.

use crate::history::HistoryEvent;
use crate::scenario::{DEDUPLICATION_WINDOW, Scenario};
use crate::{ConnectionId, Millis};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::collections::{HashMap, VecDeque};

#[cfg(test)]
mod tests;

/// Time until a failing worker reports the failure.
const TIME_TO_FAILURE: Millis = 3.0;

/// An attempt as it reached a worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Where its response goes.
    pub connection: ConnectionId,
    /// `X-Trace-Id`.
    pub id: String,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Whether its class is deduplicated by that key.
    pub is_deduplicated: bool,
    /// Its run time on a warm worker.
    pub run_time: Millis,
}

/// A part of a worker's response.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A line of the response; the head goes before the first one.
    Line(Value),
    /// The last line.
    LastLine(Value),
    /// 503 with `X-Never-Ran`.
    Returned,
    /// A failure.
    Failed,
    /// The connection is reset.
    Reset,
}

/// What workers did since the last call.
#[derive(Debug, Default)]
pub struct Progress {
    /// Replies, each with its connection.
    pub replies: Vec<(ConnectionId, Reply)>,
    /// For the history.
    pub events: Vec<HistoryEvent>,
}

#[derive(Debug)]
struct Execution {
    attempt: Attempt,
    ends_at: Millis,
    fails: bool,
    /// A duplicate that waits for the first one's result; it holds no slot.
    is_duplicate: bool,
}

#[derive(Debug)]
struct Worker {
    executions: Vec<Execution>,
    queue: VecDeque<Attempt>,
    started_at: Option<Millis>,
    slowness: f64,
    failing: f64,
    is_draining: bool,
    is_dead: bool,
}

impl Worker {
    /// Warm and idle.
    fn new() -> Worker {
        Worker {
            executions: Vec::new(),
            queue: VecDeque::new(),
            started_at: None,
            slowness: 1.0,
            failing: 0.0,
            is_draining: false,
            is_dead: false,
        }
    }

    fn used_slots(&self) -> usize {
        self.executions.iter().filter(|execution| !execution.is_duplicate).count()
    }
}

/// The first execution under an idempotency key.
#[derive(Clone, Copy, Debug)]
struct FirstExecution {
    started_at: Millis,
    ends_at: Millis,
}

/// An idempotency key in its zone.
type ZoneKey = (usize, String);

/// All workers.
#[derive(Debug)]
pub struct WorkerPool {
    workers: Vec<Worker>,
    executed_keys: HashMap<ZoneKey, FirstExecution>,
    zones: usize,
    slots: usize,
    queue_length: usize,
    warm_up: Millis,
    initial_capacity: f64,
    progress: Progress,
}

impl WorkerPool {
    /// Warm, idle workers.
    pub fn new(scenario: &Scenario) -> WorkerPool {
        WorkerPool {
            workers: (0..scenario.workers).map(|_| Worker::new()).collect(),
            executed_keys: HashMap::new(),
            zones: scenario.zones.len(),
            slots: scenario.slots,
            queue_length: scenario.queue,
            warm_up: scenario.warm_up,
            initial_capacity: scenario.initial_capacity,
            progress: Progress::default(),
        }
    }

    /// What workers did since the last call.
    pub fn take_progress(&mut self) -> Progress {
        std::mem::take(&mut self.progress)
    }

    /// When something happens next by itself.
    pub fn next_timeout(&self) -> Option<Millis> {
        let executions = self.workers.iter().flat_map(|worker| &worker.executions);
        executions.map(|execution| execution.ends_at).min_by(f64::total_cmp)
    }

    /// Whether a worker is alive.
    pub fn is_alive(&self, worker: usize) -> bool {
        !self.workers[worker].is_dead
    }

    /// An attempt has arrived completely.
    pub fn handle_attempt(&mut self, now: Millis, number: usize, attempt: Attempt, rng: &mut ChaCha8Rng) {
        let worker = &mut self.workers[number];
        let has_slot = worker.used_slots() < self.slots;
        if worker.is_dead {
            self.progress.replies.push((attempt.connection, Reply::Reset));
        } else if worker.is_draining || (!has_slot && worker.queue.len() >= self.queue_length) {
            let request = attempt.id.clone();
            self.progress.events.push(HistoryEvent::AttemptReturned { at: now, request, worker: number });
            self.progress.replies.push((attempt.connection, Reply::Returned));
        } else {
            worker.queue.push_back(attempt);
            self.start_queued(now, number, rng);
        }
    }

    /// Starts attempts from the queue while there are slots.
    fn start_queued(&mut self, now: Millis, number: usize, rng: &mut ChaCha8Rng) {
        while self.workers[number].used_slots() < self.slots {
            let Some(attempt) = self.workers[number].queue.pop_front() else { return };
            let key = self.zone_key(number, &attempt);
            let first = key.as_ref().and_then(|key| self.executed_keys.get(key).copied());
            match first.filter(|first| now < first.started_at + DEDUPLICATION_WINDOW) {
                Some(first) => self.drop_duplicate(now, number, attempt, first),
                None => self.execute(now, number, attempt, key, rng),
            }
        }
    }

    /// The key by which an attempt is deduplicated, if it is.
    fn zone_key(&self, number: usize, attempt: &Attempt) -> Option<ZoneKey> {
        let key = attempt.idempotency_key.clone().filter(|_| attempt.is_deduplicated)?;
        Some((number % self.zones, key))
    }

    fn drop_duplicate(&mut self, now: Millis, number: usize, attempt: Attempt, first: FirstExecution) {
        let request = attempt.id.clone();
        self.progress.events.push(HistoryEvent::AttemptDeduplicated { at: now, request, worker: number });
        let ends_at = first.ends_at.max(now);
        let duplicate = Execution { attempt, ends_at, fails: false, is_duplicate: true };
        self.workers[number].executions.push(duplicate);
    }

    fn execute(
        &mut self,
        now: Millis,
        number: usize,
        attempt: Attempt,
        key: Option<ZoneKey>,
        rng: &mut ChaCha8Rng,
    ) {
        let capacity = self.capacity(now, number);
        let worker = &mut self.workers[number];
        let fails = rng.random::<f64>() < worker.failing;
        let run_time = if fails { TIME_TO_FAILURE } else { attempt.run_time * worker.slowness / capacity };
        let ends_at = now + run_time;
        if !fails {
            let request = attempt.id.clone();
            self.progress.events.push(HistoryEvent::AttemptStarted { at: now, request, worker: number });
            let first = FirstExecution { started_at: now, ends_at };
            self.executed_keys.extend(key.map(|key| (key, first)));
        }
        let started = json!({"id": attempt.id, "from": format!("w{number}"), "state": "started"});
        self.progress.replies.push((attempt.connection, Reply::Line(started)));
        worker.executions.push(Execution { attempt, ends_at, fails, is_duplicate: false });
    }

    /// Fraction of its capacity that a worker has.
    fn capacity(&self, now: Millis, number: usize) -> f64 {
        match self.workers[number].started_at {
            Some(since) if now < since + self.warm_up => {
                self.initial_capacity + (1.0 - self.initial_capacity) * (now - since) / self.warm_up
            }
            _ => 1.0,
        }
    }

    /// Ends the executions that are due.
    pub fn handle_timeout(&mut self, now: Millis, rng: &mut ChaCha8Rng) {
        for number in 0..self.workers.len() {
            let executions = std::mem::take(&mut self.workers[number].executions);
            let (ended, running): (Vec<Execution>, Vec<Execution>) =
                executions.into_iter().partition(|execution| execution.ends_at <= now);
            self.workers[number].executions = running;
            if ended.is_empty() {
                continue;
            }
            for execution in ended {
                self.finish(now, number, execution);
            }
            self.start_queued(now, number, rng);
        }
    }

    /// Reports the end of an execution, with the worker's load.
    fn finish(&mut self, now: Millis, number: usize, execution: Execution) {
        let Execution { attempt, fails, .. } = execution;
        if fails {
            self.progress.replies.push((attempt.connection, Reply::Failed));
            return;
        }
        let worker = &self.workers[number];
        let concurrent = worker.executions.len() + worker.queue.len();
        let free = self.slots.saturating_sub(concurrent);
        let result = format!("made-for-{}-by-{number}", attempt.id);
        let line = json!({"id": attempt.id, "from": format!("w{number}"), "state": "done", "result": result,
            "load": {"x0": free, "x1": free, "concurrent": concurrent}});
        let finished = HistoryEvent::AttemptFinished { at: now, request: attempt.id, worker: number, result };
        self.progress.events.push(finished);
        self.progress.replies.push((attempt.connection, Reply::LastLine(line)));
    }

    /// A connection has ended: what is queued for it never runs, what runs is wasted.
    pub fn handle_connection_end(
        &mut self,
        now: Millis,
        number: usize,
        connection: ConnectionId,
        rng: &mut ChaCha8Rng,
    ) {
        let worker = &mut self.workers[number];
        worker.queue.retain(|attempt| attempt.connection != connection);
        worker.executions.retain(|execution| execution.attempt.connection != connection);
        self.start_queued(now, number, rng);
    }

    /// It accepts nothing new, or accepts work again.
    pub fn set_draining(&mut self, number: usize, draining: bool) {
        self.workers[number].is_draining = draining;
    }

    /// It takes this many times as long, from the next job on.
    pub fn set_slowness(&mut self, number: usize, factor: f64) {
        self.workers[number].slowness = factor;
    }

    /// It fails this fraction of what it gets.
    pub fn set_failing(&mut self, number: usize, fraction: f64) {
        self.workers[number].failing = fraction;
    }

    /// It dies, and what it held with it.
    pub fn kill(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        (worker.is_dead, worker.is_draining) = (true, false);
        worker.executions.clear();
        worker.queue.clear();
    }

    /// It starts, and warms up.
    pub fn start(&mut self, now: Millis, number: usize) {
        self.kill(number);
        let worker = &mut self.workers[number];
        (worker.is_dead, worker.started_at) = (false, Some(now));
        self.progress.events.push(HistoryEvent::WorkerStarted { at: now, worker: number });
    }
}
