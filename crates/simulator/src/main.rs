//! The program `brackenledge-simulator`: runs simulations on a virtual clock, and scenarios on a test cluster
//! of real processes on loopback.

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

/// Exit code if a scheduler violated a rule, or a scenario did not meet the expectations in its file.
const EXIT_CHECK_FAILED: u8 = 2;

/// Simulates fleets of schedulers on a virtual clock, using the schedulers' own decision code, and runs
/// scenarios on real processes.
///
/// An experiment is a TOML file: experiments/ has examples, and docs/simulator.md documents every key. The
/// same file and seed always give the same run.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs an experiment and prints a line for each second and a summary. Exits with 2 if the schedulers'
    /// own policy violated a rule; violations by the baselines that the file names do not count.
    Emulate(emulate::Options),
    /// Runs scenarios on real scheduler processes, with fault injection on every link, and checks the
    /// recorded history. Exits with 2 if a scenario did not meet the expectations in its file.
    /// docs/test-cluster.md documents every key.
    #[command(alias = "tier")]
    Scenario(scenario::Options),
    /// Simulates cluster membership for several cluster sizes and rates of message loss. Prints a table of
    /// detection times, false positives, traffic and CPU time.
    Members(members::Options),
    /// Simulates six zones in three regions as fluid flows of work, with an outage of a zone and then of a
    /// region, under several routing strategies. Prints a table by load and can draw a plot.
    Zones(zone_sweep::Options),
    /// Parses an experiment file and reports the errors in it.
    Check {
        /// The experiment's TOML file.
        file: PathBuf,
    },
}

/// Executes a command. Returns whether everything that it checks has passed.
fn execute(command: Command) -> Result<bool, Box<dyn Error>> {
    match command {
        Command::Emulate(options) => return Ok(emulate::emulate(&options)?),
        Command::Scenario(options) => return Ok(scenario::run_scenarios(&options)?),
        Command::Members(options) => members::run(&options)?,
        Command::Zones(options) => zone_sweep::run(&options)?,
        Command::Check { file } => {
            Experiment::load(&file)?;
            println!("{}: valid experiment", file.display());
        }
    }
    Ok(true)
}

fn main() -> ExitCode {
    match execute(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_CHECK_FAILED),
        Err(error) => {
            eprintln!("brackenledge-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}
