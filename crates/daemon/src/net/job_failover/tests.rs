//! The bytes of a job as its replicas hold it, pinned: a scheduler of another build must be able to take it over. The
//! expected bytes were written by the build of commit 72e1d57.

use super::*;
use brackenledge_test_support::hex;

/// What is written has exactly these bytes, and these bytes are read and written as the same.
fn pinned(job: &ReplicatedJob, bytes: &str) -> ReplicatedJob {
    let written = postcard::to_allocvec(job).expect("bytes");
    assert_eq!(hex::encode(&written), bytes);
    let read: ReplicatedJob = postcard::from_bytes(&hex::decode(bytes)).expect("a job");
    assert_eq!(hex::encode(&postcard::to_allocvec(&read).expect("bytes")), bytes);
    read
}

#[test]
fn a_job_with_all_it_may_carry_has_these_bytes() {
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
    let read = pinned(
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
fn a_job_without_what_is_optional_has_these_bytes() {
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
    let read = pinned(&job, "0174012f000000000000000000f03f00000000000000000000");
    assert_eq!((read.content_type, read.affinity_key, read.effort), (None, None, None));
    assert_eq!((read.slots, read.memory, read.is_retry), (1.0, 0.0, false));
    assert!(read.body.is_empty());
}

/// Operators' scripts read these figures: names and order stay.
#[test]
fn the_figures_have_these_names() {
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
