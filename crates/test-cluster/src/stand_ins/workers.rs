//! Stand-in for workers, as the protocol's documentation describes them: slots and a queue, warm-up, drains,
//! restarts, slowness and failures. After an execution under an idempotency key, all workers of the zone drop
//! duplicates for [`DEDUPLICATION_WINDOW`].

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

/// An attempt received by a worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Connection that the response is sent on.
    pub connection: ConnectionId,
    /// Value of `X-Trace-Id`.
    pub id: String,
    /// Value of `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Whether workers deduplicate jobs of its class by that key.
    pub is_deduplicated: bool,
    /// Run time on a worker at full capacity.
    pub run_time: Millis,
}

/// A part of a worker's response.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A line of the response body; the response head is sent before the first one.
    Line(Value),
    /// The last line of the response body.
    LastLine(Value),
    /// Status 503 with `X-Never-Ran`: the attempt is returned without being executed.
    Returned,
    /// The execution failed: status 500, or a last line that says so if the head has been sent.
    Failed,
    /// The connection is reset.
    Reset,
}

/// Replies and events since the last call of [`WorkerPool::take_progress`].
#[derive(Debug, Default)]
pub struct Progress {
    /// Replies in order, each with the connection to send it on.
    pub replies: Vec<(ConnectionId, Reply)>,
    /// Events for the history, in order.
    pub events: Vec<HistoryEvent>,
}

#[derive(Debug)]
struct Execution {
    attempt: Attempt,
    ends_at: Millis,
    fails: bool,
    /// A duplicate that waits for the result of the first execution; it occupies no slot.
    is_duplicate: bool,
}

#[derive(Debug)]
struct Worker {
    executions: Vec<Execution>,
    queue: VecDeque<Attempt>,
    /// Start of the warm-up; `None`: at full capacity since the run began.
    started_at: Option<Millis>,
    /// Multiplies run times.
    slowness: f64,
    /// Fraction of executions that fail.
    failure_fraction: f64,
    is_draining: bool,
    is_dead: bool,
}

impl Worker {
    /// A worker that is warm and idle.
    fn new() -> Worker {
        Worker {
            executions: Vec::new(),
            queue: VecDeque::new(),
            started_at: None,
            slowness: 1.0,
            failure_fraction: 0.0,
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

/// A zone's index and an idempotency key: each zone deduplicates separately.
type ZoneKey = (usize, String);

/// All workers of the cluster.
#[derive(Debug)]
pub struct WorkerPool {
    workers: Vec<Worker>,
    executed_keys: HashMap<ZoneKey, FirstExecution>,
    zones: usize,
    slots: usize,
    queue_capacity: usize,
    warm_up: Millis,
    initial_capacity: f64,
    progress: Progress,
}

impl WorkerPool {
    /// The scenario's workers, warm and idle.
    pub fn new(scenario: &Scenario) -> WorkerPool {
        WorkerPool {
            workers: (0..scenario.workers).map(|_| Worker::new()).collect(),
            executed_keys: HashMap::new(),
            zones: scenario.zones.len(),
            slots: scenario.slots,
            queue_capacity: scenario.queue,
            warm_up: scenario.warm_up,
            initial_capacity: scenario.initial_capacity,
            progress: Progress::default(),
        }
    }

    /// Replies and events since the last call.
    pub fn take_progress(&mut self) -> Progress {
        std::mem::take(&mut self.progress)
    }

    /// When [`WorkerPool::handle_timeout`] is due next; `None` while nothing is executed.
    pub fn next_timeout(&self) -> Option<Millis> {
        let executions = self.workers.iter().flat_map(|worker| &worker.executions);
        executions.map(|execution| execution.ends_at).min_by(f64::total_cmp)
    }

    /// False from a worker's death until it is started again.
    pub fn is_alive(&self, worker: usize) -> bool {
        !self.workers[worker].is_dead
    }

    /// Queues an attempt whose request is complete. A worker that drains or has no free slot and a full queue
    /// returns it, a dead one resets the connection.
    pub fn handle_attempt(&mut self, now: Millis, number: usize, attempt: Attempt, rng: &mut ChaCha8Rng) {
        let worker = &mut self.workers[number];
        let has_slot = worker.used_slots() < self.slots;
        if worker.is_dead {
            self.progress.replies.push((attempt.connection, Reply::Reset));
        } else if worker.is_draining || (!has_slot && worker.queue.len() >= self.queue_capacity) {
            let request = attempt.id.clone();
            self.progress.events.push(HistoryEvent::AttemptReturned { at: now, request, worker: number });
            self.progress.replies.push((attempt.connection, Reply::Returned));
        } else {
            worker.queue.push_back(attempt);
            self.start_queued(now, number, rng);
        }
    }

    /// Starts queued attempts while slots are free.
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

    /// The key by which an attempt is deduplicated; `None` if it is not.
    fn zone_key(&self, number: usize, attempt: &Attempt) -> Option<ZoneKey> {
        let key = attempt.idempotency_key.clone().filter(|_| attempt.is_deduplicated)?;
        Some((number % self.zones, key))
    }

    /// Answers a duplicate when the first execution ends, without executing it.
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
        let fails = rng.random::<f64>() < worker.failure_fraction;
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

    /// Fraction of its full capacity that a worker has; grows linearly while it warms up.
    fn capacity(&self, now: Millis, number: usize) -> f64 {
        match self.workers[number].started_at {
            Some(since) if now < since + self.warm_up => {
                self.initial_capacity + (1.0 - self.initial_capacity) * (now - since) / self.warm_up
            }
            _ => 1.0,
        }
    }

    /// Finishes the executions that have ended by now, and starts queued attempts in their slots.
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

    /// Replies with the result of an execution and the worker's load.
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

    /// Handles the end of a connection: its queued attempts never run, and its executions are aborted without
    /// a result.
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

    /// Sets whether a worker returns all new attempts.
    pub fn set_draining(&mut self, number: usize, draining: bool) {
        self.workers[number].is_draining = draining;
    }

    /// Multiplies a worker's run times, for executions that start from now on; 1: normal.
    pub fn set_slowness(&mut self, number: usize, factor: f64) {
        self.workers[number].slowness = factor;
    }

    /// Sets the fraction of executions that fail on a worker, for those that start from now on.
    pub fn set_failing(&mut self, number: usize, fraction: f64) {
        self.workers[number].failure_fraction = fraction;
    }

    /// Stops a worker; its executions and queue are lost.
    pub fn kill(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        (worker.is_dead, worker.is_draining) = (true, false);
        worker.executions.clear();
        worker.queue.clear();
    }

    /// Starts a worker, or restarts it; it begins to warm up.
    pub fn start(&mut self, now: Millis, number: usize) {
        self.kill(number);
        let worker = &mut self.workers[number];
        (worker.is_dead, worker.started_at) = (false, Some(now));
        self.progress.events.push(HistoryEvent::WorkerStarted { at: now, worker: number });
    }
}
