//! Messages between the processes of a cluster, and their `postcard` encoding. An encoded message has at most
//! [`MAX_MESSAGE_LENGTH`] bytes, so that a datagram of 256 bytes has room for one byte that gives its kind.
//!
//! `postcard` encodes variants and fields by their position: their order is part of the wire format.

use crate::{Ballot, Epoch, Micros, ProcessId, Role, Term, View};
use serde::{Deserialize, Serialize};

/// Maximum length of an encoded message in bytes.
pub const MAX_MESSAGE_LENGTH: usize = 255;
/// Maximum number of voters in a view.
pub(crate) const MAX_VOTERS: usize = 5;
/// Maximum number of members in one part of a member list. Each takes at most 11 bytes.
pub(crate) const MAX_MEMBERS_PER_PART: usize = 18;
/// Maximum number of role grants in one message. Each takes at most about 30 bytes.
pub(crate) const MAX_ROLE_GRANTS: usize = 4;

/// A message between two processes of a cluster. The table in the crate documentation says what happens if a
/// message is lost, repeated or late.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Message {
    /// A process without a view asks for one, and reports the latest epoch that it knows of.
    JoinRequest { from: ProcessId, latest_epoch: Epoch },
    /// Paxos phase 1: a candidate asks a voter to promise to reject lower ballots. Succeeds only while the
    /// leader's lease is free.
    Prepare { from: ProcessId, epoch: Epoch, ballot: Ballot },
    /// Positive answer to `Prepare`, with the next view that the voter has accepted, if any.
    Promise { from: ProcessId, epoch: Epoch, ballot: Ballot, accepted: Option<AcceptedView> },
    /// Negative answer to `Prepare`, `LeaseRequest` or `Accept`: another process holds the lease for
    /// `lease_remaining`, or the voter has promised the later ballot `promised`.
    Reject { from: ProcessId, epoch: Epoch, promised: Ballot, lease_remaining: Micros },
    /// A candidate or the leader asks for the leader's lease, starting at `requested_at` by the sender's
    /// clock.
    LeaseRequest { from: ProcessId, epoch: Epoch, ballot: Ballot, requested_at: Micros },
    /// The voter has granted the leader's lease. `requested_at` is copied from the request.
    LeaseGrant { from: ProcessId, epoch: Epoch, ballot: Ballot, requested_at: Micros },
    /// Paxos phase 2: the leader proposes the next view.
    Accept { from: ProcessId, epoch: Epoch, ballot: Ballot, next_view: View },
    /// The voter has accepted the proposed view.
    Accepted { from: ProcessId, epoch: Epoch, ballot: Ballot },
    /// The leader gives its lease back.
    LeaseRelease { from: ProcessId, epoch: Epoch, ballot: Ballot },
    /// The sender's view, the view's leader and its ballot, and, if sent by the leader, the holders of roles.
    /// `ballot` is the default if `leader` is absent or has not been elected in this view yet.
    ViewUpdate {
        from: ProcessId,
        view: View,
        leader: Option<ProcessId>,
        ballot: Ballot,
        role_grants: Vec<RoleGrant>,
    },
    /// Part number `part`, counted from 0, of a member list that the leader sends in `parts` parts.
    MemberListPart { from: ProcessId, term: Term, part: u8, parts: u8, members: Vec<ProcessId> },
    /// A process asks the leader for a role lease, or for its renewal.
    RoleLeaseRequest { from: ProcessId, role: Role, requested_at: Micros },
    /// The leader grants a role lease for `duration`, counted from `requested_at`, which is copied from the
    /// request.
    RoleLeaseGrant { from: ProcessId, role: Role, term: Term, requested_at: Micros, duration: Micros },
    /// The holder gives a role lease back.
    RoleLeaseRelease { from: ProcessId, role: Role, term: Term },
    /// A process asks the leader for a member lease, or for its renewal.
    MemberLeaseRequest { from: ProcessId, requested_at: Micros },
    /// The leader keeps the receiver in the member list for `duration`, counted from `requested_at`, which is
    /// copied from the request.
    MemberLeaseGrant { from: ProcessId, requested_at: Micros, duration: Micros },
    /// The sender shuts down: its lease no longer keeps it in the member list.
    MemberLeaseRelease { from: ProcessId },
}

/// A next view that a voter has accepted, and the ballot under which it was proposed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AcceptedView {
    /// Ballot of the proposal.
    pub ballot: Ballot,
    /// Never the bootstrap view.
    pub view: View,
}

