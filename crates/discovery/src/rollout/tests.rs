use super::*;

fn group(zone: u32) -> PlacementGroup {
    PlacementGroup { zone, kind: 1 }
}

#[test]
fn endpoints_whose_replacements_are_up_are_the_likeliest_to_drain_next() {
    let mut rollout = RolloutEstimate::default();
    assert!(!rollout.refresh(0.0));
    rollout.record_added(0.0, group(1));
    rollout.record_added(0.0, group(2));
    assert!(rollout.refresh(100.0));
    assert!(rollout.drain_probability(group(1), 2) > rollout.drain_probability(group(3), 2));
    assert!(rollout.drain_probability(group(1), 1) > rollout.drain_probability(group(1), 4));
    rollout.record_removed(200.0, group(1));
    assert_eq!(rollout.drain_probability(group(1), 1), BASE_DRAIN_PROBABILITY);
    assert!(!rollout.refresh(60_000.0));
}
