//! Reads single entries of the operators' file, and locates errors in the file.

use crate::ConfigError;
use std::ops::RangeInclusive;
use std::path::Path;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// The operators' file: its path and text.
#[derive(Clone, Copy)]
pub(super) struct Source<'a> {
    pub path: &'a Path,
    pub text: &'a str,
}

impl<'a> Source<'a> {
    /// The line number of a byte offset, from 1.
    pub fn line_at(&self, offset: usize) -> usize {
        self.text[..offset.min(self.text.len())].matches('\n').count() + 1
    }

    /// The line number of a table's header, from 1; 1 if there is no such header.
    pub fn line_of_table(&self, table: &str) -> usize {
        self.line_at(self.text.find(&format!("[{table}]")).unwrap_or(0))
    }

    /// Parses the text as TOML.
    pub fn parse(&self) -> Result<Spanned<DeTable<'a>>, ConfigError> {
        DeTable::parse(self.text).map_err(|error| ConfigError::InvalidToml {
            file: self.path.to_owned(),
            line: self.line_at(error.span().map_or(0, |span| span.start)),
            message: error.message().to_owned(),
        })
    }
}

/// A key of a table, with its value.
pub(super) struct Entry<'a> {
    pub source: Source<'a>,
    pub table_name: &'a str,
    pub key: &'a str,
    /// Byte offset of the key.
    pub key_offset: usize,
    pub value: &'a Spanned<DeValue<'a>>,
}

impl Entry<'_> {
    /// The line number of the key, from 1.
    pub fn line(&self) -> usize {
        self.source.line_at(self.key_offset)
    }

    /// The value, if it is a boolean.
    pub fn boolean(&self) -> Option<bool> {
        match self.value.get_ref() {
            DeValue::Boolean(value) => Some(*value),
            _ => None,
        }
    }

    /// The value, if it is an integer in this range.
    pub fn number(&self, range: RangeInclusive<f64>) -> Option<f64> {
        let DeValue::Integer(integer) = self.value.get_ref() else { return None };
        let number = integer.as_str().replace('_', "").parse().ok()?;
        range.contains(&number).then_some(number)
    }

    /// The value, if it is a string that is not empty.
    pub fn string(&self) -> Option<&str> {
        match self.value.get_ref() {
            DeValue::String(text) if !text.is_empty() => Some(text),
            _ => None,
        }
    }

    /// The value, if it is an array of strings.
    pub fn strings(&self) -> Option<Vec<String>> {
        let DeValue::Array(items) = self.value.get_ref() else { return None };
        let string = |item: &Spanned<DeValue>| match item.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => None,
        };
        items.iter().map(string).collect()
    }
}

/// A key of a table whose options are an `Options`.
pub(super) struct Key<Options> {
    pub name: &'static str,
    /// Type and range of a valid value, as the error for an invalid one states them.
    pub expected: &'static str,
    /// Sets the option; `None` if the value has the wrong type or is out of range.
    pub set: fn(&mut Options, &Entry) -> Option<()>,
}

/// Sets the option that an entry is for. `keys`: all keys of the entry's table.
pub(super) fn set_field<Options>(
    options: &mut Options,
    keys: &[Key<Options>],
    entry: &Entry,
) -> Result<(), ConfigError> {
    let Some(key) = keys.iter().find(|key| key.name == entry.key) else {
        return Err(ConfigError::UnknownKey {
            file: entry.source.path.to_owned(),
            line: entry.line(),
            table: entry.table_name.to_owned(),
            key: entry.key.to_owned(),
            known: keys.iter().map(|key| key.name).collect(),
        });
    };
    (key.set)(options, entry).ok_or_else(|| ConfigError::InvalidValue {
        file: entry.source.path.to_owned(),
        line: entry.source.line_at(entry.value.span().start),
        table: entry.table_name.to_owned(),
        key: key.name,
        expected: key.expected,
    })
}
