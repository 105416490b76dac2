//! Properties of plans for random load, and plans for hand-written load.
#![allow(missing_docs)]

use brackenledge_zone_routing::{
    ClusterLoad, Millis, Planner, Replan, ReplanReason, RouteStats, Settings, ZoneLoadReport,
};
use proptest::prelude::*;

/// The load of zones with this demand and these slots, as reported at `now`. Most attempts over the `failing`
/// routes, each given as origin and target, fail.
fn load(now: Millis, demand: &[f64], slots: &[f64], failing: &[(usize, usize)]) -> ClusterLoad {
    let mut load = ClusterLoad::new(demand.len());
    for (origin, &offered) in demand.iter().enumerate() {
        let route = |target: usize| {
            let is_failing = failing.contains(&(origin, target));
            let ready_slots = (slots[target] * 2.0).round() as u32;
            RouteStats {
                ready_slots,
                reached: if is_failing { 1 } else { 50 },
                failed: if is_failing { 50 } else { 1 },
            }
        };
        let routes = (0..demand.len()).map(route).collect();
        load.handle_report(
            now,
            origin,
            ZoneLoadReport { scheduler_count: 2, offered_centislots: (offered * 100.0) as u32, routes },
        );
    }
    load
}

/// The ideal shares for this load.
fn shares(regions: &[usize], demand: &[f64], slots: &[f64], failing: &[(usize, usize)]) -> Vec<Vec<f64>> {
    let planner = Planner::new(0, Settings::of_regions(regions), [1; 5].into(), None);
    planner.ideal_shares(10, &load(10, demand, slots, failing))
}

/// Whether two shares are equal up to rounding.
fn approx_eq(a: f64, b: f64) -> bool {
    (a - b).abs() < 0.011
}

const REGIONS: [usize; 4] = [0, 0, 1, 1];

#[test]
fn work_stays_local_while_its_zone_has_capacity() {
    let plan = shares(&REGIONS, &[50.0, 80.0, 10.0, 0.0], &[100.0; 4], &[]);
    for (origin, row) in plan.iter().enumerate() {
        assert!(approx_eq(row[origin], 1.0), "{plan:?}");
    }
}

#[test]
fn only_the_excess_leaves_a_zone_and_its_region_takes_it_first() {
    let plan = shares(&REGIONS, &[120.0, 20.0, 20.0, 20.0], &[100.0; 4], &[]);
    assert!(approx_eq(plan[0][0], 85.0 / 120.0) && approx_eq(plan[0][1], 35.0 / 120.0), "{plan:?}");
    // What exceeds the capacity of the region goes to the other zones, in proportion to their free capacity.
    let plan = shares(&REGIONS, &[200.0, 20.0, 20.0, 20.0], &[100.0; 4], &[]);
    assert!(
        approx_eq(plan[0][1], 65.0 / 200.0)
            && approx_eq(plan[0][2], 25.0 / 200.0)
            && approx_eq(plan[0][3], 25.0 / 200.0),
        "{plan:?}"
    );
    assert!(approx_eq(plan[2][2], 1.0));
}

#[test]
fn work_moves_away_from_a_failed_zone_and_an_unreachable_zone_serves_its_own_work() {
    let plan = shares(&REGIONS, &[60.0; 4], &[0.0, 100.0, 100.0, 100.0], &[]);
    assert!(plan[0][0] == 0.0 && approx_eq(plan[0].iter().sum(), 1.0), "{plan:?}");
    assert!(approx_eq(plan[0][1], 25.0 / 60.0) && approx_eq(plan[1][1], 1.0), "{plan:?}");
    // Zone 0 cannot reach zone 1, which is up. Zone 1 continues to serve its own work.
    let plan = shares(&REGIONS, &[120.0, 60.0, 20.0, 20.0], &[100.0; 4], &[(0, 1)]);
    assert!(
        plan[0][1] == 0.0 && approx_eq(plan[1][1], 1.0) && approx_eq(plan[0][2], 17.5 / 120.0),
        "{plan:?}"
    );
    // A zone that cannot reach its own workers sends its work to another zone, except for the probes that
    // detect when its workers are reachable again.
    let plan = shares(&REGIONS, &[40.0, 20.0, 20.0, 20.0], &[100.0; 4], &[(0, 0)]);
    assert!(approx_eq(plan[0][0], 0.02) && approx_eq(plan[0][1], 0.98), "{plan:?}");
}