/// A role lease that the leader has granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RoleGrant {
    /// Role that is held.
    pub role: Role,
    /// Term of the lease.
    pub term: Term,
    /// Process that holds the lease.
    pub holder: ProcessId,
}

/// Why bytes could not be decoded as a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The input is longer than [`MAX_MESSAGE_LENGTH`].
    #[error("message too long: {0} bytes, limit is {MAX_MESSAGE_LENGTH}")]
    TooLong(usize),
    /// The bytes are not a valid `postcard` encoding of the expected type.
    #[error("invalid message encoding")]
    Encoding(#[from] postcard::Error),
    /// The input has more bytes than the message.
    #[error("{0} trailing bytes after the message")]
    TrailingBytes(usize),
    /// A view has too many voters, unordered voters or no voters, or is a bootstrap view with voters or where
    /// none is allowed.
    #[error("view of epoch {0} has an invalid list of voters")]
    InvalidView(Epoch),
    /// A view update has more than the maximum number of role grants.
    #[error("too many role grants: {0}, limit is {MAX_ROLE_GRANTS}")]
    TooManyRoleGrants(usize),
    /// A part of a member list has too many members, or its number is not lower than the number of parts.
    #[error("invalid member list part: number {part} of {parts}, {members} members")]
    #[allow(missing_docs)]
    InvalidMemberListPart { part: u8, parts: u8, members: usize },
}

impl Message {
    /// The sender, as claimed by the message itself.
    pub fn from(&self) -> ProcessId {
        match *self {
            Message::JoinRequest { from, .. }
            | Message::Prepare { from, .. }
            | Message::Promise { from, .. }
            | Message::Reject { from, .. }
            | Message::LeaseRequest { from, .. }
            | Message::LeaseGrant { from, .. }
            | Message::Accept { from, .. }
            | Message::Accepted { from, .. }
            | Message::LeaseRelease { from, .. }
            | Message::ViewUpdate { from, .. }
            | Message::MemberListPart { from, .. }
            | Message::RoleLeaseRequest { from, .. }
            | Message::RoleLeaseGrant { from, .. }
            | Message::RoleLeaseRelease { from, .. }
            | Message::MemberLeaseRequest { from, .. }
            | Message::MemberLeaseGrant { from, .. }
            | Message::MemberLeaseRelease { from } => from,
        }
    }

    /// Encodes the message. The caller must keep the lists in it within their limits.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes exactly one message, and checks the limits that the receiver relies on.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        if bytes.len() > MAX_MESSAGE_LENGTH {
            return Err(DecodeError::TooLong(bytes.len()));
        }
        let (message, rest) = postcard::take_from_bytes::<Message>(bytes)?;
        if !rest.is_empty() {
            return Err(DecodeError::TrailingBytes(rest.len()));
        }
        message.check_limits()?;
        Ok(message)
    }

    fn check_limits(&self) -> Result<(), DecodeError> {
        match self {
            Message::Promise { accepted: Some(AcceptedView { view, .. }), .. }
            | Message::Accept { next_view: view, .. } => {
                check_view(view)?;
                if view.is_bootstrap() { Err(DecodeError::InvalidView(view.epoch)) } else { Ok(()) }
            }
            Message::ViewUpdate { view, role_grants, .. } => {
                check_view(view)?;
                let count = role_grants.len();
                if count > MAX_ROLE_GRANTS { Err(DecodeError::TooManyRoleGrants(count)) } else { Ok(()) }
            }
            &Message::MemberListPart { part, parts, ref members, .. }
                if part >= parts || members.len() > MAX_MEMBERS_PER_PART =>
            {
                Err(DecodeError::InvalidMemberListPart { part, parts, members: members.len() })
            }
            _ => Ok(()),
        }
    }
}

/// Checks that the voters are in order and within the limit, and that only the bootstrap view has none.
fn check_view(view: &View) -> Result<(), DecodeError> {
    let ordered = view.voters.windows(2).all(|pair| pair[0].ordinal < pair[1].ordinal);
    let none_only_in_bootstrap = view.voters.is_empty() == view.is_bootstrap();
    if ordered && none_only_in_bootstrap && view.voters.len() <= MAX_VOTERS {
        Ok(())
    } else {
        Err(DecodeError::InvalidView(view.epoch))
    }
}
