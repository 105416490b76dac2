//! `brackenledge-simulator scenario`: runs scenarios on the test cluster, from files or generated from seeds.

use brackenledge_test_cluster::checker::{Report, Verdict};
use brackenledge_test_cluster::cluster::SLOW_ITERATION;
use brackenledge_test_cluster::process::program_beside;
use brackenledge_test_cluster::{
    Error, Outcome, Scenario, check, cluster, history, random_scenarios, report, run,
};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// Prefix of the names of the admin endpoint's figures on replicated jobs.
const FAILOVER_FIGURE_PREFIX: &str = "handover.";

#[derive(clap::Args)]
pub struct Options {
    /// The scenarios' TOML files.
    #[arg(required_unless_present = "random")]
    files: Vec<PathBuf>,
    /// The scheduler's executable. The default is `brackenledge` next to this program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Folder to which each run writes its page NAME.html, its history NAME.jsonl, its report NAME.json and
    /// the log of its processes NAME.log.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
    /// Overrides the seed of each scenario.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of times that each scenario is run.
    #[arg(long, default_value_t = 1)]
    repeat: usize,
    /// Runs this many scenarios that are generated from seeds, and saves the file of each that fails.
    #[arg(long, alias = "soak", value_name = "NUMBER")]
    random: Option<u64>,
    /// The first seed of --random.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Generates scenarios with job replication and eight faults each.
    #[arg(long, alias = "covered")]
    failover: bool,
    /// Prints only a table with a row for each run.
    #[arg(long)]
    table: bool,
}

/// Why scenarios could not be run.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The scheduler's executable was not found.
    #[error("no `brackenledge` executable next to this program: build it, or give --program FILE")]
    ProgramNotFound,
    /// The path of this program could not be determined.
    #[error("cannot determine the path of this program: {0}")]
    OwnPath(io::Error),
    /// The handler of a signal could not be registered.
    #[error("cannot register a signal handler: {0}")]
    SignalHandler(io::Error),
    /// A scenario file is invalid or could not be read.
    #[error(transparent)]
    Read(Error),
    /// A scenario could not be run.
    #[error("{scenario}: {source}")]
    Run {
        /// The name of the scenario.
        scenario: String,
        /// The error of the test cluster.
        source: Error,
    },
    /// A file or folder of results could not be written.
    #[error("{}: {source}", .path.display())]
    Write {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// A scenario to run.
struct SelectedScenario {
    scenario: Scenario,
    /// The text of its file if it was generated from a seed.
    generated_text: Option<String>,
}

/// Runs the scenarios that the options select. Returns whether all runs passed.
pub fn run_scenarios(options: &Options) -> Result<bool, ScenarioError> {
    let run_options =
        cluster::Options { program: scheduler_program(options)?, stop: Some(stop_on_signals()?) };
    let selected = select(options)?;
    if options.table {
        println!("{}", report::TABLE_HEAD);
    }
    let (mut passed, mut runs) = (0, 0);
    for SelectedScenario { scenario, generated_text } in &selected {
        for _ in 0..options.repeat {
            let has_passed = run_once(scenario, options, &run_options)?;
            runs += 1;
            passed += usize::from(has_passed);
            if let (false, Some(text)) = (has_passed, generated_text) {
                let path = PathBuf::from(format!("{}.toml", scenario.name));
                write(&path, text)?;
                eprintln!("{} failed; its scenario file is saved as {}", scenario.name, path.display());
            }
        }
    }
    println!("{runs} runs: {passed} passed, {} failed", runs - passed);
    Ok(passed == runs)
}

fn scheduler_program(options: &Options) -> Result<PathBuf, ScenarioError> {
    let own_path = std::env::current_exe().map_err(ScenarioError::OwnPath)?;
    options.program.clone().or_else(|| program_beside(&own_path)).ok_or(ScenarioError::ProgramNotFound)
}

/// Returns a flag that is set by SIGINT and SIGTERM.
fn stop_on_signals() -> Result<Arc<AtomicBool>, ScenarioError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop)).map_err(ScenarioError::SignalHandler)?;
    }
    Ok(stop)
}

