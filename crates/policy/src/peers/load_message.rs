//! Format of the messages that report how many slots are occupied at which workers. A symbol is one byte of
//! text that holds 6 bits of a value.
//!
//! | part | symbols | value |
//! | --- | --- | --- |
//! | kind | 1 | 0: slots of the sender's jobs, 1: continuation of 0, 2: slots of all schedulers' jobs |
//! | for each worker: tag | 3 | the lowest bits of the hash of its name |
//! | for each worker: slot count | 1 | rounded, at most 63 |

use crate::symbols::{BITS_PER_SYMBOL, InvalidSymbol, decode, encode};
use crate::units::WorkerId;

/// Length of the kind, in symbols.
const KIND_SYMBOLS: usize = 1;
/// Length of a worker's tag, in symbols.
const TAG_SYMBOLS: usize = 3;
/// Length of a worker's slot count, in symbols.
const SLOTS_SYMBOLS: usize = 1;
/// Length of a worker's entry, in symbols.
const ENTRY_SYMBOLS: usize = TAG_SYMBOLS + SLOTS_SYMBOLS;
/// The bits of a hash that are used as the tag.
const TAG_MASK: u64 = (1 << (BITS_PER_SYMBOL * TAG_SYMBOLS)) - 1;
/// The most slots that an entry can hold.
const MAX_SLOTS: f64 = 63.0;
/// The longest message that can be sent to a peer, in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 256;
const MAX_ENTRIES: usize = (MAX_MESSAGE_BYTES - KIND_SYMBOLS) / ENTRY_SYMBOLS;

/// Identifies a worker in messages. Tags can collide; the slots of workers with the same tag are added up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WorkerTag(u32);

impl WorkerTag {
    pub(super) fn from_hash(name_hash: u64) -> Self {
        WorkerTag((name_hash & TAG_MASK) as u32)
    }
}

/// A message entry: the slots that are occupied at a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TaggedSlots {
    pub(super) tag: WorkerTag,
    pub(super) slots: f64,
}

/// The slots that are occupied at a worker that is known here.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerSlots {
    pub(super) worker: WorkerId,
    pub(super) slots: f64,
}

/// The kind of a load message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadMessageKind {
    /// The slots occupied by the sender's own jobs. The message replaces the sender's earlier messages.
    Own,
    /// Continuation of a report of the sender's own slots that did not fit into the message before.
    OwnContinued,
    /// The slots occupied by the jobs of all schedulers together, sent by the aggregator: the one scheduler
    /// of a large cluster that adds up all reports. Workers without an entry are unchanged.
    Aggregated,
}

/// The message kinds, indexed by the value of their symbol.
const KINDS: [LoadMessageKind; 3] =
    [LoadMessageKind::Own, LoadMessageKind::OwnContinued, LoadMessageKind::Aggregated];

/// Why a text is not a valid load message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum LoadMessageError {
    #[error("load message is empty")]
    Empty,
    #[error("unknown load message kind {0}")]
    Kind(u64),
    #[error("load message entries take {0} bytes, which is not a multiple of the entry length")]
    Length(usize),
    #[error(transparent)]
    Symbol(#[from] InvalidSymbol),
}

/// A decoded message.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LoadMessage {
    pub(super) kind: LoadMessageKind,
    pub(super) entries: Vec<TaggedSlots>,
}

impl LoadMessage {
    pub(super) fn decode(text: &str) -> Result<LoadMessage, LoadMessageError> {
        let (kind, entries) = text.as_bytes().split_first().ok_or(LoadMessageError::Empty)?;
        let kind = decode(&[*kind])?;
        let kind = *KINDS.get(kind as usize).ok_or(LoadMessageError::Kind(kind))?;
        if entries.len() % ENTRY_SYMBOLS != 0 {
            return Err(LoadMessageError::Length(entries.len()));
        }
        let entries = entries.chunks(ENTRY_SYMBOLS).map(decode_entry).collect::<Result<_, _>>()?;
        Ok(LoadMessage { kind, entries })
    }
}

fn decode_entry(entry: &[u8]) -> Result<TaggedSlots, LoadMessageError> {
    let (tag, slots) = entry.split_at(TAG_SYMBOLS);
    Ok(TaggedSlots { tag: WorkerTag(decode(tag)? as u32), slots: decode(slots)? as f64 })
}

/// Encodes entries as messages: at least one, and as many as are needed for all entries.
pub(super) fn encode_loads(kind: LoadMessageKind, entries: &[TaggedSlots]) -> Vec<String> {
    let mut parts: Vec<&[TaggedSlots]> = entries.chunks(MAX_ENTRIES).collect();
    if parts.is_empty() {
        parts.push(&[]);
    }
    let part_kind = |part: usize| match kind {
        LoadMessageKind::Own if part > 0 => LoadMessageKind::OwnContinued,
        kind => kind,
    };
    parts.into_iter().enumerate().map(|(part, entries)| encode_part(part_kind(part), entries)).collect()
}

fn encode_part(kind: LoadMessageKind, entries: &[TaggedSlots]) -> String {
    let mut text = String::new();
    encode(&mut text, kind as u64, KIND_SYMBOLS);
    for entry in entries {
        encode(&mut text, u64::from(entry.tag.0), TAG_SYMBOLS);
        encode(&mut text, entry.slots.round().clamp(0.0, MAX_SLOTS) as u64, SLOTS_SYMBOLS);
    }
    text
}

/// Whether a message contains aggregated loads, which only one scheduler at a time should send.
pub fn is_aggregated_loads(text: &str) -> bool {
    LoadMessage::decode(text).is_ok_and(|message| message.kind == LoadMessageKind::Aggregated)
}

/// Splits a message with aggregated loads into messages of at most `max_bytes` each, with the same entries in
/// total. The message is returned whole if `max_bytes` is at most the size of a message with one entry.
pub fn split_aggregated_loads(text: &str, max_bytes: usize) -> Vec<String> {
    if text.len() <= max_bytes || max_bytes <= KIND_SYMBOLS + ENTRY_SYMBOLS {
        return vec![text.to_owned()];
    }
    let (kind, entries) = text.split_at(KIND_SYMBOLS);
    let part_bytes = (max_bytes - KIND_SYMBOLS) / ENTRY_SYMBOLS * ENTRY_SYMBOLS;
    let parts = entries.as_bytes().chunks(part_bytes);
    parts.map(|part| format!("{kind}{}", String::from_utf8_lossy(part))).collect()
}

#[cfg(test)]
mod tests;
