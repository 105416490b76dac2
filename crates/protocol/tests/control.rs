//! Parsing of calls to the admin endpoint, and encoding of error replies.
#![allow(missing_docs)]

use brackenledge_protocol::control::{
    Call, LineError, MAX_LINE_BYTES, Parsed, error_reply, parse_last_line, parse_line,
};

#[test]
fn an_open_connections_input_parses_as_listed() {
    let long = vec![b'A'; MAX_LINE_BYTES + 1];
    let cases: &[(&[u8], Parsed)] = &[
        (b"PING\n", Parsed::Call(Call::Ping)),
        (b"PING\r\n", Parsed::Call(Call::Ping)),
        (b"info\n", Parsed::Call(Call::Info)),
        (b"LAMEDUCK\n", Parsed::Call(Call::LameDuck)),
        (b" REJOIN \n", Parsed::Call(Call::Rejoin)),
        (b"members\n", Parsed::Call(Call::Members)),
        (b"DUTIES\n", Parsed::Call(Call::Duties)),
        (b"zones\n", Parsed::Call(Call::Zones)),
        (b"PIN", Parsed::Partial),
        (b"", Parsed::Partial),
        (b"\n", Parsed::Rejected(LineError::Empty)),
        (b"RESTART\n", Parsed::Rejected(LineError::Unknown)),
        (b"PING now\n", Parsed::Rejected(LineError::Unknown)),
        (b"PI\xffNG\n", Parsed::Rejected(LineError::NotText)),
        (b"PI\0NG\n", Parsed::Rejected(LineError::NotText)),
        (b"PING\nINFO\n", Parsed::Rejected(LineError::SecondLine)),
        (&long, Parsed::Rejected(LineError::TooLong)),
    ];
    for (input, expected) in cases {
        assert_eq!(&parse_line(input), expected, "{:?}", String::from_utf8_lossy(input));
    }
}

#[test]
fn the_end_of_the_input_ends_the_line() {
    let long = vec![b'A'; MAX_LINE_BYTES];
    let cases: &[(&[u8], Result<Call, LineError>)] = &[
        (b"PING", Ok(Call::Ping)),
        (b"PING\r", Ok(Call::Ping)),
        (b"PING\n", Ok(Call::Ping)),
        (b"", Err(LineError::Empty)),
        (b"PIN", Err(LineError::Unknown)),
        (b"PI\0NG", Err(LineError::NotText)),
        (b"PING\nINFO", Err(LineError::SecondLine)),
        (&long, Err(LineError::TooLong)),
    ];
    for (input, expected) in cases {
        assert_eq!(&parse_last_line(input), expected, "{:?}", String::from_utf8_lossy(input));
    }
}

#[test]
fn an_error_reply_is_one_line() {
    let all = [
        LineError::TooLong,
        LineError::NotText,
        LineError::Empty,
        LineError::Unknown,
        LineError::SecondLine,
        LineError::TooSlow,
    ];
    for error in all {
        let reply = error_reply(error);
        assert!(reply.starts_with("error ") && reply.ends_with('\n') && reply.matches('\n').count() == 1);
    }
}
