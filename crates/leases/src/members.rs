//! A set of processes with at most one process for each ordinal.

use crate::ProcessId;
use std::collections::BTreeMap;

/// A set of processes, ordered by ordinal. It contains at most one process of each ordinal, the one inserted
/// last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Members {
    /// Incarnation of each process by its ordinal.
    incarnations: BTreeMap<u16, u64>,
}

impl Members {
    /// Number of processes.
    pub fn len(&self) -> usize {
        self.incarnations.len()
    }

    /// Whether there is no process.
    pub fn is_empty(&self) -> bool {
        self.incarnations.is_empty()
    }

    /// Whether the set contains this process. Another incarnation of the same ordinal does not count.
    pub fn contains(&self, process: ProcessId) -> bool {
        self.incarnations.get(&process.ordinal) == Some(&process.incarnation)
    }

    /// The process with this ordinal, whichever its incarnation. `None` if the set has none.
    pub fn get(&self, ordinal: u16) -> Option<ProcessId> {
        self.incarnations.get(&ordinal).map(|&incarnation| ProcessId { ordinal, incarnation })
    }

    /// Iterates over the processes in ascending order of their ordinals.
    pub fn iter(&self) -> impl Iterator<Item = ProcessId> {
        self.incarnations.iter().map(|(&ordinal, &incarnation)| ProcessId { ordinal, incarnation })
    }

    /// Iterates over the ordinals in ascending order.
    pub fn ordinals(&self) -> impl Iterator<Item = u16> {
        self.incarnations.keys().copied()
    }

    /// Inserts a process, and replaces any other process of the same ordinal.
    pub fn insert(&mut self, process: ProcessId) {
        self.incarnations.insert(process.ordinal, process.incarnation);
    }

    /// Removes this process. Has no effect if the set contains another incarnation of the same ordinal.
    pub fn remove(&mut self, process: ProcessId) {
        if self.contains(process) {
            self.incarnations.remove(&process.ordinal);
        }
    }

    /// Removes all processes for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(ProcessId) -> bool) {
        self.incarnations.retain(|&ordinal, &mut incarnation| keep(ProcessId { ordinal, incarnation }));
    }

    /// Removes all processes.
    pub fn clear(&mut self) {
        self.incarnations.clear();
    }
}

impl Extend<ProcessId> for Members {
    fn extend<I: IntoIterator<Item = ProcessId>>(&mut self, processes: I) {
        processes.into_iter().for_each(|process| self.insert(process));
    }
}

impl FromIterator<ProcessId> for Members {
    fn from_iter<I: IntoIterator<Item = ProcessId>>(processes: I) -> Members {
        let mut members = Members::default();
        members.extend(processes);
        members
    }
}
