//! Settings of the planner: cost of routes between zones, target utilizations, and bounds on how often the
//! plan changes.

use crate::Millis;

/// Cost of a route between two zones of the same region.
const SAME_REGION_COST: f64 = 1.0;
/// Cost of a route between zones of different regions.
const OTHER_REGION_COST: f64 = 10.0;

/// Settings of the planner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Cost of sending work from one zone to another, by origin, then by target. Infinity forbids the route.
    /// Work is placed over cheap routes first; only the order of the costs matters, so they have no unit.
    pub crossing_cost: Vec<Vec<f64>>,
    /// Upper bound of the utilization planned for a zone, as a fraction of its slots. Small zones get less:
    /// see [`Settings::target_utilization_for`].
    pub target_utilization: f64,
    /// Upper bound of the utilization planned for a zone if work would otherwise be rejected, as a fraction
    /// of its slots.
    pub max_utilization: f64,
    /// A new plan is published only if at least one share changes by more than this.
    pub min_share_change: f64,
    /// Maximum number of new plans per minute.
    pub max_changes_per_minute: u32,
    /// How long an improvement must remain possible before it is planned.
    pub stabilization_period: Millis,
    /// Time between the publication of a plan and its activation.
    pub activation_lead: Millis,
    /// Load reports older than this are ignored.
    pub report_ttl: Millis,
    /// Share of a zone's work that is sent over its local route as probes while that route is suspect.
    pub probe_fraction: f64,
}

impl Settings {
    /// The target utilization of a zone with this many slots. Equal waiting times require an idle fraction
    /// that is inversely proportional to the square root of the number of slots (S. Halfin, W. Whitt,
    /// "Heavy-traffic limits for queues with many exponential servers", 1981).
    pub fn target_utilization_for(&self, slots: f64) -> f64 {
        (1.0 - 1.0 / slots.max(1.0).sqrt()).clamp(0.0, self.target_utilization)
    }

    /// Default settings for zones in these regions. `regions[zone]` is the index of the zone's region.
    pub fn of_regions(regions: &[usize]) -> Settings {
        let zone_count = regions.len();
        let cost_row = |origin| (0..zone_count).map(|target| region_cost(regions, origin, target)).collect();
        Settings {
            crossing_cost: (0..zone_count).map(cost_row).collect(),
            target_utilization: 0.85,
            max_utilization: 0.97,
            min_share_change: 0.03,
            max_changes_per_minute: 4,
            stabilization_period: 4_000,
            activation_lead: 500,
            report_ttl: 5_000,
            probe_fraction: 0.02,
        }
    }
}

fn region_cost(regions: &[usize], origin: usize, target: usize) -> f64 {
    if origin == target {
        0.0
    } else if regions[origin] == regions[target] {
        SAME_REGION_COST
    } else {
        OTHER_REGION_COST
    }
}
