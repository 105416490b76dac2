//! The names of the platform's headers.

/// A job's class.
pub(crate) const CLASS: &str = "X-Qos";
/// A job's id.
pub(crate) const TRACE_ID: &str = "X-Trace-Id";
/// A job's tenant.
pub(crate) const TENANT: &str = "X-Customer";
/// How long the sender waits, in milliseconds.
pub(crate) const EXPIRES_IN: &str = "X-Expires-In-Ms";
/// The run time that a client expects, in microseconds.
pub(crate) const SIZE_HINT: &str = "X-Size-Hint";
/// By which workers recognise retries.
pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// What a job occupies on a worker.
pub(crate) const PROPERTIES: &str = "X-Props";
/// `1`: the client has submitted the job before.
pub(crate) const RETRY: &str = "X-Second-Try";
/// The body's type.
pub(crate) const CONTENT_TYPE: &str = "Content-Type";
/// `1`: the worker has not run the job and won't.
pub(crate) const NEVER_RAN: &str = "X-Never-Ran";
/// A worker's load report.
pub(crate) const LOAD_REPORT: &str = "Endpoint-Load-Metrics";
