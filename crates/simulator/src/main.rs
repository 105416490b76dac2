//! The program `brackenledge-simulator`: simulations on a virtual clock, and scenarios on a test cluster of processes on
//! loopback.

mod emulate;
mod members;
mod scenario;
mod zone_plot;
mod zone_sweep;

use brackenledge_simulator::Experiment;
use clap::{Parser, Subcommand};
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code if a scheduler broke a rule, or a scenario did not meet its file's expectations.
const EXIT_RULE_BROKEN: u8 = 2;

/// Simulates fleets of schedulers on a virtual clock, with the schedulers' own decisions, and runs scenarios on real
/// processes.
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
    /// Runs an experiment: a line for each second, and a summary. Exits with 2 if the scheduler broke a rule; baselines,
    /// where the file names some, may.
    Emulate(emulate::Options),
    /// Runs scenarios on real processes of the scheduler, with faults on every link, and checks their history.
    /// Exits with 2 if a scenario did not meet its file's expectations. docs/test-cluster.md has every key.
    #[command(alias = "tier")]
    Scenario(scenario::Options),
    /// Simulates membership in clusters of several sizes under message loss: how soon a crash is noticed, how often a
    /// running process is declared down, and what it costs.
    Members(members::Options),
    /// Simulates six zones in three regions as flows of work, a zone and then a region without workers, under several
    /// strategies to route work elsewhere: a table by load, and a plot.
    Zones(zone_sweep::Options),
    /// Parses an experiment and says what is wrong with it.
    Check {
        /// The experiment.
        file: PathBuf,
    },
}

/// Executes a command; whether all that it judges passed.
fn execute(command: Command) -> Result<bool, Box<dyn Error>> {
    match command {
        Command::Emulate(options) => return Ok(emulate::emulate(&options)?),
        Command::Scenario(options) => return Ok(scenario::play(&options)?),
        Command::Members(options) => members::run(&options)?,
        Command::Zones(options) => zone_sweep::run(&options)?,
        Command::Check { file } => {
            Experiment::load(&file)?;
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
