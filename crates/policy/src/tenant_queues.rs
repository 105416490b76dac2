//! The tenants' queues of jobs that wait for an attempt.

use crate::settings::{Class, Settings, Tenant};
use crate::units::JobId;
use std::collections::VecDeque;

/// Most queued jobs of a tenant whose quota is above the median.
const MAX_DEPTH_LARGE_TENANT: usize = 32;
/// Most queued jobs of any other tenant.
const MAX_DEPTH_SMALL_TENANT: usize = 16;
/// No tenant weighs less in the round-robin.
const MIN_WEIGHT: f64 = 0.01;

/// The lanes of every tenant, one for each priority weight that a job can have, the greatest first.
pub(crate) struct PriorityLanes(Vec<f64>);

impl PriorityLanes {
    /// Those of the settings' classes, within quotas and beyond them, in time and late.
    pub(crate) fn new(settings: &Settings) -> Self {
        let over_quota = settings.over_quota_weight;
        let of_class = |class: &Class| {
            let Class { priority_weight: weight, late_weight: late, .. } = *class;
            [weight, weight * late, weight * over_quota, weight * late * over_quota]
        };
        let mut weights: Vec<f64> = settings.classes.iter().flat_map(of_class).collect();
        weights.sort_by(|a, b| b.total_cmp(a));
        weights.dedup();
        PriorityLanes(weights)
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.0.len()
    }

    /// The lane of jobs of this weight.
    pub(crate) fn lane(&self, weight: f64) -> usize {
        self.0.iter().take_while(|&&other| other > weight).count().min(self.0.len() - 1)
    }
}

/// One tenant's jobs of one lane.
#[derive(Default)]
pub(crate) struct Lane {
    pub(crate) jobs: VecDeque<JobId>,
    /// Slots that it may still take in this turn of the deficit round-robin.
    pub(crate) credit: f64,
}

/// All queued jobs of a tenant.
pub(crate) struct TenantQueue {
    /// Its weight in the round-robin.
    pub(crate) weight: f64,
    /// Most jobs in all lanes.
    pub(crate) max_depth: usize,
    pub(crate) lanes: Vec<Lane>,
}

impl TenantQueue {
    /// How many jobs are queued.
    pub(crate) fn depth(&self) -> usize {
        self.lanes.iter().map(|lane| lane.jobs.len()).sum()
    }

    /// The last job of the last lane that has any, if that comes after this one.
    pub(crate) fn last_below(&self, lane: usize) -> Option<JobId> {
        self.lanes[lane + 1..].iter().rev().find_map(|lane| lane.jobs.back().copied())
    }

    /// Whether any job is queued.
    pub(crate) fn has_jobs(&self) -> bool {
        self.lanes.iter().any(|lane| !lane.jobs.is_empty())
    }
}

/// The tenant whose turn it is in a lane, and whether this turn's credit has been added.
#[derive(Clone, Copy, Default)]
pub(crate) struct LaneTurn {
    pub(crate) tenant: usize,
    pub(crate) is_credited: bool,
}

/// Empty queues for the settings' tenants, with this many lanes each.
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
