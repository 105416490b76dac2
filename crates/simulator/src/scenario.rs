//! `brackenledge-simulator scenario`: plays scenarios of the test cluster, from files and drawn from seeds.

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

/// Names of the figures on replicated jobs.
const FAILOVER_FIGURES: &str = "handover.";

#[derive(clap::Args)]
pub struct Options {
    /// The scenarios' files.
    #[arg(required_unless_present = "random")]
    files: Vec<PathBuf>,
    /// The scheduler's program; by default the one beside this program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Where each run leaves its page NAME.html, its history NAME.jsonl, its report NAME.json and the processes' NAME.log.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
    /// In place of the files' seeds.
    #[arg(long)]
    seed: Option<u64>,
    /// How often each scenario is played.
    #[arg(long, default_value_t = 1)]
    repeat: usize,
    /// Plays this many scenarios drawn from seeds, and keeps the file of each that fails.
    #[arg(long, alias = "soak", value_name = "NUMBER")]
    random: Option<u64>,
    /// The first seed of --random.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Scenarios drawn from seeds have replicated jobs, and eight faults each.
    #[arg(long, alias = "covered")]
    failover: bool,
    /// Rows of a table only.
    #[arg(long)]
    table: bool,
}

/// Why scenarios can't be played.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// The scheduler's program was not found.
    #[error("no `brackenledge` beside this program: build it, or give --program FILE")]
    NoProgram,
    /// The path of this program is not known.
    #[error("the path of this program: {0}")]
    OwnPath(io::Error),
    /// A signal can't be caught.
    #[error("catching signals: {0}")]
    Signals(io::Error),
    /// A scenario's file is wrong or can't be read.
    #[error(transparent)]
    Read(Error),
    /// A scenario could not be played.
    #[error("{scenario}: {source}")]
    Run {
        /// Its name.
        scenario: String,
        /// Why not.
        source: Error,
    },
    /// A result can't be written.
    #[error("{}: {source}", .path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
}

/// A scenario, with its text where it was drawn from a seed.
struct Selected {
    scenario: Scenario,
    drawn_text: Option<String>,
}

/// Plays what the options select; whether all passed.
pub fn play(options: &Options) -> Result<bool, PlayError> {
    let run_options = cluster::Options { program: program(options)?, stop: Some(stop_on_signals()?) };
    let selected = select(options)?;
    if options.table {
        println!("{}", report::TABLE_HEAD);
    }
    let (mut passed, mut played) = (0, 0);
    for Selected { scenario, drawn_text } in &selected {
        for _ in 0..options.repeat {
            let has_passed = play_one(scenario, options, &run_options)?;
            played += 1;
            passed += usize::from(has_passed);
            if let (false, Some(text)) = (has_passed, drawn_text) {
                let path = PathBuf::from(format!("{}.toml", scenario.name));
                write(&path, text)?;
                eprintln!("kept {}", path.display());
            }
        }
    }
    println!("{played} runs: {passed} passed, {} failed", played - passed);
    Ok(passed == played)
}

fn program(options: &Options) -> Result<PathBuf, PlayError> {
    let own = std::env::current_exe().map_err(PlayError::OwnPath)?;
    options.program.clone().or_else(|| program_beside(&own)).ok_or(PlayError::NoProgram)
}

/// A flag that SIGINT and SIGTERM set.
fn stop_on_signals() -> Result<Arc<AtomicBool>, PlayError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop)).map_err(PlayError::Signals)?;
    }
    Ok(stop)
}

fn select(options: &Options) -> Result<Vec<Selected>, PlayError> {
    let mut selected = Vec::new();
    for file in &options.files {
        let scenario = Scenario::load(file).map_err(PlayError::Read)?;
        selected.push(Selected { scenario, drawn_text: None });
    }
    for seed in (options.from..).take(options.random.unwrap_or(0) as usize) {
        let text = match options.failover {
            true => random_scenarios::draw_failover(seed),
            false => random_scenarios::draw(seed),
        };
        let path = format!("random-{seed}.toml");
        let scenario =
            Scenario::parse(Path::new(&path), &text).map_err(|error| PlayError::Read(error.into()))?;
        selected.push(Selected { scenario, drawn_text: Some(text) });
    }
    for one in &mut selected {
        one.scenario.seed = options.seed.unwrap_or(one.scenario.seed);
    }
    Ok(selected)
}

/// Plays a scenario once; whether it passed.
fn play_one(
    scenario: &Scenario,
    options: &Options,
    run_options: &cluster::Options,
) -> Result<bool, PlayError> {
    let in_scenario = |source| PlayError::Run { scenario: scenario.name.clone(), source };
    let outcome = run(scenario, run_options).map_err(in_scenario)?;
    let report = check(&outcome.history, scenario);
    let mut verdict = report.verdict(scenario);
    verdict.failures.extend(outcome.crashed.iter().cloned());
    if options.table {
        print_row(scenario, &report, &verdict);
    } else {
        print_summary(scenario, &outcome, &report, &verdict);
    }
    if let Some(folder) = &options.out {
        let files = files(scenario, &outcome, &report, &verdict).map_err(in_scenario)?;
        std::fs::create_dir_all(folder)
            .map_err(|source| PlayError::Write { path: folder.clone(), source })?;
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
    let figures = report::sum_figures(&outcome.info_replies, FAILOVER_FIGURES);
    let figures: Vec<String> = figures.iter().map(|(name, figure)| format!("{name} {figure}")).collect();
    if !figures.is_empty() {
        println!("{}", figures.join(", "));
    }
    let jobs = Report::sum(&report.jobs).max(1) as f64;
    println!(
        "processor time {:.3} ms a job, {:.0} bytes a job on links between schedulers",
        outcome.cpu_ms / jobs,
        outcome.link_bytes as f64 / jobs
    );
    println!("{} turns of the test cluster took over {SLOW_ITERATION} ms", outcome.slow_iterations);
}

/// The files that a run leaves, by extension.
fn files(
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

fn write(path: &Path, text: &str) -> Result<(), PlayError> {
    std::fs::write(path, text).map_err(|source| PlayError::Write { path: path.to_owned(), source })
}
