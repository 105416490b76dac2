use super::*;

#[test]
fn popularity_is_estimated_and_unused_keys_are_removed() {
    let mut keys = KeyPopularity::default();
    assert!(keys.record(0.0, 1) < 0.05, "a key is popular after a single job");
    let fractions: Vec<f64> = (1..400).map(|n| keys.record(f64::from(n) * 100.0, n as u64 % 4)).collect();
    let last = &fractions[396..];
    assert!(last.iter().all(|fraction| (0.2..0.26).contains(fraction)), "{last:?}");
    keys.record(40_000.0 + 10.0 * DECAY_TIME, 9);
    assert_eq!(keys.counts.len(), 1);
}
