//! `brackenledge-simulator zones`: strategies to route work to other zones, swept over the load.

use brackenledge_simulator::zones::{FlowScenario, Strategy};
use plotters::prelude::*;
use std::path::PathBuf;

#[derive(clap::Args)]
pub struct Options {
    /// Loads in percent of what all zones can do, a row each.
    #[arg(long, value_delimiter = ',', default_value = "50,60,70,80,90,100,110")]
    load: Vec<u32>,
    /// An SVG of what was served, by load.
    #[arg(long)]
    plot: Option<PathBuf>,
}

const HEAD: &str = "| load | strategy | served | crossed | worst zone | untouched zones | cascades | severe overloads | plans |\n\
                    | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

pub fn run(options: &Options) -> Result<bool, String> {
    println!("{HEAD}");
    let mut lines: Vec<(Strategy, Vec<(f64, f64)>)> =
        Strategy::ALL.iter().map(|&strategy| (strategy, Vec::new())).collect();
    for &load in &options.load {
        let scenario = FlowScenario::six_zones(f64::from(load) / 100.0);
        for (strategy, line) in &mut lines {
            let result = scenario.run(*strategy);
            println!(
                "| {load}% | {} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} | {} |",
                strategy.name(),
                result.served,
                result.crossed,
                result.worst_zone,
                result.untouched_zones,
                result.cascades,
                result.severe_overloads,
                result.plans
            );
            line.push((f64::from(load), result.served));
        }
    }
    if let Some(path) = &options.plot {
        plot(path, &lines).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(true)
}

fn plot(path: &PathBuf, lines: &[(Strategy, Vec<(f64, f64)>)]) -> Result<(), Box<dyn std::error::Error>> {
    let all = || lines.iter().flat_map(|(_, line)| line);
    let bound = |of: fn(&(f64, f64)) -> f64, least: bool| {
        all()
            .map(of)
            .fold(if least { f64::INFINITY } else { 0.0 }, |a, b| if least { a.min(b) } else { a.max(b) })
    };
    let (from, to) = (bound(|p| p.0, true), bound(|p| p.0, false).max(bound(|p| p.0, true) + 1.0));
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(from..to, (bound(|p| p.1, true) - 0.02).max(0.0)..1.0)?;
    chart.configure_mesh().x_desc("load, % of what all can do").y_desc("part of the work served").draw()?;
    for (at, (strategy, line)) in lines.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        chart
            .draw_series(LineSeries::new(line.iter().copied(), color.stroke_width(2)))?
            .label(strategy.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().border_style(BLACK.mix(0.3)).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
