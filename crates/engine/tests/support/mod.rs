//! The engine on a virtual clock, with its workers and jobs.

use brackenledge_engine::{Command, Engine, JobRequest, Request};
use brackenledge_policy::{Effect, JobId, ListKind, NewJob, Settings, WorkerEntry};

/// How many workers the tests have.
pub const WORKERS: usize = 4;

/// A ready worker.
fn worker(id: usize) -> WorkerEntry {
    WorkerEntry { id, name: format!("w{id}"), weight: 1.0, ..WorkerEntry::default() }
}

/// All workers, ready.
fn workers() -> Vec<WorkerEntry> {
    (0..WORKERS).map(worker).collect()
}

/// The engine on a virtual clock, with all workers ready.
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
        self.engine.submit_job(self.now, request).expect("ids are new")
    }

    /// Lets the engine do what is due by now.
    pub fn handle_due_timeout(&mut self) {
        if self.now >= self.timeout_at {
            self.timeout_at = f64::INFINITY;
            self.engine.handle_timeout();
        }
    }

    /// The next command; timers are set here.
    pub fn poll_command(&mut self) -> Option<Command> {
        let command = self.engine.poll_command(self.now)?;
        if let Command::SetTimer { after } = command {
            self.timeout_at = self.timeout_at.min(self.now + after);
        }
        Some(command)
    }
}

/// A job of one slot, with a request id of its own for each client.
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
