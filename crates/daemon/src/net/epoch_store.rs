//! The latest epoch that a process knows of, on disk, if operators give a directory for it. A cluster whose members were
//! all restarted bootstraps a later epoch than any that was stored, whatever their clocks say.
//!
//! There is one small file for each ordinal. It is replaced atomically, and synced before any message leaves that
//! depends on it. Two processes of one ordinal may share it: each takes in what the other wrote before it writes.

use brackenledge_leases::Epoch;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// Upper limit of the file's length in bytes.
const MAX_FILE_LENGTH: u64 = 256;

/// Why an epoch can't be restored or stored.
#[derive(Debug, thiserror::Error)]
pub enum EpochStoreError {
    /// The directory can't be created.
    #[error("{path}: {source}")]
    CreateDirectory { path: PathBuf, source: io::Error },
    /// The file can't be read, or holds something else.
    #[error("{path}: {source}; remove it only when no scheduler of the tier runs, or restore it")]
    Read { path: PathBuf, source: io::Error },
    /// The file can't be written.
    #[error("{path}: {source}")]
    Write { path: PathBuf, source: io::Error },
}

/// The file and the epoch in it.
pub struct EpochStore {
    file: PathBuf,
    stored: Epoch,
}

impl EpochStore {
    /// Reads the file of this ordinal. Creates the directory if it is missing.
    pub fn open(directory: &Path, ordinal: u16) -> Result<EpochStore, EpochStoreError> {
        std::fs::create_dir_all(directory)
            .map_err(|source| EpochStoreError::CreateDirectory { path: directory.to_owned(), source })?;
        let file = directory.join(format!("tier-{ordinal}.json"));
        let stored = read(&file).map_err(|source| EpochStoreError::Read { path: file.clone(), source })?;
        let mut store = EpochStore { file, stored: stored.unwrap_or_default() };
        // A directory that can't be written is found out now, not at the first change.
        store.write(store.stored)?;
        Ok(store)
    }

    /// The latest epoch in the file.
    pub fn stored(&self) -> Epoch {
        self.stored
    }

    /// Stores this epoch if it is later than the one in the file. It is on disk when this returns.
    pub fn store(&mut self, epoch: Epoch) -> Result<(), EpochStoreError> {
        if epoch <= self.stored {
            return Ok(());
        }
        let by_other_process = read(&self.file).ok().flatten().unwrap_or_default();
        self.write(epoch.max(by_other_process))
    }

    fn write(&mut self, epoch: Epoch) -> Result<(), EpochStoreError> {
        replace(&self.file, epoch)
            .map_err(|source| EpochStoreError::Write { path: self.file.clone(), source })?;
        self.stored = epoch;
        Ok(())
    }
}

/// Replaces the file atomically, and syncs it.
fn replace(file: &Path, epoch: Epoch) -> io::Result<()> {
    let directory = file.parent().unwrap_or(Path::new("."));
    let mut new = tempfile::NamedTempFile::new_in(directory)?;
    new.write_all(&serde_json::to_vec(&epoch)?)?;
    new.as_file().sync_all()?;
    new.persist(file).map_err(|error| error.error)?;
    // The name is on disk once its directory is.
    std::fs::File::open(directory)?.sync_all()
}

/// `None`: there is no file yet.
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
