//! `brackenledge-simulator members`: a table of membership results by cluster size and message loss.

use brackenledge_simulator::SimulatorError;
use brackenledge_simulator::membership::{MembershipResult, MembershipScenario, quantile};
use std::ops::RangeInclusive;

const SCHEDULER_COUNTS: RangeInclusive<usize> = 2..=1_000;
const LOSSES: RangeInclusive<f64> = 0.0..=0.9;
const MILLIS_PER_SECOND: f64 = 1_000.0;
const SECONDS_PER_MINUTE: f64 = 60.0;
const MINUTES_PER_HOUR: f64 = 60.0;

const HEADING: &str = "| schedulers | loss | first detection, median s | all detections, median s \
                       | all detections, p99 s | false positives per hour | false reports in total \
                       | bytes/s sent per scheduler | messages/s sent per scheduler \
                       | CPU per scheduler, fraction of a core |\n\
                       | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

#[derive(clap::Args)]
pub struct Options {
    /// Cluster sizes. Each is run with every rate of loss.
    #[arg(long, value_delimiter = ',', default_value = "4,40,300")]
    schedulers: Vec<usize>,
    /// Fractions of the messages that are lost.
    #[arg(long, value_delimiter = ',', default_value = "0,0.1,0.3,0.5")]
    loss: Vec<f64>,
    /// Length of each run on the virtual clock, without the warm-up.
    #[arg(long, default_value_t = 10.0)]
    minutes: f64,
    /// Seed of the random numbers of each run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Options {
    fn validate(&self) -> Result<(), SimulatorError> {
        if !self.schedulers.iter().all(|count| SCHEDULER_COUNTS.contains(count)) {
            let (min, max) = (*SCHEDULER_COUNTS.start() as f64, *SCHEDULER_COUNTS.end() as f64);
            return Err(SimulatorError::InvalidOption { option: "--schedulers", min, max });
        }
        if !self.loss.iter().all(|loss| LOSSES.contains(loss)) {
            let (min, max) = (*LOSSES.start(), *LOSSES.end());
            return Err(SimulatorError::InvalidOption { option: "--loss", min, max });
        }
        Ok(())
    }
}

/// Runs a scenario for each combination of cluster size and loss, and prints a table with a row for each.
pub fn run(options: &Options) -> Result<(), SimulatorError> {
    options.validate()?;
    println!("{HEADING}");
    for &scheduler_count in &options.schedulers {
        for &loss in &options.loss {
            let (minutes, seed) = (options.minutes, options.seed);
            let scenario = MembershipScenario { scheduler_count, loss, minutes, seed };
            println!("{}", row(&scenario, scenario.run()));
        }
    }
    Ok(())
}

fn row(scenario: &MembershipScenario, mut result: MembershipResult) -> String {
    let &MembershipScenario { scheduler_count, loss, minutes, .. } = scenario;
    let scheduler_seconds = minutes * SECONDS_PER_MINUTE * scheduler_count as f64;
    let hours = minutes / MINUTES_PER_HOUR;
    format!(
        "| {scheduler_count} | {loss} | {:.2} | {:.2} | {:.2} | {:.1} | {} | {:.0} | {:.1} | {:.4} |",
        quantile(&mut result.first_detections, 0.5) / MILLIS_PER_SECOND,
        quantile(&mut result.detections, 0.5) / MILLIS_PER_SECOND,
        quantile(&mut result.detections, 0.99) / MILLIS_PER_SECOND,
        result.false_positives as f64 / hours,
        result.false_positive_reports,
        result.bytes as f64 / scheduler_seconds,
        result.messages as f64 / scheduler_seconds,
        result.cpu_per_scheduler
    )
}
