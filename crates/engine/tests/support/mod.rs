//! Shared by the tests: an engine on a virtual clock, its workers, and jobs to submit.

use brackenledge_engine::{Command, Engine, JobRequest, Request};
use brackenledge_policy::{Effect, JobId, ListKind, NewJob, Settings, WorkerEntry};

/// Number of workers in the endpoint table.
pub const WORKERS: usize = 4;

/// A ready worker.
fn worker(id: usize) -> WorkerEntry {
    WorkerEntry { id, name: format!("w{id}"), weight: 1.0, ..WorkerEntry::default() }
}

/// All workers, ready.
fn workers() -> Vec<WorkerEntry> {
    (0..WORKERS).map(worker).collect()
}

/// An engine on a virtual clock, with all workers ready.
pub struct ClockedEngine {
    pub engine: Engine,
    pub now: f64,
    timeout_at: f64,
}

impl ClockedEngine {
    pub fn new(now: f64, settings: Settings, seed: u64) -> ClockedEngine {
        let mut engine = Engine::new(now, settings, seed);
        engine.update_workers(ListKind::Full, workers());
        ClockedEngine { engine, now, timeout_at: f64::INFINITY }
    }

    pub fn submit_job(&mut self, request: JobRequest) -> JobId {
        self.engine.submit_job(self.now, request).expect("request ids are unique")
    }

    /// Handles the engine's timer if it has expired.
    pub fn handle_due_timeout(&mut self) {
        if self.now >= self.timeout_at {
            self.timeout_at = f64::INFINITY;
            self.engine.handle_timeout();
        }
    }

    /// The next command. `SetTimer` is executed here as well as returned.
    pub fn poll_command(&mut self) -> Option<Command> {
        let command = self.engine.poll_command(self.now)?;
        if let Command::SetTimer { after } = command {
            self.timeout_at = self.timeout_at.min(self.now + after);
        }
        Some(command)
    }
}

/// A job of one slot; its request id is derived from `client`.
pub fn job_request(
    client: usize,
    class: usize,
    effect: Effect,
    affinity_key: Option<String>,
    time_left: f64,
) -> JobRequest {
    JobRequest {
        client,
        job: NewJob {
            id: 0,
            class,
            tenant: 0,
            affinity_key,
            time_left,
            expected_run_time: None,
            slots: 1.0,
            memory: 0.0,
            is_retry: false,
            prior_execution: None,
        },
        request: Request {
            id: format!("t{client}"),
            target: "/x".into(),
            idempotency_key: None,
            content_type: None,
            body: Vec::new(),
            effect,
            reports_attempts: false,
        },
    }
}
