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
    fn sums_are_commutative_and_associative(
        reports in proptest::collection::vec(scheduler_report(), 0..20),
        cut in 0..20usize,
    ) {
        let sum = |reports: &[SchedulerZoneReport]| {
            let mut report = ZoneLoadReport::default();
            reports.iter().for_each(|one| report.add(one));
            report
        };
        let whole = sum(&reports);
        let (front, back) = reports.split_at(cut.min(reports.len()));
        let mut grouped = sum(back);
        grouped.merge(&sum(front));
        prop_assert_eq!(&whole, &grouped);
        // The size is bounded, however many reports are summed.
        let bytes = postcard::to_allocvec(&whole).expect("the report encodes");
        prop_assert!(bytes.len() <= 5 + 5 + 1 + 8 * 15);
    }
}

#[test]
fn older_reports_are_ignored_and_slots_of_a_zone_without_report_come_from_the_others() {
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
