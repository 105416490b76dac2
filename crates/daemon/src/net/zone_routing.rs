//! Failover between zones on sockets: tells the duty's owner what was seen of zones, makes the plan while that duty is
//! ours, and turns the plan that holds into prices for the decision module.
//!
//! Reports go to the owner in datagrams of their own; the plan comes as the owner's deed, under its term. Times are Unix
//! milliseconds, by the clock that all machines read.

use super::cluster::{Cluster, SEEN, ZONES, send};
use super::event_loop::Millis;
use super::peer::Peer;
use brackenledge_discovery::Roster;
use brackenledge_engine::Core;
use brackenledge_policy::{LoadReport, Outcome, Readiness, WorkerId};
use brackenledge_protocol::operations::ZoneOptions;
use brackenledge_zone_routing::{Digest, Evidence, Holder, Plan, Planner, Pricer, Seen, Settings, Use, Way};
use serde::{Deserialize, Serialize};
use slog::{Logger, info};
use std::collections::{BTreeMap, HashMap};

/// How often anything here is looked at: a plan is told and prices follow within this.
pub const LOOK: Millis = 250.0;
/// Between two reports.
const REPORT: Millis = 1_000.0;
/// A report that is not followed by another counts for so long: a lost one must not look like a lost scheduler.
const REPORT_LIFE: Millis = 3_500.0;
/// Between two times that the owner tells its plan.
const TELL: Millis = 500.0;
/// A plan that is not told again is gone by for so long: longer than an owner takes to be followed.
const KEEPS: u64 = 8_000;
/// How much one report's traffic moves what is told.
const STEADY: f64 = 0.25;
/// How much one job's time moves what a usual one takes.
const LEARN: f64 = 0.05;

/// What one scheduler tells the owner.
#[derive(Serialize, Deserialize)]
struct Report {
    zone: u8,
    seen: Seen,
}

/// What was seen since the last report.
#[derive(Default)]
struct Sight {
    ways: Vec<Way>,
    /// Slots of jobs that arrived, as counted at the last report.
    arrived: f64,
    since: Millis,
    /// Slots that its clients' work needs, in hundredths.
    offered: Option<f64>,
    /// How long a usual job runs, in milliseconds.
    run: Option<f64>,
    /// Slots of each worker that has told of them.
    slots: HashMap<WorkerId, f64>,
}

/// See the module's page.
pub struct ZoneRouting {
    names: Vec<String>,
    zone: usize,
    cold_share: f64,
    warm_within: Millis,
    settings: Settings,
    sight: Sight,
    heard: BTreeMap<u16, (Millis, Report)>,
    planner: Option<([u32; 5], Planner)>,
    holder: Holder,
    pricer: Pricer,
    told_at: Millis,
    prices: Vec<f64>,
    /// What stands in for a plan, for operators.
    alone: bool,
    /// Plans under an older stamp, and what was no plan or report.
    refused: u64,
    nonsense: u64,
    plans: u64,
}

impl ZoneRouting {
    /// `names`: the settings' zones, in order.
    pub fn new(
        options: &ZoneOptions,
        names: Vec<String>,
        policy: &brackenledge_policy::Settings,
    ) -> ZoneRouting {
        let region = |name: &String| {
            options.regions.iter().position(|region| region.contains(name)).unwrap_or(options.regions.len())
        };
        let regions: Vec<usize> = names.iter().map(region).collect();
        let (zone, zones) = (policy.zone as usize, names.len());
        ZoneRouting {
            zone,
            cold_share: policy.cold_share,
            warm_within: policy.warm_within,
            settings: Settings::of_regions(&regions),
            sight: Sight { ways: vec![Way::default(); zones], ..Sight::default() },
            heard: BTreeMap::new(),
            planner: None,
            holder: Holder::new(zone, KEEPS),
            pricer: Pricer::new(zone, zones),
            told_at: 0.0,
            prices: Vec::new(),
            alone: true,
            refused: 0,
            nonsense: 0,
            plans: 0,
            names,
        }
    }

    // What is seen.

    /// A dispatch goes to a worker in this zone.
    pub fn sent(&mut self, zone: Option<u32>) {
        self.pricer.sent(zone.unwrap_or(u32::MAX) as usize);
    }

