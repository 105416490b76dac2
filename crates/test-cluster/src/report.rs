//! Human-readable reports of a run: a row of a table, a summary of a few lines, and an HTML page with plots.

mod page;

pub use page::html;

use crate::checker::{ByClass, Report, Verdict};
use crate::cluster::AdminReply;
use crate::scenario::{CLASSES, Scenario};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// Maximum number of failures listed in the summary.
const MAX_FAILURES_SHOWN: usize = 20;

/// The header of a table of runs. Counts by class have the form farm-view/market-sale/coin-buy.
pub const TABLE_HEAD: &str = "| scenario | jobs | served | lost | late or unanswered | rejected | ran twice \
     | back at 95% after, s | violated rules | verdict |\n\
     | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// Formats a run as a row of the table under [`TABLE_HEAD`].
pub fn table_row(scenario: &Scenario, report: &Report, verdict: &Verdict) -> String {
    let recovery = match report.recovery_time {
        Some(ms) => format!("{:.1}", ms / 1_000.0),
        None => "never".into(),
    };
    let violated: BTreeSet<&str> = report.violations.iter().map(|violation| violation.rule).collect();
    let violated: Vec<&str> = violated.into_iter().collect();
    format!(
        "| {} | {} | {:.3} | {} | {} | {} | {} | {recovery} | {} | {} |",
        scenario.name,
        Report::sum(&report.jobs),
        report.served_fraction(),
        by_class(&report.lost),
        by_class(&report.late),
        by_class(&report.rejected),
        by_class(&report.duplicate_executions),
        if violated.is_empty() { "none".into() } else { violated.join(", ") },
        if verdict.passed() { "passed" } else { "FAILED" },
    )
}

fn by_class(counts: &ByClass<usize>) -> String {
    format!("{}/{}/{}", counts[0], counts[1], counts[2])
}

/// Sums the figures in replies of admin endpoints by name, over all schedulers. Only figures whose names
/// begin with `prefix` are included.
pub fn sum_figures(replies: &[AdminReply], prefix: &str) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for line in replies.iter().flat_map(|reply| reply.text.lines()) {
        if line.starts_with(prefix)
            && let Some((name, figure)) = line.split_once('=')
            && let Ok(figure) = figure.parse::<u64>()
        {
            *sums.entry(name.to_owned()).or_insert(0) += figure;
        }
    }
    sums
}

/// Formats what became of jobs in flight at a fault, as one line.
pub fn takeover_line(scenario: &Scenario, report: &Report) -> String {
    format!(
        "{}: in flight at a fault with 2 s left {}, of these answered {}; \
         taken over {}, {} of them more than once, the first attempt after {:.0} ms at most",
        scenario.name,
        by_class(&report.in_flight_at_fault),
        by_class(&report.answered),
        by_class(&report.takeovers),
        report.repeated_takeovers,
        report.max_takeover_delay
    )
}

/// Formats a run as a few lines: the table's row, figures by class, failover, messages, leases and failures.
pub fn summary(scenario: &Scenario, report: &Report, verdict: &Verdict) -> String {
    let row = table_row(scenario, report, verdict);
    let mut lines = vec![format!("{}: {}", scenario.name, scenario.why), format!("{TABLE_HEAD}\n{row}")];
    lines.extend((0..CLASSES.len()).map(|class| class_line(report, class)));
    lines.push(takeover_line(scenario, report));
    let seconds = scenario.length / 1_000.0;
    lines.push(format!(
        "messages between schedulers: {:.1} per second, {:.0} bytes per second",
        report.messages as f64 / seconds,
        report.message_bytes as f64 / seconds
    ));
    if !report.role_holders.is_empty() {
        lines.push(role_line(report));
    }
    lines.extend(verdict.expected_violations.iter().map(|rule| format!("expected violation: {rule}")));
    lines.extend(verdict.failures.iter().take(MAX_FAILURES_SHOWN).map(|failure| format!("FAILED {failure}")));
    if verdict.failures.len() > MAX_FAILURES_SHOWN {
        lines.push(format!("FAILED and {} more", verdict.failures.len() - MAX_FAILURES_SHOWN));
    }
    lines.join("\n") + "\n"
}

fn class_line(report: &Report, class: usize) -> String {
    let latency = report.latency[class];
    format!(
        "{}: {} jobs, {} served (median {:.0} ms, 99th percentile {:.0}, maximum {:.0}), \
         {} requests, {} failed",
        CLASSES[class].name,
        report.jobs[class],
        report.served[class],
        latency.median,
        latency.p99,
        latency.max,
        report.requests[class],
        report.failed[class]
    )
}

fn role_line(report: &Report) -> String {
    let mut holders = String::new();
    for entry in &report.role_holders {
        let _ = write!(holders, "{} of role {} at {:.1} s, ", entry.holder, entry.role, entry.at / 1_000.0);
    }
    let vacancy = report.max_vacancy.map_or("never".into(), |ms| format!("{ms:.0} ms"));
    format!(
        "lease holders: {}; the next one after {vacancy} at most; fenced messages {}, of an outdated term {}",
        holders.trim_end_matches(", "),
        report.fenced_messages,
        report.late_fenced_messages
    )
}
