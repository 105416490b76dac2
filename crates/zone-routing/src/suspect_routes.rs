//! Outlier detection for routes between zones: which routes have failed and have not been observed to work
//! since.

use crate::{ClusterLoad, Millis, RouteStats, Settings};
use std::collections::BTreeMap;

/// A suspect route is trusted again once its attempts have succeeded for this long.
const RECOVERY_PERIOD: Millis = 2_000;
/// A suspect route is trusted again this long after its last failure, even if no attempts were made. The
/// planner sends no probes between zones, and by then the endpoint list shows which workers are gone.
const SUSPICION_TTL: Millis = 30_000;
/// A report with fewer attempts than this does not make a route suspect.
const MIN_ATTEMPTS: u32 = 5;
/// A route becomes suspect if at least this fraction of its attempts failed.
const FAILURE_THRESHOLD: f64 = 0.5;

/// The route from an origin zone to a target zone, by zone index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Route {
    origin: usize,
    target: usize,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    failed_at: Millis,
    /// When attempts were first observed to succeed after `failed_at`; `None` if that has not happened yet.
    working_since: Option<Millis>,
}

impl Suspicion {
    /// Whether the route can be trusted again.
    fn is_cleared(&self, now: Millis) -> bool {
        let recovered = self.working_since.is_some_and(|since| now >= since + RECOVERY_PERIOD);
        recovered || now >= self.failed_at + SUSPICION_TTL
    }
}

/// The set of suspect routes. A route stays suspect until it is observed to work or its suspicion expires. An
/// interval without attempts is no evidence that the route works.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspectRoutes {
    suspicions: BTreeMap<Route, Suspicion>,
}

impl SuspectRoutes {
    /// Whether a route is suspect.
    pub fn contains(&self, origin: usize, target: usize) -> bool {
        self.suspicions.contains_key(&Route { origin, target })
    }

    /// Updates the set from the fresh reports of all origin zones.
    pub fn update(&mut self, now: Millis, settings: &Settings, load: &ClusterLoad, zone_count: usize) {
        let oldest = now.saturating_sub(settings.report_ttl);
        for origin in 0..zone_count {
            let Some(report) = load.fresh_report(origin, oldest) else { continue };
            for (target, stats) in report.routes.iter().enumerate().take(zone_count) {
                self.update_route(now, Route { origin, target }, stats);
            }
        }
    }

    fn update_route(&mut self, now: Millis, route: Route, stats: &RouteStats) {
        let attempts = stats.reached.saturating_add(stats.failed);
        let mostly_failed =
            attempts > 0 && f64::from(stats.failed) >= FAILURE_THRESHOLD * f64::from(attempts);
        if mostly_failed && (attempts >= MIN_ATTEMPTS || self.suspicions.contains_key(&route)) {
            self.suspicions.insert(route, Suspicion { failed_at: now, working_since: None });
            return;
        }
        let Some(suspicion) = self.suspicions.get_mut(&route) else { return };
        if attempts > 0 {
            suspicion.working_since.get_or_insert(now);
        }
        if suspicion.is_cleared(now) {
            self.suspicions.remove(&route);
        }
    }
}
