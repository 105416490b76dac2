//! Fencing tokens: receivers reject actions of a holder whose lease is over.

use crate::{ProcessId, Role, Term, message::DecodeError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The head of a fenced message: who acts, in which role, and under which term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingToken {
    /// The sender, which holds the role's lease.
    pub holder: ProcessId,
    /// The role.
    pub role: Role,
    /// Term of the lease.
    pub term: Term,
}

impl FencingToken {
    /// Upper limit of an encoded token in bytes: a process of eleven, a role, and a term of five numbers.
    pub const MAX_ENCODED_LENGTH: usize = 14 + 1 + 5 + 5 + 5 + 3 + 5;

    /// The bytes of a fenced message: the token, then the payload as it is.
    pub fn encode_message(&self, payload: &[u8]) -> Vec<u8> {
        let mut bytes = postcard::to_allocvec(self).unwrap_or_default();
        bytes.extend_from_slice(payload);
        bytes
    }

    /// Splits a fenced message into its token and its payload.
    pub fn decode_message(bytes: &[u8]) -> Result<(FencingToken, &[u8]), DecodeError> {
        Ok(postcard::take_from_bytes(bytes)?)
    }
}

/// The holder of a role, under a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RoleHolder {
    /// Term of the lease.
    pub term: Term,
    /// Its holder.
    pub holder: ProcessId,
}

/// Why a fenced message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FencingError {
    /// No term of this role is known yet, so the message's may be an old one.
    #[error("no term of this role is known yet")]
    UnknownRole,
    /// A later term of the role is known, or another holder under the same term.
    #[error("term {} of scheduler {} is known", .0.term, .0.holder.ordinal)]
    Stale(RoleHolder),
}

/// A receiver's memory of terms. It rejects a fenced message of an older term than the latest known, and one of
/// another holder under the same term. The memory is lost with the process: one that has just started hears from the
/// leader before it accepts anything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    latest: BTreeMap<Role, RoleHolder>,
    /// Number of messages rejected.
    pub rejected: u64,
    /// Number of messages accepted.
    pub accepted: u64,
}

impl FencingGuard {
    /// Takes note of a lease that the leader has announced.
    pub fn observe(&mut self, role: Role, term: Term, holder: ProcessId) {
        let latest = self.latest.entry(role).or_insert(RoleHolder { term, holder });
        if term > latest.term {
            *latest = RoleHolder { term, holder };
        }
    }

    /// Whether a fenced message may be acted on.
    pub fn accept(&mut self, role: Role, term: Term, holder: ProcessId) -> Result<(), FencingError> {
        let verdict = match self.latest(role) {
            None => Err(FencingError::UnknownRole),
            Some(latest) if term < latest.term || (term == latest.term && holder != latest.holder) => {
                Err(FencingError::Stale(latest))
            }
            Some(_) => Ok(()),
        };
        match verdict {
            Ok(()) => {
                self.latest.insert(role, RoleHolder { term, holder });
                self.accepted += 1;
            }
            Err(_) => self.rejected += 1,
        }
        verdict
    }

    /// The latest lease known of a role.
    pub fn latest(&self, role: Role) -> Option<RoleHolder> {
        self.latest.get(&role).copied()
    }
}
