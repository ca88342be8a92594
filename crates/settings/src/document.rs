//! A parsed INI text: entries with line numbers, and the errors found in it.

use crate::error::{Diagnostic, Error};
use crate::table::Key;
use crate::value::{ParseError, Value};
use ini::{Ini, ParseOption};
use std::path::Path;

/// A `key = value` line.
#[derive(Debug)]
struct Entry {
    line: usize,
    section: String,
    key: String,
    value: String,
}

/// A parsed INI text and the diagnostics collected for it.
#[derive(Debug)]
pub struct Document {
    entries: Vec<Entry>,
    /// Names and lines of the section headers.
    sections: Vec<(String, usize)>,
    diagnostics: Vec<Diagnostic>,
    last_line: usize,
}

impl Document {
    /// Parses `text` and checks its sections and keys against the settings table `keys`.
    #[must_use]
    pub fn new(text: &str, keys: &[Key]) -> Self {
        let mut document = Self {
            entries: Vec::new(),
            sections: Vec::new(),
            diagnostics: Vec::new(),
            last_line: text.lines().count().max(1),
        };
        for (index, line) in text.lines().enumerate() {
            document.add_line(index + 1, line.trim(), keys);
        }
        document
    }

    /// Parses one line. The INI library gets one line at a time, because it does not report line
    /// numbers.
    fn add_line(&mut self, line: usize, text: &str, keys: &[Key]) {
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let Ok(parsed) = Ini::load_from_str_opt(text, option) else {
            let message = "neither a [section], a key = value nor a # comment on its own line";
            self.add_diagnostic(line, message.to_owned());
            return;
        };
        for (section, properties) in &parsed {
            if let Some(name) = section {
                self.add_section(line, name, keys);
            }
            for (key, value) in properties {
                self.add_entry(line, key, value.trim(), keys);
            }
        }
    }

    fn add_section(&mut self, line: usize, name: &str, keys: &[Key]) {
        self.sections.push((name.to_owned(), line));
        if !keys.iter().any(|key| key.section == name) {
            let known = join_unique(keys.iter().map(|key| key.section));
            self.add_diagnostic(line, format!("[{name}]: unknown section; known: {known}"));
        }
    }

    fn add_entry(&mut self, line: usize, key: &str, value: &str, keys: &[Key]) {
        let Some((section, _)) = self.sections.last().cloned() else {
            self.add_diagnostic(line, format!("{key}: stands before the first [section]"));
            return;
        };
        if !keys.iter().any(|known| known.section == section) {
            return;
        }
        if !keys.iter().any(|known| known.matches(&section, key)) {
            let of_section = keys.iter().filter(|known| known.section == section);
            let known = join_unique(of_section.map(|known| known.name));
            let message = format!("[{section}] {key}: unknown key; known here: {known}");
            self.add_diagnostic(line, message);
            return;
        }
        let first_line = self.find(&section, key).map(|entry| entry.line);
        if let Some(first_line) = first_line {
            let message = format!("[{section}] {key}: already set on line {first_line}; keep one");
            self.add_diagnostic(line, message);
            return;
        }
        self.entries.push(Entry {
            line,
            section,
            key: key.to_owned(),
            value: value.to_owned(),
        });
    }

    /// Parses the value of a key, or the key's default if the text does not set the key. If the
    /// value is invalid, or missing without a default, adds a diagnostic and returns `None`.
    pub fn read<T>(&mut self, key: &Key) -> Option<T>
    where
        T: Value,
    {
        let label = format!("[{}] {}", key.section, key.name);
        let Some(entry) = self.find(key.section, key.name) else {
            let Some(default) = key.default else {
                let message = format!("{label}: missing; add {} = {}", key.name, T::EXPECTED);
                self.add_diagnostic(self.line_of_section(key.section), message);
                return None;
            };
            return T::parse(default).ok();
        };
        let (line, value) = (entry.line, &entry.value);
        let message = match T::parse(value) {
            Ok(value) => return Some(value),
            Err(ParseError::Malformed) if key.secret => format!("{label}: want {}", T::EXPECTED),
            Err(ParseError::Malformed) => format!("{label}: \"{value}\" is not {}", T::EXPECTED),
            Err(ParseError::Zero) => {
                format!(
                    "{label}: \"{value}\" is zero, which would stop all work; want {}",
                    T::EXPECTED
                )
            }
        };
        self.add_diagnostic(line, message);
        None
    }

    /// Returns the line that sets a key, or else the line of the section's header, or else the last
    /// line.
    #[must_use]
    pub fn line_of(&self, section: &str, key: &str) -> usize {
        self.find(section, key)
            .map_or_else(|| self.line_of_section(section), |entry| entry.line)
    }

    /// Records an error at a line, so that `finish` fails.
    pub fn add_diagnostic(&mut self, line: usize, message: String) {
        self.diagnostics.push(Diagnostic { line, message });
    }

    /// Returns the settings if there are no diagnostics. `file` is the name of the text in errors.
    ///
    /// # Errors
    ///
    /// When there are diagnostics; the error lists all of them, sorted by line.
    pub fn finish<T>(mut self, settings: Option<T>, file: &str) -> Result<T, Error> {
        self.diagnostics.sort_by_key(|diagnostic| diagnostic.line);
        match settings {
            Some(settings) if self.diagnostics.is_empty() => Ok(settings),
            _ => Err(Error::Invalid(file.to_owned(), self.diagnostics)),
        }
    }

    fn find(&self, section: &str, key: &str) -> Option<&Entry> {
        self.entries
            .iter()
            .find(|entry| entry.section == section && entry.key == key)
    }

    fn line_of_section(&self, section: &str) -> usize {
        self.sections
            .iter()
            .find(|(name, _)| name == section)
            .map_or(self.last_line, |(_, line)| *line)
    }
}

/// Joins the names with commas, in order of first occurrence and without duplicates.
fn join_unique<'a, I>(names: I) -> String
where
    I: Iterator<Item = &'a str>,
{
    let mut unique = Vec::new();
    for name in names {
        if !unique.contains(&name) {
            unique.push(name);
        }
    }
    unique.join(", ")
}

/// Reads a file. Returns its text, and its name for error messages.
pub(crate) fn read_file(path: &Path) -> Result<(String, String), Error> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((text, file)),
        Err(source) => Err(Error::Unreadable(file, source)),
    }
}
