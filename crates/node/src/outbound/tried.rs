//! The backend servers that a call has been to.

use policy::balance::Key;

/// The backend servers that a call has been to.
#[derive(Debug, Default)]
pub(crate) struct TriedEndpoints {
    all: Vec<Key>,
    /// Those of them that had no room, and have not seen the call.
    full: Vec<Key>,
}

impl TriedEndpoints {
    pub(crate) fn keys(&self) -> &[Key] {
        &self.all
    }

    pub(crate) fn count(&self) -> u8 {
        u8::try_from(self.all.len()).unwrap_or(u8::MAX)
    }

    pub(crate) fn add(&mut self, key: Key) {
        self.all.push(key);
    }

    /// Notes that one had no room.
    pub(crate) fn mark_full(&mut self, key: Key) {
        self.full.push(key);
    }

    /// Lets those that had no room be asked again; tells whether there are any.
    ///
    /// Guards against a call that ends without an answer although a backend
    /// server could run it: its first try falls silent, and by the time that
    /// shows, a second or so later, the one that was full has room again.
    pub(crate) fn readmit_full(&mut self) -> bool {
        let full = std::mem::take(&mut self.full);
        self.all.retain(|key| !full.contains(key));
        !full.is_empty()
    }
}
