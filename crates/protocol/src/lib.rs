//! Codecs of the platform's messages, and parsers of the configuration and the operators' file. The crate
//! does no I/O, reads no clock and takes no scheduling decisions.
//!
//! - [`http`]: heads and framing of HTTP/1.1 messages, and the buffer of a connection;
//! - [`job_head`]: the path and the headers of a job's request;
//! - [`list_stream`]: a streaming parser of discovery's endpoint lists;
//! - [`worker_request`]: requests to workers;
//! - [`worker`]: the lines of workers' responses, and their load reports;
//! - [`config`]: a scheduler's configuration;
//! - [`control`]: calls and error replies of the admin endpoint;
//! - [`operations`]: the operators' file of settings.
//!
//! Errors in the configuration and in the operators' file are [`ConfigError`]s.

pub mod config;
pub mod control;
mod error;
mod header_names;
pub mod http;
pub mod job_head;
pub mod list_stream;
pub mod operations;
pub mod worker;
pub mod worker_request;

pub use self::error::ConfigError;
