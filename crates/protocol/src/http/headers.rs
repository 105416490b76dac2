//! Single headers of a head.

use super::Malformed;

/// A header's value, if it is text.
pub(super) fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}

/// The value of a header that frames a message: it must be there once at most, in printable ASCII.
pub(super) fn single<'a>(headers: &[httparse::Header<'a>], name: &str) -> Result<Option<&'a str>, Malformed> {
    let mut all = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
    let (first, second) = (all.next(), all.next());
    let Some(first) = first else { return Ok(None) };
    let printable = first.value.iter().all(|&byte| matches!(byte, b' '..=b'~' | b'\t'));
    let text = std::str::from_utf8(first.value).ok().filter(|_| printable && second.is_none());
    text.map(|text| Some(text.trim())).ok_or(Malformed::Framing)
}

/// Whether a line of this head ends without a carriage return: others may see a different message in it.
pub(super) fn has_bare_line_feed(head: &[u8]) -> bool {
    let ends = head.iter().enumerate().filter(|(_, byte)| **byte == b'\n').map(|(at, _)| at);
    ends.into_iter().any(|at| at == 0 || head[at - 1] != b'\r')
}

/// Whether a comma-separated header holds a token.
pub(super) fn has_token(value: Option<&str>, token: &str) -> bool {
    value.is_some_and(|value| value.split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
}
