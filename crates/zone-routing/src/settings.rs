//! Settings of the planner: costs of crossings, target utilizations, and bounds on how often the plan changes.

use crate::Millis;

/// Cost of a crossing between two zones of one region.
const SAME_REGION_COST: f64 = 1.0;
/// Cost of a crossing between zones of different regions.
const OTHER_REGION_COST: f64 = 10.0;

/// Settings of the planner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The cost of a crossing, by origin and target; infinity forbids it. Work goes over cheap crossings first.
    pub crossing_cost: Vec<Vec<f64>>,
    /// Upper bound of the utilization that is planned for a zone: see [`Settings::target_utilization_for`].
    pub target_utilization: f64,
    /// Upper bound of the utilization that is planned where work would be rejected otherwise.
    pub max_utilization: f64,
    /// Shares that would change by less are left as they are.
    pub min_share_change: f64,
    /// New plans in a minute, at most.
    pub max_changes_per_minute: u32,
    /// An improvement must hold for so long before it is planned.
    pub stabilization_period: Millis,
    /// How long before it takes effect a plan is published.
    pub activation_lead: Millis,
    /// A load report older than this is ignored.
    pub report_ttl: Millis,
    /// The share of a zone's work that probes its suspect local route.
    pub probe_fraction: f64,
}

impl Settings {
    /// The utilization planned for a zone of so many slots. For the same waiting times, the idle fraction has to be
    /// inversely proportional to the square root of their number (S. Halfin, W. Whitt, "Heavy-traffic limits for queues
    /// with many exponential servers", 1981).
    pub fn target_utilization_for(&self, slots: f64) -> f64 {
        (1.0 - 1.0 / slots.max(1.0).sqrt()).clamp(0.0, self.target_utilization)
    }

    /// Default settings. `regions`: the region number of each zone.
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
