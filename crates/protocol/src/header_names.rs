//! Names of the headers that the platform uses.

/// The job's class.
pub(crate) const CLASS: &str = "X-Qos";
/// The client's id of the job.
pub(crate) const TRACE_ID: &str = "X-Trace-Id";
/// The job's tenant.
pub(crate) const TENANT: &str = "X-Customer";
/// How long the sender waits for the response, in milliseconds.
pub(crate) const EXPIRES_IN: &str = "X-Expires-In-Ms";
/// The run time that a client expects, in microseconds.
pub(crate) const SIZE_HINT: &str = "X-Size-Hint";
/// Identifies retries of a job to workers.
pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The resources that the job occupies on a worker, as `name=value` pairs.
pub(crate) const PROPERTIES: &str = "X-Props";
/// `1`: the client has submitted the job before.
pub(crate) const RETRY: &str = "X-Second-Try";
/// The body's type.
pub(crate) const CONTENT_TYPE: &str = "Content-Type";
/// `1`: the worker has not run the job and will not run it.
pub(crate) const NEVER_RAN: &str = "X-Never-Ran";
/// A worker's load report.
pub(crate) const LOAD_REPORT: &str = "Endpoint-Load-Metrics";
