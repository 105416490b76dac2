//! Compatibility between builds: a scheduler of another build must be able to decode and take over a
//! replicated job, so its encoding is fixed. The expected bytes were written by the build of commit 72e1d57.
//! The names of failover's figures at the admin endpoint are fixed too.

use super::*;
use brackenledge_test_support::hex;

/// Checks that the job is encoded as exactly these bytes, and that they decode to a job with the same
/// encoding.
fn assert_encoded_as(job: &ReplicatedJob, bytes: &str) -> ReplicatedJob {
    let written = postcard::to_allocvec(job).expect("bytes");
    assert_eq!(hex::encode(&written), bytes);
    let read: ReplicatedJob = postcard::from_bytes(&hex::decode(bytes)).expect("a job");
    assert_eq!(hex::encode(&postcard::to_allocvec(&read).expect("bytes")), bytes);
    read
}

#[test]
fn job_with_all_optional_fields_has_fixed_encoding() {
    let job = ReplicatedJob {
        id: "trace-1".into(),
        target: "/v1/sale?x=2".into(),
        content_type: Some("application/json".into()),
        affinity_key: Some("affinity-3".into()),
        effort: Some(2.5),
        slots: 1.25,
        memory: 640.0,
        is_retry: true,
        body: b"body\x00\xff".to_vec(),
    };
    let read = assert_encoded_as(
        &job,
        "0774726163652d310c2f76312f73616c653f783d3201106170706c69636174696f6e2f6a736f6e010a616666696e6974792d33010000000000000440000000000000f43f00000000000084400106626f647900ff",
    );
    assert_eq!((read.id.as_str(), read.target.as_str()), ("trace-1", "/v1/sale?x=2"));
    assert_eq!(read.content_type.as_deref(), Some("application/json"));
    assert_eq!(read.affinity_key.as_deref(), Some("affinity-3"));
    assert_eq!((read.effort, read.slots, read.memory), (Some(2.5), 1.25, 640.0));
    assert!(read.is_retry);
    assert_eq!(read.body, b"body\x00\xff");
}

#[test]
fn job_without_optional_fields_has_fixed_encoding() {
    let job = ReplicatedJob {
        id: "t".into(),
        target: "/".into(),
        content_type: None,
        affinity_key: None,
        effort: None,
        slots: 1.0,
        memory: 0.0,
        is_retry: false,
        body: Vec::new(),
    };
    let read = assert_encoded_as(&job, "0174012f000000000000000000f03f00000000000000000000");
    assert_eq!((read.content_type, read.affinity_key, read.effort), (None, None, None));
    assert_eq!((read.slots, read.memory, read.is_retry), (1.0, 0.0, false));
    assert!(read.body.is_empty());
}

/// Operators' scripts parse these figures, so their names and order must not change.
#[test]
fn figures_have_fixed_names() {
    let options = FailoverOptions {
        enabled: true,
        replicated_classes: vec!["sale".into()],
        ..FailoverOptions::default()
    };
    let classes = [("view".to_owned(), Effect::Repeatable), ("sale".to_owned(), Effect::NonIdempotent)];
    let local = ProcessId { ordinal: 0, incarnation: 1 };
    let failover = JobFailover::new(&options, local, 0, &classes);
    let lines = failover.figures(&["view".to_owned(), "sale".to_owned()]);
    assert_eq!(
        lines,
        [
            "handover.held.sale=0",
            "handover.waited_for.sale=0",
            "handover.kept_open.sale=0",
            "handover.kept_ended.sale=0",
            "handover.settled=0",
            "handover.bytes=0",
            "handover.bytes_unsaid=0",
            "handover.adopted=0",
            "handover.adopted_at_risk=0",
            "handover.joined=0",
            "handover.from_record=0",
            "handover.refused=0",
            "handover.uncovered=0",
            "handover.lost=0",
            "handover.yielded=0",
            "handover.stale=0",
            "handover.nonsense=0",
        ]
    );
}
