//! Compatibility between builds: the leader that decodes a zone report may run another build, so its encoding
//! is fixed. The expected bytes were written by the build of commit 72e1d57.

use super::*;
use brackenledge_test_support::hex;
use brackenledge_zone_routing::{RouteStats, SchedulerZoneReport};

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
