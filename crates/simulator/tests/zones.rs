//! What plans must show at the full size, at any load.
#![allow(missing_docs)]

use brackenledge_simulator::zones::{Flows, Policy};

#[test]
fn at_no_load_does_a_zone_fall_to_the_work_of_another() {
    for load in (50..=110).step_by(5) {
        let plan = Flows::six_zones(f64::from(load) / 100.0).play(Policy::Plan);
        assert_eq!((plan.cascades, plan.pushed_over), (0, 0), "{load}%: {plan:?}");
        // Four in a minute, and the first.
        assert!(plan.plans <= 10, "{load}%: {plan:?}");
    }
}

#[test]
fn plans_serve_nearly_what_knowledge_of_the_true_state_would() {
    for load in (50..=100).step_by(10) {
        let flows = Flows::six_zones(f64::from(load) / 100.0);
        let [alone, order, plan, oracle] = Policy::ALL.map(|policy| flows.play(policy));
        assert!(plan.served >= oracle.served - 0.03, "{load}%: {plan:?} {oracle:?}");
        assert!(plan.served >= order.served - 0.005, "{load}%: {plan:?} {order:?}");
        assert!(plan.untouched >= oracle.untouched - 0.02, "{load}%: {plan:?} {oracle:?}");
        // Zones that have lost nothing are spared what each alone does to them; with room everywhere that is little.
        assert!(plan.untouched >= alone.untouched - 0.001, "{load}%: {plan:?} {alone:?}");
        assert!(load < 90 || plan.untouched > alone.untouched + 0.1, "{load}%: {plan:?} {alone:?}");
    }
}

#[test]
fn beyond_what_all_can_do_plans_still_serve_more_than_each_alone() {
    let flows = Flows::six_zones(1.1);
    let [alone, order, plan, _] = Policy::ALL.map(|policy| flows.play(policy));
    assert!(
        plan.served > alone.served + 0.1 && plan.served > order.served + 0.1,
        "{plan:?} {alone:?} {order:?}"
    );
}

#[test]
fn a_fixed_order_falls_where_plans_do_not() {
    let order = Flows::six_zones(0.8).play(Policy::Order);
    assert!(order.cascades > 0, "{order:?}");
}
