//! The roles, each with one holder at a time. Their numbers are part of the wire format.

use brackenledge_leases::Role;
use brackenledge_protocol::operations::Operations;

/// Adds up the loads of all schedulers and broadcasts the totals, in clusters large enough for that.
pub const AGGREGATOR: Role = 0;
/// Plans where each zone's work goes, where operators have zone routing on.
pub const ZONE_PLANNER: Role = 1;

/// The roles' names in the log and at the admin endpoint, in order of their numbers.
const NAMES: [&str; 2] = ["relay", "zones"];

/// A role's name.
pub fn name(role: Role) -> &'static str {
    NAMES.get(usize::from(role)).copied().unwrap_or("unknown")
}

/// Number of roles. The zone planner, which has the highest number, exists only where zone routing is on.
pub fn count(operations: &Operations) -> Role {
    if operations.zones.enabled { ZONE_PLANNER + 1 } else { ZONE_PLANNER }
}
