//! From evidence to a plan.
//!
//! Near first, then what is left by water-filling, the cheapest crossings first: all zones that lack room pour at the same
//! time into those that have some, each in proportion to the room there, so that a small change of the evidence is a
//! small change of the plan. A linear program would serve as much and jump between corners; see the design note.

use crate::{Evidence, Millis, Plan, Stamp};
use std::collections::BTreeMap;

/// What operators set.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What a crossing costs, by origin and target; infinity: forbidden. A region's zones are near one another by it.
    pub cost: Vec<Vec<f64>>,
    /// The part of what a zone can do that is planned, so that it keeps its goal: at most, see [`Settings::goal_of`].
    pub goal: f64,
    /// The part that is planned rather than refuse work.
    pub full: f64,
    /// Shares that change by less are left as they are.
    pub least: f64,
    /// Plans in a minute, at most.
    pub changes: u32,
    /// For so long what drives work back must hold before it is.
    pub settle: Millis,
    /// How long before it holds a plan is told.
    pub lead: Millis,
    /// A digest older than this tells nothing.
    pub stale: Millis,
    /// The part of a zone's work that tries a way that has failed, so that its return is seen.
    pub explore: f64,
}

impl Settings {
    /// The part of so many slots that is planned: a few must stand idler than many for jobs to wait as little, by the
    /// root of their number (S. Halfin, W. Whitt, "Heavy-traffic limits for queues with many exponential servers", 1981).
    pub fn goal_of(&self, slots: f64) -> f64 {
        (1.0 - 1.0 / slots.max(1.0).sqrt()).clamp(0.0, self.goal)
    }

    /// Zones of one region cost 1 to one another, of different ones 10.
    pub fn of_regions(regions: &[usize]) -> Settings {
        let cost = |a: usize, b: usize| match (a == b, regions[a] == regions[b]) {
            (true, _) => 0.0,
            (_, true) => 1.0,
            _ => 10.0,
        };
        let zones = regions.len();
        Settings {
            cost: (0..zones).map(|a| (0..zones).map(|b| cost(a, b)).collect()).collect(),
            goal: 0.85,
            full: 0.97,
            least: 0.03,
            changes: 4,
            settle: 4_000,
            lead: 500,
            stale: 5_000,
            explore: 0.02,
        }
    }
}

/// Why a plan was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// There was none.
    First,
    /// Work went where it can't go, or is more than there is room for.
    Urgent,
    /// Work may go nearer, or is spread better.
    Better,
}

/// See the module's page.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: Settings,
    term: [u32; 5],
    count: u32,
    plan: Option<Plan>,
    /// Changes that may be made, and when that was reckoned; in thousandths.
    allowed: u64,
    allowed_at: Millis,
    /// Since when a better plan than the present one was possible without a break.
    better_since: Option<Millis>,
    /// Ways that have failed, by origin and target.
    doubts: BTreeMap<(usize, usize), Doubt>,
}

/// A way that has failed stays in doubt until it is seen to work: that nothing is sent there says nothing of it.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    failed_at: Millis,
    /// Since when what little is sent there has come, without a break.
    works_since: Option<Millis>,
}

/// A way in doubt is one again once it has worked for so long.
const WORKS_FOR: Millis = 2_000;
/// Nobody tries the way from one zone to another that is in doubt: after so long the list has told what there is to tell.
const DOUBT_LIFE: Millis = 30_000;

/// Fewer attempts than this say nothing of a way.
const ATTEMPTS_LEAST: u32 = 5;
/// A way on which this part fails is none.
const FAILING: f64 = 0.5;
/// Rounds of pouring; what is left then is a rounding error, or has nowhere to go.
const ROUNDS: usize = 24;
/// Shares are told in parts of 200.
const EPSILON: f64 = 1e-6;

impl Planner {
    /// An owner under a new term, who goes on from the plan that it knows.
    pub fn new(now: Millis, settings: Settings, term: [u32; 5], known: Option<Plan>) -> Planner {
        let allowed = u64::from(settings.changes) * 1_000;
        Planner {
            settings,
            term,
            count: 0,
            plan: known,
            allowed,
            allowed_at: now,
            better_since: None,
            doubts: BTreeMap::new(),
        }
    }

    /// The plan that holds or is about to.
    pub fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    /// The ideal by this evidence: shares by origin and target, whatever the present plan is.
    pub fn shares(&self, now: Millis, evidence: &Evidence) -> Vec<Vec<f64>> {
        let zones = evidence.zones().min(self.settings.cost.len());
        let mut doubts = self.doubts.clone();
        look_at_ways(now, &self.settings, evidence, zones, &mut doubts);
        Ground::of(now, &self.settings, evidence, zones, &doubts).pour(&self.settings)
    }

