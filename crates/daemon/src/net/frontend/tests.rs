//! What heads of requests give, from the bytes to the job that is submitted.

#[path = "../../../../protocol/tests/common/request_heads.rs"]
mod request_heads;

use super::admission::AdmissionRules;
use super::connection::Rejection;
use super::request_reader::{is_keep_alive, parse_head};
use brackenledge_engine::JobRequest;
use brackenledge_protocol::http::{Body, MAX_BODY_BYTES, MAX_HEADERS, has_token, header};

/// Without a limit on deadlines and open jobs.
fn rules() -> AdmissionRules {
    AdmissionRules {
        classes: request_heads::CLASSES.iter().map(|(name, _)| (*name).to_owned()).collect(),
        deadlines: vec![f64::INFINITY; request_heads::CLASSES.len()],
        effects: request_heads::CLASSES.iter().map(|(_, effect)| *effect).collect(),
        tenants: request_heads::TENANTS.iter().map(|name| (*name).to_owned()).collect(),
        max_open_jobs: usize::MAX,
        retry_after: None,
    }
}

/// What a head gives, in the order in which `ClientConnection::read_head` asks for it.
fn outcome(input: &[u8]) -> String {
    read(input).unwrap_or_else(|rejection| format!("{} {}", rejection.status, rejection.reason))
}

fn read(input: &[u8]) -> Result<String, Rejection> {
    if input.is_empty() {
        return Ok("incomplete".to_owned());
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Some(length) = parse_head(&mut request, input)? else { return Ok("incomplete".to_owned()) };
    let body = Body::from_headers(request.headers, false, MAX_BODY_BYTES);
    let (method, target) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
    let kind = match target.split('?').next().unwrap_or_default() {
        "/up" if method == "GET" => "health check".to_owned(),
        _ => describe(&rules().read_job(0, method, target, request.headers)?),
    };
    let body = format!("{:?}", body.map_err(Rejection::of_body)?);
    let framing = body.split("state: ").nth(1).and_then(|text| text.split(", ready").next());
    let mut text = format!("{kind}; {}", framing.unwrap_or_default());
    if !is_keep_alive(&request) {
        text.push_str("; closes");
    }
    if has_token(header(request.headers, "Expect"), "100-continue") {
        text.push_str("; expects continue");
    }
    if input.len() > length {
        text.push_str(&format!("; {} bytes behind it", input.len() - length));
    }
    Ok(text)
}

/// The job's values, with a long id shortened and the defaults left out.
fn describe(submitted: &JobRequest) -> String {
    let JobRequest { job, request, .. } = submitted;
    let id = if request.id.len() > 20 { format!("{} bytes", request.id.len()) } else { request.id.clone() };
    let mut text = format!("job {} of {}, id {id}, {}", job.class, job.tenant, request.target);
    let mut add = |name: &str, value: Option<String>| {
        if let Some(value) = value {
            text.push_str(&format!(", {name} {value:?}"));
        }
    };
    add("key", job.affinity_key.clone());
    add("idempotency key", request.idempotency_key.clone());
    add("type", request.content_type.clone());
    add("time", Some(job.time_left).filter(|time| time.is_finite()).map(|time| time.to_string()));
    add("effort", job.expected_run_time.map(|time| time.to_string()));
    add("slots", Some(job.slots).filter(|&slots| slots != 1.0).map(|slots| slots.to_string()));
    add("memory", Some(job.memory).filter(|&memory| memory != 0.0).map(|memory| memory.to_string()));
    add("retry", job.is_retry.then(|| "yes".to_owned()));
    text
}

#[test]
fn each_head_gives_what_its_table_says() {
    for case in request_heads::cases() {
        assert_eq!(outcome(&case.head), case.outcome, "{:?}", String::from_utf8_lossy(&case.head));
    }
}
