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
#[expect(
    clippy::too_many_lines,
    reason = "split with the test cluster, third part of the work on readable code"
)]
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

/// Time from one fault's beginning to the next's in a drawn scenario of handover, in seconds: a roll without who was lost
/// takes up to 3.
const FAULT_EVERY: f64 = 3.0;
/// Faults of such a scenario, the first one after a tier's calm.
const FAULTS: usize = 8;

/// The text of the scenario of this seed with jobs in hand kept by others: 4 to 8 schedulers at some 70% load, and every 3 s a
/// fault: at most two schedulers are lost at once, as two keepers bear.
#[expect(
    clippy::too_many_lines,
    reason = "split with the test cluster, third part of the work on readable code"
)]
pub fn draw_covered(seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let schedulers: usize = rng.random_range(4..=8);
    let zones = ["north", "south", "east"];
    let zones = &zones[..rng.random_range(2..=3)];
    let seconds = 4.0 + FAULT_EVERY * FAULTS as f64 + 4.0;
    let mut text = format!(
        "name = \"covered-{seed}\"\nwhy = \"Drawn from seed {seed}.\"\nseed = {seed}\n\n[tier]\n\
         schedulers = {schedulers}\nzones = {zones:?}\noperations = \"[tier]\\non = true\\n\"\nhandover = \"\"\"\n\
         covered = [\"farm-view\", \"market-sale\", \"coin-buy\"]\nrefused = [\"market-sale\", \"coin-buy\"]\n\"\"\"\n\n\
         [workers]\nslots = 4\nrun-ms = 300\n\n[traffic]\nper-second = 100\nseconds = {seconds:.1}\n\
         deadline-ms = 5000\ntries = 6\n"
    );
    // Until when each scheduler has something of its own to bear, with what it takes to come back.
    let mut busy = vec![0.0_f64; schedulers];
    for number in 0..FAULTS {
        let at = 4.0 + FAULT_EVERY * number as f64 + rng.random_range(0.0..1.0);
        let lost = busy.iter().filter(|&&until| until > at).count();
        let one = rng.random_range(0..schedulers);
        let other = (one + rng.random_range(1..schedulers)) % schedulers;
        let span: f64 = [0.4, 1.0, 2.0, 4.0][rng.random_range(0..4)];
        let whole = lost == 0 && schedulers > 4;
        let (kind, lasts, rest, hit): (_, f64, _, Vec<usize>) = match rng.random_range(0..10) {
            0..=2 if lost == 0 => ("kill", 2.0, format!("who = [\"scheduler {one}\"]\n"), vec![one]),
            3 if whole => (
                "kill",
                2.0,
                format!("who = [\"scheduler {one}\", \"scheduler {other}\"]\n"),
                vec![one, other],
            ),
            4 if lost == 0 => ("stop", span, format!("who = [\"scheduler {one}\"]\n"), vec![one]),
            5 if lost == 0 => (
                "link",
                span,
                format!(
                    "from = [\"scheduler {one}\"]\nto = [\"schedulers\"]\nboth-ways = true\nsilent = true\n"
                ),
                vec![one],
            ),
            6 => (
                "link",
                span,
                "from = [\"schedulers\"]\nto = [\"schedulers\"]\nloss = 0.3\ndelay-ms = 50\n".into(),
                vec![],
            ),
            7 => (
                "link",
                span.min(2.0),
                format!(
                    "from = [\"scheduler {one}\"]\nto = [\"workers\"]\nboth-ways = true\nsilent = true\n"
                ),
                vec![],
            ),
            8 => ("reset", 0.1, "from = [\"schedulers\"]\nto = [\"schedulers\"]\n".into(), vec![]),
            _ => ("reset", 0.1, format!("from = [\"clients\"]\nto = [\"scheduler {one}\"]\n"), vec![]),
        };
        for scheduler in hit {
            busy[scheduler] = at + lasts + 3.0;
        }
        let until = at + lasts;
        let _ = write!(text, "\n[[fault]]\nkind = \"{kind}\"\nat = {at:.2}\nuntil = {until:.2}\n{rest}");
    }
    text.push_str("\n[expect]\ndoubles = 0\n");
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
            for draw in [draw, draw_covered] {
                let text = draw(seed);
                let scenario = Scenario::parse(Path::new("drawn.toml"), &text);
                assert!(scenario.is_ok(), "{seed}: {scenario:?}\n{text}");
                assert_eq!(text, draw(seed));
            }
        }
    }
}
