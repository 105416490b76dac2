//! A table of request heads with the outcome of each: the rejection's status and reason, or the decoded
//! values.
//!
//! The outcomes were recorded from an earlier parser in the daemon's frontend, so they detect any change of
//! behaviour. The frontend's tests run the same table.

use brackenledge_policy::Effect;
use brackenledge_protocol::http::{RequestError, RequestHead};
use brackenledge_protocol::job_head::{ClassRule, JobRules};

/// The classes that the table uses, in the order of their numbers.
pub const CLASSES: [(&str, Effect); 3] =
    [("view", Effect::Repeatable), ("sale", Effect::NonIdempotent), ("buy", Effect::Idempotent)];
/// The tenants that the table uses, in the order of their numbers.
pub const TENANTS: [&str; 2] = ["karoo", "vaal"];

/// The rules for the table's classes and tenants.
pub fn job_rules() -> JobRules {
    let class = |&(name, effect): &(&str, Effect)| ClassRule {
        name: name.to_owned(),
        requires_idempotency_key: effect == Effect::Idempotent,
    };
    JobRules {
        classes: CLASSES.iter().map(class).collect(),
        tenants: TENANTS.iter().map(|name| (*name).to_owned()).collect(),
    }
}

/// The outcome of a head, in the table's notation. `describe` gives the text for what the head requests.
pub fn outcome(
    input: &[u8],
    describe: impl Fn(&RequestHead) -> Result<String, RequestError>,
) -> Result<String, RequestError> {
    let Some(head) = RequestHead::decode(input)? else { return Ok("incomplete".to_owned()) };
    let kind = describe(&head)?;
    let body = format!("{:?}", head.body()?);
    let framing = body.split("state: ").nth(1).and_then(|text| text.split(", ready").next());
    let mut text = format!("{kind}; {}", framing.unwrap_or_default());
    if !head.keep_alive {
        text.push_str("; closes");
    }
    if head.expects_continue {
        text.push_str("; expects continue");
    }
    if input.len() > head.length {
        text.push_str(&format!("; {} bytes behind it", input.len() - head.length));
    }
    Ok(text)
}

/// Checks the outcomes of all cases.
pub fn check(describe: impl Fn(&RequestHead) -> Result<String, RequestError>) {
    for case in cases() {
        let outcome = outcome(&case.head, &describe);
        let outcome = outcome.unwrap_or_else(|error| format!("{} {error}", error.status()));
        assert_eq!(outcome, case.outcome, "{:?}", String::from_utf8_lossy(&case.head));
    }
}

/// The values decoded from a job's head; times are in milliseconds.
pub struct JobValues<'a> {
    pub class: usize,
    pub tenant: usize,
    pub trace_id: &'a str,
    pub target: &'a str,
    pub affinity_key: Option<&'a str>,
    pub idempotency_key: Option<&'a str>,
    pub content_type: Option<&'a str>,
    pub time_left: Option<f64>,
    pub expected_run_time: Option<f64>,
    pub slots: f64,
    pub memory: f64,
    pub is_retry: bool,
}

impl JobValues<'_> {
    /// The values in the table's notation: a long id is replaced by its length, and defaults are omitted.
    pub fn describe(&self) -> String {
        let id = self.trace_id;
        let id = if id.len() > 20 { format!("{} bytes", id.len()) } else { id.to_owned() };
        let mut text = format!("job {} of {}, id {id}, {}", self.class, self.tenant, self.target);
        let number = |value: f64, default: f64| (value != default).then(|| value.to_string());
        let values = [
            ("key", self.affinity_key.map(str::to_owned)),
            ("idempotency key", self.idempotency_key.map(str::to_owned)),
            ("type", self.content_type.map(str::to_owned)),
            ("time", self.time_left.map(|time| time.to_string())),
            ("run time", self.expected_run_time.map(|run_time| run_time.to_string())),
            ("slots", number(self.slots, 1.0)),
            ("memory", number(self.memory, 0.0)),
            ("retry", self.is_retry.then(|| "yes".to_owned())),
        ];
        for (name, value) in values {
            if let Some(value) = value {
                text.push_str(&format!(", {name} {value:?}"));
            }
        }
        text
    }
}

/// A head and its expected outcome.
pub struct Case {
    pub head: Vec<u8>,
    pub outcome: &'static str,
}

/// A head that is accepted; most cases differ from it in one place.
const JOB: &str =
    "POST /view/k1 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t1\r\nX-Qos: view\r\nX-Customer: karoo\r\n\r\n";

