//! The wire format of gossip messages: text of at most 256 bytes.
//!
//! | symbols | content |
//! | --- | --- |
//! | 1 | the prefix `!`, with which no other message between schedulers begins |
//! | 1 | the purpose: `T` push, `N` reply, `Q` pull |
//! | 8 | the revision of the sender's list |
//! | 8 | the newest revision that the sender knows of |
//! | 9 per change | 6 for the endpoint's name tag, 1 for its status, 2 for the change's age in revisions |
//! | 4 | a checksum of all preceding symbols |
//!
//! The age of a change counts back from the larger of the two revisions in the head. A symbol carries six
//! bits (`policy::symbols`). A message that does not decode is ignored entirely.

use brackenledge_policy::Readiness;
use brackenledge_policy::hashing::hash;
use brackenledge_policy::symbols::{InvalidSymbol, decode, encode};
use thiserror::Error;

/// The first byte of every gossip message.
const GOSSIP_PREFIX: char = '!';
/// Maximum length of a message, in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 256;
const REVISION_SYMBOLS: usize = 8;
const HEAD_SYMBOLS: usize = 2 + 2 * REVISION_SYMBOLS;
const CHECKSUM_SYMBOLS: usize = 4;
const TAG_SYMBOLS: usize = 6;
const STATUS_SYMBOLS: usize = 1;
const REVISIONS_BACK_SYMBOLS: usize = 2;
const CHANGE_SYMBOLS: usize = TAG_SYMBOLS + STATUS_SYMBOLS + REVISIONS_BACK_SYMBOLS;
/// Number of changes that fit into one message.
pub(super) const MAX_CHANGES_PER_MESSAGE: usize =
    (MAX_MESSAGE_BYTES - HEAD_SYMBOLS - CHECKSUM_SYMBOLS) / CHANGE_SYMBOLS;

/// The largest value that can be encoded in this many symbols.
const fn max_value(symbols: usize) -> u64 {
    (1 << (6 * symbols)) - 1
}

/// The low bits of the hash of an endpoint's name, which identify the endpoint in messages.
pub(crate) fn name_tag(hash: u64) -> u64 {
    hash & max_value(TAG_SYMBOLS)
}

/// Whether a message is gossip, valid or not.
pub(crate) fn is_gossip(text: &str) -> bool {
    text.starts_with(GOSSIP_PREFIX)
}

/// A change of one endpoint's readiness in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EndpointChange {
    /// The endpoint's [`name_tag`].
    pub(crate) tag: u64,
    pub(crate) readiness: Readiness,
    /// The list revision that contains the change.
    pub(crate) revision: u64,
}

/// The purpose of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Carries changes and asks for a reply with the receiver's revisions.
    Push,
    /// Answers a push or a pull, or advertises a revision. It is not answered.
    Reply,
    /// Asks for the recent changes.
    Pull,
}

const PURPOSES: [(Purpose, char); 3] = [(Purpose::Push, 'T'), (Purpose::Reply, 'N'), (Purpose::Pull, 'Q')];

/// Why a gossip message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum MessageError {
    #[error("invalid message length: {0} bytes")]
    Length(usize),
    #[error("message is not ASCII text")]
    NotAscii,
    #[error("checksum mismatch")]
    Checksum,
    #[error("unknown message purpose {0:#x}")]
    Purpose(u8),
    #[error(transparent)]
    Symbol(#[from] InvalidSymbol),
    #[error("unknown endpoint status {0}")]
    Status(u64),
    #[error("the revision of a change is negative")]
    Revision,
    #[error("the sender's ordinal is this scheduler's own")]
    OwnMessage,
    #[error("the message uses the revision numbering from before discovery's restart")]
    FormerNumbering,
}

/// A gossip message.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Message {
    pub(super) purpose: Purpose,
    /// The revision of the sender's own list.
    pub(super) held_revision: u64,
    /// The newest revision that the sender knows of.
    pub(super) known_revision: u64,
    /// In a pull, only the entry that stands for the digest, if there is one.
    pub(super) changes: Vec<EndpointChange>,
}

