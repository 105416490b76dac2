//! Random scenarios with replicated jobs.

use super::ZONES;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write as _;

/// Time from one fault's begin to the next one's, in seconds: a member list without a lost scheduler takes up to 3.
const FAULT_INTERVAL: f64 = 3.0;
/// Number of faults.
const FAULTS: usize = 8;
/// Time before the first fault's interval and after the last one's, in seconds.
const CALM_TIME: f64 = 4.0;
/// Time that a scheduler needs to come back after a fault, in seconds.
const RETURN_TIME: f64 = 3.0;
/// How long a killed process stays away, in seconds.
const DOWN_TIME: f64 = 2.0;
/// How long connections are reset: they are at once, but a fault has an end.
const RESET_TIME: f64 = 0.1;
/// How many kinds of faults there are in [`draw_fault`], counted by how often they are drawn.
const FAULT_KINDS: usize = 10;

/// A fault as it is drawn.
struct DrawnFault {
    kind: &'static str,
    /// In seconds.
    duration: f64,
    keys: String,
    /// Schedulers that it takes out of service.
    lost: Vec<usize>,
}

impl DrawnFault {
    fn new(kind: &'static str, duration: f64, keys: String, lost: &[usize]) -> DrawnFault {
        DrawnFault { kind, duration, keys, lost: lost.to_vec() }
    }
}

/// What a fault may be done to.
struct Candidates {
    one: usize,
    other: usize,
    duration: f64,
    /// No scheduler is lost yet.
    may_lose_one: bool,
    /// And there are enough of them to lose two.
    may_lose_two: bool,
}

/// The text of the scenario of this seed with replicated jobs: 4 to 8 schedulers at some 70% load, and every 3 s a fault.
/// At most two schedulers are lost at once, which is what two replicas tolerate.
pub fn draw_failover(seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let schedulers: usize = rng.random_range(4..=8);
    let zones = &ZONES[..rng.random_range(2..=3)];
    let seconds = CALM_TIME + FAULT_INTERVAL * FAULTS as f64 + CALM_TIME;
    let mut text = head(seed, schedulers, zones, seconds);
    // Until when each scheduler is out of service, with what it takes to come back.
    let mut lost_until = vec![0.0_f64; schedulers];
    for number in 0..FAULTS {
        let at = CALM_TIME + FAULT_INTERVAL * number as f64 + rng.random_range(0.0..1.0);
        let none_lost = lost_until.iter().all(|&until| until <= at);
        let candidates = draw_candidates(&mut rng, schedulers, none_lost);
        let DrawnFault { kind, duration, keys, lost } = draw_fault(&mut rng, &candidates);
        for scheduler in lost {
            lost_until[scheduler] = at + duration + RETURN_TIME;
        }
        let until = at + duration;
        let _ = write!(text, "\n[[fault]]\nkind = \"{kind}\"\nat = {at:.2}\nuntil = {until:.2}\n{keys}");
    }
    text.push_str("\n[expect]\nmax-duplicate-executions = 0\n");
    text
}

fn head(seed: u64, schedulers: usize, zones: &[&str], seconds: f64) -> String {
    format!(
        "name = \"random-failover-{seed}\"\nwhy = \"Drawn from seed {seed}.\"\nseed = {seed}\n\n[cluster]\n\
         schedulers = {schedulers}\nzones = {zones:?}\noperations = \"[tier]\\non = true\\n\"\nfailover = \"\"\"\n\
         covered = [\"farm-view\", \"market-sale\", \"coin-buy\"]\nrefused = [\"market-sale\", \"coin-buy\"]\n\"\"\"\n\n\
         [workers]\nslots = 4\nrun-time-ms = 300\n\n[traffic]\nper-second = 100\nseconds = {seconds:.1}\n\
         deadline-ms = 5000\nmax-requests = 6\n"
    )
}

fn draw_candidates(rng: &mut ChaCha8Rng, schedulers: usize, none_lost: bool) -> Candidates {
    let one = rng.random_range(0..schedulers);
    let other = (one + rng.random_range(1..schedulers)) % schedulers;
    let duration = [0.4, 1.0, 2.0, 4.0][rng.random_range(0..4)];
    Candidates { one, other, duration, may_lose_one: none_lost, may_lose_two: none_lost && schedulers > 4 }
}

fn draw_fault(rng: &mut ChaCha8Rng, candidates: &Candidates) -> DrawnFault {
    let &Candidates { one, other, duration, may_lose_one, may_lose_two } = candidates;
    let target = format!("targets = [\"scheduler {one}\"]\n");
    match rng.random_range(0..FAULT_KINDS) {
        0..=2 if may_lose_one => DrawnFault::new("kill", DOWN_TIME, target, &[one]),
        3 if may_lose_two => {
            let targets = format!("targets = [\"scheduler {one}\", \"scheduler {other}\"]\n");
            DrawnFault::new("kill", DOWN_TIME, targets, &[one, other])
        }
        4 if may_lose_one => DrawnFault::new("pause", duration, target, &[one]),
        5 if may_lose_one => DrawnFault::new("network", duration, cut_off(one, "schedulers"), &[one]),
        6 => {
            let keys = "from = [\"schedulers\"]\nto = [\"schedulers\"]\nloss = 0.3\ndelay-ms = 50\n";
            DrawnFault::new("network", duration, keys.into(), &[])
        }
        7 => DrawnFault::new("network", duration.min(2.0), cut_off(one, "workers"), &[]),
        8 => {
            let keys = "from = [\"schedulers\"]\nto = [\"schedulers\"]\n";
            DrawnFault::new("reset", RESET_TIME, keys.into(), &[])
        }
        _ => {
            let keys = format!("from = [\"clients\"]\nto = [\"scheduler {one}\"]\n");
            DrawnFault::new("reset", RESET_TIME, keys, &[])
        }
    }
}

fn cut_off(scheduler: usize, from: &str) -> String {
    format!("from = [\"scheduler {scheduler}\"]\nto = [\"{from}\"]\nbidirectional = true\nblackhole = true\n")
}
