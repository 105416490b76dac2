//! What a run shows a person: a few lines, JSON Lines of all that was seen, and one HTML page with plots.

use crate::checker::{Audit, BIN, Event, Verdict};
use crate::scenario::{CLASSES, Scenario};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Colours of lines, in turn.
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(23, 190, 207),
];

/// The history, a JSON object a line.
pub fn json_lines(history: &[Event]) -> Result<String, String> {
    let mut text = String::new();
    for event in history {
        text.push_str(&serde_json::to_string(event).map_err(|error| error.to_string())?);
        text.push('\n');
    }
    Ok(text)
}

/// One row of a table of runs; [`HEADING`] stands above.
pub fn row(scenario: &Scenario, audit: &Audit, verdict: &Verdict) -> String {
    let by_class = |of: &[usize; 3]| format!("{}/{}/{}", of[0], of[1], of[2]);
    let back = match audit.back_in {
        Some(ms) => format!("{:.1}", ms / 1_000.0),
        None => "never".into(),
    };
    let broken: std::collections::BTreeSet<&str> = audit.breaches.iter().map(|breach| breach.rule).collect();
    let broken: Vec<&str> = broken.into_iter().collect();
    format!(
        "| {} | {} | {:.3} | {} | {} | {} | {} | {back} | {} | {} |",
        scenario.name,
        Audit::sum(&audit.jobs),
        audit.served_part(),
        by_class(&audit.lost),
        by_class(&audit.unheard),
        by_class(&audit.refused),
        by_class(&audit.doubles),
        if broken.is_empty() { "none".into() } else { broken.join(", ") },
        if verdict.short.is_empty() { "passed" } else { "SHORT" },
    )
}

/// Of a table of runs. Figures by class stand as farm-view/market-sale/coin-buy.
pub const HEADING: &str = "| scenario | jobs | served | lost | late or unheard | refused | ran twice | back at 95% after, s | broken rules | verdict |\n\
     | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// What processes said of themselves at their doors, added up by name; of names that begin so.
pub fn figures(doors: &[(usize, String)], begin: &str) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for line in doors.iter().flat_map(|door| door.1.lines()).filter(|line| line.starts_with(begin)) {
        if let Some((name, figure)) = line.split_once('=')
            && let Ok(figure) = figure.parse::<u64>()
        {
            *sums.entry(name.to_owned()).or_insert(0) += figure;
        }
    }
    sums
}

/// What became of jobs in hand at a fault, in a line.
pub fn covered(scenario: &Scenario, audit: &Audit) -> String {
    let by_class = |of: &[usize; 3]| format!("{}/{}/{}", of[0], of[1], of[2]);
    format!(
        "{}: in hand at a fault with 2 s left {}, of these answered {}; taken over {}, {} of them twice, the first \
         attempt after {:.0} ms at the longest",
        scenario.name,
        by_class(&audit.in_hand_at_fault),
        by_class(&audit.answered),
        by_class(&audit.adopted),
        audit.adopted_twice,
        audit.adopted_after
    )
}

/// A run in a few lines.
pub fn summary(scenario: &Scenario, audit: &Audit, verdict: &Verdict) -> String {
    let mut text =
        format!("{}: {}\n{HEADING}\n{}\n", scenario.name, scenario.why, row(scenario, audit, verdict));
    for (class, (name, _)) in CLASSES.iter().enumerate() {
        let [median, high, most] = audit.latency[class];
        let _ = writeln!(
            text,
            "{name}: {} jobs, {} served (median {median:.0} ms, 99th {high:.0}, most {most:.0}), {} tries, {} failed",
            audit.jobs[class], audit.served[class], audit.tries[class], audit.failed[class]
        );
    }
    let _ = writeln!(text, "{}", covered(scenario, audit));
    let seconds = scenario.length / 1_000.0;
    let _ = writeln!(
        text,
        "messages between schedulers: {:.1} a second, {:.0} bytes a second",
        audit.messages as f64 / seconds,
        audit.message_bytes as f64 / seconds
    );
    if !audit.owners.is_empty() {
        let owners: Vec<String> = audit
            .owners
            .iter()
            .map(|(at, duty, who)| format!("{who} of {duty} at {:.1} s", at / 1_000.0))
            .collect();
        let after = audit.owner_after.map_or("never".into(), |ms| format!("{ms:.0} ms"));
        let _ = writeln!(
            text,
            "owners: {}; another after {after} at the longest; deeds {}, of an old term {}",
            owners.join(", "),
            audit.deeds,
            audit.late_deeds
        );
    }
    for rule in &verdict.known {
        let _ = writeln!(text, "known to break: {rule}");
    }
    for short in verdict.short.iter().take(20) {
        let _ = writeln!(text, "SHORT {short}");
    }
    if verdict.short.len() > 20 {
        let _ = writeln!(text, "SHORT and {} more", verdict.short.len() - 20);
    }
    text
}

