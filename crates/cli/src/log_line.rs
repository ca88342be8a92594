//! Parses lines of nodes' logs.

use std::collections::BTreeMap;

/// Maximum length of a line, in bytes; longer lines are skipped. The lines that nodes write are at
/// most a tenth of this.
const MAX_LINE_BYTES: usize = 16 << 10;

/// One line of a node's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LogLine {
    /// Time at which the line was written, by the clock of the node.
    pub(crate) at: String,
    /// Name of the node.
    pub(crate) node: String,
    /// Name of the event.
    pub(crate) event: String,
    /// Values of the event, by key.
    pub(crate) values: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line; returns `None` if it is not a log line of a node.
    ///
    /// Text before the first `[` comes from a log collector; the last word of that text is the name
    /// of the node. Without such text, the name of the node is `file`.
    pub(crate) fn parse(text: &str, file: &str) -> Option<Self> {
        if text.len() > MAX_LINE_BYTES {
            return None;
        }
        let (before, rest) = text.split_once('[')?;
        let (head, rest) = rest.split_once("] ")?;
        let at = head.split_whitespace().next()?;
        if !at.starts_with(|first: char| first.is_ascii_digit()) {
            return None;
        }
        let mut words = rest.split(' ');
        let event = words.next().filter(|event| !event.is_empty())?;
        let node = before.split_whitespace().last().unwrap_or(file);
        Some(Self {
            at: at.to_owned(),
            node: node.to_owned(),
            event: event.to_owned(),
            values: parse_values(words),
        })
    }

    /// Returns the value of a key, or an empty text if the line does not have the key.
    pub(crate) fn get(&self, key: &str) -> &str {
        self.values.get(key).map_or("", String::as_str)
    }
}

/// Parses `key=value` words; a word without a key continues the value before it.
fn parse_values<'a, I>(words: I) -> BTreeMap<String, String>
where
    I: Iterator<Item = &'a str>,
{
    let mut values = BTreeMap::<String, String>::new();
    let mut last_key = String::new();
    for word in words {
        let pair = word.split_once('=').filter(|(key, _)| is_key(key));
        if let Some((key, value)) = pair {
            key.clone_into(&mut last_key);
            values.insert(last_key.clone(), value.to_owned());
        } else if let Some(value) = values.get_mut(&last_key) {
            value.push(' ');
            value.push_str(word);
        }
    }
    values
}

fn is_key(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
}
