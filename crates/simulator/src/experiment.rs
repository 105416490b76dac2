//! An experiment's file, and its run: the fleet, the traffic, the network, and the faults by time.

use crate::fleet::{Fleet, Tally, settings};
use crate::textbook::Rule;
use brackenledge_policy::Settings;
use serde::{Deserialize, Serialize};

/// How many there are of what.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FleetSize {
    /// Schedulers, 1 to 1,000.
    pub schedulers: u32,
    /// Workers, 1 to 10,000.
    pub workers: usize,
    /// Jobs that a worker runs at a time, 1 to 64.
    #[serde(default = "three")]
    pub slots: usize,
}

/// What comes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Traffic {
    /// Part of all slots that the jobs need.
    pub load: f64,
    /// Mean running time of a job, in milliseconds.
    pub run_ms: f64,
    /// Running times more that a job takes at a worker that does not keep its key's data.
    pub fetch: f64,
    /// Keys that jobs have, a few of them often.
    pub keys: u32,
    /// How long jobs come, in seconds.
    pub seconds: u32,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic { load: 0.6, run_ms: 300.0, fetch: 0.6, keys: 300, seconds: 20 }
    }
}

/// Between the schedulers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Network {
    /// Time that a message takes, in milliseconds.
    pub one_way_ms: f64,
    /// Part of the messages that is lost.
    pub loss: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { one_way_ms: 10.0, loss: 0.02 }
    }
}

/// What happens when. Times are in seconds from the start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// That part of the workers starts anew, cold.
    #[serde(rename_all = "kebab-case")]
    RestartWorkers {
        /// When.
        at: u32,
        /// Of all workers.
        part: f64,
    },
    /// That part of the workers fails whatever it gets from then on, until the second time.
    #[serde(rename_all = "kebab-case")]
    FailingWorkers {
        /// From when.
        at: u32,
        /// Until when.
        until: u32,
        /// Of all workers.
        part: f64,
    },
    /// That part of the schedulers is killed, and back at the second time.
    #[serde(rename_all = "kebab-case")]
    KillSchedulers {
        /// When.
        at: u32,
        /// Until when.
        until: u32,
        /// Of all schedulers.
        part: f64,
    },
    /// So many times the load comes, until the second time.
    #[serde(rename_all = "kebab-case")]
    Burst {
        /// From when.
        at: u32,
        /// Until when.
        until: u32,
        /// Of the usual load.
        times: f64,
    },
}

impl Fault {
    /// Its name in the file, from and until when, its size, and the most that this may be.
    fn bounds(&self) -> (&'static str, u32, u32, f64, f64) {
        match *self {
            Fault::RestartWorkers { at, part } => ("restart-workers", at, at + 1, part, 1.0),
            Fault::FailingWorkers { at, until, part } => ("failing-workers", at, until, part, 1.0),
            Fault::KillSchedulers { at, until, part } => ("kill-schedulers", at, until, part, 1.0),
            Fault::Burst { at, until, times } => ("burst", at, until, times, 100.0),
        }
    }
}

/// A file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Experiment {
    /// How many there are of what.
    pub fleet: FleetSize,
    /// What comes.
    #[serde(default)]
    pub traffic: Traffic,
    /// Between the schedulers.
    #[serde(default)]
    pub network: Network,
    /// What happens when.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Textbook policies that the same day is played under as well.
    #[serde(default)]
    pub compare: Vec<Rule>,
    /// For all that is random.
    #[serde(default)]
    pub seed: u64,
}

fn three() -> usize {
    3
}

impl Experiment {
    /// Reads a file's text. An error names the place, the key and what would be right.
    pub fn read(text: &str) -> Result<Experiment, String> {
        let experiment: Experiment = toml::from_str(text).map_err(|error| error.to_string())?;
        let wrong = experiment.wrong();
        if wrong.is_empty() { Ok(experiment) } else { Err(wrong.join("\n")) }
    }

