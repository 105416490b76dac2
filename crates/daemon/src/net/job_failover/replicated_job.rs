//! The payload of a job record: everything that another scheduler needs to run the job.

use brackenledge_engine::Request;
use brackenledge_policy::{Effect, JobId, NewJob};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The replicated part of a job. It is encoded with `postcard`, so the order of its fields is the wire
/// format.
#[derive(Serialize, Deserialize)]
pub(super) struct ReplicatedJob {
    pub(super) id: String,
    pub(super) target: String,
    pub(super) content_type: Option<String>,
    pub(super) affinity_key: Option<String>,
    /// Expected run time on a standard core, in milliseconds; `None` if the client gave none.
    pub(super) effort: Option<f64>,
    pub(super) slots: f64,
    pub(super) memory: f64,
    pub(super) is_retry: bool,
    pub(super) body: Vec<u8>,
}

/// Properties of a job outside its payload: they come from the key of its record or are determined by the
/// scheduler that runs the job.
pub(super) struct JobContext<'a> {
    pub(super) class: u16,
    pub(super) tenant: u16,
    pub(super) idempotency_key: &'a str,
    pub(super) effect: Effect,
    /// Time until its deadline, in milliseconds.
    pub(super) time_left: f64,
}

/// Placeholder for the job's id until the engine assigns one.
const UNASSIGNED: JobId = 0;

impl ReplicatedJob {
    pub(super) fn new(job: NewJob, request: Request) -> ReplicatedJob {
        ReplicatedJob {
            id: request.id,
            target: request.target,
            content_type: request.content_type,
            affinity_key: job.affinity_key,
            effort: job.expected_run_time,
            slots: job.slots,
            memory: job.memory,
            is_retry: job.is_retry,
            body: request.body,
        }
    }

    pub(super) fn encode(&self) -> Arc<[u8]> {
        Arc::from(postcard::to_allocvec(self).unwrap_or_default())
    }

    pub(super) fn decode(payload: &[u8]) -> Result<ReplicatedJob, postcard::Error> {
        postcard::from_bytes(payload)
    }

    /// Converts to the job and request that are submitted to the engine.
    pub(super) fn into_engine_job(self, context: &JobContext) -> (NewJob, Request) {
        let job = NewJob {
            id: UNASSIGNED,
            class: usize::from(context.class),
            tenant: usize::from(context.tenant),
            affinity_key: self.affinity_key,
            time_left: context.time_left,
            expected_run_time: self.effort,
            slots: self.slots,
            memory: self.memory,
            is_retry: self.is_retry,
            prior_execution: None,
        };
        let request = Request {
            id: self.id,
            target: self.target,
            idempotency_key: Some(context.idempotency_key.to_owned()),
            content_type: self.content_type,
            body: self.body,
            effect: context.effect,
            reports_attempts: true,
        };
        (job, request)
    }
}
