//! Output of the state machine: messages to send, changes of role leases, and events for the log.

use crate::{Epoch, Message, ProcessId, Role, Term, View};

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Send a message to one scheduler.
    Send {
        /// Its ordinal.
        to: u16,
        /// The message.
        message: Message,
    },
    /// Send a message to all other schedulers.
    Broadcast(Message),
    /// This process has acquired a role lease, or has lost it (`None`).
    RoleLeaseChanged {
        /// The role.
        role: Role,
        /// The term of the lease that is held now.
        term: Option<Term>,
    },
    /// Something happened that operators want to see in the log.
    Event(Event),
}

/// What operators see in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A view without a leader was abandoned, since too few of its voters are alive to elect one.
    ViewAbandoned {
        /// The view's epoch.
        epoch: Epoch,
        /// How many of its voters are alive.
        live_voters: usize,
    },
    /// Another process told of a later view.
    ViewEntered(View),
    /// This process, as proposer, saw the next view chosen.
    ViewChosen(View),
    /// This process was elected leader.
    LeadershipAcquired(Epoch),
    /// This process is the leader no longer.
    LeadershipLost(LeadershipLoss),
    /// Another process is the leader now.
    LeaderChanged(ProcessId),
    /// This process, as the leader, granted a role to a new holder.
    RoleLeaseGranted {
        /// The role.
        role: Role,
        /// Term of the grant.
        term: Term,
        /// To whom.
        holder: ProcessId,
    },
    /// A holder gave a role lease back to this process, which is the leader.
    RoleLeaseReleased {
        /// The role.
        role: Role,
        /// The holder until now.
        holder: ProcessId,
    },
    /// This process holds a role lease under a new term.
    RoleLeaseAcquired {
        /// The role.
        role: Role,
        /// Term of the lease.
        term: Term,
    },
    /// A role lease of this process expired.
    RoleLeaseExpired(Role),
}

/// Why a process is the leader no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeadershipLoss {
    /// Its lease was not renewed in time.
    LeaseExpired,
    /// Another leader was elected under a later ballot.
    LaterBallot(ProcessId),
}
