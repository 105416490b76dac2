//! Tests of the attempts in a record.

use super::*;

#[test]
fn an_attempt_recorded_again_keeps_its_age_and_a_reused_number_gets_the_new_worker() {
    let mut record = JobRecord {
        owner: ProcessId { ordinal: 0, incarnation: 1 },
        claim_id: 1,
        ownership_epoch: OwnershipEpoch::default(),
        version: 0,
        payload: Arc::from([]),
        requires_ack: true,
        deadline: 1_000,
        attempts: Vec::new(),
        outcome: None,
    };
    let (first, second): (Arc<str>, Arc<str>) = (Arc::from("w1"), Arc::from("w2"));
    record.record_attempt(10, 0, &first, Execution::MayHaveRun);
    record.record_attempt(50, 0, &first, Execution::MayHaveRun);
    assert_eq!(record.prior_execution(100), Some(PriorExecution { worker: Arc::clone(&first), max_age: 90 }));
    record.record_attempt(60, 0, &first, Execution::NeverRan);
    assert_eq!(record.prior_execution(100), None);
    record.record_attempt(70, 0, &second, Execution::MayHaveRun);
    let at_second_worker = Some(PriorExecution { worker: second, max_age: 30 });
    assert_eq!(record.prior_execution(100), at_second_worker, "worker and age of the new attempt");
}
