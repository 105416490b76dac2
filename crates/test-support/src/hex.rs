//! Conversion between bytes and hexadecimal text, the form in which golden tests state expected bytes.

/// Encodes each byte as two lower-case digits.
pub fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal text of either case.
///
/// # Panics
///
/// Panics if the text is not hexadecimal. The text is a literal of a test, so this is an error in the test.
pub fn decode(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(digits).collect()
}
