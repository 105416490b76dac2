//! The tenants' queues of jobs that wait for an attempt.

use crate::settings::{Settings, Tenant};
use crate::units::JobId;
use std::collections::VecDeque;

/// The lane of jobs within their tenant's quota.
pub(crate) const WITHIN_QUOTA: usize = 0;
/// The lane of jobs beyond their tenant's quota.
pub(crate) const OVER_QUOTA: usize = 1;
/// How many lanes a tenant has.
pub(crate) const LANES: usize = 2;

/// Most jobs in a lane of a tenant whose quota is above the median.
const MAX_DEPTH_LARGE_TENANT: usize = 32;
/// Most jobs in a lane of any other tenant.
const MAX_DEPTH_SMALL_TENANT: usize = 16;
/// No tenant weighs less in the round-robin.
const MIN_WEIGHT: f64 = 0.01;

/// One tenant's jobs within its quota or beyond it.
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
    /// Most jobs in a lane.
    pub(crate) max_depth: usize,
    pub(crate) lanes: [Lane; LANES],
}

impl TenantQueue {
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

/// Empty queues for the settings' tenants.
pub(crate) fn tenant_queues(settings: &Settings) -> Vec<TenantQueue> {
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
        lanes: [Lane::default(), Lane::default()],
    };
    tenants.iter().map(queue).collect()
}