    /// Looks at the evidence; a new plan, if there is reason for one.
    pub fn consider(&mut self, now: Millis, evidence: &Evidence) -> Option<(Plan, Cause)> {
        let zones = evidence.zones().min(self.settings.cost.len());
        if zones == 0 {
            return None;
        }
        look_at_ways(now, &self.settings, evidence, zones, &mut self.doubts);
        let ground = Ground::of(now, &self.settings, evidence, zones, &self.doubts);
        let shares = ground.pour(&self.settings);
        let rate = u64::from(self.settings.changes);
        let most = rate * 1_000;
        // In thousandths: so many a minute are so many thousandths in 60 ms.
        self.allowed = (self.allowed + now.saturating_sub(self.allowed_at) * rate / 60).min(most);
        self.allowed_at = now;
        let cause = match &self.plan {
            None => Cause::First,
            Some(plan) if ground.strained(plan, &self.settings) => Cause::Urgent,
            Some(plan) => {
                if !differs(plan, &shares, self.settings.least) {
                    self.better_since = None;
                    return None;
                }
                let since = *self.better_since.get_or_insert(now);
                if now < since + self.settings.settle {
                    return None;
                }
                Cause::Better
            }
        };
        // An urgent change that would change nothing helps nobody.
        let moot = self.plan.as_ref().is_some_and(|plan| !differs(plan, &shares, self.settings.least));
        // What is not urgent leaves one for what may be.
        let reserve = if cause == Cause::Better { 2_000 } else { 1_000 };
        if moot || self.allowed < reserve.min(most) {
            return None;
        }
        self.allowed -= 1_000.min(self.allowed);
        self.better_since = None;
        self.count += 1;
        let plan = Plan::new(Stamp { term: self.term, count: self.count }, now + self.settings.lead, &shares);
        self.plan = Some(plan.clone());
        Some((plan, cause))
    }
}

fn differs(plan: &Plan, shares: &[Vec<f64>], least: f64) -> bool {
    plan.zones() != shares.len()
        || shares.iter().enumerate().any(|(i, row)| {
            row.iter().enumerate().any(|(j, &share)| (plan.share(i, j) - share).abs() > least)
        })
}

/// Takes in what was seen of each way: which ones have come into doubt, and which are out of it.
fn look_at_ways(
    now: Millis,
    settings: &Settings,
    evidence: &Evidence,
    zones: usize,
    doubts: &mut BTreeMap<(usize, usize), Doubt>,
) {
    let since = now.saturating_sub(settings.stale);
    for origin in 0..zones {
        let Some(digest) = evidence.fresh(origin, since) else { continue };
        for (target, way) in digest.ways.iter().enumerate().take(zones) {
            let all = way.came.saturating_add(way.failed);
            let mostly_failed = all > 0 && f64::from(way.failed) >= FAILING * f64::from(all);
            let key = (origin, target);
            if mostly_failed && (all >= ATTEMPTS_LEAST || doubts.contains_key(&key)) {
                doubts.insert(key, Doubt { failed_at: now, works_since: None });
            } else if let Some(doubt) = doubts.get_mut(&key) {
                if all > 0 {
                    doubt.works_since.get_or_insert(now);
                }
                let works = doubt.works_since.is_some_and(|since| now >= since + WORKS_FOR);
                if works || now >= doubt.failed_at + DOUBT_LIFE {
                    doubts.remove(&key);
                }
            }
        }
    }
}

/// The evidence as the planner reads it.
struct Ground {
    demand: Vec<f64>,
    slots: Vec<f64>,
    /// Whether work can go from one to the other.
    open: Vec<Vec<bool>>,
    /// Whether nothing is known that forbids it but that it has failed.
    doubted: Vec<Vec<bool>>,
}

impl Ground {
    fn of(
        now: Millis,
        settings: &Settings,
        evidence: &Evidence,
        zones: usize,
        doubts: &BTreeMap<(usize, usize), Doubt>,
    ) -> Ground {
        let since = now.saturating_sub(settings.stale);
        let slots: Vec<f64> = (0..zones).map(|zone| evidence.slots(zone, since)).collect();
        let demand = (0..zones)
            .map(|zone| evidence.fresh(zone, since).map_or(0.0, |digest| f64::from(digest.offered) / 100.0))
            .collect();
        let allowed = |i: usize, j: usize| settings.cost[i][j].is_finite() && slots[j] > 0.0;
        let failing = |i: usize, j: usize| doubts.contains_key(&(i, j));
        let table = |of: &dyn Fn(usize, usize) -> bool| -> Vec<Vec<bool>> {
            (0..zones).map(|i| (0..zones).map(|j| of(i, j)).collect()).collect()
        };
        let open = table(&|i, j| allowed(i, j) && !failing(i, j));
        let doubted = table(&|i, j| allowed(i, j) && failing(i, j));
        Ground { demand, slots, open, doubted }
    }

