//! Compatibility between builds: the kind bytes of datagrams and the numbers of roles must be the same in all
//! schedulers of a cluster, and the lines of the admin endpoint must stay readable for operators' scripts.
//! The expected bytes and numbers are those of commit 72e1d57.

use super::*;

#[test]
fn datagram_kinds_have_fixed_first_bytes() {
    let kinds =
        [DatagramKind::Membership, DatagramKind::Leases, DatagramKind::Fenced, DatagramKind::ZoneReport];
    assert_eq!(kinds.map(|kind| kind as u8), [0xf1, 0xf2, 0xf3, 0xf4]);
}

#[test]
fn roles_have_fixed_numbers() {
    assert_eq!((roles::AGGREGATOR, roles::ZONE_PLANNER), (0, 1));
}

/// A newly started member of a cluster of three that knows no other member yet.
fn newly_started_member() -> Cluster {
    let operations = Operations::default();
    Cluster::new(2, 3, &operations, 1).expect("no state directory is configured")
}

/// Operators' scripts parse these lines, so field names and their order must not change.
#[test]
fn members_reply_has_fixed_fields() {
    let lines = newly_started_member().members_lines();
    assert_eq!(lines[0], "view=none age_ms=0 steward=none voters=none living=3");
    let names: Vec<&str> = lines[1].split(' ').filter_map(|pair| Some(pair.split_once('=')?.0)).collect();
    assert_eq!(names, ["member", "boot", "standing", "on_roll", "self"]);
    assert!(lines[1].starts_with("member=2 boot="), "{}", lines[1]);
    assert!(lines[1].ends_with(" standing=alive on_roll=false self=yes"), "{}", lines[1]);
}

#[test]
fn duties_reply_has_fixed_fields() {
    assert_eq!(
        newly_started_member().duties_lines(),
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
