//! The base-64 alphabet of messages between schedulers: each symbol encodes six bits, is printable, and takes
//! one byte in UTF-8 and in JSON.

const SYMBOLS: &[u8; 64] = b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
/// Bits that one symbol encodes.
pub const BITS_PER_SYMBOL: usize = 6;
const SYMBOL_MASK: u64 = (1 << BITS_PER_SYMBOL) - 1;

/// The error for a byte that is not in the alphabet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("byte {0:#04x} is not in the symbol alphabet")]
pub struct InvalidSymbol(pub u8);

/// Appends the lowest bits of a value as this many symbols, least significant first.
pub fn encode(text: &mut String, value: u64, symbols: usize) {
    let symbol = |index: usize| SYMBOLS[(value >> (BITS_PER_SYMBOL * index) & SYMBOL_MASK) as usize];
    text.extend((0..symbols).map(|index| char::from(symbol(index))));
}

/// Decodes symbols that [`encode`] wrote. A `u64` holds ten symbols; excess bits of longer input are lost.
pub fn decode(bytes: &[u8]) -> Result<u64, InvalidSymbol> {
    bytes.iter().rev().try_fold(0, |value, &byte| Ok(value << BITS_PER_SYMBOL | decode_symbol(byte)?))
}

fn decode_symbol(byte: u8) -> Result<u64, InvalidSymbol> {
    let index = SYMBOLS.iter().position(|&symbol| symbol == byte);
    index.map(|index| index as u64).ok_or(InvalidSymbol(byte))
}

#[cfg(test)]
mod tests;
