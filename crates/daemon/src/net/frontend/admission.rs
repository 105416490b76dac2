//! What a request's head must hold to be admitted as a job, and the rejection of all others.
//!
//! A header that decides something must be there at most once, as plain text: whoever reads it next must read the same.

use super::connection::Rejection;
use crate::net::event_loop::Millis;
use brackenledge_engine::{ClientId, JobRequest, Request};
use brackenledge_policy::settings::SettingsDocument;
use brackenledge_policy::{Effect, NewJob, Settings};
use brackenledge_protocol::http::{header, single};

/// The longest trace id that is accepted, in bytes.
const MAX_TRACE_ID_LEN: usize = 128;
/// The `Retry-After` of rejections for too many open jobs or a shutdown, at most.
const OVERLOAD_RETRY_AFTER: Millis = 500.0;

/// The classes and tenants of the settings, and the limits that apply before the policy sees a job.
pub struct AdmissionRules {
    pub(super) classes: Vec<String>,
    /// By class.
    pub(super) deadlines: Vec<Millis>,
    /// By class.
    pub(super) effects: Vec<Effect>,
    pub(super) tenants: Vec<String>,
    /// Jobs that clients may wait for at the same time.
    pub(super) max_open_jobs: usize,
    /// The `Retry-After` of clients that are rejected before the policy sees their jobs.
    pub(super) retry_after: Option<Millis>,
}

/// The class that a request's path names, and the affinity key at the path's end.
struct JobPath<'a> {
    class: usize,
    key: Option<&'a str>,
}

/// The resources that a job occupies on a worker.
struct Resources {
    slots: f64,
    memory: f64,
}

impl AdmissionRules {
    pub fn new(document: &SettingsDocument, settings: &Settings) -> Self {
        AdmissionRules {
            classes: document.class_names(),
            deadlines: settings.classes.iter().map(|class| class.deadline).collect(),
            effects: settings.classes.iter().map(|class| class.effect).collect(),
            tenants: document.tenant_names(),
            max_open_jobs: document.max_open_jobs().unwrap_or(usize::MAX),
            retry_after: settings.retry_after.then_some(OVERLOAD_RETRY_AFTER.min(settings.max_retry_after)),
        }
    }

    /// The job that a request's head describes; its body comes later.
    pub(super) fn read_job(
        &self,
        client: ClientId,
        method: &str,
        target: &str,
        headers: &[httparse::Header],
    ) -> Result<JobRequest, Rejection> {
        check_request_line(method, target)?;
        let path = self.read_path(target, headers)?;
        let class = path.class;
        let trace_id = read_trace_id(headers)?;
        let tenant = self.read_tenant(headers)?;
        let expires_in = read_number(headers, "X-Expires-In-Ms", "X-Expires-In-Ms is no number")?;
        let size_hint = read_number(headers, "X-Size-Hint", "X-Size-Hint is no number")?;
        let idempotency_key = self.read_idempotency_key(class, headers)?;
        let resources = read_resources(headers)?;
        let job = NewJob {
            id: 0,
            class,
            tenant,
            affinity_key: path.key.map(str::to_owned),
            // Nobody waits longer than the class's deadline, whatever the client states.
            time_left: expires_in.unwrap_or(f64::INFINITY).min(self.deadlines[class]),
            expected_run_time: size_hint.map(|micros| micros / 1_000.0),
            slots: resources.slots,
            memory: resources.memory,
            is_retry: header(headers, "X-Second-Try") == Some("1"),
            prior_execution: None,
        };
        Ok(JobRequest {
            client,
            job,
            request: Request {
                id: trace_id.to_owned(),
                target: target.to_owned(),
                idempotency_key,
                content_type: single_header(headers, "Content-Type")?.map(str::to_owned),
                body: Vec::new(),
                effect: self.effects[class],
                reports_attempts: false,
            },
        })
    }

