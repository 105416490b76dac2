//! What plans must show at the full size, at any load.
#![allow(missing_docs)]

use brackenledge_simulator::zones::{FlowScenario, Strategy};

#[test]
fn at_no_load_does_planned_routing_cascade() {
    for load in (50..=110).step_by(5) {
        let plan = FlowScenario::six_zones(f64::from(load) / 100.0).run(Strategy::Planned);
        assert_eq!((plan.cascades, plan.severe_overloads), (0, 0), "{load}%: {plan:?}");
        // Four in a minute, and the first.
        assert!(plan.plans <= 10, "{load}%: {plan:?}");
    }
}

#[test]
fn plans_serve_nearly_as_much_as_the_oracle() {
    for load in (50..=100).step_by(10) {
        let scenario = FlowScenario::six_zones(f64::from(load) / 100.0);
        let [uncoordinated, fixed_order, plan, oracle] = Strategy::ALL.map(|strategy| scenario.run(strategy));
        assert!(plan.served >= oracle.served - 0.03, "{load}%: {plan:?} {oracle:?}");
        assert!(plan.served >= fixed_order.served - 0.005, "{load}%: {plan:?} {fixed_order:?}");
        assert!(plan.untouched_zones >= oracle.untouched_zones - 0.02, "{load}%: {plan:?} {oracle:?}");
        // Zones that have lost nothing are spared what each alone does to them; with room everywhere that is little.
        assert!(
            plan.untouched_zones >= uncoordinated.untouched_zones - 0.001,
            "{load}%: {plan:?} {uncoordinated:?}"
        );
        assert!(
            load < 90 || plan.untouched_zones > uncoordinated.untouched_zones + 0.1,
            "{load}%: {plan:?} {uncoordinated:?}"
        );
    }
}

#[test]
fn beyond_all_capacity_plans_still_serve_more_than_uncoordinated_routing() {
    let scenario = FlowScenario::six_zones(1.1);
    let [uncoordinated, fixed_order, plan, _] = Strategy::ALL.map(|strategy| scenario.run(strategy));
    assert!(
        plan.served > uncoordinated.served + 0.1 && plan.served > fixed_order.served + 0.1,
        "{plan:?} {uncoordinated:?} {fixed_order:?}"
    );
}

#[test]
fn a_fixed_order_cascades_where_plans_do_not() {
    let fixed_order = FlowScenario::six_zones(0.8).run(Strategy::FixedOrder);
    assert!(fixed_order.cascades > 0, "{fixed_order:?}");
}
