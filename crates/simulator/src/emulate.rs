//! `brackenledge-simulator emulate`: runs an experiment under the schedulers' own policy and under baselines.

use brackenledge_simulator::{Experiment, RunResult, SimulatorError, Window, run};
use std::path::PathBuf;
use std::time::Instant;

#[derive(clap::Args)]
pub struct Options {
    /// The experiment's TOML file.
    file: PathBuf,
    /// Overrides the seed in the file.
    #[arg(long)]
    seed: Option<u64>,
    /// Prints a JSON object for each second instead of the table.
    #[arg(long)]
    json: bool,
}

const HEADING: &str = "second    jobs  in-time    late rejected  failed    lost  errors    wait messages";
/// Name of the schedulers' own policy in the summary.
const OWN_POLICY: &str = "brackenledge";

/// Runs an experiment, and prints a row for each second and a summary line for each policy. Returns whether
/// the schedulers' own policy violated no rule.
pub fn emulate(options: &Options) -> Result<bool, SimulatorError> {
    let mut experiment = Experiment::load(&options.file)?;
    experiment.seed = options.seed.unwrap_or(experiment.seed);
    let started_at = Instant::now();
    let result = run(&experiment, None);
    if options.json {
        print_json(&result.windows)?;
    } else {
        print_table(&result.windows);
    }
    result.violations.iter().for_each(|violation| eprintln!("rule violated: {violation}"));
    println!("{} wall_s={:.2}", summary(OWN_POLICY, &result), started_at.elapsed().as_secs_f64());
    for &baseline in &experiment.baselines {
        println!("{}", summary(baseline.name(), &run(&experiment, Some(baseline))));
    }
    Ok(result.violations.is_empty())
}

fn print_json(windows: &[Window]) -> Result<(), SimulatorError> {
    for window in windows {
        println!("{}", serde_json::to_string(window)?);
    }
    Ok(())
}

fn print_table(windows: &[Window]) {
    println!("{HEADING}");
    for window in windows {
        println!(
            "{:>6} {:>7} {:>8} {:>7} {:>8} {:>7} {:>7} {:>7} {:>7.2} {:>8}",
            window.second,
            window.jobs,
            window.in_time,
            window.late,
            window.rejected,
            window.failed,
            window.lost,
            window.failed_attempts,
            window.mean_queue_time,
            window.messages
        );
    }
}

/// Formats the totals of a run as one line. Other programs parse it, so its keys must not change.
fn summary(policy: &str, result: &RunResult) -> String {
    let sum = |count: fn(&Window) -> usize| result.windows.iter().map(count).sum::<usize>();
    let jobs = sum(|window| window.jobs);
    let per_job = |count: fn(&Window) -> usize| sum(count) as f64 / jobs.max(1) as f64;
    format!(
        "policy={policy} jobs={jobs} broken_rules={} in_time={:.3} late={:.3} refused={:.3} \
         messages_per_job={:.2}",
        result.violations.len(),
        per_job(|window| window.in_time),
        per_job(|window| window.late),
        per_job(|window| window.rejected),
        per_job(|window| window.messages)
    )
}
