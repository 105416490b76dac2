//! Output of the state machine: messages to send, changes of role leases, and events for the log.

use crate::{Epoch, Message, ProcessId, Role, Term, View};

/// An instruction to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Send a message to one scheduler.
    Send {
        /// Ordinal of the receiver.
        to: u16,
        /// Never larger than [`crate::MAX_MESSAGE_LENGTH`] when encoded.
        message: Message,
    },
    /// Send a message to all other schedulers.
    Broadcast(Message),
    /// This process has acquired or lost a role lease.
    RoleLeaseChanged {
        /// Role of the lease.
        role: Role,
        /// Term of the lease that is held now. `None`: the lease was released or has expired.
        term: Option<Term>,
    },
    /// Write an event to the log.
    Event(Event),
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A view without a leader was abandoned, because too few of its voters are alive to elect one.
    ViewAbandoned {
        /// Epoch of the abandoned view.
        epoch: Epoch,
        /// Number of its voters that are alive; fewer than a majority.
        live_voters: usize,
    },
    /// This process entered a later view that another process announced.
    ViewEntered(View),
    /// This process proposed the next view, and a majority of the voters accepted it.
    ViewChosen(View),
    /// This process became the leader of the view of this epoch.
    LeadershipAcquired(Epoch),
    /// This process is no longer the leader.
    LeadershipLost(LeadershipLoss),
    /// Another process has announced itself as the leader.
    LeaderChanged(ProcessId),
    /// This process, as the leader, granted a role to a new holder.
    RoleLeaseGranted {
        /// The role.
        role: Role,
        /// Term of the grant.
        term: Term,
        /// The new holder.
        holder: ProcessId,
    },
    /// A holder gave a role lease back to this process, which is the leader.
    RoleLeaseReleased {
        /// The role, which is free now.
        role: Role,
        /// The process that held it.
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

/// Why a process is no longer the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeadershipLoss {
    /// Its lease was not renewed in time.
    LeaseExpired,
    /// The named process was elected under a later ballot.
    LaterBallot(ProcessId),
}
