//! `brackenledge-simulator zones`: compares strategies for routing work to other zones over a range of loads.

use crate::zone_plot::{Curve, Point, draw};
use brackenledge_simulator::SimulatorError;
use brackenledge_simulator::zones::{FlowResult, FlowScenario, Strategy};
use std::path::PathBuf;

#[derive(clap::Args)]
pub struct Options {
    /// Loads in percent of the total capacity. Each is run under every strategy.
    #[arg(long, value_delimiter = ',', default_value = "50,60,70,80,90,100,110")]
    load: Vec<u32>,
    /// SVG file to which a plot of the work served over the load is written.
    #[arg(long)]
    plot: Option<PathBuf>,
}

const HEADING: &str = "| load | strategy | served | served elsewhere | worst zone | worst unaffected zone \
                       | cascades | severe overloads | plans |\n\
                       | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// Runs each load under each strategy and prints a table. Draws the plot if one is asked for.
pub fn run(options: &Options) -> Result<(), SimulatorError> {
    println!("{HEADING}");
    let mut curves = Strategy::ALL.map(|strategy| Curve { name: strategy.name(), points: Vec::new() });
    for &load_percent in &options.load {
        let scenario = FlowScenario::six_zones(f64::from(load_percent) / 100.0);
        for (strategy, curve) in Strategy::ALL.into_iter().zip(&mut curves) {
            let result = scenario.run(strategy);
            println!("{}", row(load_percent, strategy, &result));
            curve.points.push(Point { load_percent: f64::from(load_percent), served: result.served });
        }
    }
    if let Some(path) = &options.plot {
        draw(path, &curves).map_err(|source| SimulatorError::Plot { path: path.clone(), source })?;
    }
    Ok(())
}

fn row(load_percent: u32, strategy: Strategy, result: &FlowResult) -> String {
    format!(
        "| {load_percent}% | {} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} | {} |",
        strategy.name(),
        result.served,
        result.served_elsewhere,
        result.min_served_per_origin,
        result.min_served_per_origin_without_outage,
        result.cascades,
        result.severe_overloads,
        result.plans
    )
}
