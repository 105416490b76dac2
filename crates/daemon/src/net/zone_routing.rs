//! Zone routing on sockets: reports observed load to the leader of the planning role, plans while this scheduler is that
//! leader, and turns the plan in effect into route costs for the policy.
//!
//! **Invariant.** A plan is published only under a role lease that is held at that moment, and followed only if no newer
//! version is known. Times are Unix milliseconds, by the clock that all machines read.
//!
//! | message | from, to | lost | stale or malformed |
//! | --- | --- | --- | --- |
//! | zone report, a datagram each second | every scheduler, to the leader | the one before it counts until its TTL | malformed ones are counted |
//! | plan, under the leader's fencing token | the leader, to all | published again within half a second | stale ones are counted and ignored |

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

/// Time between two calls of [`ZoneRouting::handle_timeout`]: a new plan is published, and new route costs take effect,
/// no later than this.
pub const TICK_INTERVAL: Millis = 250.0;
/// Time between two reports of observed load.
const REPORT_INTERVAL: Millis = 1_000.0;
/// How long a plan that is not received again stays in effect: longer than it takes to elect another leader.
const PLAN_TTL: WholeMillis = 8_000;

/// The time in the whole milliseconds that the crate `zone-routing` counts.
fn whole_millis(now: Millis) -> WholeMillis {
    now as WholeMillis
}

/// What this scheduler routes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoutingSource {
    /// The leader's plan.
    Plan,
    /// Its own observations.
    OwnObservations,
}

/// Counts since the start.
#[derive(Default)]
struct Counts {
    /// Plans that were ignored, since a newer version was known.
    stale_plans: u64,
    /// Messages that are no plan or report.
    malformed: u64,
    /// Plans made here.
    plans_made: u64,
}

/// One scheduler's part in zone routing.
pub struct ZoneRouting {
    zone_names: Vec<String>,
    local_zone: usize,
    settings: Settings,
    observations: Observations,
    leader: PlanLeader,
    follower: PlanFollower,
    cost_model: RouteCostModel,
    /// The costs that the policy was given last.
    route_costs: Vec<f64>,
    source: RoutingSource,
    counts: Counts,
}

impl ZoneRouting {
    /// `zone_names`: the settings' zones, in order.
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

    /// An attempt is sent to a worker in this zone.
    pub fn on_attempt_started(&mut self, zone: Option<u32>) {
        if let Some(zone) = zone {
            self.cost_model.on_job_sent(zone as usize);
        }
    }

    /// An attempt ended.
    pub fn on_attempt_finished(
        &mut self,
        worker: WorkerId,
        zone: Option<u32>,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.observations.on_attempt_finished(worker, zone, outcome, report);
    }

    /// A job was served. `run_time`: how long its attempt took.
    pub fn on_job_served(&mut self, run_time: Millis) {
        self.observations.on_job_served(run_time);
    }

    /// A scheduler's report of observed load was received.
    pub fn handle_report(&mut self, now: Millis, from: u16, bytes: &[u8]) {
        match ZoneReport::decode(bytes, self.zone_names.len()) {
            Ok(report) => self.leader.handle_report(now, from, report),
            Err(_) => self.counts.malformed += 1,
        }
    }

    /// A plan was received, under a fencing token that was accepted.
    pub fn handle_plan(&mut self, now: Millis, bytes: &[u8]) {
        match Plan::decode(bytes) {
            Ok(plan) if plan.zone_count() == self.zone_names.len() => {
                let stale = self.follower.handle_plan(whole_millis(now), plan).is_err();
                self.counts.stale_plans += u64::from(stale);
            }
            _ => self.counts.malformed += 1,
        }
    }

    /// Does what is due. Returns the costs of the routes to all zones if they have changed.
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

    /// Reports the observed load to the leader, if there is one.
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

    /// Plans and publishes while this scheduler is the leader of the planning role.
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
        // A leader's own plan is never stale: its term is newer than that of any plan it knows.
        let _ = self.follower.handle_plan(plan_time, plan);
    }

    /// The costs of the routes to all zones now. Empty: the policy applies its own cost of a crossing.
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

    /// The lines of the admin endpoint's `ZONES`.
    pub fn status_lines(&mut self, now: Millis) -> Vec<String> {
        let summary = status::summary_line(self.source, self.follower.newest_version(), &self.counts);
        let mut lines = vec![summary];
        if let Some(plan) = self.follower.active_plan(whole_millis(now)) {
            lines.extend(status::zone_lines(plan, &self.zone_names, &self.route_costs));
        }
        lines
    }
}

/// The region of each zone, by number; zones that are named in none share one more.
fn region_numbers(options: &ZoneOptions, zone_names: &[String]) -> Vec<usize> {
    let region_of = |name: &String| options.regions.iter().position(|region| region.contains(name));
    zone_names.iter().map(|name| region_of(name).unwrap_or(options.regions.len())).collect()
}

/// The term of the role lease, as plans carry it.
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
