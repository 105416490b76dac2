//! Scenarios drawn from a seed: each is a file's text, so that one that falls short can be kept and played again.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::fmt::Write as _;

/// How long a drawn scenario is, in seconds.
const SECONDS: f64 = 8.0;
/// Faults begin after a calm time and end well before the end, so that the return is seen.
const CALM: f64 = 1.5;
const ENDED: f64 = 6.0;

/// The text of the scenario of this seed: 4 to 8 schedulers in two or three zones, one to three faults.
pub fn draw(seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let schedulers = rng.random_range(4..=8);
    let zones = ["north", "south", "east"];
    let zones = &zones[..rng.random_range(2..=3)];
    let workers = 12;
    let mut text = format!(
        "name = \"soak-{seed}\"\nwhy = \"Drawn from seed {seed}.\"\nseed = {seed}\n\n[tier]\n\
         schedulers = {schedulers}\nzones = {zones:?}\n\n[workers]\ncount = {workers}\n\n[traffic]\n\
         per-second = 90\nseconds = {SECONDS:.1}\n"
    );
    let mut killed = Vec::new();
    for _ in 0..rng.random_range(1..=3) {
        let at = rng.random_range(CALM..ENDED - 1.0);
        let until = rng.random_range(at + 0.3..ENDED);
        let scheduler = rng.random_range(0..schedulers);
        let worker = rng.random_range(0..workers);
        let zone = zones[rng.random_range(0..zones.len())];
        let loss = [0.1, 0.3, 0.5][rng.random_range(0..3)];
        let process = format!("who = [\"scheduler {scheduler}\"]\n");
        let (kind, rest) = match rng.random_range(0..14) {
            // One deed for each process: what a second one would mean then is not said.
            0..=3 if killed.contains(&scheduler) => continue,
            0 | 1 => ("kill", process),
            2 => ("stop", process),
            3 => ("term", process),
            4 => (
                "link",
                format!(
                    "from = [\"schedulers\"]\nto = [\"schedulers\"]\nloss = {loss}\ndelay-ms = 200\njitter-ms = 100\n"
                ),
            ),
            5 => ("link", format!("from = [\"zone {zone}\"]\nto = [\"schedulers\"]\nsilent = true\n")),
            6 => ("link", format!("from = [\"schedulers\"]\nto = [\"zone {zone}\"]\nsilent = true\n")),
            7 => (
                "link",
                format!(
                    "from = [\"scheduler {scheduler}\"]\nto = [\"workers\"]\nboth-ways = true\nsilent = true\n"
                ),
            ),
            8 => ("outage", String::new()),
            9 => ("stale", String::new()),
            10 => ("drain", format!("who = [\"worker {worker}\"]\n")),
            11 => ("failing", format!("who = [\"worker {worker}\"]\npart = 0.8\n")),
            12 => ("kill", format!("who = [\"worker {worker}\"]\n")),
            _ => ("reset", format!("from = [\"scheduler {scheduler}\"]\nto = [\"workers\"]\n")),
        };
        if matches!(kind, "stop" | "term") || kind == "kill" && rest.contains("scheduler") {
            killed.push(scheduler);
        }
        // A process that was told to end has as long as the platform gives it.
        let until = if kind == "term" { (at + 4.0).min(SECONDS - 0.5) } else { until };
        let _ = write!(text, "\n[[fault]]\nkind = \"{kind}\"\nat = {at:.2}\nuntil = {until:.2}\n{rest}");
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Scenario;
    use std::path::Path;

    #[test]
    fn every_seed_draws_a_scenario_that_reads_and_the_same_one_each_time() {
        for seed in 0..400 {
            let text = draw(seed);
            let scenario = Scenario::parse(Path::new("soak.toml"), &text);
            assert!(scenario.is_ok(), "{seed}: {scenario:?}\n{text}");
            assert_eq!(text, draw(seed));
        }
    }
}
