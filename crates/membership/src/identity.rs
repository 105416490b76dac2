//! The identity of a process, and of a member as SWIM knows it.

use foca::Identity;
use serde::{Deserialize, Serialize};

/// A process: a scheduler's ordinal and its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The scheduler's index in the settings.
    pub ordinal: u16,
    /// Its start in Unix milliseconds; a later one under the same ordinal supersedes it.
    pub incarnation: u64,
}

/// The identity by which other members know a process. One that was declared down by mistake renews it to rejoin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberIdentity {
    pub process: ProcessId,
    /// How often the process has renewed its identity.
    pub renewals: u16,
}

impl MemberIdentity {
    /// The first identity of a process.
    pub fn new(process: ProcessId) -> MemberIdentity {
        MemberIdentity { process, renewals: 0 }
    }

    /// The address of a scheduler whose incarnation is not known: older than that of any process.
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