    /// A dispatch ended.
    pub fn ended(
        &mut self,
        worker: WorkerId,
        zone: Option<u32>,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        if let Some(way) = zone.and_then(|zone| self.sight.ways.get_mut(zone as usize)) {
            match outcome {
                Outcome::ConnectFailed | Outcome::Reset => way.failed += 1,
                Outcome::Moot | Outcome::Cancelled => {}
                _ => way.came += 1,
            }
        }
        if let Some((free, held)) = report.and_then(|report| Some((report.free_slots?, report.held?)))
            && (free + held).is_finite()
        {
            // Beyond its slots it holds what waits: then nothing is free, and this says nothing of them.
            let known = self.sight.slots.entry(worker).or_insert(free + held);
            *known = if free >= 1.0 { 0.8 * *known + 0.2 * (free + held) } else { *known };
        }
    }

    /// A job was served, so long after it started.
    pub fn ran(&mut self, took: Millis) {
        let run = self.sight.run.get_or_insert(took);
        *run += LEARN * (took - *run);
    }

    // The duty.

    /// A report came from a scheduler.
    pub fn hear_report(&mut self, now: Millis, from: u16, bytes: &[u8]) {
        match postcard::from_bytes::<Report>(bytes) {
            Ok(report) if usize::from(report.zone) < self.names.len() => {
                self.heard.insert(from, (now, report));
            }
            _ => self.nonsense += 1,
        }
    }

    /// The owner's plan came, under a term that holds.
    pub fn hear_plan(&mut self, now: Millis, bytes: &[u8]) {
        match Plan::read(bytes).filter(|plan| plan.zones() == self.names.len()) {
            Some(plan) => self.refused += u64::from(self.holder.hear(now as u64, plan).is_err()),
            None => self.nonsense += 1,
        }
    }

    /// Does what is due; the prices of zones, where they have changed.
    pub fn handle_timeout(
        &mut self,
        now: Millis,
        cluster: &mut Cluster,
        peer: &Peer,
        core: &Core,
        roster: &Roster,
        log: &Logger,
    ) -> Option<Vec<f64>> {
        if now >= self.sight.since + REPORT {
            self.report(now, cluster, peer, core, roster);
        }
        self.own(now, cluster, peer, log);
        let rule = self.holder.rule(now as u64);
        let alone = matches!(rule, Use::Alone { .. });
        if std::mem::replace(&mut self.alone, alone) != alone {
            info!(log, "zones"; "by" => if alone { "our own evidence" } else { "the plan" });
        }
        let prices = match rule {
            Use::Plan(shares) => self.pricer.prices(now as u64, &shares),
            // The decision module's own price of a crossing, and its distrust of zones that fail.
            Use::Alone { .. } => Vec::new(),
        };
        (prices != self.prices).then(|| {
            self.prices.clone_from(&prices);
            prices
        })
    }

    fn report(&mut self, now: Millis, cluster: &mut Cluster, peer: &Peer, core: &Core, roster: &Roster) {
        let span = now - self.sight.since;
        let first = self.sight.since == 0.0;
        let arrived = core.arrived_slots() - self.sight.arrived;
        (self.sight.since, self.sight.arrived) = (now, core.arrived_slots());
        let mut ways = std::mem::replace(&mut self.sight.ways, vec![Way::default(); self.names.len()]);
        let known = &self.sight.slots;
        // Who knows of no worker's slots, or of no job's time, has nothing to tell.
        let (Some(run), false, false) = (self.sight.run, known.is_empty(), first) else { return };
        let usual = known.values().sum::<f64>() / known.len() as f64;
        let mut slots = vec![0.0; self.names.len()];
        for (id, listed, readiness) in roster.servers() {
            let Some(sum) = slots.get_mut(listed.zone as usize).filter(|_| readiness == Readiness::Ready)
            else {
                continue;
            };
            let age = listed.launched.map_or(1.0, |launched| (now - launched) / self.warm_within.max(1.0));
            let warmth = self.cold_share + (1.0 - self.cold_share) * age.clamp(0.0, 1.0);
            *sum += known.get(&id).copied().unwrap_or(usual) * warmth;
        }
        for (way, slots) in ways.iter_mut().zip(&slots) {
            way.slots = slots.round() as u32;
        }
        // A second of one scheduler's traffic is a few dozen jobs: its chance must not move other zones' work.
        let offered = 100.0 * arrived * run / span.max(1.0);
        let steady = self.sight.offered.map_or(offered, |steady| steady + STEADY * (offered - steady));
        self.sight.offered = Some(steady);
        let offered = steady.round() as u32;
        let report = Report { zone: self.zone as u8, seen: Seen { offered, ways } };
        match cluster.owner_of(ZONES) {
            Some(owner) if owner == cluster.me() => {
                self.heard.insert(owner.ordinal, (now, report));
            }
            Some(owner) => {
                let bytes = postcard::to_allocvec(&report).unwrap_or_default();
                send(peer, Some(owner.ordinal), SEEN, &bytes);
            }
            None => {}
        }
    }

