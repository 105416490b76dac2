//! A streaming parser of discovery's endpoint lists. It yields entries one by one, so that the text of a long
//! list is never held as a whole, and the entries before an interruption are not lost.
//!
//! A list is an object whose `endpoints` array holds one object for each worker. The reader tracks the
//! nesting of the text and parses each of those objects as JSON once it is complete. The rest of the list,
//! its envelope, is parsed at the end of the list.

use crate::config::Endpoint;

/// Limit of an entry's text, in bytes.
const MAX_ENTRY_BYTES: usize = 8 * 1024;
/// Limit of the text of a list without its entries, in bytes.
const MAX_ENVELOPE_BYTES: usize = 8 * 1024;
/// Limit of the nesting of objects and arrays, in levels.
const MAX_DEPTH: usize = 16;
/// Nesting level within the list's object.
const LIST_DEPTH: usize = 1;
/// Nesting level within the array of entries.
const ENTRIES_DEPTH: usize = 2;

/// How lists are delimited in a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListFraming {
    /// The stream is one list, in which line ends are white space: the response to a poll.
    #[default]
    SingleList,
    /// Each line is a list, or is empty as a keep-alive: the response to a watch.
    ListPerLine,
}

/// A completely received part of the stream.
#[derive(Debug)]
pub enum ListItem {
    /// One entry of the current list.
    Entry(Endpoint),
    /// The end of the current list.
    List {
        /// The list's revision.
        index: u64,
        /// Whether the list names all endpoints; otherwise it names only those that changed.
        snapshot: bool,
    },
    /// An empty line, which discovery sends to keep a watch alive.
    KeepAlive,
}

/// Why a stream can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// A byte outside a list that can't start a list or be part of an empty line.
    #[error("unexpected byte {0:#04x} where a list or an empty line should begin")]
    UnexpectedByte(u8),
    /// A line ended before its list was complete.
    #[error("a line ended in the middle of a list")]
    IncompleteLine,
    /// An entry is longer than this limit, in bytes.
    #[error("an entry is longer than {0} bytes")]
    EntryTooLong(usize),
    /// The envelope is longer than this limit, in bytes.
    #[error("a list without its entries is longer than {0} bytes")]
    EnvelopeTooLong(usize),
    /// Objects and arrays are nested deeper than this limit, in levels.
    #[error("a list is nested more than {0} levels deep")]
    TooDeep(usize),
    /// An entry is not UTF-8.
    #[error("an entry is not UTF-8")]
    EntryNotUtf8,
    /// An entry is invalid JSON, lacks a field, or has a field of the wrong type.
    #[error("an entry is invalid JSON, or a field is missing or has the wrong type: {0:.200}")]
    InvalidEntry(String),
    /// An envelope is not UTF-8.
    #[error("a list is not UTF-8")]
    EnvelopeNotUtf8,
    /// An envelope is invalid JSON, lacks a field, or has a field of the wrong type.
    #[error("a list has no valid index, snapshot or endpoints: {0:.200}")]
    InvalidEnvelope(String),
}

#[derive(miniserde::Deserialize)]
struct Envelope {
    index: u64,
    snapshot: bool,
    // The entries are parsed separately and are not in this text, but the array must be there, even if empty.
    #[allow(dead_code)]
    endpoints: Vec<bool>,
}

/// A parser of one stream of lists. It must not be used after an error.
#[derive(Default)]
pub struct ListReader {
    framing: ListFraming,
    envelope: Vec<u8>,
    entry: Vec<u8>,
    depth: usize,
    in_string: bool,
    escaped: bool,
    in_entries: bool,
    /// A list has begun since the last line end.
    line_has_list: bool,
}

impl ListReader {
    /// A reader at the start of a stream.
    pub fn new(framing: ListFraming) -> Self {
        ListReader { framing, ..ListReader::default() }
    }

    fn ends_lists_with_lines(&self) -> bool {
        self.framing == ListFraming::ListPerLine
    }

    /// Whether the input so far ends within a list.
    pub fn is_mid_list(&self) -> bool {
        self.depth > 0
    }

    /// Parses the next bytes of the stream; `on_item` is called for each item that they complete.
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

    /// Parses a byte within a list.
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
        // The entries are taken out of the envelope: separators between them would make it invalid JSON and
        // let it grow.
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

    /// Handles the start of an object or an array.
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

    /// Whether the array that has just started is the value of `endpoints`.
    fn is_entries_array(&self) -> bool {
        let head = self.envelope.strip_suffix(b"[").unwrap_or_default().trim_ascii_end();
        let name = head.strip_suffix(b":").unwrap_or_default().trim_ascii_end();
        name.ends_with(b"\"endpoints\"")
    }

    /// Handles the end of an object or an array, which may complete an entry or the list.
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
        // Clearing keeps the capacity for the next entry.
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
