//! What one process of the tier remembers on disk, where the operators give a directory for that: the latest epoch it
//! has heard of. A tier whose members all forgot begins a later one than any of them remembers, whatever their clocks say.
//!
//! One small file for each scheduler's number, replaced whole and synced before any message leaves that could rest on it.
//! Two processes under one number may share it: each takes in what the other wrote before it writes.

use brackenledge_leases::Epoch;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// The longest file that could be one of ours.
const SIZE_MOST: u64 = 256;

/// The file, and what it holds.
pub struct EpochStore {
    file: PathBuf,
    kept: Epoch,
}

impl EpochStore {
    /// Reads what was kept; the directory is made if it is missing.
    pub fn open(directory: &Path, ordinal: u32) -> Result<EpochStore, String> {
        std::fs::create_dir_all(directory).map_err(|error| format!("{}: {error}", directory.display()))?;
        let file = directory.join(format!("tier-{ordinal}.json"));
        let kept = read(&file).map_err(|error| {
            format!(
                "{}: {error}; remove it only when no scheduler of the tier runs, or restore it",
                file.display()
            )
        })?;
        let mut state = EpochStore { file, kept: kept.unwrap_or_default() };
        // A directory that can't be written is found out now, not at the first change.
        state.write(state.kept).map_err(|error| format!("{}: {error}", state.file.display()))?;
        Ok(state)
    }

    /// The latest epoch kept.
    pub fn kept(&self) -> Epoch {
        self.kept
    }

    /// Keeps this epoch, if it is later than the one kept: it is on disk when this returns.
    pub fn keep(&mut self, epoch: Epoch) -> io::Result<()> {
        if epoch <= self.kept {
            return Ok(());
        }
        let other = read(&self.file).ok().flatten().unwrap_or_default();
        self.write(epoch.max(other))
    }

    fn write(&mut self, epoch: Epoch) -> io::Result<()> {
        let directory = self.file.parent().unwrap_or(Path::new("."));
        let mut new = tempfile::NamedTempFile::new_in(directory)?;
        new.write_all(&serde_json::to_vec(&epoch)?)?;
        new.as_file().sync_all()?;
        new.persist(&self.file).map_err(|error| error.error)?;
        // The name is on disk once its directory is.
        std::fs::File::open(directory)?.sync_all()?;
        self.kept = epoch;
        Ok(())
    }
}

/// `None`: there is no file yet.
fn read(file: &Path) -> io::Result<Option<Epoch>> {
    match std::fs::metadata(file) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
        Ok(found) if found.len() > SIZE_MOST => return Err(ErrorKind::InvalidData.into()),
        Ok(_) => {}
    }
    Ok(Some(serde_json::from_slice(&std::fs::read(file)?)?))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn epoch(era: u32, number: u32) -> Epoch {
        Epoch { era, number }
    }

    #[test]
    fn the_latest_epoch_is_there_again_whoever_wrote_it() {
        let directory = tempfile::tempdir().expect("a directory");
        let at = directory.path().join("new");
        let mut one = EpochStore::open(&at, 3).expect("it is made");
        assert_eq!(one.kept(), Epoch::default());
        one.keep(epoch(7, 2)).expect("kept");
        // A second process under the same number, and an older word of it.
        let mut two = EpochStore::open(&at, 3).expect("shared");
        assert_eq!(two.kept(), epoch(7, 2));
        two.keep(epoch(9, 1)).expect("kept");
        one.keep(epoch(8, 1)).expect("kept");
        one.keep(epoch(5, 5)).expect("older: nothing to do");
        assert_eq!(EpochStore::open(&at, 3).expect("again").kept(), epoch(9, 1));
        assert_eq!(EpochStore::open(&at, 4).expect("another's").kept(), Epoch::default());
    }

    #[test]
    fn what_cannot_be_read_or_written_is_told_with_its_name_and_a_remedy() {
        let directory = tempfile::tempdir().expect("a directory");
        let file = directory.path().join("tier-0.json");
        for text in ["", "{\"era\":1", "[1,2,3]", &"x".repeat(10_000)] {
            std::fs::write(&file, text).expect("written");
            let error = EpochStore::open(directory.path(), 0).err().expect("it is no state");
            assert!(error.contains("tier-0.json: ") && error.contains("remove it only when"), "{error}");
        }
        let error = EpochStore::open(&file, 0).err().expect("no directory");
        assert!(error.contains("tier-0.json"), "{error}");
    }

    /// An upgraded scheduler must read what the one before it kept: neither the name nor the text may change.
    #[test]
    fn the_file_has_this_name_and_text_and_a_file_of_that_text_is_read() {
        let directory = tempfile::tempdir().expect("a directory");
        let mut state = EpochStore::open(directory.path(), 12).expect("it opens");
        state.keep(epoch(7, 2)).expect("kept");
        let names: Vec<_> = std::fs::read_dir(directory.path())
            .expect("a directory")
            .map(|entry| entry.expect("an entry").file_name())
            .collect();
        assert_eq!(names, ["tier-12.json"]);
        let text = std::fs::read_to_string(directory.path().join("tier-12.json")).expect("a file");
        assert_eq!(text, r#"{"era":7,"number":2}"#);
        std::fs::write(directory.path().join("tier-13.json"), r#"{"era":7,"number":2}"#).expect("written");
        assert_eq!(EpochStore::open(directory.path(), 13).expect("it is read").kept(), epoch(7, 2));
    }
}