#[test]
fn work_beyond_all_capacity_is_rejected_at_its_origin() {
    let plan = shares(&REGIONS, &[200.0, 100.0, 100.0, 100.0], &[100.0; 4], &[]);
    let served = |origin: usize| plan[origin].iter().sum::<f64>();
    assert!(approx_eq(served(0), 0.485) && (1..4).all(|origin| approx_eq(served(origin), 0.97)), "{plan:?}");
}

#[test]
fn work_leaves_a_flapping_zone_at_once_and_returns_once_it_is_stable() {
    let settings = Settings::of_regions(&REGIONS);
    let max_changes = settings.max_changes_per_minute as usize;
    let mut planner = Planner::new(0, settings, [1; 5].into(), None);
    let mut plans: Vec<(Millis, ReplanReason, f64)> = Vec::new();
    for now in (0..120_000).step_by(250) {
        // Zone 0 goes down and up every 3 s for a minute, then stays up.
        let down = (10_000..70_000).contains(&now) && (now / 3_000) % 2 == 1;
        let slots = [if down { 0.0 } else { 100.0 }, 100.0, 100.0, 100.0];
        if let Some(Replan { plan, reason }) = planner.replan(now, &load(now, &[60.0; 4], &slots, &[])) {
            plans.push((now, reason, plan.share(0, 0)));
        }
    }
    for (at, ..) in &plans {
        let minute = plans.iter().filter(|(then, ..)| (*at..at + 60_000).contains(then)).count();
        assert!(minute <= max_changes, "{plans:?}");
    }
    // Work leaves the zone at the first replan, and returns once the zone has been stable for some seconds.
    assert!(
        plans.iter().any(|&(at, reason, share)| (10_000..16_000).contains(&at)
            && reason == ReplanReason::Urgent
            && share == 0.0),
        "{plans:?}"
    );
    let last = plans.last().expect("a plan");
    assert!(last.2 > 0.99 && (70_000..80_000).contains(&last.0), "{plans:?}");
}

#[test]
fn a_suspect_route_is_not_used_until_it_is_observed_to_work() {
    let mut planner = Planner::new(0, Settings::of_regions(&REGIONS), [1; 5].into(), None);
    let load_with = |now: Millis, local: RouteStats| {
        let mut load = ClusterLoad::new(4);
        for zone in 0..4 {
            let route = |to: usize| match (zone, to) {
                (0, 0) => RouteStats { ready_slots: 200, ..local },
                _ => RouteStats { ready_slots: 200, reached: 40, failed: 0 },
            };
            load.handle_report(
                now,
                zone,
                ZoneLoadReport {
                    scheduler_count: 2,
                    offered_centislots: 4_000,
                    routes: (0..4).map(route).collect(),
                },
            );
        }
        load
    };
    let observed = |reached, failed| RouteStats { ready_slots: 0, reached, failed };
    let mut share = 1.0;
    let mut local_share = |now: Millis, local: RouteStats| {
        if let Some(Replan { plan, .. }) = planner.replan(now, &load_with(now, local)) {
            share = plan.share(0, 0);
        }
        share
    };
    assert!(local_share(0, observed(40, 0)) > 0.99);
    assert!(local_share(250, observed(0, 40)) < 0.03);
    // Without attempts there are no failures, which is no evidence that the route works. Each probe that is
    // observed in between still fails.
    for now in (500..20_000).step_by(250) {
        let local = if now % 5_000 == 0 { observed(0, 1) } else { observed(0, 0) };
        assert!(local_share(now, local) < 0.03, "at {now}");
    }
    // Probes succeed for two seconds; after that, work moves back once the improvement has held.
    for now in (20_000..22_000).step_by(250) {
        assert!(local_share(now, observed(1, 0)) < 0.03, "at {now}");
    }
    for now in (22_000..30_000).step_by(250) {
        local_share(now, observed(1, 0));
    }
    assert!(local_share(30_000, observed(1, 0)) > 0.99);
}

