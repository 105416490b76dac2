//! The epoch file: a stored epoch is read back, errors name the file, and its name and format are fixed.

use super::*;

fn epoch(era: u32, number: u32) -> Epoch {
    Epoch { era, number }
}

#[test]
fn latest_epoch_is_read_back_whichever_process_stored_it() {
    let directory = tempfile::tempdir().expect("a directory");
    let at = directory.path().join("new");
    let mut one = EpochStore::open(&at, 3).expect("the directory is created");
    assert_eq!(one.stored(), Epoch::default());
    one.store(epoch(7, 2)).expect("stored");
    // Two processes with the same ordinal share the file, and the latest epoch of the two is kept.
    let mut two = EpochStore::open(&at, 3).expect("the file is shared");
    assert_eq!(two.stored(), epoch(7, 2));
    two.store(epoch(9, 1)).expect("stored");
    one.store(epoch(8, 1)).expect("stored");
    one.store(epoch(5, 5)).expect("an older epoch is ignored");
    assert_eq!(EpochStore::open(&at, 3).expect("the file is valid").stored(), epoch(9, 1));
    assert_eq!(
        EpochStore::open(&at, 4).expect("the other ordinal has its own file").stored(),
        Epoch::default()
    );
}

#[test]
fn read_and_write_errors_name_the_file_and_a_remedy() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("tier-0.json");
    for text in ["", "{\"era\":1", "[1,2,3]", &"x".repeat(10_000)] {
        std::fs::write(&file, text).expect("written");
        let error = EpochStore::open(directory.path(), 0).err().expect("the file is invalid");
        assert!(
            error.to_string().contains("tier-0.json: ") && error.to_string().contains("remove it only when"),
            "{error}"
        );
    }
    let error = EpochStore::open(&file, 0).err().expect("the path is not a directory");
    assert!(error.to_string().contains("tier-0.json"), "{error}");
}

/// A scheduler must be able to read the file that an earlier version stored, so its name and format must not
/// change.
#[test]
fn file_name_and_format_are_fixed() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = EpochStore::open(directory.path(), 12).expect("it opens");
    store.store(epoch(7, 2)).expect("stored");
    let names: Vec<_> = std::fs::read_dir(directory.path())
        .expect("a directory")
        .map(|entry| entry.expect("an entry").file_name())
        .collect();
    assert_eq!(names, ["tier-12.json"]);
    let text = std::fs::read_to_string(directory.path().join("tier-12.json")).expect("a file");
    assert_eq!(text, r#"{"era":7,"number":2}"#);
    std::fs::write(directory.path().join("tier-13.json"), r#"{"era":7,"number":2}"#).expect("written");
    assert_eq!(EpochStore::open(directory.path(), 13).expect("it is read").stored(), epoch(7, 2));
}
