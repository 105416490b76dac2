//! Compatibility between builds: the leader that decodes a zone report may run another build, so its encoding
//! is fixed. The expected bytes were written by the build of commit 72e1d57. The lines of `ZONES`
//! at the admin endpoint are fixed too.

use super::*;
use brackenledge_test_support::hex;
use brackenledge_zone_routing::{PlanVersion, RouteStats, SchedulerZoneReport};

#[test]
fn zone_report_has_fixed_encoding() {
    let bytes = "01b96002ac02290207f0a2048407";
    let routes = vec![
        RouteStats { ready_slots: 300, reached: 41, failed: 2 },
        RouteStats { ready_slots: 7, reached: 70_000, failed: 900 },
    ];
    let observed = SchedulerZoneReport { offered_centislots: 12_345, routes };
    let report = ZoneReport { zone: 1, observed: observed.clone() };
    assert_eq!(hex::encode(&report.encode()), bytes);
    let read = ZoneReport::decode(&hex::decode(bytes), 2).expect("a report");
    assert_eq!((read.zone, read.observed), (1, observed));
}

/// Operators' scripts read these lines: names, order and words stay.
#[test]
fn the_lines_of_zones_have_these_fields() {
    let names = ["north".to_owned(), "south".to_owned(), "west".to_owned()];
    let shares = [vec![0.75, 0.25, 0.0], vec![0.0, 0.5, 0.0], vec![0.0; 3]];
    let version = PlanVersion { term: PlannerTerm::from([1, 2, 3, 4, 5]), sequence: 6 };
    let plan = Plan::new(version, 0, &shares);
    let counts = Counts { stale_plans: 7, malformed: 8, plans_made: 9 };
    assert_eq!(
        status::summary_line(RoutingSource::Plan, plan.version, &counts),
        "by=plan plan=1.2.3.4.5/6 plans_made=9 refused=7 nonsense=8"
    );
    assert_eq!(
        status::zone_lines(&plan, &names, &[0.0, 1.25]),
        [
            "zone=north to=north:0.750,south:0.250 refused=0.000 price_here=0.00",
            "zone=south to=south:0.500 refused=0.500 price_here=1.25",
            "zone=west to=nowhere refused=1.000 price_here=none",
        ]
    );
    assert_eq!(status::remote_shares(&plan, &names), "north>south 0.25");
    assert_eq!(status::remote_shares(&Plan::local_only(3), &names), "all local");
    let policy = brackenledge_policy::Settings::default();
    let mut routing = ZoneRouting::new(&ZoneOptions::default(), names.to_vec(), &policy);
    let at_start = "by=own-evidence plan=0.0.0.0.0/0 plans_made=0 refused=0 nonsense=0";
    assert_eq!(routing.status_lines(0.0), [at_start]);
}
