//! Lines of nodes' logs, read back.

use std::collections::BTreeMap;

/// Longest line that is read; what a node writes is a tenth of it.
const MAX_LINE: usize = 16 << 10;

/// One line of a node's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Line {
    /// When it was written, by that node's clock.
    pub(crate) at: String,
    /// Name of the node.
    pub(crate) node: String,
    /// Name of the event.
    pub(crate) event: String,
    /// What the event tells.
    pub(crate) values: BTreeMap<String, String>,
}

impl Line {
    /// Reads a line; none when it is not one of a node's.
    ///
    /// What stands before the bracket is a collector's: its last word names the
    /// node, else `file` does.
    pub(crate) fn parse(text: &str, file: &str) -> Option<Self> {
        if text.len() > MAX_LINE {
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
            values: read_values(words),
        })
    }

    /// Gives a value, empty when the line has none of that name.
    pub(crate) fn get(&self, name: &str) -> &str {
        self.values.get(name).map_or("", String::as_str)
    }
}

/// Reads `name=value` words; a word without a name belongs to the value before it.
fn read_values<'a, I>(words: I) -> BTreeMap<String, String>
where
    I: Iterator<Item = &'a str>,
{
    let mut values = BTreeMap::<String, String>::new();
    let mut last = String::new();
    for word in words {
        let named = word.split_once('=').filter(|(name, _)| is_name(name));
        if let Some((name, value)) = named {
            name.clone_into(&mut last);
            values.insert(last.clone(), value.to_owned());
        } else if let Some(value) = values.get_mut(&last) {
            value.push(' ');
            value.push_str(word);
        }
    }
    values
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
}
