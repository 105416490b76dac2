//! What workers send: the lines of a response, and load reports in either of their forms.

use brackenledge_policy::LoadReport;
use miniserde::json;

/// Why bytes that a worker sent can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// They are not text.
    #[error("not UTF-8")]
    NotUtf8,
    /// They are not one JSON value.
    #[error("not JSON")]
    NotJson,
    /// The JSON value is no object with the fields that are expected.
    #[error("a field is missing or has a wrong type")]
    InvalidFields,
}

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

/// Where a job stands by one line of a worker's response.
#[derive(Clone, Debug, PartialEq)]
pub enum LineState {
    /// It runs.
    Started,
    /// It runs, and so much is done, 0 to 1.
    Running {
        /// The part done; 0 where the line does not say.
        share: f64,
    },
    /// It has run.
    Done {
        /// The result for the client; a worker at fault may leave it out.
        result: Option<String>,
    },
    /// It has run and failed.
    Failed,
    /// The worker returns it unstarted.
    Returned,
    /// The worker does not know what became of it.
    Lost,
    /// A state that later versions may add; it is not final.
    Unknown,
}

/// One line of a worker's response.
#[derive(Clone, Debug)]
pub struct Line {
    /// The job that it is about.
    pub id: Option<String>,
    /// Where that job stands.
    pub state: LineState,
    /// The load report in the line.
    pub load: Option<LoadReport>,
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

impl From<LineDocument> for Line {
    fn from(line: LineDocument) -> Line {
        let state = match line.state.as_str() {
            "started" => LineState::Started,
            "running" => LineState::Running { share: line.share.unwrap_or(0.0) },
            "done" => LineState::Done { result: line.result },
            "failed" => LineState::Failed,
            "returned" => LineState::Returned,
            "lost" => LineState::Lost,
            _ => LineState::Unknown,
        };
        Line { id: line.id, state, load: line.load.map(LoadReport::from) }
    }
}

/// Decodes one line of a worker's response.
pub fn decode_line(line: &[u8]) -> Result<Line, DecodeError> {
    decode_json::<LineDocument>(line).map(Line::from)
}

/// Decodes a load report: the body of the response to a health check.
pub fn decode_load(body: &[u8]) -> Result<LoadReport, DecodeError> {
    decode_json::<LoadDocument>(body).map(LoadReport::from)
}

fn decode_json<T: miniserde::Deserialize>(bytes: &[u8]) -> Result<T, DecodeError> {
    let text = std::str::from_utf8(bytes).map_err(|_| DecodeError::NotUtf8)?;
    json::from_str(text).map_err(|_| match json::from_str::<json::Value>(text) {
        Ok(_) => DecodeError::InvalidFields,
        Err(_) => DecodeError::NotJson,
    })
}

/// Decodes the header form of a load report: `TEXT name=value, name=value`. Values that are no numbers are skipped.
pub fn decode_load_header(text: &str) -> LoadReport {
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
