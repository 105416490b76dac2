//! Decodes what workers send: the lines of a response, and load reports as JSON or as a header.

use brackenledge_policy::LoadReport;
use miniserde::json;

/// Why data from a worker can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The data is not UTF-8 text.
    #[error("not UTF-8")]
    NotUtf8,
    /// The data is not exactly one JSON value.
    #[error("not JSON")]
    NotJson,
    /// The JSON value is not an object with the expected fields.
    #[error("a field is missing or has a wrong type")]
    InvalidFields,
}

/// A load report as JSON. Most values have two names, one that discovery uses and one that the settings use.
/// If both are present, the first one listed here is read.
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

/// The state of a job according to one line of a worker's response.
#[derive(Clone, Debug, PartialEq)]
pub enum LineState {
    /// The worker has started the job.
    Started,
    /// The job is in progress.
    Running {
        /// Fraction completed, 0 to 1; 0 if the line does not state it.
        share: f64,
    },
    /// The job has completed.
    Done {
        /// The result for the client; `None` only from a faulty worker.
        result: Option<String>,
    },
    /// The job was executed and failed.
    Failed,
    /// The worker returns the job without having started it.
    Returned,
    /// The worker does not know whether the job was executed.
    Lost,
    /// A state that this version does not know; it is not final.
    Unknown,
}

/// One line of a worker's response.
#[derive(Clone, Debug)]
pub struct Line {
    /// The trace id of the job, if the line states it.
    pub id: Option<String>,
    /// The job's state.
    pub state: LineState,
    /// The worker's load report, if the line carries one.
    pub load: Option<LoadReport>,
}

/// One line of a worker's response, as JSON.
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

/// Decodes a load report in JSON: the body of the response to a health check.
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

/// Decodes the header form of a load report: `TEXT name=value, name=value`. Values that are not numbers are
/// ignored.
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
