//! The first byte of each kind of datagram between schedulers, and the roles' numbers, pinned: they are the same in all
//! builds of a cluster. The expected values are those of commit 72e1d57.

use super::*;

#[test]
fn each_kind_of_datagram_begins_with_this_byte() {
    let kinds =
        [DatagramKind::Membership, DatagramKind::Leases, DatagramKind::Fenced, DatagramKind::ZoneReport];
    assert_eq!(kinds.map(|kind| kind as u8), [0xf1, 0xf2, 0xf3, 0xf4]);
}

#[test]
fn each_role_has_this_number() {
    assert_eq!((roles::AGGREGATOR, roles::ZONE_PLANNER), (0, 1));
}

/// A cluster of three in which no other process is known yet.
fn started() -> Cluster {
    let operations = Operations::default();
    Cluster::new(2, 3, &operations, 1).expect("no state directory is asked for")
}

/// Operators' scripts read these lines: names and order stay.
#[test]
fn the_lines_of_members_have_these_fields() {
    let lines = started().members_lines();
    assert_eq!(lines[0], "view=none age_ms=0 steward=none voters=none living=3");
    let names: Vec<&str> = lines[1].split(' ').filter_map(|pair| Some(pair.split_once('=')?.0)).collect();
    assert_eq!(names, ["member", "boot", "standing", "on_roll", "self"]);
    assert!(lines[1].starts_with("member=2 boot="), "{}", lines[1]);
    assert!(lines[1].ends_with(" standing=alive on_roll=false self=yes"), "{}", lines[1]);
}

#[test]
fn the_lines_of_duties_have_these_fields() {
    assert_eq!(
        started().duties_lines(),
        [
            "duty=relay owner=none term=none own_lease_left_ms=none",
            "deeds_accepted=0 deeds_refused=0 sums_withheld=0 nonsense=0 dropped=0 given_up_by_mistake=0",
        ]
    );
}

/// The log, `DUTIES` and its readers have these names.
#[test]
fn each_role_has_this_name() {
    assert_eq!([0, 1, 2].map(roles::name), ["relay", "zones", "unknown"]);
}