    /// All that is wrong with the values, a line each.
    fn wrong(&self) -> Vec<String> {
        let mut wrong = Vec::new();
        let mut within = |key: &str, value: f64, least: f64, most: f64| {
            if !(least..=most).contains(&value) {
                wrong.push(format!("{key} = {value}: give a number from {least} to {most}"));
            }
        };
        within("fleet.schedulers", f64::from(self.fleet.schedulers), 1.0, 1_000.0);
        within("fleet.workers", self.fleet.workers as f64, 1.0, 10_000.0);
        within("fleet.slots", self.fleet.slots as f64, 1.0, 64.0);
        within("traffic.load", self.traffic.load, 0.01, 10.0);
        within("traffic.run-ms", self.traffic.run_ms, 1.0, 10_000.0);
        within("traffic.fetch", self.traffic.fetch, 0.0, 100.0);
        within("traffic.keys", f64::from(self.traffic.keys), 1.0, 1e6);
        within("traffic.seconds", f64::from(self.traffic.seconds), 1.0, 3_600.0);
        within("network.one-way-ms", self.network.one_way_ms, 0.0, 1_000.0);
        within("network.loss", self.network.loss, 0.0, 1.0);
        let end = f64::from(self.traffic.seconds);
        for (number, fault) in self.faults.iter().enumerate() {
            let (kind, at, until, size, most) = fault.bounds();
            let name = format!("fault {} ({kind})", number + 1);
            within(&format!("{name}: at"), f64::from(at), 0.0, end - 1.0);
            within(&format!("{name}: until"), f64::from(until), f64::from(at + 1).min(end), end);
            within(&format!("{name}: size"), size, 0.0, most);
        }
        // A second one of a kind would end the first, or be ended by it.
        for (number, fault) in self.faults.iter().enumerate() {
            let (kind, at, until, ..) = fault.bounds();
            for (earlier, other) in self.faults[..number].iter().enumerate() {
                let (other_kind, other_at, other_until, ..) = other.bounds();
                if kind == other_kind && at < other_until && other_at < until {
                    let (first, second) = (earlier + 1, number + 1);
                    wrong.push(format!("faults {first} and {second} ({kind}) overlap: let one end first"));
                }
            }
        }
        wrong
    }
}

/// One second of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Window {
    /// Seconds from the start.
    pub second: u32,
    /// Jobs that came.
    pub jobs: usize,
    /// Of those answered, the jobs served in time, served late, refused, failed, and lost with a scheduler.
    pub in_time: usize,
    /// Jobs served late.
    pub late: usize,
    /// Jobs refused.
    pub refused: usize,
    /// Jobs failed.
    pub failed: usize,
    /// Jobs lost with a scheduler.
    pub lost: usize,
    /// Attempts that failed.
    pub failed_attempts: usize,
    /// Mean wait at a worker, in running times.
    pub wait: f64,
    /// Messages between schedulers, by receiver.
    pub messages: usize,
}

/// Plays an experiment, under a textbook's rule if one is given: its seconds, and the rules that were broken.
pub fn run(experiment: &Experiment, rule: Option<Rule>) -> (Vec<Window>, Vec<String>) {
    let Experiment { fleet: size, traffic, network, faults, seed, .. } = experiment;
    let settings = Settings { schedulers: size.schedulers, ..settings() };
    let mut fleet = Fleet::new(settings, size.workers, size.slots, traffic.run_ms, traffic.keys, *seed);
    rule.into_iter().for_each(|rule| fleet.go_by(rule));
    let usual = traffic.load * (size.workers * size.slots) as f64 * 1_000.0 / traffic.run_ms;
    (fleet.rate, fleet.loss, fleet.one_way) = (usual, network.loss, network.one_way_ms);
    fleet.fetch = traffic.fetch;
    let mut windows = Vec::new();
    for second in 0..traffic.seconds {
        for fault in faults {
            let (_, at, until, ..) = fault.bounds();
            let count = |of: usize, part: f64| (of as f64 * part).round() as usize;
            match *fault {
                Fault::RestartWorkers { part, .. } if second == at => {
                    fleet.restart_workers(count(size.workers, part));
                }
                Fault::FailingWorkers { part, .. } if second == at => {
                    fleet.failing_from = size.workers - count(size.workers, part);
                }
                Fault::FailingWorkers { .. } if second == until => fleet.failing_from = size.workers,
                Fault::KillSchedulers { part, .. } if second == at => {
                    (0..count(size.schedulers as usize, part)).for_each(|number| fleet.kill(number));
                }
                Fault::KillSchedulers { .. } if second == until => {
                    fleet.down().into_iter().for_each(|number| fleet.boot(number));
                }
                Fault::Burst { times, .. } if second == at => fleet.rate = usual * times,
                Fault::Burst { .. } if second == until => fleet.rate = usual,
                _ => {}
            }
        }
        fleet.play(1_000.0);
        let tally = std::mem::take(&mut fleet.tally);
        windows.push(window(second, &tally, traffic.run_ms));
    }
    let (most, _) = fleet.cold_most();
    if most >= fleet.settings.overload_multiple {
        fleet.broken.push(format!("a cold worker was sent {most:.2} times what it could do in a span"));
    }
    (windows, fleet.broken)
}

fn window(second: u32, tally: &Tally, run: f64) -> Window {
    Window {
        second,
        jobs: tally.jobs,
        in_time: tally.in_time,
        late: tally.served - tally.in_time,
        refused: tally.refused,
        failed: tally.failed,
        lost: tally.lost,
        failed_attempts: tally.failed_attempts,
        wait: (tally.waited / tally.sends.max(1) as f64 / run * 100.0).round() / 100.0,
        messages: tally.messages,
    }
}
