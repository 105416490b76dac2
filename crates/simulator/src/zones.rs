//! Zones as flows of work, to see what plans are worth at sizes that sockets don't reach: a zone and then a region lose
//! their workers and get them back cold, under four ways to send work elsewhere and one that knows the true state.
//!
//! What it leaves out: single jobs and workers. A zone does what its slots can; work beyond waits, is lost once it has
//! waited for its deadline, and a long queue makes the zone slower, as crowded workers are.

use brackenledge_zone_routing::{Digest, Evidence, Holder, Planner, Settings, Use, Way};

/// How work is sent to other zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each zone by itself: its excess goes to whoever had room when it last looked.
    Alone,
    /// Each zone has the next one for a stand-in, for all of its work, once it is lost.
    Order,
    /// The planner's.
    Plan,
    /// The planner's arithmetic on the true state, at once.
    Oracle,
}

impl Policy {
    /// All of them.
    pub const ALL: [Policy; 4] = [Policy::Alone, Policy::Order, Policy::Plan, Policy::Oracle];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Alone => "each alone",
            Policy::Order => "fixed order",
            Policy::Plan => "plan",
            Policy::Oracle => "oracle",
        }
    }
}

/// The fleet, and what happens to it.
#[derive(Clone, Debug)]
pub struct Flows {
    /// Schedulers, for the digests; their number changes nothing else.
    pub schedulers: u32,
    /// Slots of all workers.
    pub slots: f64,
    /// Which region each zone is in.
    pub regions: Vec<usize>,
    /// Work offered, as a part of what all can do.
    pub load: f64,
    /// Zones that lose their workers, from when to when in milliseconds.
    pub lost: Vec<(usize, u64, u64)>,
    /// How long it lasts.
    pub length: u64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Result {
    /// Part of the work that was served.
    pub served: f64,
    /// Part that was served in another zone.
    pub crossed: f64,
    /// The least part served of a zone's own work.
    pub worst: f64,
    /// The least part served, over the zones that never lost their workers.
    pub untouched: f64,
    /// Times that a zone that had its workers was sent more than it can do for 3 s, while all together could do it.
    pub cascades: usize,
    /// Times that a cold zone was sent over four times what it could do for 3 s.
    pub pushed_over: usize,
    /// Plans made.
    pub plans: usize,
}

const STEP: u64 = 100;
/// Until a scheduler alone has found out that a zone is gone, or that it is back.
const NOTICED: u64 = 2_000;
/// Age of what schedulers know of the loads of others.
const LAG: u64 = 1_000;
/// Between two digests of a zone, and on their way.
const DIGEST: u64 = 1_000;
const ON_THE_WAY: u64 = 300;
/// A job waits for so long at most, in seconds.
const DEADLINE: f64 = 5.0;
/// Cold workers can do this part, and all after so long.
const COLD: f64 = 0.3;
const WARM_AFTER: f64 = 8_600.0;
/// A queue as long as the deadline costs a zone this part of what it can do.
const CROWDED: f64 = 0.3;
/// So much too much for so long.
const TOO_MUCH: f64 = 1.1;
const FOR: u64 = 3_000;

impl Flows {
    /// Six zones in three regions, 300 schedulers and 1,000 workers of four slots: a zone is lost for half a minute, then
    /// a region for a quarter of one.
    pub fn six_zones(load: f64) -> Flows {
        Flows {
            schedulers: 300,
            slots: 4_000.0,
            regions: vec![0, 0, 1, 1, 2, 2],
            load,
            lost: vec![(0, 20_000, 50_000), (2, 80_000, 95_000), (3, 80_000, 95_000)],
            length: 130_000,
        }
    }

    /// What a zone can do at a time.
    fn can(&self, zone: usize, now: u64) -> f64 {
        let whole = self.slots / self.regions.len() as f64;
        let gone = self.lost.iter().any(|&(at, from, to)| at == zone && (from..to).contains(&now));
        if gone {
            return 0.0;
        }
        let back = self.lost.iter().filter(|&&(at, _, to)| at == zone && to <= now).map(|lost| lost.2).max();
        let age = back.map_or(1.0, |back| ((now - back) as f64 / WARM_AFTER).min(1.0));
        whole * (COLD + (1.0 - COLD) * age)
    }

    /// What a zone's clients ask for: some zones have more of them.
    fn asks(&self, zone: usize) -> f64 {
        const SKEW: [f64; 6] = [1.15, 0.9, 1.05, 0.95, 1.1, 0.85];
        self.load * self.slots / self.regions.len() as f64 * SKEW[zone % SKEW.len()]
    }

