//! Bytes as hexadecimal text, as golden tests state them.

/// Two lower-case digits for each byte.
pub fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes that this text stands for.
///
/// # Panics
///
/// If the text is no hexadecimal, since it is a literal of a test.
pub fn decode(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(digits).collect()
}