/// The maximum amount of work that can be served: the maximum flow over the allowed routes, by augmenting
/// paths. `i` and `k` are origins, `j` is a target.
fn max_flow(demand: &[f64], capacity: &[f64], is_allowed: impl Fn(usize, usize) -> bool) -> f64 {
    let zones = demand.len();
    let mut flow = vec![vec![0.0; zones]; zones];
    let (mut left, mut free) = (demand.to_vec(), capacity.to_vec());
    loop {
        // Searches a path from an origin with unplaced work to a target with free capacity. The path may lead
        // back from a target to an origin whose work there could go elsewhere.
        let mut from: Vec<Option<usize>> = vec![None; zones];
        let mut via: Vec<Option<usize>> = vec![None; zones];
        let mut reached: Vec<usize> = (0..zones).filter(|&i| left[i] > 1e-6).collect();
        let mut visited: Vec<bool> = (0..zones).map(|i| left[i] > 1e-6).collect();
        let mut end = None;
        while let Some(i) = reached.pop() {
            for j in (0..zones).filter(|&j| is_allowed(i, j)) {
                if from[j].is_some() {
                    continue;
                }
                from[j] = Some(i);
                if free[j] > 1e-6 {
                    end = Some(j);
                    reached.clear();
                    break;
                }
                for k in 0..zones {
                    if !visited[k] && flow[k][j] > 1e-6 {
                        (visited[k], via[k]) = (true, Some(j));
                        reached.push(k);
                    }
                }
            }
        }
        let Some(target) = end else { break };
        let (mut path, mut j) = (Vec::new(), target);
        let mut flow_added = free[target];
        loop {
            let i = from[j].expect("reached");
            path.push((i, j));
            match via[i] {
                Some(back) if left[i] <= 1e-6 => {
                    flow_added = flow_added.min(flow[i][back]);
                    path.push((i, back));
                    j = back;
                }
                _ => {
                    flow_added = flow_added.min(left[i]);
                    left[i] -= flow_added;
                    break;
                }
            }
        }
        free[target] -= flow_added;
        for (at, &(i, j)) in path.iter().enumerate() {
            flow[i][j] += if at % 2 == 0 { flow_added } else { -flow_added };
        }
    }
    flow.iter().flatten().sum()
}

/// The region, demand and slots of each zone, and the routes that fail.
type Scenario = (Vec<usize>, Vec<f64>, Vec<f64>, Vec<(usize, usize)>);

fn scenario() -> impl Strategy<Value = Scenario> {
    (2..7usize).prop_flat_map(|zones| {
        (
            proptest::collection::vec(0..3usize, zones),
            proptest::collection::vec(prop_oneof![Just(0.0), 1.0..300.0f64], zones),
            proptest::collection::vec(prop_oneof![Just(0.0), 1.0..300.0f64], zones),
            proptest::collection::vec((0..zones, 0..zones), 0..4),
        )
    })
}

