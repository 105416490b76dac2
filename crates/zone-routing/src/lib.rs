//! Locality-aware routing between zones: one leader plans which share of each zone's work goes to which zone, and all
//! schedulers act on that plan. Work stays in its zone while the zone has capacity; what is over goes elsewhere, no more
//! than there is capacity for.
//!
//! **Invariants.** A plan's shares and its rejected share sum to the whole of each zone's work. No zone is planned above
//! [`Settings::target_utilization`] unless work would be rejected otherwise, and never above
//! [`Settings::max_utilization`]. Work leaves a zone only where that zone has no capacity for it. The same load gives the
//! same plan. A plan that would change by little is not changed, and never more often than
//! [`Settings::max_changes_per_minute`], whatever flaps.
//!
//! Four parts, each driven by its caller, with no I/O, no clock and no randomness:
//!
//! | part | input | output |
//! | --- | --- | --- |
//! | [`ZoneLoadReport`] | [`SchedulerZoneReport`]: what one scheduler observed in one interval, of its own work and of the route to each zone | the sum over a zone's schedulers: the same in any order of summation, no larger for 300 schedulers than for 10 |
//! | [`Planner`] | [`ClusterLoad`]: the newest report of each zone | a new [`Plan`] with its [`ReplanReason`], where there is reason for one. Run by the leader of the planning role, under its term |
//! | [`PlanFollower`] | plans as the leader publishes them | the [`RoutingMode`] of one scheduler: a plan newer than its own takes effect at the time that it states; without any, two bounded steps back to local routing |
//! | [`RouteCostModel`] | one zone's shares, and the jobs sent | a cost for each zone that keeps the shares |
//!
//! **What it is not.** It selects no worker: the policy does, per job, with the class's rules. It does not know whether a
//! zone is down or partitioned: it plans by the route from each zone to each, as the schedulers there observed it.

mod capacity;
mod change_budget;
mod load_report;
mod plan;
mod plan_follower;
mod planner;
mod route_cost;
mod settings;
mod suspect_routes;
mod water_fill;

pub use load_report::{ClusterLoad, RouteStats, SchedulerZoneReport, ZoneLoadReport};
pub use plan::{DecodePlanError, MAX_PLAN_BYTES, Plan, PlanVersion, PlannerTerm, ShareMatrix};
pub use plan_follower::{PlanFollower, RoutingMode, StalePlan};
pub use planner::{Planner, Replan, ReplanReason};
pub use route_cost::RouteCostModel;
pub use settings::Settings;

/// Unix time in milliseconds, on the clock that all machines read.
pub type Millis = u64;

/// The most zones of a deployment: a plan between so many still fits a datagram.
pub const MAX_ZONES: usize = 12;
