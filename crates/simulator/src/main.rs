//! `brackenledge-simulator`: plays experiments on whole fleets of schedulers on a virtual clock, and scenarios on a tier of
//! processes on loopback.

mod members;
mod tier;
mod zone_plot;
mod zone_sweep;

use brackenledge_simulator::{Experiment, Window, run};
use clap::{Parser, Subcommand};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The scheduler broke a rule, or a scenario fell short of its file.
const EXIT_RULE_BROKEN: u8 = 2;

/// Plays whole fleets of schedulers on a virtual clock, with the scheduler's own decisions.
///
/// An experiment is a TOML file; experiments/ has examples, docs/simulator.md every key. Equal files and seeds give equal runs.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays an experiment: a line for each second, and one that sums up. Exits with 2 if the scheduler broke a rule;
    /// textbook policies, where the file compares with them, may.
    Emulate {
        /// The experiment.
        file: PathBuf,
        /// In place of the file's seed.
        #[arg(long)]
        seed: Option<u64>,
        /// A JSON object for each second in place of the table.
        #[arg(long)]
        json: bool,
    },
    /// Plays scenarios on real processes of the scheduler, with faults on every link, and judges what came of it.
    /// Exits with 2 if a scenario fell short of its file. docs/test-cluster.md has every key.
    Tier(tier::Options),
    /// Plays membership in tiers of several sizes under loss: how soon a death is noticed, how often it is wrong, and
    /// what it costs.
    Members(members::Options),
    /// Plays six zones in three regions as flows of work, a zone and a region lost, under several ways to send work
    /// elsewhere: a table by load, and a plot.
    Zones(zone_sweep::Options),
    /// Reads an experiment and tells what is wrong with it.
    Check {
        /// The experiment.
        file: PathBuf,
    },
}

fn read(file: &Path) -> Result<Experiment, String> {
    let text = std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    Experiment::read(&text).map_err(|error| format!("{}: {error}", file.display()))
}

/// One line on a whole run.
fn sum(policy: &str, windows: &[Window], broken: &[String]) -> String {
    let all = |of: fn(&Window) -> usize| windows.iter().map(of).sum::<usize>();
    let jobs = all(|w| w.jobs);
    let part = |of: fn(&Window) -> usize| all(of) as f64 / jobs.max(1) as f64;
    format!(
        "policy={policy} jobs={jobs} broken_rules={} in_time={:.3} late={:.3} refused={:.3} messages_per_job={:.2}",
        broken.len(),
        part(|w| w.in_time),
        part(|w| w.late),
        part(|w| w.refused),
        part(|w| w.messages)
    )
}

fn emulate(file: &Path, seed: Option<u64>, json: bool) -> Result<bool, String> {
    let mut experiment = read(file)?;
    experiment.seed = seed.unwrap_or(experiment.seed);
    let began = std::time::Instant::now();
    let (windows, broken) = run(&experiment, None);
    if !json {
        println!("second    jobs  in-time    late refused  failed    lost  errors    wait messages");
    }
    for w in &windows {
        if json {
            println!("{}", serde_json::to_string(w).map_err(|error| error.to_string())?);
        } else {
            println!(
                "{:>6} {:>7} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7.2} {:>8}",
                w.second,
                w.jobs,
                w.in_time,
                w.late,
                w.refused,
                w.failed,
                w.lost,
                w.failed_attempts,
                w.wait,
                w.messages
            );
        }
    }
    broken.iter().for_each(|rule| eprintln!("broken rule: {rule}"));
    println!("{} wall_s={:.2}", sum("brackenledge", &windows, &broken), began.elapsed().as_secs_f64());
    for &rule in &experiment.compare {
        let (windows, broken) = run(&experiment, Some(rule));
        println!("{}", sum(rule.name(), &windows, &broken));
    }
    Ok(broken.is_empty())
}

/// Executes a command; whether all that it judges passed.
fn execute(command: Command) -> Result<bool, Box<dyn Error>> {
    match command {
        Command::Emulate { file, seed, json } => return Ok(emulate(&file, seed, json)?),
        Command::Tier(options) => return Ok(tier::play(&options)?),
        Command::Members(options) => members::run(&options)?,
        Command::Zones(options) => zone_sweep::run(&options)?,
        Command::Check { file } => {
            read(&file)?;
            println!("{}: an experiment", file.display());
        }
    }
    Ok(true)
}

fn main() -> ExitCode {
    match execute(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_RULE_BROKEN),
        Err(error) => {
            eprintln!("brackenledge-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}
