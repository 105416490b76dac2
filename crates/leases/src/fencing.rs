//! Fencing tokens: a receiver rejects messages of a holder once it knows of a later holder of the same role.

use crate::{ProcessId, Role, Term, message::DecodeError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Header of a fenced message: the sender, the role that it holds, and the term of its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingToken {
    /// The sender, which holds the role's lease.
    pub holder: ProcessId,
    /// Role in which the sender acts.
    pub role: Role,
    /// Term of the lease.
    pub term: Term,
}

impl FencingToken {
    /// Maximum length of an encoded token in bytes: the process, the role, and the five numbers of the term.
    pub const MAX_ENCODED_LENGTH: usize = 14 + 1 + 5 + 5 + 5 + 3 + 5;

    /// Encodes a fenced message: the encoded token, followed by the unchanged payload.
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

/// The holder of a role and the term of its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RoleHolder {
    /// Term of the lease.
    pub term: Term,
    /// Process that holds the lease.
    pub holder: ProcessId,
}

/// Why a fenced message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FencingError {
    /// No term of this role is known yet, so the term of the message may be outdated.
    #[error("no term of this role is known yet")]
    UnknownRole,
    /// A later term of the role is known, or another holder of the same term. Contains the latest known
    /// lease.
    #[error("stale fencing token: latest known term is {}, held by scheduler {}", .0.term, .0.holder.ordinal)]
    Stale(RoleHolder),
}

/// Latest term of each role that a receiver knows. Rejects a fenced message whose term is older than the
/// latest known one, or whose term is known with another holder. The terms are not persisted: a process that
/// has just started accepts no message of a role before it has learned the role's term from the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    latest: BTreeMap<Role, RoleHolder>,
    /// Number of messages rejected.
    pub rejected: u64,
    /// Number of messages accepted.
    pub accepted: u64,
}

impl FencingGuard {
    /// Records a lease that the leader has announced. Has no effect if its term is not later than the latest
    /// known.
    pub fn observe(&mut self, role: Role, term: Term, holder: ProcessId) {
        let latest = self.latest.entry(role).or_insert(RoleHolder { term, holder });
        if term > latest.term {
            *latest = RoleHolder { term, holder };
        }
    }

    /// Checks the token of a fenced message, counts the result, and records the term if it is accepted.
    pub fn accept(&mut self, role: Role, term: Term, holder: ProcessId) -> Result<(), FencingError> {
        let result = match self.latest(role) {
            None => Err(FencingError::UnknownRole),
            Some(latest) if term < latest.term || (term == latest.term && holder != latest.holder) => {
                Err(FencingError::Stale(latest))
            }
            Some(_) => Ok(()),
        };
        match result {
            Ok(()) => {
                self.latest.insert(role, RoleHolder { term, holder });
                self.accepted += 1;
            }
            Err(_) => self.rejected += 1,
        }
        result
    }

    /// The latest known lease of a role. `None` if no term of the role is known yet.
    pub fn latest(&self, role: Role) -> Option<RoleHolder> {
        self.latest.get(&role).copied()
    }
}
