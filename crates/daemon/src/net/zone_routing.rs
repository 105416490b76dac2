//! Driver for zone routing. Each scheduler reports its observed load to the holder of the zone planner role,
//! called the leader here. The leader makes plans and publishes them, and each scheduler converts the plan in
//! effect to route costs for the policy.
//!
//! **Invariant.** A plan is published only while the role lease is held, and followed only if no newer
//! version is known. Times are Unix milliseconds of the system clock.
//!
//! | message | sent | if lost | if stale or malformed |
//! | --- | --- | --- | --- |
//! | zone report | all to leader, each second | the previous one counts until its TTL | malformed: counted |
//! | plan with fencing token | leader to all | sent again within half a second | counted, ignored |

mod observations;
mod plan_leader;
mod report;
mod status;

use self::observations::Observations;
use self::plan_leader::PlanLeader;
use self::report::ZoneReport;
use super::cluster::{Cluster, roles::ZONE_PLANNER};
use super::event_loop::Millis;
use super::peer_socket::PeerSocket;
use brackenledge_discovery::EndpointDirectory;
use brackenledge_engine::Engine;
use brackenledge_leases::Term;
use brackenledge_policy::{LoadReport, Outcome, WorkerId};
use brackenledge_protocol::operations::ZoneOptions;
use brackenledge_zone_routing::{
    Millis as WholeMillis, Plan, PlanFollower, PlannerTerm, RouteCostModel, RoutingMode, Settings,
};
use slog::{Logger, info};

/// Interval between calls of [`ZoneRouting::handle_timeout`]. It bounds the delay until a new plan is
/// published and until new route costs take effect.
pub const TICK_INTERVAL: Millis = 250.0;
/// Interval between two reports of observed load.
const REPORT_INTERVAL: Millis = 1_000.0;
/// How long a plan stays in effect after it was last received. Longer than it takes to elect another leader.
const PLAN_TTL: WholeMillis = 8_000;

/// Converts the event loop's time to the whole milliseconds of the crate `zone-routing`.
fn whole_millis(now: Millis) -> WholeMillis {
    now as WholeMillis
}

/// What this scheduler's routing is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoutingSource {
    /// A plan that is in effect.
    Plan,
    /// Only what this scheduler observes itself, for lack of a plan in effect.
    OwnObservations,
}

/// Counters since the process started.
#[derive(Default)]
struct Counts {
    /// Received plans that were ignored because a newer version was known.
    stale_plans: u64,
    /// Plans and reports that could not be decoded or do not match the configured zones.
    malformed: u64,
    /// Plans made by this scheduler as the leader.
    plans_made: u64,
}

/// The state of zone routing in one scheduler.
pub struct ZoneRouting {
    zone_names: Vec<String>,
    local_zone: usize,
    settings: Settings,
    observations: Observations,
    leader: PlanLeader,
    follower: PlanFollower,
    cost_model: RouteCostModel,
    /// The costs that were last returned for the policy.
    route_costs: Vec<f64>,
    source: RoutingSource,
    counts: Counts,
}

impl ZoneRouting {
    /// `zone_names`: the configured zones, by zone index.
    pub fn new(
        options: &ZoneOptions,
        zone_names: Vec<String>,
        policy: &brackenledge_policy::Settings,
    ) -> ZoneRouting {
        let (local_zone, zone_count) = (policy.zone as usize, zone_names.len());
        ZoneRouting {
            local_zone,
            settings: Settings::of_regions(&region_numbers(options, &zone_names)),
            observations: Observations::new(zone_count, policy),
            leader: PlanLeader::default(),
            follower: PlanFollower::new(local_zone, PLAN_TTL),
            cost_model: RouteCostModel::new(local_zone, zone_count),
            route_costs: Vec::new(),
            source: RoutingSource::OwnObservations,
            counts: Counts::default(),
            zone_names,
        }
    }

    /// An attempt is sent to a worker in this zone; `None` if the worker's zone is unknown.
    pub fn on_attempt_started(&mut self, zone: Option<u32>) {
        if let Some(zone) = zone {
            self.cost_model.on_job_sent(zone as usize);
        }
    }

    /// An attempt ended. `zone` is that of the worker, and `report` the load report in its response, if any.
    pub fn on_attempt_finished(
        &mut self,
        worker: WorkerId,
        zone: Option<u32>,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.observations.on_attempt_finished(worker, zone, outcome, report);
    }

    /// A job was served. `run_time`: how long its attempt took, in milliseconds.
    pub fn on_job_served(&mut self, run_time: Millis) {
        self.observations.on_job_served(run_time);
    }

    /// Handles a scheduler's report of observed load.
    pub fn handle_report(&mut self, now: Millis, from: u16, bytes: &[u8]) {
        match ZoneReport::decode(bytes, self.zone_names.len()) {
            Ok(report) => self.leader.handle_report(now, from, report),
            Err(_) => self.counts.malformed += 1,
        }
    }

