//! The lines of `MEMBERS` and `DUTIES` in a cluster that has a view and a lease holder. `cluster/tests.rs` has
//! those of a cluster that has just started.

use super::*;
use brackenledge_leases::{Ballot, Epoch, Term, View};
use brackenledge_protocol::operations::Operations;

#[test]
fn each_member_state_has_this_name() {
    let states = [MemberState::Alive, MemberState::Suspect, MemberState::Down];
    assert_eq!(states.map(state_name), ["alive", "suspected", "gone"]);
}

#[test]
fn a_view_and_a_lease_have_these_lines() {
    let process = |ordinal| ProcessId { ordinal, incarnation: 9 };
    let epoch = Epoch { era: 17, number: 2 };
    let view = ViewStatus { view: View { epoch, voters: vec![process(0), process(4)] }, age: 2_500_999 };
    let cluster = Cluster::new(2, 3, &Operations::default(), 1).expect("no state directory is asked for");
    let view_line = |leader| cluster.view_line(Some(&view), leader);
    assert_eq!(view_line(Some(process(4))), "view=17.2 age_ms=2500 steward=4 voters=0,4 living=3");
    assert_eq!(view_line(None), "view=17.2 age_ms=2500 steward=none voters=0,4 living=3");
    let term = Term { epoch, ballot: Ballot { counter: 3, proposer: 4 }, step: 5 };
    let role = |own_lease_remaining| Some(RoleStatus { term, holder: process(4), own_lease_remaining });
    assert_eq!(
        role_line(0, role(Some(1_200_999))),
        "duty=relay owner=4 term=17.2/3.4/5 own_lease_left_ms=1200"
    );
    assert_eq!(role_line(1, role(None)), "duty=zones owner=4 term=17.2/3.4/5 own_lease_left_ms=none");
}