    /// The first segment of the path is the class, and must agree with `X-Qos`; the last one is the key.
    fn read_path<'a>(&self, target: &'a str, headers: &[httparse::Header]) -> Result<JobPath<'a>, Rejection> {
        let mut segments = target.split('?').next().unwrap_or_default().split('/').skip(1);
        let first = segments.next().unwrap_or_default();
        let named = single_header(headers, "X-Qos")?.unwrap_or(first);
        let class = self.classes.iter().position(|class| class == named);
        let class = class.ok_or(Rejection { status: 404, reason: "unknown class" })?;
        if first != named {
            return Err(Rejection::bad_request("the path names another class than X-Qos"));
        }
        Ok(JobPath { class, key: segments.last().filter(|key| !key.is_empty()) })
    }

    /// The tenant's index; always 0 where the settings name no tenants.
    fn read_tenant(&self, headers: &[httparse::Header]) -> Result<usize, Rejection> {
        match single_header(headers, "X-Customer")? {
            _ if self.tenants.is_empty() => Ok(0),
            None => Err(Rejection::bad_request("X-Customer is missing")),
            Some(name) => {
                let tenant = self.tenants.iter().position(|tenant| tenant == name);
                tenant.ok_or(Rejection { status: 403, reason: "unknown tenant" })
            }
        }
    }

    /// A class whose jobs run twice safely only under a key requires one.
    fn read_idempotency_key(
        &self,
        class: usize,
        headers: &[httparse::Header],
    ) -> Result<Option<String>, Rejection> {
        let key = single_header(headers, "Idempotency-Key")?.filter(|key| !key.is_empty()).map(str::to_owned);
        if self.effects[class] == Effect::Idempotent && key.is_none() {
            return Err(Rejection::bad_request("Idempotency-Key is missing"));
        }
        Ok(key)
    }
}

fn check_request_line(method: &str, target: &str) -> Result<(), Rejection> {
    if method != "POST" {
        return Err(Rejection { status: 405, reason: "jobs arrive by POST" });
    }
    // The target is passed on: whoever reads it next must read the same.
    if !target.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(Rejection::bad_request("the target is not plain text"));
    }
    Ok(())
}

fn read_trace_id<'a>(headers: &[httparse::Header<'a>]) -> Result<&'a str, Rejection> {
    let id = single_header(headers, "X-Trace-Id")?.filter(|id| !id.is_empty());
    let id = id.ok_or(Rejection::bad_request("X-Trace-Id is missing"))?;
    if id.len() > MAX_TRACE_ID_LEN || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(Rejection::bad_request("X-Trace-Id is no id"));
    }
    Ok(id)
}

/// The `slots` and `memory` of `X-Props`, a comma-separated list of `name=value`. All its values must be numbers.
fn read_resources(headers: &[httparse::Header]) -> Result<Resources, Rejection> {
    let mut resources = Resources { slots: 1.0, memory: 0.0 };
    let properties = header(headers, "X-Props").unwrap_or_default().split(',');
    for (name, value) in properties.filter_map(|property| property.split_once('=')) {
        let value =
            parse_number(value.trim()).ok_or(Rejection::bad_request("X-Props holds what is no number"))?;
        match name.trim() {
            "slots" => resources.slots = value,
            "memory" => resources.memory = value,
            _ => {}
        }
    }
    Ok(resources)
}

/// A header's number, if the header is there. `reason`: of the rejection where it is no number.
fn read_number(
    headers: &[httparse::Header],
    name: &str,
    reason: &'static str,
) -> Result<Option<f64>, Rejection> {
    match single_header(headers, name)? {
        None => Ok(None),
        Some(text) => parse_number(text).map(Some).ok_or(Rejection::bad_request(reason)),
    }
}

fn parse_number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)
}

fn single_header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Result<Option<&'a str>, Rejection> {
    single(headers, name).map_err(|_| Rejection::bad_request("a header is repeated or not plain text"))
}
