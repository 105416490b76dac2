//! The queues of the tenants: how long they may be, and what part of the work is each one's.

use crate::{JobId, Settings, Tenant};
use std::collections::VecDeque;

/// Jobs queued at most: of tenants whose weight is above the median, and of the others.
const DEPTHS: (usize, usize) = (32, 16);
/// Lanes of a tenant: work within its share, and beyond it.
pub(crate) const LANES: usize = 2;

/// Jobs of one tenant that are alike in being within its share or beyond it, and the slots that it may still take in
/// this turn.
pub(crate) struct Lane {
    pub(crate) queue: VecDeque<JobId>,
    pub(crate) credit: f64,
}

/// All queued jobs of a tenant.
pub(crate) struct TenantQueue {
    pub(crate) weight: f64,
    pub(crate) depth: usize,
    pub(crate) lanes: [Lane; LANES],
}

/// Empty queues for the settings' tenants.
pub(crate) fn tenant_queues(settings: &Settings) -> Vec<TenantQueue> {
    let tenants = &settings.tenants;
    let mut shares: Vec<f64> = tenants.iter().map(|tenant| tenant.quota_fraction).collect();
    shares.sort_by(f64::total_cmp);
    let median = shares[shares.len() / 2];
    let lane = || Lane { queue: VecDeque::new(), credit: 0.0 };
    let queue = |tenant: &Tenant| TenantQueue {
        weight: tenant.quota_fraction.max(0.01),
        depth: if tenant.quota_fraction > median { DEPTHS.0 } else { DEPTHS.1 },
        lanes: [lane(), lane()],
    };
    tenants.iter().map(queue).collect()
}
