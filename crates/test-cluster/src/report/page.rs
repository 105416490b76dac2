//! The HTML page of a run, with plots as inline SVG.

use super::summary;
use crate::checker::{INTERVAL, Report, Verdict};
use crate::scenario::Scenario;
use crate::{Error, Millis};
use plotters::prelude::*;
use std::fmt::Write as _;

/// Colours of the lines of a plot; reused in turn if there are more lines.
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(23, 190, 207),
];
/// Colour of the bands that mark faults, drawn translucently.
const FAULT_COLOUR: RGBColor = RGBColor(200, 60, 60);
/// Width of the band of a fault that has no end, as a fraction of the run.
const OPEN_ENDED_FAULT_WIDTH: f64 = 0.01;
/// Width and height in pixels.
const PLOT_SIZE: (u32, u32) = (960, 300);

/// A line of a plot, with a value for each interval of the run.
struct Line {
    name: String,
    values: Vec<f64>,
}

/// A plot over the time of the run.
struct Plot<'a> {
    title: &'a str,
    lines: Vec<Line>,
    /// The upper end of the value axis.
    max: f64,
}

type DrawError = Box<dyn std::error::Error + Send + Sync>;

impl Plot<'_> {
    fn to_svg(&self, scenario: &Scenario) -> Result<String, Error> {
        let error = |source| Error::Plot { title: self.title.to_owned(), source };
        self.draw(scenario).map_err(error)
    }

    fn draw(&self, scenario: &Scenario) -> Result<String, DrawError> {
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
            area.fill(&WHITE)?;
            let mut chart = ChartBuilder::on(&area)
                .caption(self.title, ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(28)
                .y_label_area_size(44)
                .build_cartesian_2d(0.0..seconds(scenario.length), 0.0..self.max)?;
            for fault in &scenario.faults {
                let open_end = fault.at + OPEN_ENDED_FAULT_WIDTH * scenario.length;
                let until = fault.until.unwrap_or(open_end).min(scenario.length);
                let band = [(seconds(fault.at), 0.0), (seconds(until), self.max)];
                chart.draw_series([Rectangle::new(band, FAULT_COLOUR.mix(0.14).filled())])?;
            }
            chart.configure_mesh().x_desc("seconds").light_line_style(WHITE.mix(0.0)).draw()?;
            for (number, line) in self.lines.iter().enumerate() {
                let colour = COLOURS[number % COLOURS.len()];
                chart
                    .draw_series(LineSeries::new(line.points(), colour.stroke_width(2)))?
                    .label(line.name.clone())
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
            }
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .position(SeriesLabelPosition::LowerRight)
                .draw()?;
            area.present()?;
        }
        Ok(svg)
    }
}

impl Line {
    /// Places each value at the middle of its interval.
    fn points(&self) -> impl Iterator<Item = (f64, f64)> {
        let values = self.values.iter().enumerate();
        values.map(|(interval, &value)| (seconds((interval as f64 + 0.5) * INTERVAL), value))
    }
}

fn seconds(time: Millis) -> f64 {
    time / 1_000.0
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Renders a self-contained page: plots over time of the jobs served by zone and the requests in flight by
/// scheduler, with faults as bands, then the list of faults and the summary.
pub fn html(scenario: &Scenario, report: &Report, verdict: &Verdict) -> Result<String, Error> {
    let mut page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title>\
         <style>body{{font:14px sans-serif;max-width:980px;margin:2em auto}}\
         pre{{background:#f4f4f4;padding:1em;overflow:auto}}</style><h1>{0}</h1><p>{1}</p>",
        escape(&scenario.name),
        escape(&scenario.why)
    );
    page.push_str(&served_plot(scenario, report).to_svg(scenario)?);
    page.push_str(&in_flight_plot(report).to_svg(scenario)?);
    page.push_str("<h2>Faults</h2><ul>");
    for fault in &scenario.faults {
        let until = fault.until.map_or(String::new(), |until| format!(" to {:.1}", seconds(until)));
        let _ = write!(page, "<li>{:.1}{until} s: {}</li>", seconds(fault.at), escape(&fault.label));
    }
    let figures = escape(&summary(scenario, report, verdict));
    let _ = write!(page, "</ul><h2>Figures</h2><pre>{figures}</pre>");
    Ok(page)
}

fn served_plot(scenario: &Scenario, report: &Report) -> Plot<'static> {
    let zones = scenario.zones.iter().cloned().zip(report.served_by_zone.iter().cloned());
    let title = "fraction of the jobs served, by the client's zone and the time of creation";
    Plot { title, lines: zones.map(|(name, values)| Line { name, values }).collect(), max: 1.05 }
}

fn in_flight_plot(report: &Report) -> Plot<'static> {
    let line = |(number, counts): (usize, &Vec<usize>)| Line {
        name: format!("scheduler {number}"),
        values: counts.iter().map(|&count| count as f64).collect(),
    };
    let lines: Vec<Line> = report.in_flight.iter().enumerate().map(line).collect();
    let max = lines.iter().flat_map(|line| &line.values).fold(1.0, |a: f64, &b| a.max(b));
    Plot { title: "requests in flight, by scheduler", lines, max: max * 1.1 }
}
