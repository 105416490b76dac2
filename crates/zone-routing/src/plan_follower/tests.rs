use super::*;

fn plan(term: u32, sequence: u32, active_from: Millis, remote_share: f64) -> Plan {
    Plan::new(
        PlanVersion { term: [0, 0, 0, 0, term].into(), sequence },
        active_from,
        &[vec![1.0 - remote_share, remote_share], vec![0.0, 1.0]],
    )
}

#[test]
fn a_plan_takes_effect_at_its_activation_time_and_a_stale_plan_is_rejected() {
    let mut follower = PlanFollower::new(0, 1_000);
    assert_eq!(follower.routing_mode(0), RoutingMode::LocalFallback { max_spill: MAX_UNCOORDINATED_SPILL });
    follower.handle_plan(0, plan(2, 1, 100, 0.5)).expect("a newer version");
    assert_eq!(
        follower.routing_mode(99),
        RoutingMode::LocalFallback { max_spill: MAX_UNCOORDINATED_SPILL },
        "a plan must not take effect before its activation time"
    );
    assert_eq!(follower.routing_mode(100), RoutingMode::Planned(vec![0.5, 0.5]));
    assert_eq!(
        follower.handle_plan(110, plan(1, 9, 0, 0.1)),
        Err(StalePlan { newest: PlanVersion { term: [0, 0, 0, 0, 2].into(), sequence: 1 } })
    );
    // The newer plan is pending until its activation time; the previous plan stays active.
    follower.handle_plan(120, plan(2, 2, 200, 0.25)).expect("a newer version");
    assert_eq!(follower.routing_mode(199), RoutingMode::Planned(vec![0.5, 0.5]));
    assert_eq!(follower.routing_mode(200), RoutingMode::Planned(vec![0.75, 0.25]));
    // Receiving the same version again changes nothing but restarts the TTL.
    follower.handle_plan(900, plan(2, 2, 200, 0.25)).expect("the same version");
    assert_eq!(follower.routing_mode(1_800), RoutingMode::Planned(vec![0.75, 0.25]));
}

#[test]
fn a_pending_plan_that_is_due_takes_effect_before_a_newer_plan_replaces_it() {
    let mut follower = PlanFollower::new(0, 1_000);
    follower.handle_plan(0, plan(1, 1, 100, 0.5)).expect("a newer version");
    follower.handle_plan(150, plan(1, 2, 300, 0.25)).expect("a newer version");
    assert_eq!(follower.routing_mode(150), RoutingMode::Planned(vec![0.5, 0.5]));
}

#[test]
fn without_plans_routing_returns_to_local_in_two_steps() {
    let mut follower = PlanFollower::new(0, 1_000);
    follower.handle_plan(0, plan(1, 1, 0, 0.5)).expect("a newer version");
    assert_eq!(follower.routing_mode(999), RoutingMode::Planned(vec![0.5, 0.5]));
    assert_eq!(follower.routing_mode(1_000), RoutingMode::Planned(vec![0.75, 0.25]));
    assert_eq!(
        follower.routing_mode(1_500),
        RoutingMode::LocalFallback { max_spill: MAX_UNCOORDINATED_SPILL }
    );
    follower.handle_plan(2_000, plan(1, 1, 0, 0.5)).expect("the same version");
    assert_eq!(follower.routing_mode(2_000), RoutingMode::Planned(vec![0.5, 0.5]));
}
