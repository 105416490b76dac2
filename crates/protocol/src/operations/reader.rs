//! Reads the operators' file entry by entry and locates errors in it.

use crate::ConfigError;
use std::ops::RangeInclusive;
use std::path::Path;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// The file's path and text.
#[derive(Clone, Copy)]
pub(super) struct Source<'a> {
    pub path: &'a Path,
    pub text: &'a str,
}

impl<'a> Source<'a> {
    /// The line of a byte offset, from 1.
    pub fn line_at(&self, offset: usize) -> usize {
        self.text[..offset.min(self.text.len())].matches('\n').count() + 1
    }

    /// The line where a table begins; 1 if it is not found.
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

/// A key of a table with its value.
pub(super) struct Entry<'a> {
    pub source: Source<'a>,
    pub table: &'a str,
    pub key: &'a str,
    /// Byte offset of the key.
    pub key_offset: usize,
    pub value: &'a Spanned<DeValue<'a>>,
}

impl Entry<'_> {
    /// The key's line, from 1.
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

    /// The value, if it is a list of strings.
    pub fn strings(&self) -> Option<Vec<String>> {
        let DeValue::Array(items) = self.value.get_ref() else { return None };
        let string = |item: &Spanned<DeValue>| match item.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => None,
        };
        items.iter().map(string).collect()
    }
}

/// A key that a section knows.
pub(super) struct Key<Section> {
    pub name: &'static str,
    /// What a right value is, as the error for a wrong one says it.
    pub remedy: &'static str,
    /// Sets the section's field; `None` if the value is of a wrong type or out of range.
    pub set: fn(&mut Section, &Entry) -> Option<()>,
}

/// Sets the field of a section that an entry is for.
pub(super) fn set_field<Section>(
    section: &mut Section,
    keys: &[Key<Section>],
    entry: &Entry,
) -> Result<(), ConfigError> {
    let Some(key) = keys.iter().find(|key| key.name == entry.key) else {
        return Err(ConfigError::UnknownKey {
            file: entry.source.path.to_owned(),
            line: entry.line(),
            table: entry.table.to_owned(),
            key: entry.key.to_owned(),
            known: keys.iter().map(|key| key.name).collect(),
        });
    };
    (key.set)(section, entry).ok_or_else(|| ConfigError::InvalidValue {
        file: entry.source.path.to_owned(),
        line: entry.source.line_at(entry.value.span().start),
        table: entry.table.to_owned(),
        key: key.name,
        remedy: key.remedy,
    })
}
