//! Random scenarios. Each is generated as the text of a scenario file, so that a failing one can be kept and
//! run again. The same seed always gives the same text.

mod failover;
#[cfg(test)]
mod tests;

pub use failover::draw_failover;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write as _;

/// Duration of the traffic, in seconds.
const TRAFFIC_SECONDS: f64 = 8.0;
/// Faults begin after a time without faults and end well before the traffic does, so that the recovery is
/// observed. In seconds.
const FIRST_FAULT_AT: f64 = 1.5;
const LAST_FAULT_UNTIL: f64 = 6.0;
/// Time between SIGTERM and SIGKILL, in seconds; the same as on the platform that runs the schedulers.
const TERMINATION_GRACE_PERIOD: f64 = 4.0;
const WORKERS: usize = 12;
const ZONES: [&str; 3] = ["north", "south", "east"];
/// Number of equally likely choices in [`draw_fault`]; a kind of fault may take several of them.
const FAULT_CHOICES: usize = 14;

/// Size and zones of a random cluster.
struct DrawnCluster<'a> {
    schedulers: usize,
    zones: &'a [&'a str],
}

/// A random fault, apart from its times.
struct DrawnFault {
    kind: &'static str,
    /// Further lines of the `[[fault]]` table.
    keys: String,
    /// The scheduler whose process the fault affects, if it affects one.
    process: Option<usize>,
}

impl DrawnFault {
    fn new(kind: &'static str, keys: String) -> DrawnFault {
        DrawnFault { kind, keys, process: None }
    }

    fn of_process(kind: &'static str, scheduler: usize) -> DrawnFault {
        let keys = format!("targets = [\"scheduler {scheduler}\"]\n");
        DrawnFault { kind, keys, process: Some(scheduler) }
    }
}

/// The text of the scenario for a seed: 4 to 8 schedulers in two or three zones, one to three faults.
pub fn draw(seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let schedulers = rng.random_range(4..=8);
    let cluster = DrawnCluster { schedulers, zones: &ZONES[..rng.random_range(2..=3)] };
    let zones = cluster.zones;
    let mut text = format!(
        "name = \"random-{seed}\"\nwhy = \"Drawn from seed {seed}.\"\nseed = {seed}\n\n[cluster]\n\
         schedulers = {schedulers}\nzones = {zones:?}\n\n[workers]\ncount = {WORKERS}\n\n[traffic]\n\
         per-second = 90\nseconds = {TRAFFIC_SECONDS:.1}\n"
    );
    let mut affected_processes = Vec::new();
    for _ in 0..rng.random_range(1..=3) {
        let at = rng.random_range(FIRST_FAULT_AT..LAST_FAULT_UNTIL - 1.0);
        let until = rng.random_range(at + 0.3..LAST_FAULT_UNTIL);
        let fault = draw_fault(&mut rng, &cluster);
        // At most one fault per process: the effect of a second one on the same process is not defined.
        if fault.process.is_some_and(|process| affected_processes.contains(&process)) {
            continue;
        }
        affected_processes.extend(fault.process);
        let is_termination = fault.kind == "terminate";
        let until =
            if is_termination { (at + TERMINATION_GRACE_PERIOD).min(TRAFFIC_SECONDS - 0.5) } else { until };
        let DrawnFault { kind, keys, .. } = fault;
        let _ = write!(text, "\n[[fault]]\nkind = \"{kind}\"\nat = {at:.2}\nuntil = {until:.2}\n{keys}");
    }
    text
}

fn draw_fault(rng: &mut ChaCha8Rng, cluster: &DrawnCluster) -> DrawnFault {
    let scheduler = rng.random_range(0..cluster.schedulers);
    let worker = rng.random_range(0..WORKERS);
    let zone = cluster.zones[rng.random_range(0..cluster.zones.len())];
    let loss = [0.1, 0.3, 0.5][rng.random_range(0..3)];
    let worker_target = format!("targets = [\"worker {worker}\"]\n");
    match rng.random_range(0..FAULT_CHOICES) {
        0 | 1 => DrawnFault::of_process("kill", scheduler),
        2 => DrawnFault::of_process("pause", scheduler),
        3 => DrawnFault::of_process("terminate", scheduler),
        4 => DrawnFault::new(
            "network",
            format!(
                "from = [\"schedulers\"]\nto = [\"schedulers\"]\nloss = {loss}\ndelay-ms = 200\njitter-ms = 100\n"
            ),
        ),
        5 => DrawnFault::new(
            "network",
            format!("from = [\"zone {zone}\"]\nto = [\"schedulers\"]\nblackhole = true\n"),
        ),
        6 => DrawnFault::new(
            "network",
            format!("from = [\"schedulers\"]\nto = [\"zone {zone}\"]\nblackhole = true\n"),
        ),
        7 => DrawnFault::new(
            "network",
            format!(
                "from = [\"scheduler {scheduler}\"]\nto = [\"workers\"]\nbidirectional = true\nblackhole = true\n"
            ),
        ),
        8 => DrawnFault::new("discovery-outage", String::new()),
        9 => DrawnFault::new("stale-endpoint-list", String::new()),
        10 => DrawnFault::new("drain", worker_target),
        11 => DrawnFault::new("failing", format!("{worker_target}fraction = 0.8\n")),
        12 => DrawnFault::new("kill", worker_target),
        _ => DrawnFault::new("reset", format!("from = [\"scheduler {scheduler}\"]\nto = [\"workers\"]\n")),
    }
}
