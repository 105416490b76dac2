//! Merges what is to be sent to each receiver, splits it into messages, and limits these to the byte budget.

use super::message::{EndpointChange, MAX_CHANGES_PER_MESSAGE, Message, Purpose};
use crate::token_bucket::TokenBucket;
use brackenledge_policy::{Millis, Readiness};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Refill rate of the byte budget. It bounds the traffic that a fault can cause and is far above normal
/// traffic.
const BYTES_PER_MILLI: f64 = 16.384;
/// Capacity of the byte budget, in bytes.
const MAX_BURST_BYTES: f64 = 65_536.0;

/// A message to send.
pub(crate) struct OutgoingMessage {
    pub(crate) to: u16,
    pub(crate) text: String,
}

/// The revisions in the head of each message.
#[derive(Clone, Copy)]
pub(super) struct StatedRevisions {
    /// The revision of this scheduler's own list.
    pub(super) held: u64,
    /// The newest known revision.
    pub(super) known: u64,
}

/// The content for one receiver before it is split into messages.
struct Draft {
    purpose: Purpose,
    changes: Vec<EndpointChange>,
}

/// The drafts of one round, by receiver.
#[derive(Default)]
pub(super) struct Drafts(BTreeMap<u16, Draft>);

impl Drafts {
    /// Adds changes to the draft for one receiver. A purpose that asks for an answer takes precedence over a
    /// reply.
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

    /// Encodes the drafts. The first messages of all receivers precede the second ones, and receivers are
    /// ordered by ordinal, starting after this scheduler's own. The byte budget may not cover all messages,
    /// and with this order different senders skip different receivers.
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
    /// Splits the draft into messages. Changes to draining or gone come first, and newer changes before older
    /// ones.
    fn encode(mut self, StatedRevisions { held, known }: StatedRevisions) -> Vec<String> {
        self.changes.sort_by_key(|change| (change.readiness == Readiness::Ready, Reverse(change.revision)));
        let encode = |changes: &[EndpointChange]| {
            let (purpose, changes) = (self.purpose, changes.to_vec());
            Message { purpose, held_revision: held, known_revision: known, changes }.encode()
        };
        if self.changes.is_empty() {
            return vec![encode(&[])];
        }
        self.changes.chunks(MAX_CHANGES_PER_MESSAGE).map(encode).collect()
    }
}

/// Token bucket for sent bytes.
pub(super) struct ByteBudget(TokenBucket);

impl ByteBudget {
    pub(super) fn new(now: Millis) -> Self {
        ByteBudget(TokenBucket::new(now, MAX_BURST_BYTES, BYTES_PER_MILLI))
    }

    /// Drops the messages that exceed the budget.
    pub(super) fn limit(&mut self, now: Millis, mut messages: Vec<OutgoingMessage>) -> Vec<OutgoingMessage> {
        self.0.refill(now);
        messages.retain(|message| {
            let bytes = message.text.len() as f64;
            let is_within_budget = self.0.tokens() >= bytes;
            if is_within_budget {
                self.0.take(bytes);
            }
            is_within_budget
        });
        messages
    }
}
