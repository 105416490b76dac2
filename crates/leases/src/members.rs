//! Processes of a cluster, of which one ordinal has one at most.

use crate::ProcessId;
use std::collections::BTreeMap;

/// A set of processes in the order of their ordinals. Of each ordinal it has one process: the one inserted last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Members {
    /// By ordinal.
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

    /// Whether this very process is in the set: another incarnation of its ordinal is not the same.
    pub fn contains(&self, process: ProcessId) -> bool {
        self.incarnations.get(&process.ordinal) == Some(&process.incarnation)
    }

    /// The process of an ordinal.
    pub fn get(&self, ordinal: u16) -> Option<ProcessId> {
        self.incarnations.get(&ordinal).map(|&incarnation| ProcessId { ordinal, incarnation })
    }

    /// The processes, in the order of their ordinals.
    pub fn iter(&self) -> impl Iterator<Item = ProcessId> {
        self.incarnations.iter().map(|(&ordinal, &incarnation)| ProcessId { ordinal, incarnation })
    }

    /// The ordinals, in their order.
    pub fn ordinals(&self) -> impl Iterator<Item = u16> {
        self.incarnations.keys().copied()
    }

    /// Inserts a process in place of any other of its ordinal.
    pub fn insert(&mut self, process: ProcessId) {
        self.incarnations.insert(process.ordinal, process.incarnation);
    }

    /// Removes this very process, if it is in the set.
    pub fn remove(&mut self, process: ProcessId) {
        if self.contains(process) {
            self.incarnations.remove(&process.ordinal);
        }
    }

    /// Removes the processes for which `keep` is false.
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
