//! Tests of `Members`: a set that has at most one process for each ordinal.
#![allow(missing_docs)]

use brackenledge_leases::{Members, ProcessId};

fn process(ordinal: u16, incarnation: u64) -> ProcessId {
    ProcessId { ordinal, incarnation }
}

#[test]
fn a_process_replaces_another_one_of_the_same_ordinal() {
    let mut members: Members = [process(2, 1), process(0, 7), process(2, 5)].into_iter().collect();
    assert_eq!(members.iter().collect::<Vec<_>>(), [process(0, 7), process(2, 5)]);
    members.extend([process(2, 4)]);
    assert_eq!(members.get(2), Some(process(2, 4)), "the process inserted last");
    assert!(members.contains(process(2, 4)) && !members.contains(process(2, 5)));
    assert_eq!((members.len(), members.get(1)), (2, None));
}

#[test]
fn remove_ignores_another_incarnation() {
    let mut members: Members = (0..4).map(|ordinal| process(ordinal, 1)).collect();
    members.remove(process(1, 2));
    assert_eq!(members.len(), 4, "another incarnation is not the same process");
    members.remove(process(1, 1));
    members.retain(|member| member.ordinal != 3);
    assert_eq!(members.ordinals().collect::<Vec<_>>(), [0, 2]);
    members.clear();
    assert!(members.is_empty());
}
