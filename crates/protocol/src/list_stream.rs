//! Discovery's lists read as a stream: bytes in, entries out one by one, so that a list of any size is never held as
//! text, and what a line said before it broke off is known.
//!
//! A list is an object whose `endpoints` hold one object for each server. The reader follows the nesting of the text
//! and hands each of those objects to the JSON library once it is whole; what is left of the list, its skeleton, is
//! read at its end.

use crate::config::Endpoint;

/// The longest entry, and the most that a list may hold beside its entries.
const ENTRY_MOST: usize = 8 * 1024;
const SKELETON_MOST: usize = 8 * 1024;
/// Levels of nesting.
const DEPTH_MOST: usize = 16;

/// What has been read.
#[derive(Debug)]
pub enum Piece {
    /// One entry of the list under way.
    Entry(Endpoint),
    /// The list under way is complete.
    List {
        /// Its version.
        index: u64,
        /// It is a whole list, not changes alone.
        snapshot: bool,
    },
    /// An empty line.
    Beat,
}

#[derive(miniserde::Deserialize)]
struct Skeleton {
    index: u64,
    snapshot: bool,
    // The entries have been taken out; that there were any, even none, must be said.
    #[allow(dead_code)]
    endpoints: Vec<bool>,
}

/// The state of reading. See the module's page.
#[derive(Default)]
pub struct ListReader {
    /// Each list is one line; else line ends are blanks.
    lines: bool,
    skeleton: Vec<u8>,
    entry: Vec<u8>,
    depth: usize,
    in_string: bool,
    escaped: bool,
    in_entries: bool,
    /// Something was read since the last line's end.
    any: bool,
}

impl ListReader {
    /// A reader of one list, or of one list a line.
    pub fn new(lines: bool) -> Self {
        ListReader { lines, ..ListReader::default() }
    }

    /// Whether the text so far ends within a list.
    pub fn midway(&self) -> bool {
        self.depth > 0
    }

    /// Reads on. `Err` tells what makes no sense; nothing can be read after it.
    pub fn feed(&mut self, bytes: &[u8], mut piece: impl FnMut(Piece)) -> Result<(), String> {
        for &byte in bytes {
            if let Some(read) = self.step(byte)? {
                piece(read);
            }
        }
        Ok(())
    }

