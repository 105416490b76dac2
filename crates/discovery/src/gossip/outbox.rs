//! What is due to each receiver, merged, split into messages, and kept within the budget of bytes.

use super::message::{EndpointChange, MAX_CHANGES, Message, Purpose};
use crate::token_bucket::TokenBucket;
use brackenledge_policy::{Millis, Readiness};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Refill rate of the byte budget. It bounds what a fault can cost, and is far above what is usual.
const BYTES_PER_MILLI: f64 = 16.384;
/// Capacity of the byte budget.
const MAX_SAVED_BYTES: f64 = 65_536.0;

/// A message to send.
pub(crate) struct OutgoingMessage {
    pub(crate) to: u16,
    pub(crate) text: String,
}

/// What the head of each message states.
#[derive(Clone, Copy)]
pub(super) struct StatedRevisions {
    /// The revision of the own list.
    pub(super) held: u64,
    /// The newest revision heard of.
    pub(super) known: u64,
}

/// What goes to one receiver, before it is split into messages.
struct Draft {
    purpose: Purpose,
    changes: Vec<EndpointChange>,
}

/// Drafts by receiver.
#[derive(Default)]
pub(super) struct Drafts(BTreeMap<u16, Draft>);

impl Drafts {
    /// Adds to what goes to one receiver. A purpose that asks for an answer takes precedence over a reply.
    pub(super) fn add(
        &mut self,
        to: u16,
        purpose: Purpose,
        changes: impl IntoIterator<Item = EndpointChange>,
    ) {
        let draft = self.0.entry(to).or_insert(Draft { purpose, changes: Vec::new() });
        if purpose != Purpose::Reply {
            draft.purpose = purpose;
        }
        draft.changes.extend(changes);
    }

    /// Encodes the drafts. All receivers' first messages come first, and of receivers those whose ordinals follow the own
    /// one: the byte budget may not pay for all, and must not pass over the same schedulers each time.
    pub(super) fn encode(self, own_ordinal: u16, revisions: StatedRevisions) -> Vec<OutgoingMessage> {
        let mut messages = Vec::new();
        for (to, draft) in self.0 {
            for (part, text) in draft.encode(revisions).into_iter().enumerate() {
                messages.push(((part, to.wrapping_sub(own_ordinal)), OutgoingMessage { to, text }));
            }
        }
        messages.sort_by_key(|(order, _)| *order);
        messages.into_iter().map(|(_, message)| message).collect()
    }
}

impl Draft {
    /// Splits it into messages. Changes that take an endpoint out of use come first, and of each kind the newest.
    fn encode(mut self, StatedRevisions { held, known }: StatedRevisions) -> Vec<String> {
        self.changes.sort_by_key(|change| (change.readiness == Readiness::Ready, Reverse(change.revision)));
        let encode = |changes: &[EndpointChange]| {
            let (purpose, changes) = (self.purpose, changes.to_vec());
            Message { purpose, held_revision: held, known_revision: known, changes }.encode()
        };
        if self.changes.is_empty() {
            return vec![encode(&[])];
        }
        self.changes.chunks(MAX_CHANGES).map(encode).collect()
    }
}

/// The bytes that may be sent.
pub(super) struct ByteBudget(TokenBucket);

impl ByteBudget {
    pub(super) fn new(now: Millis) -> Self {
        ByteBudget(TokenBucket::new(now, MAX_SAVED_BYTES, BYTES_PER_MILLI))
    }

    /// Drops the messages that it does not pay for.
    pub(super) fn limit(&mut self, now: Millis, mut messages: Vec<OutgoingMessage>) -> Vec<OutgoingMessage> {
        self.0.refill(now);
        messages.retain(|message| {
            let bytes = message.text.len() as f64;
            let is_paid = self.0.tokens() >= bytes;
            if is_paid {
                self.0.take(bytes);
            }
            is_paid
        });
        messages
    }
}
