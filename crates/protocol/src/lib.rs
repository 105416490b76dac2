//! The codecs and documents of the platform's protocol: bytes in, values out. No sockets, no clock, no decisions.
//!
//! - [`http`]: heads and framing of HTTP/1.1 messages, in one buffer for each connection;
//! - [`job_head`]: the path and the headers of a job's request;
//! - [`list_stream`]: discovery's endpoint lists, parsed as they arrive;
//! - [`worker_request`]: requests to workers;
//! - [`worker`]: the lines of workers' responses, and their load reports;
//! - [`config`]: the configuration that a scheduler is given;
//! - [`control`]: the lines of the admin endpoint;
//! - [`operations`]: the operators' own file of settings.
//!
//! What is wrong with the configuration or the operators' file is a [`ConfigError`].

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
