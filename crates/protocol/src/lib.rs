//! The codecs and documents of the platform's protocol: bytes in, values out. No sockets, no clock, no decisions.
//!
//! - [`http`]: framing of HTTP/1.1 messages in one buffer for each connection;
//! - [`list_stream`]: discovery's lists, read as they come;
//! - [`worker`]: the lines of workers' answers, and their load reports;
//! - [`config`]: the configuration that a scheduler is given;
//! - [`control`]: the lines of the operators' door;
//! - [`operations`]: the operators' own file of settings.

pub mod config;
pub mod control;
pub mod http;
pub mod list_stream;
pub mod operations;
pub mod worker;
