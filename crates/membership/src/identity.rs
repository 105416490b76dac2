//! The identity of a process, and the identity under which it takes part in SWIM.

use foca::Identity;
use serde::{Deserialize, Serialize};

/// Identifies one run of a scheduler: its ordinal and its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// Index of the scheduler in the settings.
    pub ordinal: u16,
    /// Start time of the process in Unix milliseconds. A process with the same ordinal and a later start
    /// supersedes it.
    pub incarnation: u64,
}

/// The identity by which other members know a process. A process that was wrongly declared down renews it to
/// rejoin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberIdentity {
    pub process: ProcessId,
    /// How many times the process has renewed its identity.
    pub renewals: u16,
}

impl MemberIdentity {
    /// The first identity of a process.
    pub fn new(process: ProcessId) -> MemberIdentity {
        MemberIdentity { process, renewals: 0 }
    }

    /// Addresses a scheduler whose incarnation is not known. It is older than every process of that ordinal.
    pub fn unknown_incarnation(ordinal: u16) -> MemberIdentity {
        MemberIdentity::new(ProcessId { ordinal, incarnation: 0 })
    }
}

impl Identity for MemberIdentity {
    type Addr = u16;

    fn renew(&self) -> Option<MemberIdentity> {
        Some(MemberIdentity { renewals: self.renewals.checked_add(1)?, ..*self })
    }

    fn addr(&self) -> u16 {
        self.process.ordinal
    }

    fn win_addr_conflict(&self, other: &MemberIdentity) -> bool {
        (self.process.incarnation, self.renewals) > (other.process.incarnation, other.renewals)
    }
}
