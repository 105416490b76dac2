use super::*;

#[test]
fn values_round_trip_and_other_bytes_are_errors() {
    for (value, symbols) in [(0, 1), (63, 1), (64, 2), (0x3_ffff, 3), (u64::MAX >> 4, 10)] {
        let mut text = String::new();
        encode(&mut text, value, symbols);
        assert_eq!((text.len(), decode(text.as_bytes())), (symbols, Ok(value)));
    }
    let invalid = |byte| Err(InvalidSymbol(byte));
    assert_eq!(
        [decode(b"0!"), decode("\u{e9}".as_bytes()), decode(b"")],
        [invalid(b'!'), invalid(0xa9), Ok(0)]
    );
}
