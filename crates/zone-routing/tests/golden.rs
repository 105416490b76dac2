//! The bytes of what schedulers saw of zones, of the sums of it, and of plans, pinned.
//!
//! Schedulers of two builds sum up and plan together while a tier is upgraded: the bytes must not change with the names
//! in the source. The expected bytes were written by the build of commit 72e1d57; a test that fails here means that the
//! wire format has changed. None of these types has an optional field; empty and filled forms are pinned instead.
#![allow(missing_docs)]

use brackenledge_zone_routing::{Digest, PLAN_MOST, Plan, Seen, Stamp, Way};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(digit).collect()
}

/// The value has exactly these bytes by `postcard`, and comes back from them.
fn pinned<T: Serialize + DeserializeOwned + Debug + PartialEq>(value: T, bytes: &str) {
    let written = postcard::to_allocvec(&value).expect("bytes");
    assert_eq!(hex(&written), bytes, "{value:?}");
    assert_eq!(postcard::from_bytes::<T>(&unhex(bytes)), Ok(value));
}

/// The plan is written as exactly these bytes, and these bytes are read as the plan.
fn pinned_plan(plan: Plan, bytes: &str) {
    assert_eq!(hex(&plan.write()), bytes, "{plan:?}");
    assert_eq!(Plan::read(&unhex(bytes)), Some(plan));
}

fn ways() -> Vec<Way> {
    vec![Way { slots: 300, came: 41, failed: 2 }, Way::default(), Way { slots: 7, came: 70_000, failed: 900 }]
}

#[test]
fn what_a_scheduler_saw_has_these_bytes() {
    pinned(Seen { offered: 12_345, ways: ways() }, "b96003ac02290200000007f0a2048407");
    pinned(Seen::default(), "0000");
}

#[test]
fn the_sum_of_what_a_zones_schedulers_saw_has_these_bytes() {
    pinned(Digest { schedulers: 3, offered: 54_321, ways: ways() }, "03b1a80303ac02290200000007f0a2048407");
    pinned(Digest::default(), "000000");
    let mut sum = Digest::default();
    sum.add(&Seen { offered: 12_345, ways: ways() });
    pinned(sum, "01b96003ac02290200000007f0a2048407");
}

fn stamp() -> Stamp {
    Stamp { term: [1_700_000_123, 5, 900, 4, 77], count: 1_001 }
}

#[test]
fn a_plans_stamp_has_these_bytes() {
    pinned(stamp(), "fbe2cfaa06058407044de907");
}

#[test]
fn a_plan_has_these_bytes_with_work_that_stays_moves_and_is_refused() {
    let shares = [vec![0.75, 0.25, 0.0], vec![0.0, 1.0, 0.0], vec![0.1, 0.335, 0.2]];
    let plan = Plan::new(stamp(), 1_700_000_000_123, &shares);
    pinned_plan(plan, "fbe2cfaa06058407044de907fbd095ffbc31030996320000c800144328");
    pinned_plan(Plan::near(2), "000000000000000204c80000c8");
    pinned_plan(Plan::new(stamp(), 9, &[vec![0.0]]), "fbe2cfaa06058407044de90709010100");
}

#[test]
fn the_longest_plan_has_these_bytes() {
    let shares: Vec<Vec<f64>> =
        (0..12).map(|i| (0..12).map(|j| if i == j { 0.5 } else { 0.04 }).collect()).collect();
    let plan = Plan::new(Stamp { term: [u32::MAX; 5], count: u32::MAX }, u64::MAX, &shares);
    assert!(plan.write().len() <= PLAN_MOST);
    pinned_plan(
        plan,
        "ffffffff0fffffffff0fffffffff0fffffffff0fffffffff0fffffffff0fffffffffffffffffff010c9001640808080808080808080808086408080808080808080808080864080808080808080808080808640808080808080808080808086408080808080808080808080864080808080808080808080808640808080808080808080808086408080808080808080808080864080808080808080808080808640808080808080808080808086408080808080808080808080864",
    );
}
