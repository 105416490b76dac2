//! Request heads, from the bytes to the job that is submitted.

#[path = "../../../../protocol/tests/common/request_heads.rs"]
mod request_heads;

use super::admission::AdmissionRules;
use super::connection::RequestKind;
use brackenledge_engine::JobRequest;
use request_heads::{CLASSES, JobValues, check, job_rules};

/// Rules without limits on deadlines and open jobs.
fn rules() -> AdmissionRules {
    AdmissionRules {
        job_rules: job_rules(),
        deadlines: vec![f64::INFINITY; CLASSES.len()],
        effects: CLASSES.iter().map(|(_, effect)| *effect).collect(),
        max_open_jobs: usize::MAX,
        retry_after: None,
    }
}

fn describe(submitted: &JobRequest) -> String {
    let JobRequest { job, request, .. } = submitted;
    let values = JobValues {
        class: job.class,
        tenant: job.tenant,
        trace_id: &request.id,
        target: &request.target,
        affinity_key: job.affinity_key.as_deref(),
        idempotency_key: request.idempotency_key.as_deref(),
        content_type: request.content_type.as_deref(),
        time_left: Some(job.time_left).filter(|time| time.is_finite()),
        expected_run_time: job.expected_run_time,
        slots: job.slots,
        memory: job.memory,
        is_retry: job.is_retry,
    };
    values.describe()
}

#[test]
fn each_request_head_gives_the_expected_job_or_error() {
    check(|head| match rules().read_kind(0, head)? {
        RequestKind::HealthCheck => Ok("health check".to_owned()),
        RequestKind::Job(submitted) => Ok(describe(&submitted)),
    });
}
