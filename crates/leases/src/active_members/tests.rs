//! Tests of the estimate: the shares of the schedulers on one member list never add up to more than the
//! whole.

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
    // The count rises to 4 while the decrease to 3 is pending, so the estimate settles at 4 first.
    assert_eq!(estimate.update(170, Some(4)), 5);
    assert_eq!(estimate.update(220, Some(3)), 4);
    assert_eq!(estimate.update(320, Some(3)), 3);
    // Without a known leader, the estimate is the cluster size.
    assert_eq!(estimate.update(330, None), 6);
    assert_eq!(ActiveMemberEstimate::new(0, 0).update(0, Some(0)), 1);
}

const SETTLE_TIME: Micros = 50;

proptest! {
    /// Member lists change at random. Within the settle time, each process receives a new list or learns that
    /// it is not on it.
    #[test]
    fn shares_of_listed_members_never_exceed_the_whole(
        cluster_size in 2usize..9,
        steps in proptest::collection::vec((any::<u16>(), 1u64..40, any::<u64>()), 1..60),
    ) {
        let mut estimates: Vec<ActiveMemberEstimate> =
            (0..cluster_size).map(|_| ActiveMemberEstimate::new(cluster_size, SETTLE_TIME)).collect();
        // Lists are bit masks of member indices. The list that each process knows, `None` if it is not on it,
        // and the lists in flight: arrival time, term, receiver, list.
        let mut known: Vec<Option<u16>> = vec![None; cluster_size];
        let mut in_flight: Vec<(Micros, usize, usize, Option<u16>)> = Vec::new();
        // Term of the latest list that each process has received. Older lists that arrive late are ignored.
        let mut latest_terms = vec![0; cluster_size];
        let mut now = 0;
        let mut settled_at = vec![0u64; cluster_size];
        let mut list = u16::MAX;
        for (term, (mask, wait, delays)) in steps.into_iter().enumerate() {
            let next = mask & ((1 << cluster_size) - 1) | 1;
            let joined: Vec<usize> =
                (0..cluster_size).filter(|&index| next & !list & 1 << index != 0).collect();
            joined.iter().for_each(|&index| settled_at[index] = now + SETTLE_TIME);
            list = next;
            for index in 0..cluster_size {
                // A process that is no longer listed also learns of it within the settle time, or knows no
                // leader.
                let sent = (list & 1 << index != 0).then_some(list);
                in_flight.push((now + (delays >> (index * 7)) % SETTLE_TIME, term, index, sent));
            }
            for _ in 0..wait {
                now += 1;
                in_flight.retain(|&(arrives_at, term, index, sent)| {
                    if arrives_at <= now && term >= latest_terms[index] {
                        (latest_terms[index], known[index]) = (term, sent);
                    }
                    arrives_at > now
                });
                let counts: Vec<usize> = (0..cluster_size)
                    .map(|index| {
                        estimates[index].update(now, known[index].map(|list| list.count_ones() as usize))
                    })
                    .collect();
                let on_list = |index: &usize| list & 1 << index != 0;
                // Members that have been listed for long enough that all others know of them.
                let settled_members =
                    (0..cluster_size).filter(on_list).filter(|&index| settled_at[index] <= now);
                let sum: f64 = settled_members.map(|index| 1.0 / counts[index] as f64).sum();
                prop_assert!(sum <= 1.0 + 1e-9, "sum of shares is {sum} at time {now}, estimates {counts:?}");
            }
        }
    }
}
