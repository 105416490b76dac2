//! Locality-aware routing between zones. One elected leader plans which share of each zone's work goes to
//! which zone, and all schedulers follow that plan. Work stays in its zone while the zone has capacity. The
//! excess goes to other zones, and no more of it than they have capacity for.
//!
//! **Invariants.**
//!
//! - For each origin zone, the planned shares and the rejected share sum to 1.
//! - A zone is planned above [`Settings::target_utilization`] only if work would otherwise be rejected, and
//!   never above [`Settings::max_utilization`].
//! - Work leaves a zone only if the zone has no capacity for it.
//! - The same load gives the same plan.
//! - A plan is not replaced by one that differs only slightly, and plans change at most
//!   [`Settings::max_changes_per_minute`] times per minute, even if zones or routes flap.
//!
//! The crate has four parts. Each is driven by its caller and does no I/O, reads no clock and uses no
//! randomness:
//!
//! - [`ZoneLoadReport`] is the sum of the [`SchedulerZoneReport`]s of a zone's schedulers. Each of those
//!   states what one scheduler observed in one interval, about its own work and about the route to each zone.
//!   The sum does not depend on the order of summation, and is no larger for 300 schedulers than for 10.
//! - [`Planner`] takes the newest report of each zone, which [`ClusterLoad`] holds. It returns a new [`Plan`]
//!   with its [`ReplanReason`] if the plan must be replaced. It is run by the leader, which in this crate
//!   is the process that holds the role lease for planning, under the term of that lease.
//! - [`PlanFollower`] takes the plans that the leader publishes, and determines the [`RoutingMode`] of one
//!   scheduler. A newer plan takes effect at the time that it states. If no plan arrives any more, routing
//!   returns to local in two bounded steps.
//! - [`RouteCostModel`] takes one zone's shares and the jobs sent so far. It returns a cost for each target
//!   zone such that sending jobs to the cheapest zone keeps the shares.
//!
//! **Out of scope.** This crate does not select workers: the policy crate does, for each job, by the rules of
//! the job's class. It does not determine whether a zone is down or partitioned either: it plans with the
//! state of the route from each zone to each other zone, as the schedulers of the origin zone observed it.

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

/// Unix time or a duration, in milliseconds. The planner and the schedulers compare times of different
/// machines, so their clocks must be synchronized.
pub type Millis = u64;

/// Maximum number of zones in a deployment. The encoded plan for this many zones fits into one datagram.
pub const MAX_ZONES: usize = 12;
