//! The workers that take new jobs.

use crate::units::WorkerId;

/// The ready workers in the order of their ids, and their names' hashes beside them. Both vectors have the same length,
/// and the cost of a change does not depend on the other workers' state.
#[derive(Default)]
pub(crate) struct ReadyWorkers {
    /// Their ids, ascending.
    pub(crate) ids: Vec<WorkerId>,
    /// Their names' hashes, in the same order.
    pub(crate) name_hashes: Vec<u64>,
}

impl ReadyWorkers {
    /// Adds or removes a worker.
    pub(crate) fn set(&mut self, id: WorkerId, name_hash: u64, ready: bool) {
        match (self.ids.binary_search(&id), ready) {
            (Ok(index), true) => self.name_hashes[index] = name_hash,
            (Err(index), true) => {
                self.ids.insert(index, id);
                self.name_hashes.insert(index, name_hash);
            }
            (Ok(index), false) => {
                self.ids.remove(index);
                self.name_hashes.remove(index);
            }
            (Err(_), false) => {}
        }
    }
}