    fn step(&mut self, byte: u8) -> Result<Option<Piece>, String> {
        if self.depth == 0 {
            return match byte {
                b'\n' => Ok((!std::mem::take(&mut self.any) && self.lines).then_some(Piece::Beat)),
                b'\r' | b' ' | b'\t' => Ok(None),
                b'{' if !self.any || !self.lines => {
                    (self.any, self.depth) = (true, 1);
                    self.skeleton.push(byte);
                    Ok(None)
                }
                _ => Err(format!("byte {byte:#04x} where a list or an empty line begins")),
            };
        }
        if byte == b'\n' && self.lines {
            return Err("a line that ends in the middle of a list".into());
        }
        let inside = self.in_entries && self.depth >= 3 || self.opens_entry(byte);
        let keep = if inside { &mut self.entry } else { &mut self.skeleton };
        let most = if inside { ENTRY_MOST } else { SKELETON_MOST };
        // Between entries, commas would be left without them, and blanks pile up.
        if !(self.in_entries && self.depth == 2 && matches!(byte, b',' | b' ' | b'\r' | b'\n' | b'\t')) {
            keep.push(byte);
        }
        if keep.len() > most {
            let what = if inside { "an entry" } else { "a list's head" };
            return Err(format!("{what} of more than {most} bytes"));
        }
        if self.in_string {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = true,
                b'"' => self.in_string = false,
                _ => {}
            }
            return Ok(None);
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => {
                self.depth += 1;
                if byte == b'[' && self.depth == 2 {
                    self.in_entries = self.names_entries();
                }
                if self.depth > DEPTH_MOST {
                    return Err(format!("more than {DEPTH_MOST} levels of nesting"));
                }
            }
            b'}' | b']' => return self.close(),
            _ => {}
        }
        Ok(None)
    }

    fn opens_entry(&self, byte: u8) -> bool {
        self.in_entries && self.depth == 2 && byte == b'{'
    }

    /// Whether the array that has just been opened is the one of the entries.
    fn names_entries(&self) -> bool {
        let head = self.skeleton.strip_suffix(b"[").unwrap_or_default().trim_ascii_end();
        let name = head.strip_suffix(b":").unwrap_or_default().trim_ascii_end();
        name.ends_with(b"\"endpoints\"")
    }

    fn close(&mut self) -> Result<Option<Piece>, String> {
        self.depth -= 1;
        match self.depth {
            2 if self.in_entries => {
                let entry = std::mem::take(&mut self.entry);
                let text = std::str::from_utf8(&entry).map_err(|_| "an entry that is not UTF-8")?;
                let read = miniserde::json::from_str(text);
                let read = read.map_err(|_| format!("an entry that is none: {text:.200}"))?;
                // Its room serves the next one.
                self.entry = entry;
                self.entry.clear();
                Ok(Some(Piece::Entry(read)))
            }
            1 => {
                self.in_entries = false;
                Ok(None)
            }
            0 => {
                let text = std::mem::take(&mut self.skeleton);
                let text = String::from_utf8(text).map_err(|_| "a list that is not UTF-8")?;
                let read = miniserde::json::from_str::<Skeleton>(&text);
                let Skeleton { index, snapshot, .. } =
                    read.map_err(|_| format!("a list without index, snapshot or endpoints: {text:.200}"))?;
                Ok(Some(Piece::List { index, snapshot }))
            }
            _ => Ok(None),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &[u8], lines: bool, step: usize) -> Result<Vec<String>, String> {
        let mut reader = ListReader::new(lines);
        let mut pieces = Vec::new();
        for part in text.chunks(step) {
            reader.feed(part, |piece| {
                pieces.push(match piece {
                    Piece::Entry(entry) => entry.name,
                    Piece::List { index, snapshot } => format!("{index} {snapshot}"),
                    Piece::Beat => "beat".into(),
                });
            })?;
        }
        if reader.midway() { Err("midway".into()) } else { Ok(pieces) }
    }

    const TWO: &str = r#"{"index":4,"note":{"a":[1,{"b":"}]"}]},"snapshot":true,"endpoints" : [
        {"name":"a\"{","address":"10.1.0.1:1","x":{"y":[{}]}}, {"name":"b","address":"z"}], "more":[{"name":"no"}]}"#;

    #[test]
    fn entries_and_lists_come_out_however_the_text_is_cut() {
        for step in [1, 2, 3, 7, 1_000] {
            assert_eq!(read(TWO.as_bytes(), false, step).expect("a list"), ["a\"{", "b", "4 true"]);
            let line = TWO.replace('\n', " ");
            let lines = format!("\n{line}\n\r\n{{\"index\":5,\"snapshot\":false,\"endpoints\":[]}}\n");
            let read = read(lines.as_bytes(), true, step).expect("lines");
            assert_eq!(read, ["beat", "a\"{", "b", "4 true", "beat", "5 false"]);
        }
    }

    #[test]
    fn what_makes_no_sense_is_an_error_that_says_so() {
        let cases = [
            ("hello", "where a list"),
            ("{\"index\":1,\n", "in the middle"),
            ("{\"index\":1}", "without index"),
            ("{\"index\":1,\"snapshot\":false,\"endpoints\":[{\"name\":3}]}", "an entry that is none"),
            ("{\"index\":1,\"snapshot\":false,\"endpoints\":[7]}", "without index"),
            ("{\"index\":1,\"snapshot\":false,\"endpoints\":[]} {}", "where a list"),
        ];
        for (text, why) in cases {
            let error = read(text.as_bytes(), true, 5).expect_err(text);
            assert!(error.contains(why), "{text}: {error}");
        }
        let long = format!("{{\"index\":1,\"endpoints\":[{{\"name\":\"{}", "x".repeat(ENTRY_MOST));
        assert!(read(long.as_bytes(), true, 512).expect_err("long").contains("more than"));
        assert!(read("[".repeat(50).as_bytes(), false, 9).is_err() && read(&[b'{'; 50], false, 9).is_err());
    }
}
