//! Parsing of the admin endpoint's lines, and its error replies.
#![allow(missing_docs)]

use brackenledge_protocol::control::{Call, LineError, MAX_LINE_BYTES, Parsed, error_reply, parse_line};

#[test]
fn each_line_reads_as_its_table_says() {
    let long = vec![b'A'; MAX_LINE_BYTES + 1];
    let cases: &[(&[u8], bool, Parsed)] = &[
        (b"PING\n", false, Parsed::Call(Call::Ping)),
        (b"PING\r\n", false, Parsed::Call(Call::Ping)),
        (b"info\n", false, Parsed::Call(Call::Info)),
        (b"LAMEDUCK\n", false, Parsed::Call(Call::LameDuck)),
        (b" REJOIN \n", false, Parsed::Call(Call::Rejoin)),
        (b"members\n", false, Parsed::Call(Call::Members)),
        (b"DUTIES\n", false, Parsed::Call(Call::Duties)),
        (b"zones\n", false, Parsed::Call(Call::Zones)),
        (b"PING", true, Parsed::Call(Call::Ping)),
        (b"PIN", false, Parsed::Partial),
        (b"", false, Parsed::Partial),
        (b"\n", false, Parsed::Rejected(LineError::Empty)),
        (b"", true, Parsed::Rejected(LineError::Empty)),
        (b"RESTART\n", false, Parsed::Rejected(LineError::Unknown)),
        (b"PING now\n", false, Parsed::Rejected(LineError::Unknown)),
        (b"PI\xffNG\n", false, Parsed::Rejected(LineError::NotText)),
        (b"PI\0NG\n", false, Parsed::Rejected(LineError::NotText)),
        (b"PING\nINFO\n", false, Parsed::Rejected(LineError::SecondLine)),
        (&long, false, Parsed::Rejected(LineError::TooLong)),
    ];
    for (input, ended, expected) in cases {
        assert_eq!(&parse_line(input, *ended), expected, "{:?}", String::from_utf8_lossy(input));
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
