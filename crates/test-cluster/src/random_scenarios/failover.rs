//! Random scenarios in which jobs are replicated between schedulers.

use super::ZONES;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write as _;

/// Time from the start of one fault to the start of the next, in seconds, without the random offset. It takes
/// up to 3 s until the member list no longer contains a lost scheduler.
const FAULT_INTERVAL: f64 = 3.0;
/// Number of faults in each scenario.
const FAULTS: usize = 8;
/// Time without faults at the start and at the end of the traffic, in seconds.
const FAULT_FREE_TIME: f64 = 4.0;
/// Time that a scheduler needs after a fault to be back in service, in seconds.
const RECOVERY_TIME: f64 = 3.0;
/// Time from killing a process to starting it again, in seconds.
const DOWNTIME: f64 = 2.0;
/// Duration of a reset fault, in seconds. Connections are reset when it begins, but each fault is written
/// with an end.
const RESET_DURATION: f64 = 0.1;
/// Number of equally likely choices in [`draw_fault`]; a kind of fault may take several of them.
const FAULT_CHOICES: usize = 10;

/// A random fault, apart from its start time.
struct DrawnFault {
    kind: &'static str,
    /// In seconds.
    duration: f64,
    /// Further lines of the `[[fault]]` table.
    keys: String,
    /// Schedulers that the fault takes out of service.
    lost: Vec<usize>,
}

impl DrawnFault {
    fn new(kind: &'static str, duration: f64, keys: String, lost: &[usize]) -> DrawnFault {
        DrawnFault { kind, duration, keys, lost: lost.to_vec() }
    }
}

/// Random choices for the next fault, and how many schedulers it may take out of service.
struct Candidates {
    first: usize,
    second: usize,
    /// In seconds.
    duration: f64,
    /// All schedulers are in service.
    may_lose_one: bool,
    /// All schedulers are in service, and there are more than four of them.
    may_lose_two: bool,
}

/// The text of the scenario with replicated jobs for a seed: 4 to 8 schedulers at about 70% load, and a fault
/// about every 3 s. At most two schedulers are lost at the same time, which is what two replicas tolerate.
pub fn draw_failover(seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let schedulers: usize = rng.random_range(4..=8);
    let zones = &ZONES[..rng.random_range(2..=3)];
    let seconds = FAULT_FREE_TIME + FAULT_INTERVAL * FAULTS as f64 + FAULT_FREE_TIME;
    let mut text = header(seed, schedulers, zones, seconds);
    // The time at which each scheduler is back in service, recovery included.
    let mut lost_until = vec![0.0_f64; schedulers];
    for number in 0..FAULTS {
        let at = FAULT_FREE_TIME + FAULT_INTERVAL * number as f64 + rng.random_range(0.0..1.0);
        let none_lost = lost_until.iter().all(|&until| until <= at);
        let candidates = draw_candidates(&mut rng, schedulers, none_lost);
        let DrawnFault { kind, duration, keys, lost } = draw_fault(&mut rng, &candidates);
        for scheduler in lost {
            lost_until[scheduler] = at + duration + RECOVERY_TIME;
        }
        let until = at + duration;
        let _ = write!(text, "\n[[fault]]\nkind = \"{kind}\"\nat = {at:.2}\nuntil = {until:.2}\n{keys}");
    }
    text.push_str("\n[expect]\nmax-duplicate-executions = 0\n");
    text
}

/// Everything before the faults.
fn header(seed: u64, schedulers: usize, zones: &[&str], seconds: f64) -> String {
    format!(
        "name = \"random-failover-{seed}\"\nwhy = \"Drawn from seed {seed}.\"\nseed = {seed}\n\n[cluster]\n\
         schedulers = {schedulers}\nzones = {zones:?}\noperations = \"[tier]\\non = true\\n\"\nfailover = \"\"\"\n\
         covered = [\"farm-view\", \"market-sale\", \"coin-buy\"]\nrefused = [\"market-sale\", \"coin-buy\"]\n\"\"\"\n\n\
         [workers]\nslots = 4\nrun-time-ms = 300\n\n[traffic]\nper-second = 100\nseconds = {seconds:.1}\n\
         deadline-ms = 5000\nmax-requests = 6\n"
    )
}

fn draw_candidates(rng: &mut ChaCha8Rng, schedulers: usize, none_lost: bool) -> Candidates {
    let first = rng.random_range(0..schedulers);
    let second = (first + rng.random_range(1..schedulers)) % schedulers;
    let duration = [0.4, 1.0, 2.0, 4.0][rng.random_range(0..4)];
    Candidates { first, second, duration, may_lose_one: none_lost, may_lose_two: none_lost && schedulers > 4 }
}

fn draw_fault(rng: &mut ChaCha8Rng, candidates: &Candidates) -> DrawnFault {
    let &Candidates { first, second, duration, may_lose_one, may_lose_two } = candidates;
    let first_target = format!("targets = [\"scheduler {first}\"]\n");
    match rng.random_range(0..FAULT_CHOICES) {
        0..=2 if may_lose_one => DrawnFault::new("kill", DOWNTIME, first_target, &[first]),
        3 if may_lose_two => {
            let targets = format!("targets = [\"scheduler {first}\", \"scheduler {second}\"]\n");
            DrawnFault::new("kill", DOWNTIME, targets, &[first, second])
        }
        4 if may_lose_one => DrawnFault::new("pause", duration, first_target, &[first]),
        5 if may_lose_one => DrawnFault::new("network", duration, partition(first, "schedulers"), &[first]),
        6 => {
            let keys = "from = [\"schedulers\"]\nto = [\"schedulers\"]\nloss = 0.3\ndelay-ms = 50\n";
            DrawnFault::new("network", duration, keys.into(), &[])
        }
        7 => DrawnFault::new("network", duration.min(2.0), partition(first, "workers"), &[]),
        8 => {
            let keys = "from = [\"schedulers\"]\nto = [\"schedulers\"]\n";
            DrawnFault::new("reset", RESET_DURATION, keys.into(), &[])
        }
        // Also in place of a fault that would take too many schedulers out of service.
        _ => {
            let keys = format!("from = [\"clients\"]\nto = [\"scheduler {first}\"]\n");
            DrawnFault::new("reset", RESET_DURATION, keys, &[])
        }
    }
}

/// The keys of a network fault that separates a scheduler from a group of nodes in both directions.
fn partition(scheduler: usize, peers: &str) -> String {
    format!(
        "from = [\"scheduler {scheduler}\"]\nto = [\"{peers}\"]\nbidirectional = true\nblackhole = true\n"
    )
}
