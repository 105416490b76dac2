//! The protocol of the admin endpoint: one line a connection with one call, and a reply that begins with `done` or
//! `error`.
//!
//! This module parses calls and encodes errors; what the calls do is the daemon's and the engine's.

/// Limit of a line in bytes, its end included. The longest call has eight letters: whatever is longer is no call, and
/// a client can't make the endpoint buffer more than this for it.
pub const MAX_LINE_BYTES: usize = 64;

/// A call that an operator may make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Ping,
    /// The figures.
    Info,
    /// Drain the scheduler: admit no new jobs, finish those that were admitted.
    LameDuck,
    /// Serve again after a drain.
    Rejoin,
    /// The cluster's members and the state of each.
    Members,
    /// The holder of each role's lease.
    Duties,
    /// The traffic plan for zones.
    Zones,
}

/// Why a line is rejected. Its text is the reason that the reply gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// Longer than [`MAX_LINE_BYTES`].
    #[error("line too long")]
    TooLong,
    /// Bytes that are not printable ASCII.
    #[error("line is not plain text")]
    NotText,
    /// Nothing but its end.
    #[error("empty line")]
    Empty,
    /// A word that names no call.
    #[error("unknown call")]
    Unknown,
    /// More came after the line.
    #[error("one call a connection")]
    SecondLine,
    /// The line was not complete in the time given.
    #[error("no whole line in time")]
    TooSlow,
}

/// The result of parsing what has arrived on a connection so far.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed {
    /// The line is not complete yet.
    Partial,
    /// A complete call.
    Call(Call),
    /// No call: the reply is an error, and the connection closes.
    Rejected(LineError),
}

/// Parses what has arrived on an open connection so far. A line ends in LF, with or without CR before it.
pub fn parse_line(input: &[u8]) -> Parsed {
    if !input.contains(&b'\n') && input.len() < MAX_LINE_BYTES {
        return Parsed::Partial;
    }
    match parse_last_line(input) {
        Ok(call) => Parsed::Call(call),
        Err(error) => Parsed::Rejected(error),
    }
}

/// Parses all that has arrived on a connection whose client has closed its side, which ends a line too.
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

/// Parses a line without its end.
fn parse_call(line: &[u8]) -> Result<Call, LineError> {
    if !line.iter().all(|&byte| byte == b' ' || byte == b'\t' || byte.is_ascii_graphic()) {
        return Err(LineError::NotText);
    }
    // Checked to be ASCII just now.
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

/// The reply to a line that is rejected.
pub fn error_reply(error: LineError) -> String {
    format!("error {error}\n")
}
