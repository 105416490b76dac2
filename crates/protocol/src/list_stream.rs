//! A streaming parser of discovery's endpoint lists: bytes in, entries out one by one, so that a list of any size is
//! never held as text, and the entries of a line that broke off are known.
//!
//! A list is an object whose `endpoints` array holds one object for each worker. The reader follows the nesting of the
//! text and hands each of those objects to the JSON library once it is complete; the rest of the list, its envelope, is
//! parsed at its end.

use crate::config::Endpoint;

/// Limit of an entry, in bytes.
const MAX_ENTRY_BYTES: usize = 8 * 1024;
/// Limit of what a list holds beside its entries, in bytes.
const MAX_ENVELOPE_BYTES: usize = 8 * 1024;
/// Limit of the nesting, in levels.
const MAX_DEPTH: usize = 16;
/// Depth inside the list's object.
const LIST_DEPTH: usize = 1;
/// Depth inside the array of entries.
const ENTRIES_DEPTH: usize = 2;

/// Where lists begin and end in a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListFraming {
    /// One list, whose line ends are blanks: the response to a poll.
    #[default]
    SingleList,
    /// One list a line, between empty lines that keep the connection alive: a watch.
    ListPerLine,
}

/// A part of the stream that is complete.
#[derive(Debug)]
pub enum ListItem {
    /// One entry of the list in progress.
    Entry(Endpoint),
    /// The list in progress is complete.
    List {
        /// Its revision.
        index: u64,
        /// Whether it names all endpoints, rather than changes alone.
        snapshot: bool,
    },
    /// An empty line.
    KeepAlive,
}

/// Why a stream can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// Something else than a list or an empty line.
    #[error("byte {0:#04x} where a list or an empty line begins")]
    UnexpectedByte(u8),
    /// A line ended before its list was complete.
    #[error("a line that ends in the middle of a list")]
    IncompleteLine,
    /// An entry is longer than this limit, in bytes.
    #[error("an entry of more than {0} bytes")]
    EntryTooLong(usize),
    /// The envelope is longer than this limit, in bytes.
    #[error("a list's head of more than {0} bytes")]
    EnvelopeTooLong(usize),
    /// The text is nested deeper than this limit.
    #[error("more than {0} levels of nesting")]
    TooDeep(usize),
    /// An entry is not UTF-8.
    #[error("an entry that is not UTF-8")]
    EntryNotUtf8,
    /// An entry lacks a field, or one has a wrong type.
    #[error("an entry that is none: {0:.200}")]
    InvalidEntry(String),
    /// An envelope is not UTF-8.
    #[error("a list that is not UTF-8")]
    EnvelopeNotUtf8,
    /// An envelope lacks a field, or one has a wrong type.
    #[error("a list without index, snapshot or endpoints: {0:.200}")]
    InvalidEnvelope(String),
}

#[derive(miniserde::Deserialize)]
struct Envelope {
    index: u64,
    snapshot: bool,
    // The entries have been taken out; the array, even an empty one, must be there.
    #[allow(dead_code)]
    endpoints: Vec<bool>,
}

/// A parser of one stream of lists. After an error it can't be used any more.
#[derive(Default)]
pub struct ListReader {
    framing: ListFraming,
    envelope: Vec<u8>,
    entry: Vec<u8>,
    depth: usize,
    in_string: bool,
    escaped: bool,
    in_entries: bool,
    /// A list has begun since the last line's end.
    line_has_list: bool,
}

impl ListReader {
    /// A reader of a stream with such framing.
    pub fn new(framing: ListFraming) -> Self {
        ListReader { framing, ..ListReader::default() }
    }

    fn ends_lists_with_lines(&self) -> bool {
        self.framing == ListFraming::ListPerLine
    }

    /// Whether the text so far ends within a list.
    pub fn is_mid_list(&self) -> bool {
        self.depth > 0
    }

    /// Parses more of the stream; `on_item` gets each part that is complete.
    pub fn feed(&mut self, bytes: &[u8], mut on_item: impl FnMut(ListItem)) -> Result<(), ListError> {
        for &byte in bytes {
            let item = if self.depth == 0 { self.step_between_lists(byte)? } else { self.step(byte)? };
            if let Some(item) = item {
                on_item(item);
            }
        }
        Ok(())
    }