    /// Plays it.
    pub fn play(&self, policy: Policy) -> Result {
        let zones = self.regions.len();
        let demand: Vec<f64> = (0..zones).map(|zone| self.asks(zone)).collect();
        let settings = Settings::of_regions(&self.regions);
        let mut planner = Planner::new(0, settings, [1; 5], None);
        let mut holders: Vec<Holder> = (0..zones).map(|zone| Holder::new(zone, 15_000)).collect();
        let mut coming: Vec<(u64, usize, Digest)> = Vec::new();
        let mut evidence = Evidence::new(zones);
        // What waits in each zone, by origin; what was sent there of late.
        let mut queue = vec![vec![0.0; zones]; zones];
        let mut loads: Vec<Vec<f64>> = Vec::new();
        let (mut served, mut crossed) = (vec![0.0; zones], 0.0);
        let (mut over, mut pushed) = (vec![0u64; zones], vec![0u64; zones]);
        let mut result = Result::default();
        for now in (0..self.length).step_by(STEP as usize) {
            let can: Vec<f64> = (0..zones).map(|zone| self.can(zone, now)).collect();
            let known: Vec<f64> =
                (0..zones).map(|zone| self.can(zone, now.saturating_sub(NOTICED))).collect();
            let truth = |slots: &[f64]| {
                let mut all = Evidence::new(zones);
                (0..zones).for_each(|zone| all.hear(now, zone, self.digest(demand[zone], slots)));
                all
            };
            let shares: Vec<Vec<f64>> = match policy {
                Policy::Oracle => planner.shares(now, &truth(&can)),
                Policy::Plan => {
                    if now.is_multiple_of(DIGEST) {
                        // What schedulers know of workers is as old as their list.
                        let told = (0..zones)
                            .map(|zone| (now + ON_THE_WAY, zone, self.digest(demand[zone], &known)));
                        coming.extend(told);
                    }
                    for (_, zone, digest) in coming.extract_if(.., |told| told.0 <= now) {
                        evidence.hear(now, zone, digest);
                    }
                    if now > DIGEST + ON_THE_WAY && now.is_multiple_of(250) {
                        result.plans += usize::from(planner.consider(now, &evidence).is_some());
                        if let Some(plan) = planner.plan() {
                            for holder in &mut holders {
                                let _ = holder.hear(now, plan.clone());
                            }
                        }
                    }
                    let of = |(zone, holder): (usize, &mut Holder)| match holder.rule(now) {
                        Use::Plan(shares) => shares,
                        Use::Alone { .. } => (0..zones).map(|to| f64::from(u8::from(to == zone))).collect(),
                    };
                    holders.iter_mut().enumerate().map(of).collect()
                }
                Policy::Order => (0..zones)
                    .map(|zone| {
                        let stand_in =
                            (0..zones).map(|step| (zone + step) % zones).find(|&to| known[to] > 0.0);
                        (0..zones).map(|to| f64::from(u8::from(Some(to) == stand_in))).collect()
                    })
                    .collect(),
                Policy::Alone => {
                    let before = loads.len().checked_sub((LAG / STEP) as usize).map(|at| loads[at].clone());
                    let before = before.unwrap_or_else(|| demand.clone());
                    let room: Vec<f64> =
                        (0..zones).map(|zone| (known[zone] - before[zone]).max(0.0)).collect();
                    (0..zones).map(|zone| alone(zone, demand[zone], &known, &room)).collect()
                }
            };
            let sent: Vec<f64> =
                (0..zones).map(|to| (0..zones).map(|from| demand[from] * shares[from][to]).sum()).collect();
            let seconds = STEP as f64 / 1_000.0;
            for to in 0..zones {
                for from in 0..zones {
                    queue[to][from] += demand[from] * shares[from][to] * seconds;
                }
                let waits: f64 = queue[to].iter().sum();
                let full = can[to] * DEADLINE;
                let crowd = if full > 0.0 { (waits / full).min(1.0) } else { 1.0 };
                let done = (can[to] * (1.0 - CROWDED * crowd) * seconds).min(waits);
                for from in 0..zones {
                    let part = if waits > 0.0 { queue[to][from] / waits } else { 0.0 };
                    served[from] += part * done;
                    crossed += if from == to { 0.0 } else { part * done };
                    // What has waited longer than its deadline is lost.
                    queue[to][from] = part * (waits - done).min(full);
                }
                let enough = demand.iter().sum::<f64>() <= can.iter().sum::<f64>();
                let whole = can[to] >= self.slots / zones as f64 - 1e-9;
                over[to] = if whole && enough && sent[to] > TOO_MUCH * can[to] { over[to] + STEP } else { 0 };
                result.cascades += usize::from(over[to] == FOR);
                pushed[to] = if can[to] > 0.0 && sent[to] > 4.0 * can[to] { pushed[to] + STEP } else { 0 };
                result.pushed_over += usize::from(pushed[to] == FOR);
            }
            loads.push(sent);
        }
        let seconds = self.length as f64 / 1_000.0;
        let part = |zone: usize| served[zone] / (demand[zone] * seconds);
        let all: f64 = demand.iter().sum::<f64>() * seconds;
        let hit = |zone: &usize| self.lost.iter().any(|lost| lost.0 == *zone);
        result.served = served.iter().sum::<f64>() / all;
        result.crossed = crossed / all;
        result.worst = (0..zones).map(part).fold(1.0, f64::min);
        result.untouched = (0..zones).filter(|zone| !hit(zone)).map(part).fold(1.0, f64::min);
        result
    }

    fn digest(&self, offered: f64, slots: &[f64]) -> Digest {
        let tellers = self.schedulers / self.regions.len() as u32;
        let way = |slots: &f64| Way { slots: (slots * f64::from(tellers)) as u32, came: 100, failed: 0 };
        Digest {
            schedulers: tellers,
            offered: (offered * 100.0) as u32,
            ways: slots.iter().map(way).collect(),
        }
    }
}

/// What a zone does by itself: near as far as near can, the rest by the room that others had.
fn alone(zone: usize, demand: f64, known: &[f64], room: &[f64]) -> Vec<f64> {
    let near = (known[zone] / demand).min(1.0);
    let others: f64 = room.iter().enumerate().filter(|(to, _)| *to != zone).map(|(_, room)| room).sum();
    let up = known.iter().enumerate().filter(|&(to, can)| to != zone && *can > 0.0).count();
    let part = |to: usize| {
        if to == zone {
            near
        } else if others > 0.0 {
            (1.0 - near) * room[to] / others
        } else if known[to] > 0.0 {
            // Nobody had room: anywhere.
            (1.0 - near) / up as f64
        } else {
            0.0
        }
    };
    (0..known.len()).map(part).collect()
}
