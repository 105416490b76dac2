//! The head of a job's request: its path and its headers, as typed values.
//!
//! The headers decoded here, except `X-Props` and `X-Second-Try`, may occur only once, in printable ASCII.
//! Otherwise a worker or a proxy could read another value from the same head.

use crate::header_names::{
    CLASS, CONTENT_TYPE, EXPIRES_IN, IDEMPOTENCY_KEY, PROPERTIES, RETRY, SIZE_HINT, TENANT, TRACE_ID,
};
use crate::http::{RequestError, RequestHead};
use brackenledge_policy::Millis;

/// Limit of a trace id's length, in bytes.
pub const MAX_TRACE_ID_LEN: usize = 128;

/// What the decoder needs to know of a class of jobs.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// The name in paths and headers.
    pub name: String,
    /// Jobs of this class may be executed twice only under an idempotency key, so they must carry one.
    pub requires_idempotency_key: bool,
}

/// The classes and tenants that jobs may name.
#[derive(Clone, Debug, Default)]
pub struct JobRules {
    /// The classes, indexed by class number.
    pub classes: Vec<ClassRule>,
    /// The tenants' names, indexed by tenant number. If empty, the tenant that a job names is ignored.
    pub tenants: Vec<String>,
}

/// The head of a job's request.
#[derive(Clone, Debug, PartialEq)]
pub struct JobHead<'input> {
    /// Index into [`JobRules::classes`].
    pub class: usize,
    /// Index into [`JobRules::tenants`]; 0 if there are no tenants.
    pub tenant: usize,
    /// The affinity key: the last segment of the path.
    pub affinity_key: Option<&'input str>,
    /// The client's id of the job.
    pub trace_id: &'input str,
    /// How long the client waits for the response, in milliseconds from the request's first byte.
    pub expires_in: Option<Millis>,
    /// The run time that the client expects, in microseconds.
    pub size_hint_micros: Option<f64>,
    /// Identifies retries of the job to workers.
    pub idempotency_key: Option<&'input str>,
    /// What the job occupies on a worker.
    pub resources: Resources,
    /// The client has submitted the job before.
    pub is_retry: bool,
    /// The body's media type, as stated.
    pub content_type: Option<&'input str>,
}

/// The resources that a job occupies on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    /// Number of slots; 1 unless the request states it.
    pub slots: f64,
    /// Memory, in the unit of the workers' load reports; 0 unless the request states it.
    pub memory: f64,
}

impl Default for Resources {
    fn default() -> Self {
        Resources { slots: 1.0, memory: 0.0 }
    }
}

impl<'input> JobHead<'input> {
    /// Decodes the job that a request's head describes. Of several errors, the first in the order of the
    /// checks below is returned.
    pub fn decode(head: &RequestHead<'input>, rules: &JobRules) -> Result<Self, RequestError> {
        check_request_line(head)?;
        let class = decode_class(head, rules)?;
        Ok(JobHead {
            class,
            affinity_key: affinity_key(head.path()),
            trace_id: decode_trace_id(head)?,
            tenant: decode_tenant(head, rules)?,
            expires_in: decode_number(head, EXPIRES_IN)?,
            size_hint_micros: decode_number(head, SIZE_HINT)?,
            idempotency_key: decode_idempotency_key(head, &rules.classes[class])?,
            resources: decode_resources(head)?,
            is_retry: head.header(RETRY) == Some("1"),
            content_type: head.single_header(CONTENT_TYPE)?,
        })
    }
}

fn check_request_line(head: &RequestHead) -> Result<(), RequestError> {
    if head.method != "POST" {
        return Err(RequestError::MethodNotAllowed);
    }
    // The target is forwarded to the worker, which must not be able to interpret it differently.
    if !head.target.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(RequestError::InvalidTarget);
    }
    Ok(())
}

/// The path's segments; text before the first slash is not a segment.
fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.split('/').skip(1)
}

/// Decodes the class from the path's first segment, which must agree with the header if that is present.
fn decode_class(head: &RequestHead, rules: &JobRules) -> Result<usize, RequestError> {
    let in_path = segments(head.path()).next().unwrap_or_default();
    let name = head.single_header(CLASS)?.unwrap_or(in_path);
    let class = rules.classes.iter().position(|class| class.name == name);
    let class = class.ok_or(RequestError::UnknownClass)?;
    if in_path != name {
        return Err(RequestError::ClassMismatch);
    }
    Ok(class)
}

/// The path's last segment; `None` if it is empty or is the first, which names the class.
fn affinity_key(path: &str) -> Option<&str> {
    segments(path).skip(1).last().filter(|key| !key.is_empty())
}

fn decode_trace_id<'input>(head: &RequestHead<'input>) -> Result<&'input str, RequestError> {
    let id = head.single_header(TRACE_ID)?.filter(|id| !id.is_empty());
    let id = id.ok_or(RequestError::MissingHeader(TRACE_ID))?;
    if id.len() > MAX_TRACE_ID_LEN || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(RequestError::InvalidTraceId);
    }
    Ok(id)
}

fn decode_tenant(head: &RequestHead, rules: &JobRules) -> Result<usize, RequestError> {
    let name = head.single_header(TENANT)?;
    if rules.tenants.is_empty() {
        return Ok(0);
    }
    let name = name.ok_or(RequestError::MissingHeader(TENANT))?;
    let tenant = rules.tenants.iter().position(|tenant| tenant == name);
    tenant.ok_or(RequestError::UnknownTenant)
}

fn decode_idempotency_key<'input>(
    head: &RequestHead<'input>,
    class: &ClassRule,
) -> Result<Option<&'input str>, RequestError> {
    let key = head.single_header(IDEMPOTENCY_KEY)?.filter(|key| !key.is_empty());
    if class.requires_idempotency_key && key.is_none() {
        return Err(RequestError::MissingHeader(IDEMPOTENCY_KEY));
    }
    Ok(key)
}

/// Decodes `slots` and `memory` from a comma-separated list of `name=value`. Other names are ignored, but
/// their values must be numbers too.
fn decode_resources(head: &RequestHead) -> Result<Resources, RequestError> {
    let mut resources = Resources::default();
    let properties = head.header(PROPERTIES).unwrap_or_default().split(',');
    for (name, value) in properties.filter_map(|property| property.split_once('=')) {
        let value = parse_number(value.trim()).ok_or(RequestError::InvalidProperty)?;
        match name.trim() {
            "slots" => resources.slots = value,
            "memory" => resources.memory = value,
            _ => {}
        }
    }
    Ok(resources)
}

/// The number in a header; `None` if the header is absent.
fn decode_number(head: &RequestHead, name: &'static str) -> Result<Option<f64>, RequestError> {
    let Some(text) = head.single_header(name)? else { return Ok(None) };
    parse_number(text).map(Some).ok_or(RequestError::InvalidNumber(name))
}

/// Parses a number that is finite and not negative.
fn parse_number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)
}
