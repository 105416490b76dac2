//! The plot of `brackenledge-simulator zones`: the fraction of work served over the load, with a curve for
//! each strategy.

use plotters::prelude::*;
use std::error::Error;
use std::ops::Range;
use std::path::Path;

const SIZE: (u32, u32) = (720, 420);
const MARGIN: u32 = 12;
const X_LABEL_HEIGHT: u32 = 36;
const Y_LABEL_WIDTH: u32 = 48;
const LINE_WIDTH: u32 = 2;
const LEGEND_LINE_LENGTH: i32 = 16;
/// Space below the lowest point, as a fraction of the work.
const BOTTOM_PADDING: f64 = 0.02;

/// The result of one run.
pub struct Point {
    pub load_percent: f64,
    /// Fraction of the work that was served.
    pub served: f64,
}

/// The runs of one strategy, in the order in which the curve connects them.
pub struct Curve {
    pub name: &'static str,
    pub points: Vec<Point>,
}

/// Writes the plot as an SVG.
pub fn draw(path: &Path, curves: &[Curve]) -> Result<(), Box<dyn Error + Send + Sync>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_HEIGHT)
        .y_label_area_size(Y_LABEL_WIDTH)
        .build_cartesian_2d(load_range(curves), served_range(curves))?;
    chart.configure_mesh().x_desc("load, % of total capacity").y_desc("fraction of work served").draw()?;
    for (index, curve) in curves.iter().enumerate() {
        let style = Palette99::pick(index).to_rgba().stroke_width(LINE_WIDTH);
        let points = curve.points.iter().map(|point| (point.load_percent, point.served));
        chart
            .draw_series(LineSeries::new(points, style))?
            .label(curve.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_LENGTH, y)], style));
    }
    chart.configure_series_labels().border_style(BLACK.mix(0.3)).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}

fn all_points(curves: &[Curve]) -> impl Iterator<Item = &Point> {
    curves.iter().flat_map(|curve| &curve.points)
}

/// The range of all loads. It is at least 1% wide, so that it is not empty if there is only one load.
fn load_range(curves: &[Curve]) -> Range<f64> {
    let min = all_points(curves).map(|point| point.load_percent).fold(f64::INFINITY, f64::min);
    let max = all_points(curves).map(|point| point.load_percent).fold(0.0, f64::max);
    min..max.max(min + 1.0)
}

fn served_range(curves: &[Curve]) -> Range<f64> {
    let min = all_points(curves).map(|point| point.served).fold(f64::INFINITY, f64::min);
    (min - BOTTOM_PADDING).max(0.0)..1.0
}
