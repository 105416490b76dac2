//! The roles of which one scheduler at a time is in charge. Their numbers are part of the wire format.

use brackenledge_leases::Role;
use brackenledge_protocol::operations::Operations;

/// Sums up the loads of all schedulers and sends them the result, in clusters large enough for that.
pub const AGGREGATOR: Role = 0;
/// Plans where each zone's work goes, where operators ask for it.
pub const ZONE_PLANNER: Role = 1;

/// What operators know the roles by, in order of their numbers.
const NAMES: [&str; 2] = ["relay", "zones"];

/// A role's name.
pub fn name(role: Role) -> &'static str {
    NAMES.get(usize::from(role)).copied().unwrap_or("unknown")
}

/// Number of roles. The zone planner, which is the last one, is there only if operators ask for it.
pub fn count(operations: &Operations) -> Role {
    if operations.zones.enabled { ZONE_PLANNER + 1 } else { ZONE_PLANNER }
}
