//! Messages between the processes of a cluster, and their encoding: `postcard`, at most [`MAX_MESSAGE_LENGTH`] bytes, so
//! that a datagram of 256 bytes has room for one more that tells its kind.
//!
//! `postcard` writes variants and fields by their position: their order is part of the wire format.

use crate::{Ballot, Epoch, Micros, ProcessId, Role, Term, View};
use serde::{Deserialize, Serialize};

/// Upper limit of an encoded message in bytes.
pub const MAX_MESSAGE_LENGTH: usize = 255;
/// Upper limit of a view's voters.
pub(crate) const MAX_VOTERS: usize = 5;
/// Upper limit of the members in one part of a member list: eleven bytes each at most.
pub(crate) const MAX_MEMBERS_PER_PART: usize = 18;
/// Upper limit of the role grants in one message: some thirty bytes each at most.
pub(crate) const MAX_ROLE_GRANTS: usize = 4;

/// A message between two processes of a cluster. The table on the crate's page says what happens to each if it is lost,
/// repeated or late.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Message {
    /// A process without a view looks for one, and tells the latest epoch that it knows of.
    JoinRequest { from: ProcessId, latest_epoch: Epoch },
    /// Paxos phase 1: a candidate asks a voter whether the leader's lease is free, and not to accept lower ballots.
    Prepare { from: ProcessId, epoch: Epoch, ballot: Ballot },
    /// The lease is free, and the voter promises. With the next view that it has accepted, if any.
    Promise { from: ProcessId, epoch: Epoch, ballot: Ballot, accepted: Option<AcceptedView> },
    /// The lease is taken for so long, or a later ballot has been promised.
    Reject { from: ProcessId, epoch: Epoch, promised: Ballot, lease_remaining: Micros },
    /// A candidate, or the leader, asks for the leader's lease from now on.
    LeaseRequest { from: ProcessId, epoch: Epoch, ballot: Ballot, requested_at: Micros },
    /// The voter has granted it.
    LeaseGrant { from: ProcessId, epoch: Epoch, ballot: Ballot, requested_at: Micros },
    /// Paxos phase 2: the leader proposes the next view.
    Accept { from: ProcessId, epoch: Epoch, ballot: Ballot, next_view: View },
    /// The voter has accepted it.
    Accepted { from: ProcessId, epoch: Epoch, ballot: Ballot },
    /// The leader gives its lease back.
    LeaseRelease { from: ProcessId, epoch: Epoch, ballot: Ballot },
    /// The view, its leader with its ballot, and the holders of roles.
    ViewUpdate {
        from: ProcessId,
        view: View,
        leader: Option<ProcessId>,
        ballot: Ballot,
        role_grants: Vec<RoleGrant>,
    },
    /// A part of the leader's member list.
    MemberListPart { from: ProcessId, term: Term, part: u8, parts: u8, members: Vec<ProcessId> },
    /// A process asks for a role lease, or to renew it.
    RoleLeaseRequest { from: ProcessId, role: Role, requested_at: Micros },
    /// It holds the lease for so long from its request.
    RoleLeaseGrant { from: ProcessId, role: Role, term: Term, requested_at: Micros, duration: Micros },
    /// The holder gives the lease back.
    RoleLeaseRelease { from: ProcessId, role: Role, term: Term },
    /// A process asks not to be left out of the member list for a while.
    MemberLeaseRequest { from: ProcessId, requested_at: Micros },
    /// It will not be, for so long from its request.
    MemberLeaseGrant { from: ProcessId, requested_at: Micros, duration: Micros },
    /// It leaves, and may be left out of the member list at once.
    MemberLeaseRelease { from: ProcessId },
}

/// A next view that a voter has accepted, and the ballot under which it was proposed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AcceptedView {
    /// Ballot of the proposal.
    pub ballot: Ballot,
    /// The view.
    pub view: View,
}

/// A role lease that the leader has granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RoleGrant {
    /// The role.
    pub role: Role,
    /// Term of the lease.
    pub term: Term,
    /// Its holder.
    pub holder: ProcessId,
}

/// Why bytes are not a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// No message is so long.
    #[error("{0} bytes are more than {MAX_MESSAGE_LENGTH}")]
    TooLong(usize),
    /// The bytes do not encode a message.
    #[error("the bytes encode no message")]
    Encoding(#[from] postcard::Error),
    /// Bytes follow the message.
    #[error("{0} bytes follow the message")]
    TrailingBytes(usize),
    /// A view's voters are too many, not in order, or missing.
    #[error("the view of epoch {0} has impossible voters")]
    InvalidView(Epoch),
    /// More role grants than a message may have.
    #[error("{0} role grants are more than {MAX_ROLE_GRANTS}")]
    TooManyRoleGrants(usize),
    /// A part of a member list that is too large, or whose number is not below that of all parts.
    #[error("part {part} of {parts} with {members} members is no part of a member list")]
    #[allow(missing_docs)]
    InvalidMemberListPart { part: u8, parts: u8, members: usize },
}

impl Message {
    /// The sender.
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

    /// The message's bytes. Whoever makes a message keeps its lists within their limits.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes bytes that are one message and nothing else, and checks the limits that receivers rely on.
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

/// Voters are ordered and no more than the limit; only the bootstrap view has none.
fn check_view(view: &View) -> Result<(), DecodeError> {
    let ordered = view.voters.windows(2).all(|pair| pair[0].ordinal < pair[1].ordinal);
    let named = view.voters.is_empty() == view.is_bootstrap();
    if ordered && named && view.voters.len() <= MAX_VOTERS {
        Ok(())
    } else {
        Err(DecodeError::InvalidView(view.epoch))
    }
}
