//! `brackenledge-simulator tier`: scenarios of the rig by hand, and many of them drawn from seeds.

use brackenledge_test_cluster::checker::audit;
use brackenledge_test_cluster::cluster::{self, program_beside};
use brackenledge_test_cluster::{Scenario, random_scenarios, report, run};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

#[derive(clap::Args)]
pub struct Options {
    /// The scenarios' files.
    #[arg(required_unless_present = "soak")]
    files: Vec<PathBuf>,
    /// The scheduler's program; else the one beside this.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Where each run leaves NAME.html, its history NAME.jsonl, its figures NAME.json and the processes' NAME.log.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
    /// In place of the files' seeds.
    #[arg(long)]
    seed: Option<u64>,
    /// Plays each so often.
    #[arg(long, default_value_t = 1)]
    repeat: usize,
    /// Plays so many scenarios that are drawn from seeds, and keeps the file of each that falls short.
    #[arg(long, value_name = "NUMBER")]
    soak: Option<u64>,
    /// The first seed of --soak.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Those drawn have jobs in hand kept by other schedulers, and eight faults each.
    #[arg(long)]
    covered: bool,
    /// Rows of a table only.
    #[arg(long)]
    table: bool,
}

/// Plays one; whether it passed.
fn one(scenario: &Scenario, options: &Options, how: &cluster::Options) -> Result<bool, String> {
    let outcome = run(scenario, how).map_err(|error| format!("{}: {error}", scenario.name))?;
    let audit = audit(&outcome.history, scenario);
    let mut verdict = audit.verdict(scenario);
    verdict.short.extend(outcome.crashed.iter().cloned());
    if options.table {
        println!("{}", report::row(scenario, &audit, &verdict));
        if scenario.handover.is_some() {
            println!("{}", report::covered(scenario, &audit));
        }
        verdict.short.iter().for_each(|short| eprintln!("{}: {short}", scenario.name));
    } else {
        print!("{}", report::summary(scenario, &audit, &verdict));
        let figures = report::figures(&outcome.figures, "handover.");
        let figures: Vec<String> = figures.iter().map(|(name, figure)| format!("{name} {figure}")).collect();
        if !figures.is_empty() {
            println!("{}", figures.join(", "));
        }
        let jobs: usize = audit.jobs.iter().sum();
        println!(
            "processor time {:.3} ms a job, {:.0} bytes a job on links between schedulers",
            outcome.cpu / jobs.max(1) as f64,
            outcome.link_bytes as f64 / jobs.max(1) as f64
        );
        println!("the rig was late {} times by over {} ms", outcome.rig_late, cluster::RIG_LATE);
    }
    if let Some(folder) = &options.out {
        let write = |end: &str, text: String| {
            let path = folder.join(format!("{}.{end}", scenario.name));
            std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))
        };
        std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        write("log", outcome.log.join("\n") + "\n")?;
        write("jsonl", report::json_lines(&outcome.history)?)?;
        write("json", serde_json::to_string_pretty(&audit).map_err(|error| error.to_string())?)?;
        write("html", report::html(scenario, &audit, &verdict)?)?;
    }
    Ok(verdict.short.is_empty())
}

/// Plays what was asked for; whether all passed.
pub fn play(options: &Options) -> Result<bool, String> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop)).map_err(|error| error.to_string())?;
    }
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let program = options.program.clone().or_else(|| program_beside(&own));
    let program = program.ok_or("no `brackenledge` beside this program: build it, or give --program FILE")?;
    let how = cluster::Options { program, stop: Some(stop) };
    let mut scenarios = Vec::new();
    for file in &options.files {
        scenarios.push((Scenario::load(file)?, None));
    }
    for seed in (options.from..).take(options.soak.unwrap_or(0) as usize) {
        let text =
            if options.covered { random_scenarios::draw_covered(seed) } else { random_scenarios::draw(seed) };
        scenarios.push((Scenario::parse(Path::new(&format!("soak-{seed}.toml")), &text)?, Some(text)));
    }
    if options.table {
        println!("{}", report::HEADING);
    }
    let (mut passed, mut all) = (0, 0);
    for (scenario, text) in &mut scenarios {
        scenario.seed = options.seed.unwrap_or(scenario.seed);
        for _ in 0..options.repeat {
            let good = one(scenario, options, &how)?;
            (passed, all) = (passed + usize::from(good), all + 1);
            if let (false, Some(text)) = (good, &text) {
                let path = PathBuf::from(format!("{}.toml", scenario.name));
                std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
                eprintln!("kept {}", path.display());
            }
        }
    }
    println!("{all} runs: {passed} passed, {} fell short", all - passed);
    Ok(passed == all)
}
