//! What workers send: the lines of a response, and load reports in either of their forms.

use brackenledge_policy::LoadReport;

/// A report's values, under the names that discovery and the settings use.
#[derive(miniserde::Deserialize)]
struct LoadDocument {
    inflight: Option<f64>,
    concurrent: Option<f64>,
    queue: Option<f64>,
    depth: Option<f64>,
    util: Option<f64>,
    load_share: Option<f64>,
    eps: Option<f64>,
    err_ps: Option<f64>,
    x0: Option<f64>,
    x1: Option<f64>,
}

impl From<LoadDocument> for LoadReport {
    fn from(load: LoadDocument) -> LoadReport {
        LoadReport {
            in_flight: load.inflight.or(load.concurrent),
            queued: load.queue.or(load.depth),
            utilization: load.util.or(load.load_share),
            free_slots: load.x0,
            free_memory: load.x1,
            errors_per_second: load.eps.or(load.err_ps),
        }
    }
}

/// Parses the header form of a load report: `TEXT name=value, name=value`. Values that are no numbers are skipped.
pub fn read_load_header(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    let pairs = text.trim().trim_start_matches("TEXT").split(',');
    for (name, value) in pairs.filter_map(|pair| pair.split_once('=')) {
        let value = value.trim().parse().ok();
        match name.trim() {
            "inflight" | "concurrent" => report.in_flight = value,
            "queue" | "depth" => report.queued = value,
            "util" | "load_share" => report.utilization = value,
            "eps" | "err_ps" => report.errors_per_second = value,
            "x0" => report.free_slots = value,
            "x1" => report.free_memory = value,
            _ => {}
        }
    }
    report
}

/// One line of a worker's response, as JSON has it.
#[derive(miniserde::Deserialize)]
struct LineDocument {
    id: Option<String>,
    state: String,
    share: Option<f64>,
    result: Option<String>,
    load: Option<LoadDocument>,
}

/// One line of a worker's response.
#[derive(Debug)]
pub struct Line {
    /// The job that it is about.
    pub id: Option<String>,
    /// `started`, `running`, `done`, `failed`, `returned` or `lost`.
    pub state: String,
    /// With `running`: the part done, 0 to 1.
    pub share: Option<f64>,
    /// With `done`: the result for the client.
    pub result: Option<String>,
    /// The load report in the line.
    pub load: Option<LoadReport>,
}

/// Parses one line of a worker's response; `None` if it is not such a line.
pub fn read_line(line: &[u8]) -> Option<Line> {
    let text = std::str::from_utf8(line).ok()?;
    let LineDocument { id, state, share, result, load } = miniserde::json::from_str(text).ok()?;
    Some(Line { id, state, share, result, load: load.map(LoadReport::from) })
}

/// Parses the body of a response to a health check; `None` if it is not a load report.
pub fn read_load(body: &[u8]) -> Option<LoadReport> {
    let text = std::str::from_utf8(body).ok()?;
    miniserde::json::from_str::<LoadDocument>(text).ok().map(LoadReport::from)
}