fn plot(
    title: &str,
    scenario: &Scenario,
    lines: &[(String, Vec<f64>)],
    highest: f64,
) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (960, 300)).into_drawing_area();
        area.fill(&WHITE)?;
        let seconds = scenario.length / 1_000.0;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..seconds, 0.0..highest)?;
        for fault in &scenario.faults {
            let until = fault.until.unwrap_or(fault.at + 0.01 * scenario.length).min(scenario.length);
            let band = [(fault.at / 1_000.0, 0.0), (until / 1_000.0, highest)];
            chart.draw_series([Rectangle::new(band, RGBColor(200, 60, 60).mix(0.14).filled())])?;
        }
        chart.configure_mesh().x_desc("seconds").light_line_style(WHITE.mix(0.0)).draw()?;
        for (number, (name, values)) in lines.iter().enumerate() {
            let colour = COLOURS[number % COLOURS.len()];
            let points =
                values.iter().enumerate().map(|(at, &value)| ((at as f64 + 0.5) * BIN / 1_000.0, value));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(name.clone())
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

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// A page that needs no other file: the summary, service by zone and jobs in hand by process over time with the
/// faults as bands, and what was broken.
pub fn html(scenario: &Scenario, audit: &Audit, verdict: &Verdict) -> Result<String, String> {
    let service: Vec<(String, Vec<f64>)> =
        scenario.zones.iter().cloned().zip(audit.service.iter().cloned()).collect();
    let in_hand: Vec<(String, Vec<f64>)> = (audit.in_hand.iter().enumerate())
        .map(|(number, hand)| (format!("scheduler {number}"), hand.iter().map(|&jobs| jobs as f64).collect()))
        .collect();
    let most = in_hand.iter().flat_map(|line| &line.1).fold(1.0, |a: f64, &b| a.max(b));
    let drawn = |title: &str, lines: &[(String, Vec<f64>)], highest: f64| {
        plot(title, scenario, lines, highest).map_err(|error| format!("{title}: {error}"))
    };
    let mut page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title>\
         <style>body{{font:14px sans-serif;max-width:980px;margin:2em auto}}pre{{background:#f4f4f4;padding:1em;\
         overflow:auto}}</style><h1>{0}</h1><p>{1}</p>",
        escaped(&scenario.name),
        escaped(&scenario.why)
    );
    page.push_str(&drawn(
        "part of the jobs served, by the client's zone and the time they came",
        &service,
        1.05,
    )?);
    page.push_str(&drawn("tries open, by scheduler", &in_hand, most * 1.1)?);
    page.push_str("<h2>Faults</h2><ul>");
    for fault in &scenario.faults {
        let until = fault.until.map_or(String::new(), |until| format!(" to {:.1}", until / 1_000.0));
        let _ = write!(page, "<li>{:.1}{until} s: {}</li>", fault.at / 1_000.0, escaped(&fault.label));
    }
    let _ = write!(page, "</ul><h2>Figures</h2><pre>{}</pre>", escaped(&summary(scenario, audit, verdict)));
    Ok(page)
}