impl Message {
    /// A pull with a digest of the changes that its sender knows and that are newer than its list; 0 if it
    /// knows none. The digest is encoded as a change of a nonexistent ready endpoint, which versions without
    /// digests ignore.
    pub(super) fn pull(held_revision: u64, known_revision: u64, digest: u64) -> Message {
        let entry = EndpointChange { tag: digest, readiness: Readiness::Ready, revision: 0 };
        let changes = if digest == 0 { Vec::new() } else { vec![entry] };
        Message { purpose: Purpose::Pull, held_revision, known_revision, changes }
    }

    /// Removes the digest from a pull and returns it; 0 if it has none or if this is not a pull.
    pub(super) fn take_digest(&mut self) -> u64 {
        match (self.purpose, &self.changes[..]) {
            (Purpose::Pull, [EndpointChange { tag, readiness: Readiness::Ready, .. }]) => {
                let digest = *tag;
                self.changes.clear();
                digest
            }
            _ => 0,
        }
    }

    pub(super) fn encode(&self) -> String {
        let mut text = String::from(GOSSIP_PREFIX);
        let symbol = PURPOSES.iter().find(|(purpose, _)| *purpose == self.purpose).map(|(_, symbol)| symbol);
        text.extend(symbol);
        encode(&mut text, self.held_revision, REVISION_SYMBOLS);
        encode(&mut text, self.known_revision, REVISION_SYMBOLS);
        let newest = self.held_revision.max(self.known_revision);
        for change in self.changes.iter().take(MAX_CHANGES_PER_MESSAGE) {
            // A distance that does not fit into the symbols is clamped; its exact value does not matter then.
            let revisions_back =
                newest.saturating_sub(change.revision).min(max_value(REVISIONS_BACK_SYMBOLS));
            encode(&mut text, change.tag, TAG_SYMBOLS);
            encode(&mut text, change.readiness as u64, STATUS_SYMBOLS);
            encode(&mut text, revisions_back, REVISIONS_BACK_SYMBOLS);
        }
        let checksum = hash(&text);
        encode(&mut text, checksum, CHECKSUM_SYMBOLS);
        text
    }

    pub(super) fn decode(text: &str) -> Result<Message, MessageError> {
        let length = text.len();
        if !text.is_ascii() {
            return Err(MessageError::NotAscii);
        }
        if !(HEAD_SYMBOLS + CHECKSUM_SYMBOLS..=MAX_MESSAGE_BYTES).contains(&length) {
            return Err(MessageError::Length(length));
        }
        let (body, checksum) = text.split_at(length - CHECKSUM_SYMBOLS);
        if decode_number(checksum.as_bytes())? != hash(body) & max_value(CHECKSUM_SYMBOLS) {
            return Err(MessageError::Checksum);
        }
        let (head, entries) = body.as_bytes().split_at(HEAD_SYMBOLS);
        if entries.len() % CHANGE_SYMBOLS != 0 {
            return Err(MessageError::Length(length));
        }
        let (held, known) = head[2..].split_at(REVISION_SYMBOLS);
        let (held_revision, known_revision) = (decode_number(held)?, decode_number(known)?);
        let newest = held_revision.max(known_revision);
        let changes = entries.chunks(CHANGE_SYMBOLS).map(|entry| decode_change(entry, newest));
        Ok(Message {
            purpose: decode_purpose(head[1])?,
            held_revision,
            known_revision,
            changes: changes.collect::<Result<_, _>>()?,
        })
    }
}

fn decode_purpose(byte: u8) -> Result<Purpose, MessageError> {
    let known = PURPOSES.iter().find(|(_, symbol)| *symbol as u8 == byte);
    known.map(|(purpose, _)| *purpose).ok_or(MessageError::Purpose(byte))
}

fn decode_change(entry: &[u8], newest: u64) -> Result<EndpointChange, MessageError> {
    let (tag, rest) = entry.split_at(TAG_SYMBOLS);
    let (status, revisions_back) = rest.split_at(STATUS_SYMBOLS);
    let readiness = match decode_number(status)? {
        0 => Readiness::Ready,
        1 => Readiness::Draining,
        2 => Readiness::Gone,
        unknown => return Err(MessageError::Status(unknown)),
    };
    let revision = newest.checked_sub(decode_number(revisions_back)?).ok_or(MessageError::Revision)?;
    Ok(EndpointChange { tag: decode_number(tag)?, readiness, revision })
}

fn decode_number(symbols: &[u8]) -> Result<u64, MessageError> {
    Ok(decode(symbols)?)
}