proptest! {
    #[test]
    fn shares_sum_to_at_most_one_and_no_zone_is_planned_beyond_its_capacity(
        (regions, demand, slots, failing) in scenario(),
    ) {
        let plan = shares(&regions, &demand, &slots, &failing);
        let slots: Vec<f64> = slots.iter().map(|slots| (slots * 2.0).round() / 2.0).collect();
        for (origin, row) in plan.iter().enumerate() {
            prop_assert!(
                row.iter().sum::<f64>() <= 1.0 + 1e-6 && row.iter().all(|&share| share >= 0.0),
                "{row:?}"
            );
            for &(from, to) in failing.iter().filter(|route| route.0 == origin) {
                prop_assert!(
                    row[to] <= if from == to { 0.02 + 1e-9 } else { 0.0 },
                    "{row:?}, failing route from {from} to {to}"
                );
            }
        }
        for target in 0..demand.len() {
            let load: f64 = (0..demand.len()).map(|origin| demand[origin] * plan[origin][target]).sum();
            let probed = if failing.contains(&(target, target)) { 0.02 * demand[target] } else { 0.0 };
            // Demand is reported in hundredths of a slot.
            let rounding = 0.01 * demand.len() as f64;
            // No zone is planned above the maximum utilization; only probes of a failing local route come on
            // top.
            prop_assert!(
                load <= 0.97 * slots[target] + probed + rounding,
                "load {load} on {} slots",
                slots[target]
            );
        }
    }

    #[test]
    fn work_leaves_a_zone_only_if_the_zone_is_full((regions, demand, slots, failing) in scenario()) {
        let plan = shares(&regions, &demand, &slots, &failing);
        for origin in 0..demand.len() {
            let remote: f64 = plan[origin]
                .iter()
                .enumerate()
                .filter(|(target, _)| *target != origin)
                .map(|(_, share)| share)
                .sum();
            let reachable = !failing.contains(&(origin, origin));
            let reported = (slots[origin] * 2.0).round() / 2.0;
            let planned = Settings::of_regions(&regions).target_utilization_for(reported) * reported;
            let free = planned - demand[origin] * plan[origin][origin];
            prop_assert!(
                remote < 1e-6 || !reachable || free < 0.02 + 0.002 * demand[origin],
                "share {remote} leaves the zone with {free} slots free"
            );
        }
    }

    #[test]
    fn maximum_work_is_served_if_all_routes_work((regions, demand, slots, _) in scenario()) {
        let plan = shares(&regions, &demand, &slots, &[]);
        let served: f64 =
            plan.iter().zip(&demand).map(|(row, demand)| row.iter().sum::<f64>() * demand).sum();
        let capacity: Vec<f64> = slots.iter().map(|slots| 0.97 * (slots * 2.0).round() / 2.0).collect();
        let maximum = max_flow(&demand, &capacity, |_, target| slots[target] > 0.0);
        prop_assert!(served >= maximum - 0.5 - 0.002 * maximum, "served {served} of {maximum}");
    }

    #[test]
    fn at_least_half_of_the_maximum_work_is_served_if_some_routes_fail(
        (regions, demand, slots, failing) in scenario(),
    ) {
        let plan = shares(&regions, &demand, &slots, &failing);
        let served: f64 =
            plan.iter().zip(&demand).map(|(row, demand)| row.iter().sum::<f64>() * demand).sum();
        let capacity: Vec<f64> = slots.iter().map(|slots| 0.97 * (slots * 2.0).round() / 2.0).collect();
        let maximum = max_flow(&demand, &capacity, |origin, target| {
            slots[target] > 0.0 && !failing.contains(&(origin, target))
        });
        // Water-filling does not reconsider placed work: work that can go to only one zone may find that zone
        // full. Half of the maximum is the bound for any assignment that leaves no capacity free next to
        // unplaced work that could use it.
        prop_assert!(served >= 0.5 * maximum - 0.5, "served {served} of {maximum}");
    }

    #[test]
    fn more_slots_in_any_zone_never_serve_less_if_all_routes_work(
        (regions, demand, slots, _) in scenario(),
        zone in 0..7usize,
        added in 1.0..100.0f64,
    ) {
        let served = |slots: &[f64]| -> f64 {
            let plan = shares(&regions, &demand, slots, &[]);
            plan.iter().zip(&demand).map(|(row, demand)| row.iter().sum::<f64>() * demand).sum()
        };
        let mut larger = slots.clone();
        larger[zone % slots.len()] += added;
        prop_assert!(
            served(&larger) >= served(&slots) - 0.5,
            "served {} with more slots, {} before",
            served(&larger),
            served(&slots)
        );
    }

    /// A reduction of the load by up to half a percent is noise. It must not change the plan unless it moves
    /// one of an origin's shares by the minimum change. That can happen to a small zone without slots of its
    /// own, since it gets all that a large zone near its capacity does not need. In that case the plan may
    /// follow once, and the amount of work that moves is bounded by what the noise freed.
    #[test]
    fn small_load_changes_do_not_change_the_plan(
        (regions, demand, slots, failing) in scenario(),
        noise in 0.0..0.005f64,
    ) {
        let settings = Settings::of_regions(&regions);
        let mut planner = Planner::new(0, settings.clone(), [1; 5].into(), None);
        prop_assert!(planner.replan(0, &load(0, &demand, &slots, &failing)).is_some());
        let noisy: Vec<f64> = demand.iter().map(|demand| demand * (1.0 - noise)).collect();
        let before = planner.ideal_shares(0, &load(0, &demand, &slots, &failing));
        let after = planner.ideal_shares(0, &load(0, &noisy, &slots, &failing));
        let replans: Vec<_> = (250..20_000)
            .step_by(250)
            .filter_map(|now| planner.replan(now, &load(now, &noisy, &slots, &failing)))
            .collect();
        let (mut max_change, mut moved) = (0.0f64, 0.0);
        for (origin, (before, after)) in before.iter().zip(&after).enumerate() {
            for (before, after) in before.iter().zip(after) {
                max_change = max_change.max((after - before).abs());
                moved += (after - before).abs() * demand[origin];
            }
        }
        // A plan holds shares in steps of 1/200; the bound leaves one hundredth for rounding.
        if max_change <= settings.min_share_change - 0.01 {
            prop_assert!(replans.is_empty(), "{replans:?} for a change of {max_change}");
        }
        prop_assert!(replans.len() <= 1, "{replans:?}");
        let freed = noise * demand.iter().sum::<f64>();
        // Demand is reported in hundredths of a slot.
        let rounding = 0.02 * demand.len() as f64;
        prop_assert!(moved <= 4.0 * freed + rounding, "{moved} slots moved, {freed} freed");
    }
}
