//! Pins the bytes of load reports of schedulers and zones, and of plans.
//!
//! Schedulers of two builds exchange them while a cluster is upgraded: the bytes must not change with the names
//! in the source. The expected bytes were written by the build of commit 72e1d57; a test that fails here means that the
//! wire format has changed. None of these types has an optional field; empty and filled forms are pinned instead.
#![allow(missing_docs)]

use brackenledge_test_support::hex;
use brackenledge_zone_routing::{
    MAX_PLAN_BYTES, Plan, PlanVersion, RouteStats, SchedulerZoneReport, ZoneLoadReport,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// The value has exactly these bytes by `postcard`, and comes back from them.
fn pinned<T: Serialize + DeserializeOwned + Debug + PartialEq>(value: T, bytes: &str) {
    let written = postcard::to_allocvec(&value).expect("bytes");
    assert_eq!(hex::encode(&written), bytes, "{value:?}");
    assert_eq!(postcard::from_bytes::<T>(&hex::decode(bytes)), Ok(value));
}

/// The plan encodes to exactly these bytes, and these bytes decode to the plan.
fn pinned_plan(plan: Plan, bytes: &str) {
    assert_eq!(hex::encode(&plan.encode()), bytes, "{plan:?}");
    assert_eq!(Plan::decode(&hex::decode(bytes)), Ok(plan));
}

fn routes() -> Vec<RouteStats> {
    vec![
        RouteStats { ready_slots: 300, reached: 41, failed: 2 },
        RouteStats::default(),
        RouteStats { ready_slots: 7, reached: 70_000, failed: 900 },
    ]
}

#[test]
fn a_schedulers_zone_report_has_these_bytes() {
    pinned(
        SchedulerZoneReport { offered_centislots: 12_345, routes: routes() },
        "b96003ac02290200000007f0a2048407",
    );
    pinned(SchedulerZoneReport::default(), "0000");
}

#[test]
fn a_zone_load_report_has_these_bytes() {
    pinned(
        ZoneLoadReport { scheduler_count: 3, offered_centislots: 54_321, routes: routes() },
        "03b1a80303ac02290200000007f0a2048407",
    );
    pinned(ZoneLoadReport::default(), "000000");
    let mut sum = ZoneLoadReport::default();
    sum.add(&SchedulerZoneReport { offered_centislots: 12_345, routes: routes() });
    pinned(sum, "01b96003ac02290200000007f0a2048407");
}

fn version() -> PlanVersion {
    PlanVersion { term: [1_700_000_123, 5, 900, 4, 77].into(), sequence: 1_001 }
}

#[test]
fn a_plan_version_has_these_bytes() {
    pinned(version(), "fbe2cfaa06058407044de907");
}

#[test]
fn a_plan_has_these_bytes_with_work_that_stays_moves_and_is_rejected() {
    let shares = [vec![0.75, 0.25, 0.0], vec![0.0, 1.0, 0.0], vec![0.1, 0.335, 0.2]];
    let plan = Plan::new(version(), 1_700_000_000_123, &shares);
    pinned_plan(plan, "fbe2cfaa06058407044de907fbd095ffbc31030996320000c800144328");
    pinned_plan(Plan::local_only(2), "000000000000000204c80000c8");
    pinned_plan(Plan::new(version(), 9, &[vec![0.0]]), "fbe2cfaa06058407044de90709010100");
}

#[test]
fn the_longest_plan_has_these_bytes() {
    let shares: Vec<Vec<f64>> =
        (0..12).map(|i| (0..12).map(|j| if i == j { 0.5 } else { 0.04 }).collect()).collect();
    let plan = Plan::new(PlanVersion { term: [u32::MAX; 5].into(), sequence: u32::MAX }, u64::MAX, &shares);
    assert!(plan.encode().len() <= MAX_PLAN_BYTES);
    pinned_plan(
        plan,
        "ffffffff0fffffffff0fffffffff0fffffffff0fffffffff0fffffffff0fffffffffffffffffff010c9001640808080808080808080808086408080808080808080808080864080808080808080808080808640808080808080808080808086408080808080808080808080864080808080808080808080808640808080808080808080808086408080808080808080808080864080808080808080808080808640808080808080808080808086408080808080808080808080864",
    );
}