    /// Parses a byte outside all lists.
    fn step_between_lists(&mut self, byte: u8) -> Result<Option<ListItem>, ListError> {
        match byte {
            b'\n' => {
                let line_was_empty = !std::mem::take(&mut self.line_has_list);
                Ok((line_was_empty && self.ends_lists_with_lines()).then_some(ListItem::KeepAlive))
            }
            b'\r' | b' ' | b'\t' => Ok(None),
            b'{' if !self.line_has_list || !self.ends_lists_with_lines() => {
                self.line_has_list = true;
                self.depth = LIST_DEPTH;
                self.envelope.push(byte);
                Ok(None)
            }
            _ => Err(ListError::UnexpectedByte(byte)),
        }
    }

    /// Parses a byte of a list.
    fn step(&mut self, byte: u8) -> Result<Option<ListItem>, ListError> {
        if byte == b'\n' && self.ends_lists_with_lines() {
            return Err(ListError::IncompleteLine);
        }
        self.store(byte)?;
        if self.in_string {
            self.step_in_string(byte);
            return Ok(None);
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.open(byte)?,
            b'}' | b']' => return self.close(),
            _ => {}
        }
        Ok(None)
    }

    /// Appends a byte to the entry or the envelope that it belongs to.
    fn store(&mut self, byte: u8) -> Result<(), ListError> {
        let in_entry = self.in_entries && self.depth > ENTRIES_DEPTH || self.opens_entry(byte);
        if in_entry {
            self.entry.push(byte);
            return if self.entry.len() > MAX_ENTRY_BYTES {
                Err(ListError::EntryTooLong(MAX_ENTRY_BYTES))
            } else {
                Ok(())
            };
        }
        // Between entries, commas would be left without them, and blanks pile up.
        let is_separator = matches!(byte, b',' | b' ' | b'\r' | b'\n' | b'\t');
        if !(self.in_entries && self.depth == ENTRIES_DEPTH && is_separator) {
            self.envelope.push(byte);
        }
        if self.envelope.len() > MAX_ENVELOPE_BYTES {
            return Err(ListError::EnvelopeTooLong(MAX_ENVELOPE_BYTES));
        }
        Ok(())
    }

    fn step_in_string(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
    }

    fn opens_entry(&self, byte: u8) -> bool {
        self.in_entries && self.depth == ENTRIES_DEPTH && byte == b'{'
    }

    /// Enters an object or an array.
    fn open(&mut self, byte: u8) -> Result<(), ListError> {
        self.depth += 1;
        if byte == b'[' && self.depth == ENTRIES_DEPTH {
            self.in_entries = self.is_entries_array();
        }
        if self.depth > MAX_DEPTH {
            return Err(ListError::TooDeep(MAX_DEPTH));
        }
        Ok(())
    }

    /// Whether the array that has just been opened is the one of the entries.
    fn is_entries_array(&self) -> bool {
        let head = self.envelope.strip_suffix(b"[").unwrap_or_default().trim_ascii_end();
        let name = head.strip_suffix(b":").unwrap_or_default().trim_ascii_end();
        name.ends_with(b"\"endpoints\"")
    }

    /// Leaves an object or an array; an entry or a list may be complete with it.
    fn close(&mut self) -> Result<Option<ListItem>, ListError> {
        self.depth -= 1;
        match self.depth {
            ENTRIES_DEPTH if self.in_entries => self.parse_entry().map(Some),
            LIST_DEPTH => {
                self.in_entries = false;
                Ok(None)
            }
            0 => self.parse_envelope().map(Some),
            _ => Ok(None),
        }
    }

    fn parse_entry(&mut self) -> Result<ListItem, ListError> {
        let text = std::str::from_utf8(&self.entry).map_err(|_| ListError::EntryNotUtf8)?;
        let entry = miniserde::json::from_str(text).map_err(|_| ListError::InvalidEntry(text.to_owned()))?;
        // Its capacity serves the next one.
        self.entry.clear();
        Ok(ListItem::Entry(entry))
    }

    fn parse_envelope(&mut self) -> Result<ListItem, ListError> {
        let text = std::mem::take(&mut self.envelope);
        let text = String::from_utf8(text).map_err(|_| ListError::EnvelopeNotUtf8)?;
        match miniserde::json::from_str(&text) {
            Ok(Envelope { index, snapshot, .. }) => Ok(ListItem::List { index, snapshot }),
            Err(_) => Err(ListError::InvalidEnvelope(text)),
        }
    }
}

#[cfg(test)]
mod tests;
