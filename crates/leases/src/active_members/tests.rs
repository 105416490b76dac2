//! Tests of the estimate: two schedulers on one member list never take more than the whole together.

use super::*;
use proptest::prelude::*;

#[test]
fn a_larger_count_applies_at_once_and_a_smaller_one_after_the_settle_time() {
    let mut estimate = ActiveMemberEstimate::new(6, 100);
    assert_eq!(estimate.update(0, Some(4)), 6);
    assert_eq!(estimate.update(99, Some(4)), 6);
    assert_eq!(estimate.update(100, Some(4)), 4);
    assert_eq!(estimate.update(110, Some(5)), 5);
    assert_eq!(estimate.update(120, Some(3)), 5);
    // There was one more in the meantime: it counts.
    assert_eq!(estimate.update(170, Some(4)), 5);
    assert_eq!(estimate.update(220, Some(3)), 4);
    assert_eq!(estimate.update(320, Some(3)), 3);
    // No leader is known: the whole cluster counts.
    assert_eq!(estimate.update(330, None), 6);
    assert_eq!(ActiveMemberEstimate::new(0, 0).update(0, Some(0)), 1);
}

const SETTLE_TIME: Micros = 50;

proptest! {
    /// Member lists change at random. Each process learns of one within the settle time, or that it is on none.
    #[test]
    fn members_of_a_list_never_take_more_than_the_whole(
        cluster_size in 2usize..9,
        steps in proptest::collection::vec((any::<u16>(), 1u64..40, any::<u64>()), 1..60),
    ) {
        let mut all: Vec<ActiveMemberEstimate> = (0..cluster_size).map(|_| ActiveMemberEstimate::new(cluster_size, SETTLE_TIME)).collect();
        // The list that each process knows, if it is on it; and what is on its way to it.
        let mut known: Vec<Option<u16>> = vec![None; cluster_size];
        let mut in_flight: Vec<(Micros, usize, usize, Option<u16>)> = Vec::new();
        // Lists carry terms: an older one that arrives late is ignored.
        let mut newest = vec![0; cluster_size];
        let mut now = 0;
        let mut settled = vec![0u64; cluster_size];
        let mut list = u16::MAX;
        for (term, (mask, wait, delays)) in steps.into_iter().enumerate() {
            let next = mask & ((1 << cluster_size) - 1) | 1;
            let joined: Vec<usize> =
                (0..cluster_size).filter(|&at| next & !list & 1 << at != 0).collect();
            joined.iter().for_each(|&at| settled[at] = now + SETTLE_TIME);
            list = next;
            for at in 0..cluster_size {
                // A process that is left out learns of it in time too, or knows of no leader.
                let sent = (list & 1 << at != 0).then_some(list);
                in_flight.push((now + (delays >> (at * 7)) % SETTLE_TIME, term, at, sent));
            }
            for _ in 0..wait {
                now += 1;
                in_flight.retain(|&(then, term, at, sent)| {
                    if then <= now && term >= newest[at] {
                        (newest[at], known[at]) = (term, sent);
                    }
                    then > now
                });
                let counts: Vec<usize> = (0..cluster_size)
                    .map(|at| all[at].update(now, known[at].map(|list| list.count_ones() as usize)))
                    .collect();
                let on_list = |at: &usize| list & 1 << at != 0;
                // Members for long enough that all others know of them.
                let settled_members = (0..cluster_size).filter(on_list).filter(|&at| settled[at] <= now);
                let sum: f64 = settled_members.map(|at| 1.0 / counts[at] as f64).sum();
                prop_assert!(sum <= 1.0 + 1e-9, "{sum} of the whole at {now}: {counts:?}");
            }
        }
    }
}
