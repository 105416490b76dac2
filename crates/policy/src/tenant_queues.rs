//! Per-tenant queues of jobs that wait for an attempt.

use crate::settings::{Class, Settings, Tenant};
use crate::units::JobId;
use std::collections::VecDeque;

/// Maximum queue depth of a tenant whose quota is above the median.
const MAX_DEPTH_LARGE_TENANT: usize = 32;
/// Maximum queue depth of any other tenant.
const MAX_DEPTH_SMALL_TENANT: usize = 16;
/// Minimum weight of a tenant in the round-robin.
const MIN_WEIGHT: f64 = 0.01;

/// The priority weights that jobs can have, in descending order. Each tenant's queue has one lane for each of
/// them.
pub(crate) struct PriorityLanes(Vec<f64>);

impl PriorityLanes {
    /// The weights of all classes, for jobs within and beyond their quota, in time and late.
    pub(crate) fn new(settings: &Settings) -> Self {
        let over_quota = settings.over_quota_weight;
        let class_weights = |class: &Class| {
            let Class { priority_weight: weight, late_weight: late, .. } = *class;
            [weight, weight * late, weight * over_quota, weight * late * over_quota]
        };
        let mut weights: Vec<f64> = settings.classes.iter().flat_map(class_weights).collect();
        weights.sort_by(|a, b| b.total_cmp(a));
        weights.dedup();
        PriorityLanes(weights)
    }

    /// The number of lanes of each tenant.
    pub(crate) fn count(&self) -> usize {
        self.0.len()
    }

    /// The lane for jobs with this weight.
    pub(crate) fn lane(&self, weight: f64) -> usize {
        self.0.iter().take_while(|&&other| other > weight).count().min(self.0.len() - 1)
    }
}

/// A tenant's queued jobs of one priority weight.
#[derive(Default)]
pub(crate) struct Lane {
    pub(crate) jobs: VecDeque<JobId>,
    /// The deficit counter: slots that this lane may still take in its turn of the deficit round-robin.
    pub(crate) credit: f64,
}

/// All queued jobs of one tenant.
pub(crate) struct TenantQueue {
    /// The tenant's weight in the round-robin.
    pub(crate) weight: f64,
    /// Maximum number of jobs in all lanes together.
    pub(crate) max_depth: usize,
    pub(crate) lanes: Vec<Lane>,
}

impl TenantQueue {
    /// Number of queued jobs in all lanes.
    pub(crate) fn depth(&self) -> usize {
        self.lanes.iter().map(|lane| lane.jobs.len()).sum()
    }

    /// The last job of the lowest-priority lane that has any, among the lanes below this one.
    pub(crate) fn last_job_below(&self, lane: usize) -> Option<JobId> {
        self.lanes[lane + 1..].iter().rev().find_map(|lane| lane.jobs.back().copied())
    }

    /// Whether any lane has jobs.
    pub(crate) fn has_jobs(&self) -> bool {
        self.lanes.iter().any(|lane| !lane.jobs.is_empty())
    }
}

/// State of the deficit round-robin over the tenants, for one lane.
#[derive(Clone, Copy, Default)]
pub(crate) struct LaneTurn {
    /// The tenant whose turn it is.
    pub(crate) tenant: usize,
    /// Whether the credit for this turn has been added.
    pub(crate) is_credited: bool,
}

/// Creates an empty queue for each tenant, with this many lanes.
pub(crate) fn tenant_queues(settings: &Settings, lanes: usize) -> Vec<TenantQueue> {
    let tenants = &settings.tenants;
    let mut fractions: Vec<f64> = tenants.iter().map(|tenant| tenant.quota_fraction).collect();
    fractions.sort_by(f64::total_cmp);
    let median = fractions[fractions.len() / 2];
    let queue = |tenant: &Tenant| TenantQueue {
        weight: tenant.quota_fraction.max(MIN_WEIGHT),
        max_depth: if tenant.quota_fraction > median {
            MAX_DEPTH_LARGE_TENANT
        } else {
            MAX_DEPTH_SMALL_TENANT
        },
        lanes: (0..lanes).map(|_| Lane::default()).collect(),
    };
    tenants.iter().map(queue).collect()
}
