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

/// Parses what has arrived on a connection so far. A line ends in LF, with or without CR before it; with `ended`, the
/// client has closed its side, which ends a line too.
pub fn parse_line(input: &[u8], ended: bool) -> Parsed {
    let end = input.iter().position(|&byte| byte == b'\n');
    let line = match end {
        Some(at) => &input[..at],
        None if input.len() >= MAX_LINE_BYTES => return Parsed::Rejected(LineError::TooLong),
        None if ended => input,
        None => return Parsed::Partial,
    };
    if line.len() >= MAX_LINE_BYTES {
        return Parsed::Rejected(LineError::TooLong);
    }
    if end.is_some_and(|at| input.len() > at + 1) {
        return Parsed::Rejected(LineError::SecondLine);
    }
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if !line.iter().all(|&byte| byte == b' ' || byte == b'\t' || byte.is_ascii_graphic()) {
        return Parsed::Rejected(LineError::NotText);
    }
    // Checked to be ASCII just now.
    let text = std::str::from_utf8(line).unwrap_or_default().trim();
    if text.is_empty() {
        return Parsed::Rejected(LineError::Empty);
    }
    match text.to_ascii_uppercase().as_str() {
        "PING" => Parsed::Call(Call::Ping),
        "INFO" => Parsed::Call(Call::Info),
        "LAMEDUCK" => Parsed::Call(Call::LameDuck),
        "REJOIN" => Parsed::Call(Call::Rejoin),
        "MEMBERS" => Parsed::Call(Call::Members),
        "DUTIES" => Parsed::Call(Call::Duties),
        "ZONES" => Parsed::Call(Call::Zones),
        _ => Parsed::Rejected(LineError::Unknown),
    }
}

/// The reply to a line that is rejected.
pub fn error_reply(error: LineError) -> String {
    format!("error {error}\n")
}
