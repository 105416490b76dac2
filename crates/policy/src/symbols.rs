//! The alphabet of the messages between schedulers: each symbol stands for six bits, and is printable and one byte long
//! in UTF-8 and JSON.

const SYMBOLS: &[u8; 64] = b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
/// Bits that a symbol stands for.
pub const BITS_PER_SYMBOL: usize = 6;
const SYMBOL_MASK: u64 = (1 << BITS_PER_SYMBOL) - 1;

/// A byte that is not in the alphabet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("byte {0:#04x} is no symbol")]
pub struct InvalidSymbol(pub u8);

/// Appends the lowest bits of a value as this many symbols, the lowest first.
pub fn encode(text: &mut String, value: u64, symbols: usize) {
    let symbol = |index: usize| SYMBOLS[(value >> (BITS_PER_SYMBOL * index) & SYMBOL_MASK) as usize];
    text.extend((0..symbols).map(|index| char::from(symbol(index))));
}

/// The value that these symbols stand for. More than ten of them do not fit in it: the last ones are cut off.
pub fn decode(bytes: &[u8]) -> Result<u64, InvalidSymbol> {
    bytes.iter().rev().try_fold(0, |value, &byte| Ok(value << BITS_PER_SYMBOL | decode_symbol(byte)?))
}

fn decode_symbol(byte: u8) -> Result<u64, InvalidSymbol> {
    let index = SYMBOLS.iter().position(|&symbol| symbol == byte);
    index.map(|index| index as u64).ok_or(InvalidSymbol(byte))
}

#[cfg(test)]
mod tests;
