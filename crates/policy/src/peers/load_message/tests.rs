//! The format of load messages.

use super::*;

fn tagged(tag: u32, slots: f64) -> TaggedSlots {
    TaggedSlots { tag: WorkerTag(tag), slots }
}

fn decoded(text: &str) -> LoadMessage {
    LoadMessage::decode(text).expect("a load message")
}

#[test]
fn encoded_text_is_stable() {
    let entries = [tagged(1, 2.0), tagged(0x3_ffff, 63.4), tagged(64, 99.0), tagged(65, -1.0)];
    assert_eq!(encode_loads(LoadMessageKind::Own, &entries), ["01002____010_1100"]);
    assert_eq!(encode_loads(LoadMessageKind::Aggregated, &entries[..1]), ["21002"]);
    assert_eq!(encode_loads(LoadMessageKind::Aggregated, &[]), ["2"]);
    let long = encode_loads(LoadMessageKind::Own, &[tagged(0, 1.0); 64]);
    assert_eq!((long.len(), long[0].len(), long[1].as_str()), (2, 253, "10001"));
    assert_eq!(WorkerTag::from_hash(0xffff_ffff_ffff_fff5), WorkerTag(0x3_fff5));
}

#[test]
fn loads_round_trip() {
    let entries: Vec<TaggedSlots> = (0..100).map(|n| tagged(n * 2_621, f64::from(n % 5))).collect();
    let messages = encode_loads(LoadMessageKind::Own, &entries);
    assert!(messages.iter().all(|message| message.len() <= MAX_MESSAGE_BYTES));
    let read: Vec<LoadMessage> = messages.iter().map(|message| decoded(message)).collect();
    let kinds: Vec<LoadMessageKind> = read.iter().map(|message| message.kind).collect();
    assert_eq!(kinds, [LoadMessageKind::Own, LoadMessageKind::OwnContinued]);
    assert_eq!(read.into_iter().flat_map(|message| message.entries).collect::<Vec<_>>(), entries);
}

#[test]
fn invalid_text_is_a_specific_error() {
    for (text, error) in [
        ("", LoadMessageError::Empty),
        ("3", LoadMessageError::Kind(3)),
        ("0abc", LoadMessageError::Length(3)),
        ("0ab!c", LoadMessageError::Symbol(InvalidSymbol(b'!'))),
        ("\u{e9}", LoadMessageError::Symbol(InvalidSymbol(0xc3))),
    ] {
        assert_eq!(LoadMessage::decode(text), Err(error), "{text:?}");
    }
}

#[test]
fn split_aggregated_loads_have_the_entries_of_the_whole_message() {
    let entries: Vec<TaggedSlots> = (0..60).map(|n| tagged(n * 31, f64::from(n % 5))).collect();
    let whole = encode_loads(LoadMessageKind::Aggregated, &entries).remove(0);
    assert!(is_aggregated_loads(&whole));
    assert!(!is_aggregated_loads(&encode_loads(LoadMessageKind::Own, &entries)[0]));
    assert!(!is_aggregated_loads("!T000"));
    let parts = split_aggregated_loads(&whole, 200);
    assert_eq!(parts.len(), 2);
    assert!(parts.iter().all(|part| part.len() <= 200 && is_aggregated_loads(part)));
    let read: Vec<TaggedSlots> = parts.iter().flat_map(|part| decoded(part).entries).collect();
    assert_eq!(read, entries);
    assert_eq!(split_aggregated_loads("2", 200), ["2"]);
}