fn select(options: &Options) -> Result<Vec<SelectedScenario>, ScenarioError> {
    let mut selected = Vec::new();
    for file in &options.files {
        let scenario = Scenario::load(file).map_err(ScenarioError::Read)?;
        selected.push(SelectedScenario { scenario, generated_text: None });
    }
    for seed in (options.from..).take(options.random.unwrap_or(0) as usize) {
        let text = match options.failover {
            true => random_scenarios::draw_failover(seed),
            false => random_scenarios::draw(seed),
        };
        let path = format!("random-{seed}.toml");
        let scenario =
            Scenario::parse(Path::new(&path), &text).map_err(|error| ScenarioError::Read(error.into()))?;
        selected.push(SelectedScenario { scenario, generated_text: Some(text) });
    }
    for one in &mut selected {
        one.scenario.seed = options.seed.unwrap_or(one.scenario.seed);
    }
    Ok(selected)
}

/// Runs a scenario once, prints its result and writes its files. Returns whether it passed.
fn run_once(
    scenario: &Scenario,
    options: &Options,
    run_options: &cluster::Options,
) -> Result<bool, ScenarioError> {
    let run_error = |source| ScenarioError::Run { scenario: scenario.name.clone(), source };
    let outcome = run(scenario, run_options).map_err(run_error)?;
    let report = check(&outcome.history, scenario);
    let mut verdict = report.verdict(scenario);
    verdict.failures.extend(outcome.crashed.iter().cloned());
    if options.table {
        print_row(scenario, &report, &verdict);
    } else {
        print_summary(scenario, &outcome, &report, &verdict);
    }
    if let Some(folder) = &options.out {
        let files = result_files(scenario, &outcome, &report, &verdict).map_err(run_error)?;
        std::fs::create_dir_all(folder)
            .map_err(|source| ScenarioError::Write { path: folder.clone(), source })?;
        for (extension, text) in files {
            write(&folder.join(format!("{}.{extension}", scenario.name)), &text)?;
        }
    }
    Ok(verdict.passed())
}

fn print_row(scenario: &Scenario, report: &Report, verdict: &Verdict) {
    println!("{}", report::table_row(scenario, report, verdict));
    if scenario.failover.is_some() {
        println!("{}", report::takeover_line(scenario, report));
    }
    verdict.failures.iter().for_each(|failure| eprintln!("{}: {failure}", scenario.name));
}

fn print_summary(scenario: &Scenario, outcome: &Outcome, report: &Report, verdict: &Verdict) {
    print!("{}", report::summary(scenario, report, verdict));
    let figures = report::sum_figures(&outcome.info_replies, FAILOVER_FIGURE_PREFIX);
    let figures: Vec<String> = figures.iter().map(|(name, figure)| format!("{name} {figure}")).collect();
    if !figures.is_empty() {
        println!("{}", figures.join(", "));
    }
    let jobs = Report::sum(&report.jobs).max(1) as f64;
    println!(
        "CPU time {:.3} ms per job, {:.0} bytes per job on links between schedulers",
        outcome.cpu_ms / jobs,
        outcome.link_bytes as f64 / jobs
    );
    println!(
        "{} event loop iterations of the test cluster took over {SLOW_ITERATION} ms",
        outcome.slow_iterations
    );
}

/// The extensions and texts of the files that a run writes.
fn result_files(
    scenario: &Scenario,
    outcome: &Outcome,
    report: &Report,
    verdict: &Verdict,
) -> Result<[(&'static str, String); 4], Error> {
    Ok([
        ("log", outcome.log.join("\n") + "\n"),
        ("jsonl", history::to_json_lines(&outcome.history)?),
        ("json", serde_json::to_string_pretty(report)?),
        ("html", report::html(scenario, report, verdict)?),
    ])
}

fn write(path: &Path, text: &str) -> Result<(), ScenarioError> {
    std::fs::write(path, text).map_err(|source| ScenarioError::Write { path: path.to_owned(), source })
}
