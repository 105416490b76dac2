use super::*;
use proptest::prelude::*;

fn scheduler_report() -> impl Strategy<Value = SchedulerZoneReport> {
    let route = (0..1_000u32, 0..1_000u32, 0..1_000u32);
    let route = route.prop_map(|(ready_slots, reached, failed)| RouteStats { ready_slots, reached, failed });
    (0..100_000u32, proptest::collection::vec(route, 0..8))
        .prop_map(|(offered_centislots, routes)| SchedulerZoneReport { offered_centislots, routes })
}

proptest! {
    #[test]
    fn sums_are_commutative_and_associative(all in proptest::collection::vec(scheduler_report(), 0..20), cut in 0..20usize) {
        let sum = |part: &[SchedulerZoneReport]| {
            let mut report = ZoneLoadReport::default();
            part.iter().for_each(|one| report.add(one));
            report
        };
        let whole = sum(&all);
        let (front, back) = all.split_at(cut.min(all.len()));
        let mut grouped = sum(back);
        grouped.merge(&sum(front));
        prop_assert_eq!(&whole, &grouped);
        // No larger for many than for one.
        let bytes = postcard::to_allocvec(&whole).expect("bytes");
        prop_assert!(bytes.len() <= 5 + 5 + 1 + 8 * 15);
    }
}

#[test]
fn an_older_report_is_ignored_and_a_silent_zones_slots_come_from_the_others() {
    let mut load = ClusterLoad::new(2);
    let report = |ready_slots| ZoneLoadReport {
        scheduler_count: 2,
        offered_centislots: 0,
        routes: vec![
            RouteStats { ready_slots, ..RouteStats::default() },
            RouteStats { ready_slots: 60, ..RouteStats::default() },
        ],
    };
    load.handle_report(20, 0, report(10));
    load.handle_report(10, 0, report(90));
    assert_eq!((load.ready_slots(0, 0), load.ready_slots(1, 0)), (5.0, 30.0));
    assert_eq!((load.ready_slots(0, 21), load.ready_slots(1, 21)), (0.0, 0.0));
    load.handle_report(30, 9, report(1));
    assert_eq!(load.zone_count(), 2);
}
