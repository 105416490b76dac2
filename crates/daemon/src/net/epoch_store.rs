//! Persists the latest epoch that a process knows, if operators configure a state directory. It ensures that
//! a cluster whose members were all restarted bootstraps a later epoch than any stored one, regardless of the
//! members' clocks.
//!
//! There is one small file per ordinal. It is replaced atomically, and synced before any message is sent that
//! depends on it. Two processes with the same ordinal may share it: each reads what the other stored before
//! it writes.

use brackenledge_leases::Epoch;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// Maximum length of the file in bytes. A longer file is not an epoch file.
const MAX_FILE_LENGTH: u64 = 256;

/// Why an epoch can't be read or stored.
#[derive(Debug, thiserror::Error)]
pub enum EpochStoreError {
    /// The state directory can't be created.
    #[error("{path}: {source}")]
    CreateDirectory { path: PathBuf, source: io::Error },
    /// The file can't be read, or is not a valid epoch file.
    #[error("{path}: {source}; remove it only when no scheduler of the cluster is running, or restore it")]
    Read { path: PathBuf, source: io::Error },
    /// The file can't be written.
    #[error("{path}: {source}")]
    Write { path: PathBuf, source: io::Error },
}

/// The epoch file of one ordinal, and the last epoch that was read from it or written to it.
pub struct EpochStore {
    file: PathBuf,
    stored: Epoch,
}

impl EpochStore {
    /// Reads the file of this ordinal. Creates the directory and the file if they are missing.
    pub fn open(directory: &Path, ordinal: u16) -> Result<EpochStore, EpochStoreError> {
        std::fs::create_dir_all(directory)
            .map_err(|source| EpochStoreError::CreateDirectory { path: directory.to_owned(), source })?;
        let file = directory.join(format!("tier-{ordinal}.json"));
        let stored = read(&file).map_err(|source| EpochStoreError::Read { path: file.clone(), source })?;
        let mut store = EpochStore { file, stored: stored.unwrap_or_default() };
        // Writing now detects a directory without write access at the start rather than at the first change.
        store.write(store.stored)?;
        Ok(store)
    }

    /// The latest epoch that this process has read or stored.
    pub fn stored(&self) -> Epoch {
        self.stored
    }

    /// Stores the epoch if it is later than the stored one, and syncs it to disk before returning.
    pub fn store(&mut self, epoch: Epoch) -> Result<(), EpochStoreError> {
        if epoch <= self.stored {
            return Ok(());
        }
        let stored_by_other = read(&self.file).ok().flatten().unwrap_or_default();
        self.write(epoch.max(stored_by_other))
    }

    fn write(&mut self, epoch: Epoch) -> Result<(), EpochStoreError> {
        replace(&self.file, epoch)
            .map_err(|source| EpochStoreError::Write { path: self.file.clone(), source })?;
        self.stored = epoch;
        Ok(())
    }
}

/// Replaces the file atomically, and syncs the file and its directory.
fn replace(file: &Path, epoch: Epoch) -> io::Result<()> {
    let directory = file.parent().unwrap_or(Path::new("."));
    let mut new = tempfile::NamedTempFile::new_in(directory)?;
    new.write_all(&serde_json::to_vec(&epoch)?)?;
    new.as_file().sync_all()?;
    new.persist(file).map_err(|error| error.error)?;
    // The rename is durable only once the directory is synced.
    std::fs::File::open(directory)?.sync_all()
}

/// Reads the epoch from the file. Returns `None` if there is no file yet.
fn read(file: &Path) -> io::Result<Option<Epoch>> {
    match std::fs::metadata(file) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
        Ok(found) if found.len() > MAX_FILE_LENGTH => return Err(ErrorKind::InvalidData.into()),
        Ok(_) => {}
    }
    Ok(Some(serde_json::from_slice(&std::fs::read(file)?)?))
}

#[cfg(test)]
mod tests;
