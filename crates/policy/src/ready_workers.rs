//! The set of workers that take new jobs.

use crate::units::WorkerId;

/// The ready workers, sorted by id, with the hashes of their names. Both vectors have the same length. The
/// cost of a change does not depend on the state of the other workers.
#[derive(Default)]
pub(crate) struct ReadyWorkers {
    /// Ascending.
    pub(crate) ids: Vec<WorkerId>,
    /// In the order of `ids`.
    pub(crate) name_hashes: Vec<u64>,
}

impl ReadyWorkers {
    /// Adds a worker if it is ready, removes it otherwise.
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