    /// Where all work would best go: shares by origin and target.
    fn pour(&self, settings: &Settings) -> Vec<Vec<f64>> {
        let zones = self.demand.len();
        let mut left = self.demand.clone();
        let mut flow = vec![vec![0.0; zones]; zones];
        let mut costs: Vec<f64> =
            settings.cost.iter().take(zones).flat_map(|row| row.iter().take(zones).copied()).collect();
        costs.retain(|cost| cost.is_finite());
        costs.sort_by(f64::total_cmp);
        costs.dedup();
        // The goal leaves something over everywhere, which is used, near first again, before work is refused.
        for to_the_full in [false, true] {
            let part = |j: usize| if to_the_full { settings.full } else { settings.goal_of(self.slots[j]) };
            let taken = |j: usize| flow.iter().map(|row: &Vec<f64>| row[j]).sum::<f64>();
            let mut room: Vec<f64> =
                (0..zones).map(|j| (self.slots[j] * part(j) - taken(j)).max(0.0)).collect();
            for &cost in &costs {
                let open = |i: usize, j: usize| self.open[i][j] && settings.cost[i][j] == cost;
                pour_at(&open, &mut left, &mut room, &mut flow);
            }
        }
        (0..zones).map(|i| self.row(i, &flow[i], settings.explore)).collect()
    }

    /// One zone's shares. Those without work have theirs stay near; a way in doubt gets the little that shows its return.
    fn row(&self, i: usize, flow: &[f64], explore: f64) -> Vec<f64> {
        let zones = flow.len();
        let mut shares: Vec<f64> = if self.demand[i] > EPSILON {
            flow.iter().map(|part| part / self.demand[i]).collect()
        } else {
            (0..zones).map(|j| f64::from(u8::from(i == j && self.open[i][i]))).collect()
        };
        // Only near's return is worth looking for on jobs: the others' is seen by those who need them.
        if self.doubted[i][i] && shares[i] < explore {
            let sum: f64 = shares.iter().sum();
            shares.iter_mut().for_each(|share| *share *= (1.0 - explore) / sum.max(1.0));
            shares[i] = explore;
        }
        shares
    }

    /// Whether a plan sends work where it can't go, or more than a zone can do while there is room elsewhere.
    fn strained(&self, plan: &Plan, settings: &Settings) -> bool {
        let zones = self.demand.len();
        if plan.zones() != zones {
            return true;
        }
        let load: Vec<f64> =
            (0..zones).map(|j| (0..zones).map(|i| self.demand[i] * plan.share(i, j)).sum()).collect();
        let all: f64 = self.demand.iter().sum();
        let room: f64 = self.slots.iter().sum::<f64>() * settings.full;
        let blocked = |i: usize, j: usize| {
            !self.open[i][j]
                && self.demand[i] > EPSILON
                && plan.share(i, j) > settings.explore + settings.least
        };
        let over = |j: usize| load[j] > self.slots[j] + EPSILON && all < room;
        (0..zones).any(|j| over(j) || (0..zones).any(|i| blocked(i, j)))
    }
}

/// Pours what is left into what room there is, over ways that are open: each in proportion to the room that it reaches.
fn pour_at(open: &impl Fn(usize, usize) -> bool, left: &mut [f64], room: &mut [f64], flow: &mut [Vec<f64>]) {
    let zones = left.len();
    for _ in 0..ROUNDS {
        // What each would send where, and what of it fits.
        let wants: Vec<Vec<f64>> = (0..zones)
            .map(|i| {
                let sum: f64 = (0..zones).filter(|&j| open(i, j)).map(|j| room[j]).sum();
                let to = |j: usize| if sum > EPSILON && open(i, j) { left[i] * room[j] / sum } else { 0.0 };
                (0..zones).map(to).collect()
            })
            .collect();
        let mut moved = 0.0;
        for j in 0..zones {
            let all: f64 = wants.iter().map(|row| row[j]).sum();
            if all <= EPSILON {
                continue;
            }
            let fits = (room[j] / all).min(1.0);
            for i in 0..zones {
                let part = wants[i][j] * fits;
                flow[i][j] += part;
                left[i] = (left[i] - part).max(0.0);
                moved += part;
            }
            room[j] = (room[j] - all * fits).max(0.0);
        }
        if moved <= EPSILON {
            return;
        }
    }
}