    /// Makes and tells the plan, if that is ours to do.
    fn own(&mut self, now: Millis, cluster: &mut Cluster, peer: &Peer, log: &Logger) {
        let Some(term) = cluster.may(ZONES) else {
            self.planner = None;
            return;
        };
        let numbers =
            [term.epoch.era, term.epoch.number, term.round.count, u32::from(term.round.by), term.step];
        if self.planner.as_ref().is_none_or(|(of, _)| *of != numbers) {
            let known = self.holder.plan(now as u64).cloned();
            self.planner = Some((numbers, Planner::new(now as u64, self.settings.clone(), numbers, known)));
        }
        self.heard.retain(|_, (at, _)| now < *at + REPORT_LIFE);
        let mut digests = vec![Digest::default(); self.names.len()];
        for (_, report) in self.heard.values() {
            digests[usize::from(report.zone)].add(&report.seen);
        }
        let mut evidence = Evidence::new(self.names.len());
        for (zone, digest) in digests.into_iter().enumerate().filter(|(_, digest)| digest.schedulers > 0) {
            evidence.hear(now as u64, zone, digest);
        }
        let Some((_, planner)) = &mut self.planner else { return };
        // Until somebody has told, there is nothing to plan by.
        let new = if self.heard.is_empty() { None } else { planner.consider(now as u64, &evidence) };
        if let Some((plan, cause)) = &new {
            self.plans += 1;
            info!(log, "zones: a new plan"; "shares" => shares(plan, &self.names), "cause" => ?cause);
        }
        let Some(plan) = planner.plan().cloned() else { return };
        if new.is_some() || now >= self.told_at + TELL {
            self.told_at = now;
            cluster.tell_deed(peer, ZONES, term, &plan.write());
        }
        let _ = self.holder.hear(now as u64, plan);
    }

    /// For operators: the plan that holds, a line for each zone.
    pub fn lines(&mut self, now: Millis) -> Vec<String> {
        let stamp = self.holder.newest();
        let by = if self.alone { "own-evidence" } else { "plan" };
        let numbers: Vec<String> = stamp.term.iter().map(u32::to_string).collect();
        let mut lines = vec![format!(
            "by={by} plan={}/{} plans_made={} refused={} nonsense={}",
            numbers.join("."),
            stamp.count,
            self.plans,
            self.refused,
            self.nonsense
        )];
        let prices = self.prices.clone();
        let names = self.names.clone();
        let Some(plan) = self.holder.plan(now as u64) else { return lines };
        for (origin, name) in names.iter().enumerate() {
            let to: Vec<String> = (0..names.len())
                .filter(|&target| plan.share(origin, target) > 0.0)
                .map(|target| format!("{}:{:.3}", names[target], plan.share(origin, target)))
                .collect();
            let price = prices.get(origin).map_or("none".into(), |price| format!("{price:.2}"));
            let to = if to.is_empty() { "nowhere".into() } else { to.join(",") };
            lines.push(format!("zone={name} to={to} refused={:.3} price_here={price}", plan.refused(origin)));
        }
        lines
    }
}

/// What leaves each zone, for the log.
fn shares(plan: &Plan, names: &[String]) -> String {
    let away = |origin: usize| {
        let to = (0..names.len()).filter(|&to| to != origin && plan.share(origin, to) > 0.0);
        let to: Vec<String> =
            to.map(|to| format!("{}>{} {:.2}", names[origin], names[to], plan.share(origin, to))).collect();
        to
    };
    let all: Vec<String> = (0..plan.zones().min(names.len())).flat_map(away).collect();
    if all.is_empty() { "all near".into() } else { all.join(", ") }
}

#[cfg(test)]
mod tests;
