//! Errors of calls to the platform.

use quick_error::quick_error;
use std::time::Duration;

quick_error! {
    /// Error of a call to the platform.
    ///
    /// After [`Error::Unknown`] a write may or may not have taken effect; after any other error
    /// it has not.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The object already exists, or is not at the expected revision.
        Conflict {
            display("the object already exists or is not at the expected revision")
        }
        /// The object does not exist.
        NotFound {
            display("the object does not exist")
        }
        /// The requested events, records or revision are no longer available; a watch has to
        /// start from a new list.
        Gone {
            display("the requested state is no longer available on the platform")
        }
        /// The platform's rate limit is exceeded.
        Busy(retry_after: Duration) {
            display(
                "the platform's rate limit is exceeded; retry in {} ms",
                retry_after.as_millis()
            )
        }
        /// The value exceeds the platform's size limit.
        TooLarge {
            display("the value exceeds the platform's size limit")
        }
        /// The name or the value is invalid.
        Invalid(reason: String) {
            display("invalid object: {}", reason)
        }
        /// The platform can't be reached; the call had no effect.
        Unavailable(reason: String) {
            display("the platform can't be reached: {}", reason)
        }
        /// The response was lost; a write may have taken effect, or may still do so.
        Unknown(reason: String) {
            display("the platform's response was lost: {}", reason)
        }
    }
}

impl Error {
    /// Returns whether a write that failed with this error may have taken effect.
    #[must_use]
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// Returns whether the same call may succeed later.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Busy(_) | Self::Unavailable(_) | Self::Unknown(_)
        )
    }
}
