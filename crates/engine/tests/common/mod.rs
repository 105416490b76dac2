//! Jobs and workers for the engine's tests.

use brackenledge_engine::{JobRequest, Request};
use brackenledge_policy::{Effect, NewJob, WorkerEntry};

/// How many workers the tests have.
pub const WORKERS: usize = 4;

/// A ready worker.
fn worker(id: usize) -> WorkerEntry {
    WorkerEntry { id, name: format!("w{id}"), weight: 1.0, ..WorkerEntry::default() }
}

/// All workers, ready.
pub fn workers() -> Vec<WorkerEntry> {
    (0..WORKERS).map(worker).collect()
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
