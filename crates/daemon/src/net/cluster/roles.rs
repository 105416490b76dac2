//! The cluster's roles, each held by at most one scheduler at a time. Their numbers are part of the wire
//! format.

use brackenledge_leases::Role;
use brackenledge_protocol::operations::Operations;

/// Sums up the loads of all schedulers and broadcasts the totals, in clusters large enough to need it.
pub const AGGREGATOR: Role = 0;
/// Plans how each zone's jobs are distributed over all zones. Exists only if zone routing is enabled.
pub const ZONE_PLANNER: Role = 1;

/// Role names in the log and at the admin endpoint, by role number.
const NAMES: [&str; 2] = ["relay", "zones"];

/// The role's name in the log and at the admin endpoint.
pub fn name(role: Role) -> &'static str {
    NAMES.get(usize::from(role)).copied().unwrap_or("unknown")
}

/// Number of roles. Without zone routing there is no zone planner, which has the highest number.
pub fn count(operations: &Operations) -> Role {
    if operations.zones.enabled { ZONE_PLANNER + 1 } else { ZONE_PLANNER }
}