fn case(head: impl AsRef<[u8]>, outcome: &'static str) -> Case {
    Case { head: head.as_ref().to_vec(), outcome }
}

/// `JOB` with `from` replaced by `to`.
fn with(from: &str, to: &str, outcome: &'static str) -> Case {
    assert!(JOB.contains(from), "{from:?}");
    case(JOB.replacen(from, to, 1), outcome)
}

/// `JOB` with additional header lines.
fn plus(lines: &str, outcome: &'static str) -> Case {
    with("Host: x\r\n", &format!("Host: x\r\n{lines}\r\n"), outcome)
}

/// `JOB` with an additional header line that need not be UTF-8.
fn plus_bytes(line: &[u8], outcome: &'static str) -> Case {
    let (front, rest) = JOB.split_at(JOB.find("Host").expect("a header"));
    case([front.as_bytes(), line, b"\r\n", rest.as_bytes()].concat(), outcome)
}

/// All cases of the table.
pub fn cases() -> Vec<Case> {
    [request_lines(), framing(), connections(), paths(), job_headers(), numbers(), precedence()]
        .into_iter()
        .flatten()
        .collect()
}

/// Request lines, line ends, and heads that are incomplete or too long.
fn request_lines() -> Vec<Case> {
    let fill = |length: usize| format!("X-Fill: {}", "f".repeat(length - JOB.len() - "X-Fill: \r\n".len()));
    let lines = |count: usize| vec!["X-Line: 1"; count].join("\r\n");
    vec![
        case(JOB, r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        case("", "incomplete"),
        case("P", "incomplete"),
        case(&JOB[..JOB.len() - 1], "incomplete"),
        case(&JOB[..JOB.len() - 2], "incomplete"),
        case(
            [JOB, "behind it"].concat(),
            r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0); 9 bytes behind it"#,
        ),
        case(["\r\n", JOB].concat(), r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        case(["\n", JOB].concat(), "400 a line ends without a carriage return"),
        case("\u{1}\u{2}\r\n\r\n", "400 not an HTTP request"),
        case("POST\r\n\r\n", "400 not an HTTP request"),
        case("POST /view/k1\r\n\r\n", "400 not an HTTP request"),
        case("POST  /view/k1 HTTP/1.1\r\n\r\n", "400 not an HTTP request"),
        with("HTTP/1.1", "HTTP/1.2", "400 not an HTTP request"),
        with("HTTP/1.1", "HTTP/2.0", "400 not an HTTP request"),
        with("HTTP/1.1", "HTTP/1.0", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0); closes"#),
        with("HTTP/1.1", "http/1.1", "400 not an HTTP request"),
        with("HTTP/1.1", "HTTP/1.1 ", "400 not an HTTP request"),
        with("Host: x\r\n", "Host: x\n", "400 a line ends without a carriage return"),
        with("HTTP/1.1\r\n", "HTTP/1.1\n", "400 a line ends without a carriage return"),
        with("karoo\r\n\r\n", "karoo\r\n\n", "400 a line ends without a carriage return"),
        with("karoo\r\n\r\n", "karoo\n\n", "400 a line ends without a carriage return"),
        with("Host: x", "Host x", "400 not an HTTP request"),
        with("Host: x", "Host : x", "400 not an HTTP request"),
        with("Host: x", " Host: x", "400 not an HTTP request"),
        with("Host: x", "Host: x\r\n folded", "400 not an HTTP request"),
        with("Host: x", ": x", "400 not an HTTP request"),
        with("Host: x", "Host:", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        with("Host: x", "Host: a\rb", "400 not an HTTP request"),
        plus_bytes(b"X-Bytes: \x00", "400 not an HTTP request"),
        plus_bytes(b"X-Bytes: \xff\xfe", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        plus(&fill(16 * 1024), r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        plus(&fill(16 * 1024 + 1), "431 the head is too large"),
        case(&[JOB.trim_end(), "\r\nX-Fill: "].concat().into_bytes()[..], "incomplete"),
        case([JOB.trim_end(), "\r\nX-Fill: ", &"f".repeat(16 * 1024)].concat(), "431 the head is too large"),
        plus(&lines(60), r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        plus(&lines(61), "431 the head is too large"),
    ]
}

/// Headers that announce the body.
fn framing() -> Vec<Case> {
    vec![
        plus("Content-Length: 0", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        plus("Content-Length: 65536", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(65536)"#),
        plus("Content-Length: 65537", "413 the body is larger than 64 KiB"),
        plus("Content-Length: 99999999999999999999999", "413 the body is larger than 64 KiB"),
        plus("Content-Length: 007", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(7)"#),
        plus("content-length: 5", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(5)"#),
        plus("Content-Length: -1", "400 the body's framing is broken"),
        plus("Content-Length: +1", "400 the body's framing is broken"),
        plus("Content-Length: 1, 1", "400 the body's framing is broken"),
        plus("Content-Length:", "400 the body's framing is broken"),
        plus("Content-Length: 0\r\nContent-Length: 0", "400 the body's framing is broken"),
        plus("Transfer-Encoding: chunked", r#"job 0 of 0, id t1, /view/k1, key "k1"; ChunkSize"#),
        plus("Transfer-Encoding: CHUNKED", r#"job 0 of 0, id t1, /view/k1, key "k1"; ChunkSize"#),
        plus("Transfer-Encoding: gzip, chunked", "400 the body's framing is broken"),
        plus("Transfer-Encoding: identity", "400 the body's framing is broken"),
        plus("Transfer-Encoding: \u{b}chunked", "400 not an HTTP request"),
        plus("Transfer-Encoding: \u{e9}chunked", "400 the body's framing is broken"),
        plus("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "400 the body's framing is broken"),
        plus("Content-Length: 0\r\nTransfer-Encoding: chunked", "400 the body's framing is broken"),
        plus("Expect: 100-continue", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0); expects continue"#),
        plus(
            "Expect: 100-Continue\r\nContent-Length: 5",
            r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(5); expects continue"#,
        ),
        plus(
            "Expect: something, 100-continue",
            r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0); expects continue"#,
        ),
        plus("Expect: 200-ok", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
    ]
}

/// Whether the connection is kept open, and health checks.
fn connections() -> Vec<Case> {
    let http_1_0 = |lines: &str| JOB.replacen("1.1\r\n", &format!("1.0\r\n{lines}"), 1);
    vec![
        plus("Connection: close", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0); closes"#),
        plus("Connection: keep-alive", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        plus("Connection: Upgrade, CLOSE", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0); closes"#),
        plus("Connection: closed", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        plus(
            "Connection: keep-alive\r\nConnection: close",
            r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#,
        ),
        plus_bytes(b"Connection: close\xff", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        case(http_1_0("Connection: keep-alive\r\n"), r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        case(
            http_1_0("Connection: close\r\n"),
            r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0); closes"#,
        ),
        case("GET /up HTTP/1.1\r\n\r\n", "health check; Length(0)"),
        case("GET /up HTTP/1.0\r\n\r\n", "health check; Length(0); closes"),
        case(
            "GET /up?from=front HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\n",
            "health check; Length(2); closes",
        ),
        case("GET /up HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400 the body's framing is broken"),
        case("GET /up/ HTTP/1.1\r\n\r\n", "405 jobs arrive by POST"),
        case("get /up HTTP/1.1\r\n\r\n", "405 jobs arrive by POST"),
        case("HEAD /up HTTP/1.1\r\n\r\n", "405 jobs arrive by POST"),
        case("POST /up HTTP/1.1\r\nX-Trace-Id: t1\r\n\r\n", "404 unknown class"),
        case("GET /up\u{e9} HTTP/1.1\r\n\r\n", "405 jobs arrive by POST"),
    ]
}

/// The target, with the class and the affinity key.
fn paths() -> Vec<Case> {
    let target = |target: &str, outcome| with("/view/k1", target, outcome);
    vec![
        with("POST", "PUT", "405 jobs arrive by POST"),
        with("POST", "post", "405 jobs arrive by POST"),
        target("/view", "job 0 of 0, id t1, /view; Length(0)"),
        target("/view/", "job 0 of 0, id t1, /view/; Length(0)"),
        target("/view/a/b", r#"job 0 of 0, id t1, /view/a/b, key "b"; Length(0)"#),
        target("/view/a/", "job 0 of 0, id t1, /view/a/; Length(0)"),
        target("/view/k1?a=/b", r#"job 0 of 0, id t1, /view/k1?a=/b, key "k1"; Length(0)"#),
        target("/view?k1", "job 0 of 0, id t1, /view?k1; Length(0)"),
        target("view/k1", "400 the path names another class than X-Qos"),
        target("//view/k1", "400 the path names another class than X-Qos"),
        target("http://x/view/k1", "400 the path names another class than X-Qos"),
        target("*", "400 the path names another class than X-Qos"),
        target("/view/%20", r#"job 0 of 0, id t1, /view/%20, key "%20"; Length(0)"#),
        target("/view/k\u{e9}", "400 the target is not plain text"),
        target("/view/k\u{7f}", "400 not an HTTP request"),
        target("/dig/k1", "400 the path names another class than X-Qos"),
        target("/sale/k1", "400 the path names another class than X-Qos"),
        with("X-Qos: view", "X-Qos: sale", "400 the path names another class than X-Qos"),
        with("X-Qos: view", "X-Qos: dig", "404 unknown class"),
        with("X-Qos: view", "X-Qos: VIEW", "404 unknown class"),
        with("X-Qos: view", "X-Qos:", "404 unknown class"),
        with("X-Qos: view\r\n", "", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        with("X-Qos: view", "x-qos:   view  ", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        with("X-Qos: view", "X-Qos: view\r\nX-Qos: view", "400 a header is repeated or not plain text"),
        with("X-Qos: view", "X-Qos: vi\u{e9}w", "400 a header is repeated or not plain text"),
    ]
}

/// Headers of a job whose values are text.
fn job_headers() -> Vec<Case> {
    let buy = |headers: &str| JOB.replace("view", "buy").replacen("\r\n\r\n", headers, 1);
    let id = |id: &str, outcome| with("X-Trace-Id: t1", &format!("X-Trace-Id: {id}"), outcome);
    vec![
        with("X-Trace-Id: t1\r\n", "", "400 X-Trace-Id is missing"),
        id("", "400 X-Trace-Id is missing"),
        id(&"t".repeat(128), r#"job 0 of 0, id 128 bytes, /view/k1, key "k1"; Length(0)"#),
        id(&"t".repeat(129), "400 X-Trace-Id is no id"),
        id("t 1", "400 X-Trace-Id is no id"),
        id("t\u{e9}", "400 a header is repeated or not plain text"),
        id("t1\r\nX-Trace-Id: t1", "400 a header is repeated or not plain text"),
        with("X-Customer: karoo", "X-Customer: vaal", r#"job 0 of 1, id t1, /view/k1, key "k1"; Length(0)"#),
        with("X-Customer: karoo", "X-Customer: atlantis", "403 unknown tenant"),
        with("X-Customer: karoo", "X-Customer:", "403 unknown tenant"),
        with("X-Customer: karoo", "X-Other: karoo", "400 X-Customer is missing"),
        plus("X-Customer: karoo", "400 a header is repeated or not plain text"),
        case(buy("\r\n\r\n"), "400 Idempotency-Key is missing"),
        case(buy("\r\nIdempotency-Key:\r\n\r\n"), "400 Idempotency-Key is missing"),
        case(
            buy("\r\nIdempotency-Key: a\r\n\r\n"),
            r#"job 2 of 0, id t1, /buy/k1, key "k1", idempotency key "a"; Length(0)"#,
        ),
        case(
            buy("\r\nIdempotency-Key: a b\r\n\r\n"),
            r#"job 2 of 0, id t1, /buy/k1, key "k1", idempotency key "a b"; Length(0)"#,
        ),
        plus(
            "Idempotency-Key: a",
            r#"job 0 of 0, id t1, /view/k1, key "k1", idempotency key "a"; Length(0)"#,
        ),
        plus("Idempotency-Key: a\r\nIdempotency-Key: a", "400 a header is repeated or not plain text"),
        plus(
            "Content-Type: text/plain; charset=utf-8",
            r#"job 0 of 0, id t1, /view/k1, key "k1", type "text/plain; charset=utf-8"; Length(0)"#,
        ),
        plus("Content-Type:", r#"job 0 of 0, id t1, /view/k1, key "k1", type ""; Length(0)"#),
        plus("Content-Type: a\r\nContent-Type: b", "400 a header is repeated or not plain text"),
        plus("Content-Type: \u{e9}", "400 a header is repeated or not plain text"),
        plus("X-Second-Try: 1", r#"job 0 of 0, id t1, /view/k1, key "k1", retry "yes"; Length(0)"#),
        plus("X-Second-Try: 0", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        plus(
            "X-Second-Try: 1\r\nX-Second-Try: 0",
            r#"job 0 of 0, id t1, /view/k1, key "k1", retry "yes"; Length(0)"#,
        ),
        plus_bytes(b"X-Second-Try: \xff", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
    ]
}

/// Headers of a job whose values are numbers.
fn numbers() -> Vec<Case> {
    vec![
        plus("X-Expires-In-Ms: 4000", r#"job 0 of 0, id t1, /view/k1, key "k1", time "4000"; Length(0)"#),
        plus("X-Expires-In-Ms: 0.5", r#"job 0 of 0, id t1, /view/k1, key "k1", time "0.5"; Length(0)"#),
        plus("X-Expires-In-Ms: 1e3", r#"job 0 of 0, id t1, /view/k1, key "k1", time "1000"; Length(0)"#),
        plus("X-Expires-In-Ms: +7", r#"job 0 of 0, id t1, /view/k1, key "k1", time "7"; Length(0)"#),
        plus("X-Expires-In-Ms: -0", r#"job 0 of 0, id t1, /view/k1, key "k1", time "-0"; Length(0)"#),
        plus("X-Expires-In-Ms: -1", "400 X-Expires-In-Ms is no number"),
        plus("X-Expires-In-Ms: soon", "400 X-Expires-In-Ms is no number"),
        plus("X-Expires-In-Ms:", "400 X-Expires-In-Ms is no number"),
        plus("X-Expires-In-Ms: inf", "400 X-Expires-In-Ms is no number"),
        plus("X-Expires-In-Ms: NaN", "400 X-Expires-In-Ms is no number"),
        plus("X-Expires-In-Ms: 1\r\nX-Expires-In-Ms: 1", "400 a header is repeated or not plain text"),
        plus("X-Size-Hint: 2500", r#"job 0 of 0, id t1, /view/k1, key "k1", run time "2.5"; Length(0)"#),
        plus("X-Size-Hint: large", "400 X-Size-Hint is no number"),
        plus("X-Size-Hint: 1\r\nX-Size-Hint: 1", "400 a header is repeated or not plain text"),
        plus(
            "X-Props: slots=2,memory=512",
            r#"job 0 of 0, id t1, /view/k1, key "k1", slots "2", memory "512"; Length(0)"#,
        ),
        plus(
            "X-Props:  slots = 2 , colour=7, memory = 0.5 ",
            r#"job 0 of 0, id t1, /view/k1, key "k1", slots "2", memory "0.5"; Length(0)"#,
        ),
        plus("X-Props: slots=2,slots=3", r#"job 0 of 0, id t1, /view/k1, key "k1", slots "3"; Length(0)"#),
        plus("X-Props: slots", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
        plus("X-Props: slots=", "400 X-Props holds what is no number"),
        plus("X-Props: colour=red", "400 X-Props holds what is no number"),
        plus("X-Props: slots=-1", "400 X-Props holds what is no number"),
        plus(
            "X-Props: slots=2\r\nX-Props: slots=3",
            r#"job 0 of 0, id t1, /view/k1, key "k1", slots "2"; Length(0)"#,
        ),
        plus_bytes(b"X-Props: slots=\xff", r#"job 0 of 0, id t1, /view/k1, key "k1"; Length(0)"#),
    ]
}

/// Heads with several errors: which of them is reported.
fn precedence() -> Vec<Case> {
    vec![
        case("PUT /dig HTTP/1.1\r\nContent-Length: x\r\n\r\n", "405 jobs arrive by POST"),
        case("POST /dig HTTP/1.1\r\nX-Qos: view\r\n\r\n", "400 the path names another class than X-Qos"),
        case("POST /view HTTP/1.1\r\nX-Expires-In-Ms: soon\r\n\r\n", "400 X-Trace-Id is missing"),
        with("X-Customer: karoo", "X-Expires-In-Ms: soon", "400 X-Customer is missing"),
        plus("X-Expires-In-Ms: soon\r\nX-Size-Hint: large", "400 X-Expires-In-Ms is no number"),
        with("view/k1", "buy/k1", "400 the path names another class than X-Qos"),
        case(
            "POST /buy HTTP/1.1\r\nX-Trace-Id: t1\r\nX-Customer: vaal\r\nX-Props: slots=x\r\n\r\n",
            "400 Idempotency-Key is missing",
        ),
        plus("X-Props: slots=x\r\nContent-Type: a\r\nContent-Type: b", "400 X-Props holds what is no number"),
        plus(
            "Content-Type: a\r\nContent-Type: b\r\nContent-Length: x",
            "400 a header is repeated or not plain text",
        ),
        plus("X-Props: slots=x\r\nContent-Length: 65537", "400 X-Props holds what is no number"),
        plus(
            "X-Size-Hint: large\r\nConnection: close\r\nExpect: 100-continue",
            "400 X-Size-Hint is no number",
        ),
        case(
            [&JOB.replacen("Host: x\r\n", "Host: x\n", 1), "X-Fill: ", &"f".repeat(20_000)].concat(),
            "400 a line ends without a carriage return",
        ),
        with("Host: x\r\n", &format!("Host: x\n{}", "X-Line: 1\r\n".repeat(61)), "431 the head is too large"),
    ]
}
