//! Formats the state of zone routing for the admin endpoint and the log.

use super::{Counts, RoutingSource};
use brackenledge_zone_routing::{Plan, PlanVersion};

/// The name of a routing source at the admin endpoint and in the log.
pub(super) fn source_name(source: RoutingSource) -> &'static str {
    match source {
        RoutingSource::Plan => "plan",
        RoutingSource::OwnObservations => "own-evidence",
    }
}

/// The first line of the reply to `ZONES`: the routing source, the version of the newest plan known, and
/// counters.
pub(super) fn summary_line(source: RoutingSource, newest: PlanVersion, counts: &Counts) -> String {
    format!(
        "by={} plan={}/{} plans_made={} refused={} nonsense={}",
        source_name(source),
        newest.term,
        newest.sequence,
        counts.plans_made,
        counts.stale_plans,
        counts.malformed
    )
}

/// One line per zone: the zones that its jobs are routed to, its rejected share, and the cost of the route to
/// it from this scheduler's zone.
pub(super) fn zone_lines(plan: &Plan, zone_names: &[String], route_costs: &[f64]) -> Vec<String> {
    let line = |(origin, name): (usize, &String)| {
        let targets: Vec<String> = (zone_names.iter().enumerate())
            .filter(|&(target, _)| plan.share(origin, target) > 0.0)
            .map(|(target, target_name)| format!("{target_name}:{:.3}", plan.share(origin, target)))
            .collect();
        let targets = if targets.is_empty() { "nowhere".into() } else { targets.join(",") };
        let cost = route_costs.get(origin).map_or("none".into(), |cost| format!("{cost:.2}"));
        let rejected = plan.rejected_share(origin);
        format!("zone={name} to={targets} refused={rejected:.3} price_here={cost}")
    };
    zone_names.iter().enumerate().map(line).collect()
}

/// Formats the shares that a plan routes to other zones.
pub(super) fn remote_shares(plan: &Plan, zone_names: &[String]) -> String {
    let zone_count = plan.zone_count().min(zone_names.len());
    let mut crossings = Vec::new();
    for (origin, name) in zone_names.iter().enumerate().take(zone_count) {
        for (target, target_name) in zone_names.iter().enumerate() {
            let share = plan.share(origin, target);
            if target != origin && share > 0.0 {
                crossings.push(format!("{name}>{target_name} {share:.2}"));
            }
        }
    }
    if crossings.is_empty() { "all local".into() } else { crossings.join(", ") }
}
