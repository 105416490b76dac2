//! Decoding of request heads: the rejection's status and reason, or the job's values.
#![allow(missing_docs)]

#[path = "common/request_heads.rs"]
mod request_heads;

use brackenledge_protocol::http::{RequestError, RequestHead, Version};
use brackenledge_protocol::job_head::{JobHead, JobRules};
use request_heads::{JobValues, check, job_rules};

/// What a head requests, in the table's notation.
fn describe(head: &RequestHead) -> Result<String, RequestError> {
    if head.method == "GET" && head.path() == "/up" {
        return Ok("health check".to_owned());
    }
    let job = JobHead::decode(head, &job_rules())?;
    let values = JobValues {
        class: job.class,
        tenant: job.tenant,
        trace_id: job.trace_id,
        target: head.target,
        affinity_key: job.affinity_key,
        idempotency_key: job.idempotency_key,
        content_type: job.content_type,
        time_left: job.expires_in,
        expected_run_time: job.size_hint_micros.map(|micros| micros / 1_000.0),
        slots: job.resources.slots,
        memory: job.resources.memory,
        is_retry: job.is_retry,
    };
    Ok(values.describe())
}

#[test]
fn each_head_has_the_outcome_in_the_table() {
    check(describe);
}

#[test]
fn a_head_has_method_target_version_and_headers() {
    let head = RequestHead::decode(b"PUT /a/b?c=d HTTP/1.0\r\nX-One: 1\r\nX-One: 2\r\n\r\n");
    let head = head.expect("a head").expect("a complete head");
    assert_eq!((head.method, head.target, head.path()), ("PUT", "/a/b?c=d", "/a/b"));
    assert_eq!(head.version, Version::Http10);
    assert_eq!(head.header("x-one"), Some("1"));
    assert_eq!(head.single_header("x-one"), Err(RequestError::AmbiguousHeader));
    assert_eq!(head.single_header("x-two"), Ok(None));
}

#[test]
fn without_configured_tenants_any_single_tenant_is_accepted() {
    let rules = JobRules { tenants: Vec::new(), ..job_rules() };
    let tenant = |lines: &str| {
        let text = format!("POST /view HTTP/1.1\r\nX-Trace-Id: t1\r\n{lines}\r\n");
        let head = RequestHead::decode(text.as_bytes()).expect("a head").expect("a complete head");
        JobHead::decode(&head, &rules).map(|job| job.tenant)
    };
    assert_eq!(tenant(""), Ok(0));
    assert_eq!(tenant("X-Customer: anyone\r\n"), Ok(0));
    assert_eq!(tenant("X-Customer: a\r\nX-Customer: b\r\n"), Err(RequestError::AmbiguousHeader));
}
