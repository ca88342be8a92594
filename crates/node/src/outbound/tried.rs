//! The endpoints that a call has been sent to.

use policy::balance::Key;

/// The endpoints that a call has been sent to.
#[derive(Debug, Default)]
pub(crate) struct TriedEndpoints {
    keys: Vec<Key>,
    /// The endpoints that refused the call because they were full.
    full: Vec<Key>,
}

impl TriedEndpoints {
    pub(crate) fn keys(&self) -> &[Key] {
        &self.keys
    }

    pub(crate) fn count(&self) -> u8 {
        u8::try_from(self.keys.len()).unwrap_or(u8::MAX)
    }

    pub(crate) fn add(&mut self, key: Key) {
        self.keys.push(key);
    }

    /// Records that an endpoint was full.
    pub(crate) fn mark_full(&mut self, key: Key) {
        self.full.push(key);
    }

    /// Allows endpoints that were full to be tried again; returns whether there are any.
    ///
    /// Guards against failing a call that a backend server could run: one endpoint is full, and the
    /// attempt at another one gets no response. By the time that the missing response is detected,
    /// about a second later, the first endpoint has capacity again.
    pub(crate) fn readmit_full(&mut self) -> bool {
        let full = std::mem::take(&mut self.full);
        self.keys.retain(|key| !full.contains(key));
        !full.is_empty()
    }
}
