//! The file of the latest epoch: what is stored is read again, and errors name the file.

use super::*;

fn epoch(era: u32, number: u32) -> Epoch {
    Epoch { era, number }
}

#[test]
fn the_latest_epoch_is_read_again_whichever_process_stored_it() {
    let directory = tempfile::tempdir().expect("a directory");
    let at = directory.path().join("new");
    let mut one = EpochStore::open(&at, 3).expect("it is made");
    assert_eq!(one.stored(), Epoch::default());
    one.store(epoch(7, 2)).expect("stored");
    // A second process of the same ordinal, and an older epoch from it.
    let mut two = EpochStore::open(&at, 3).expect("shared");
    assert_eq!(two.stored(), epoch(7, 2));
    two.store(epoch(9, 1)).expect("stored");
    one.store(epoch(8, 1)).expect("stored");
    one.store(epoch(5, 5)).expect("older: nothing to do");
    assert_eq!(EpochStore::open(&at, 3).expect("again").stored(), epoch(9, 1));
    assert_eq!(EpochStore::open(&at, 4).expect("another's").stored(), Epoch::default());
}

#[test]
fn what_cannot_be_read_or_written_is_an_error_with_its_path_and_a_remedy() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("tier-0.json");
    for text in ["", "{\"era\":1", "[1,2,3]", &"x".repeat(10_000)] {
        std::fs::write(&file, text).expect("written");
        let error = EpochStore::open(directory.path(), 0).err().expect("it is no state");
        assert!(
            error.to_string().contains("tier-0.json: ") && error.to_string().contains("remove it only when"),
            "{error}"
        );
    }
    let error = EpochStore::open(&file, 0).err().expect("no directory");
    assert!(error.to_string().contains("tier-0.json"), "{error}");
}

/// An upgraded scheduler must read what the one before it stored: neither the name nor the text may change.
#[test]
fn the_file_has_this_name_and_text_and_a_file_of_that_text_is_read() {
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
