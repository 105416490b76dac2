//! The protocol of the admin endpoint: each connection carries one line with one call, and a reply that
//! begins with `done` or `error`.
//!
//! This module parses calls and encodes error replies; the daemon and the engine execute the calls.

/// Limit of a line in bytes, including the line end. The longest call has eight letters, so a longer line is
/// invalid, and a client can't make the endpoint buffer more than this.
pub const MAX_LINE_BYTES: usize = 64;

/// A call to the admin endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reports whether the scheduler can serve.
    Ping,
    /// Reports the counters and gauges.
    Info,
    /// Drains the scheduler: it finishes admitted jobs and admits no new ones.
    LameDuck,
    /// Ends a drain: the scheduler serves again.
    Rejoin,
    /// Lists the cluster's members with their states.
    Members,
    /// Lists the holder of each role's lease.
    Duties,
    /// Shows the traffic plan for zones.
    Zones,
}

/// Why a line is rejected. The text is part of the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("line too long")]
    TooLong,
    /// The line contains bytes other than printable ASCII, space and tab.
    #[error("line is not plain text")]
    NotText,
    /// The line has no text.
    #[error("empty line")]
    Empty,
    /// The line names no known call.
    #[error("unknown call")]
    Unknown,
    /// The client sent more after the line.
    #[error("one call a connection")]
    SecondLine,
    /// The line was not complete within the time limit.
    #[error("no whole line in time")]
    TooSlow,
}

/// The result of parsing a connection's input so far.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed {
    /// The line is not complete yet.
    Partial,
    /// A complete call.
    Call(Call),
    /// The input is invalid: the reply is an error, and the connection is closed.
    Rejected(LineError),
}

/// Parses the input so far of a connection that may send more. A line ends in LF or CRLF.
pub fn parse_line(input: &[u8]) -> Parsed {
    if !input.contains(&b'\n') && input.len() < MAX_LINE_BYTES {
        return Parsed::Partial;
    }
    match parse_last_line(input) {
        Ok(call) => Parsed::Call(call),
        Err(error) => Parsed::Rejected(error),
    }
}

/// Parses the whole input of a connection whose client has closed its side. The end of the input ends the
/// line too.
pub fn parse_last_line(input: &[u8]) -> Result<Call, LineError> {
    let end = input.iter().position(|&byte| byte == b'\n');
    let line = &input[..end.unwrap_or(input.len())];
    if line.len() >= MAX_LINE_BYTES {
        return Err(LineError::TooLong);
    }
    if end.is_some_and(|at| input.len() > at + 1) {
        return Err(LineError::SecondLine);
    }
    parse_call(line.strip_suffix(b"\r").unwrap_or(line))
}

/// Parses a line without its line end.
fn parse_call(line: &[u8]) -> Result<Call, LineError> {
    if !line.iter().all(|&byte| byte == b' ' || byte == b'\t' || byte.is_ascii_graphic()) {
        return Err(LineError::NotText);
    }
    // The check above ensures ASCII.
    let text = std::str::from_utf8(line).unwrap_or_default().trim();
    if text.is_empty() {
        return Err(LineError::Empty);
    }
    match text.to_ascii_uppercase().as_str() {
        "PING" => Ok(Call::Ping),
        "INFO" => Ok(Call::Info),
        "LAMEDUCK" => Ok(Call::LameDuck),
        "REJOIN" => Ok(Call::Rejoin),
        "MEMBERS" => Ok(Call::Members),
        "DUTIES" => Ok(Call::Duties),
        "ZONES" => Ok(Call::Zones),
        _ => Err(LineError::Unknown),
    }
}

/// Encodes the reply to a rejected line.
pub fn error_reply(error: LineError) -> String {
    format!("error {error}\n")
}
