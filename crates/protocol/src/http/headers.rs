//! Finds and checks headers of a parsed head.

use super::Malformed;

/// The trimmed value of the first header of this name; `None` if there is none or it is not UTF-8.
pub(super) fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}

/// The trimmed value of a header that may occur only once, in printable ASCII; `None` if there is none.
pub(super) fn single<'a>(headers: &[httparse::Header<'a>], name: &str) -> Result<Option<&'a str>, Malformed> {
    let mut all = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
    let (first, second) = (all.next(), all.next());
    let Some(first) = first else { return Ok(None) };
    let printable = first.value.iter().all(|&byte| matches!(byte, b' '..=b'~' | b'\t'));
    let text = std::str::from_utf8(first.value).ok().filter(|_| printable && second.is_none());
    text.map(|text| Some(text.trim())).ok_or(Malformed::Framing)
}

/// Whether a line of this head ends in LF without CR. Parsers differ in whether they accept that as a line
/// end, which allows request smuggling.
pub(super) fn has_bare_line_feed(head: &[u8]) -> bool {
    let ends = head.iter().enumerate().filter(|(_, byte)| **byte == b'\n').map(|(at, _)| at);
    ends.into_iter().any(|at| at == 0 || head[at - 1] != b'\r')
}

/// Whether the comma-separated value of a header contains a token, in any case.
pub(super) fn has_token(value: Option<&str>, token: &str) -> bool {
    value.is_some_and(|value| value.split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
}