    /// Handles a plan whose fencing token was accepted.
    pub fn handle_plan(&mut self, now: Millis, bytes: &[u8]) {
        match Plan::decode(bytes) {
            Ok(plan) if plan.zone_count() == self.zone_names.len() => {
                let stale = self.follower.handle_plan(whole_millis(now), plan).is_err();
                self.counts.stale_plans += u64::from(stale);
            }
            _ => self.counts.malformed += 1,
        }
    }

    /// Sends a report, makes and publishes a plan, if due. Returns the costs of the routes to all zones if
    /// they have changed.
    pub fn handle_timeout(
        &mut self,
        now: Millis,
        cluster: &mut Cluster,
        peer: &PeerSocket,
        engine: &Engine,
        endpoints: &EndpointDirectory,
        log: &Logger,
    ) -> Option<Vec<f64>> {
        if now >= self.observations.interval_start() + REPORT_INTERVAL {
            self.report(now, cluster, peer, engine, endpoints);
        }
        self.lead(now, cluster, peer, log);
        let route_costs = self.update_route_costs(whole_millis(now), log);
        if route_costs == self.route_costs {
            return None;
        }
        self.route_costs.clone_from(&route_costs);
        Some(route_costs)
    }

    /// Reports the observed load to the leader, if one is known.
    fn report(
        &mut self,
        now: Millis,
        cluster: &mut Cluster,
        peer: &PeerSocket,
        engine: &Engine,
        endpoints: &EndpointDirectory,
    ) {
        let observed = self.observations.take_report(now, engine.submitted_slots(), endpoints);
        let (Some(observed), Some(leader)) = (observed, cluster.role_holder(ZONE_PLANNER)) else { return };
        let report = ZoneReport { zone: self.local_zone as u8, observed };
        if leader == cluster.me() {
            self.leader.handle_report(now, leader.ordinal, report);
        } else {
            cluster.send_zone_report(peer, leader, &report.encode());
        }
    }

    /// Makes and publishes plans while this scheduler is the leader.
    fn lead(&mut self, now: Millis, cluster: &mut Cluster, peer: &PeerSocket, log: &Logger) {
        let Some(term) = cluster.holds_lease(ZONE_PLANNER) else {
            self.leader.step_down();
            return;
        };
        let plan_time = whole_millis(now);
        self.leader.ensure_planner(plan_time, &self.settings, planner_term(term), &mut self.follower);
        let replan = self.leader.replan(now, self.zone_names.len());
        if let Some(replan) = &replan {
            self.counts.plans_made += 1;
            info!(log, "zone_plan_made";
                "shares" => status::remote_shares(&replan.plan, &self.zone_names),
                "reason" => ?replan.reason);
        }
        let Some(plan) = self.leader.plan().cloned() else { return };
        if self.leader.take_due_publication(now, replan.is_some()) {
            cluster.broadcast_fenced(peer, ZONE_PLANNER, term, &plan.encode());
        }
        // The leader's own plan is never stale, since its term is later than that of any other plan it knows.
        let _ = self.follower.handle_plan(plan_time, plan);
    }

    /// The current costs of the routes to all zones. If empty, the policy uses its own cost of crossing
    /// zones.
    fn update_route_costs(&mut self, now: WholeMillis, log: &Logger) -> Vec<f64> {
        let (source, route_costs) = match self.follower.routing_mode(now) {
            RoutingMode::Planned(shares) => (RoutingSource::Plan, self.cost_model.costs(now, &shares)),
            RoutingMode::LocalFallback { .. } => (RoutingSource::OwnObservations, Vec::new()),
        };
        if self.source != source {
            self.source = source;
            info!(log, "zone_routing_source_changed"; "source" => status::source_name(source));
        }
        route_costs
    }

    /// The reply to the admin call `ZONES`: a summary line, then one line per zone if a plan is in effect.
    pub fn status_lines(&mut self, now: Millis) -> Vec<String> {
        let summary = status::summary_line(self.source, self.follower.newest_version(), &self.counts);
        let mut lines = vec![summary];
        if let Some(plan) = self.follower.active_plan(whole_millis(now)) {
            lines.extend(status::zone_lines(plan, &self.zone_names, &self.route_costs));
        }
        lines
    }
}

/// The region number of each zone. Zones that belong to no configured region share one additional region.
fn region_numbers(options: &ZoneOptions, zone_names: &[String]) -> Vec<usize> {
    let region_of = |name: &String| options.regions.iter().position(|region| region.contains(name));
    zone_names.iter().map(|name| region_of(name).unwrap_or(options.regions.len())).collect()
}

/// Converts the term of the role lease to the form used in plans.
fn planner_term(term: Term) -> PlannerTerm {
    PlannerTerm {
        era: term.epoch.era,
        epoch: term.epoch.number,
        ballot: term.ballot.counter,
        proposer: u32::from(term.ballot.proposer),
        step: term.step,
    }
}

#[cfg(test)]
mod tests;
