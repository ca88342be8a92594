//! What can go wrong with the platform.

use quick_error::quick_error;
use std::time::Duration;

quick_error! {
    /// What can go wrong with a call to the platform.
    ///
    /// Only [`Error::Unknown`] leaves open whether a write took effect; with
    /// all others it surely did not.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The object already stands, or not at the expected revision.
        Conflict {
            display("the object is not as expected")
        }
        /// There is no such object.
        NotFound {
            display("no such object")
        }
        /// The watch starts too far back; list again.
        Gone {
            display("the platform no longer holds the events asked for")
        }
        /// Over the platform's rate.
        Busy(retry_after: Duration) {
            display("over the platform's rate, come back in {} ms", retry_after.as_millis())
        }
        /// The value is over the platform's limit.
        TooLarge {
            display("the value is over the platform's limit")
        }
        /// The name or the value can't be sent.
        Invalid(why: String) {
            display("not a valid object: {}", why)
        }
        /// The platform can't be reached; the call surely took no effect.
        Unavailable(why: String) {
            display("the platform can't be reached: {}", why)
        }
        /// The answer was lost; a write may have taken effect, or may do so still.
        Unknown(why: String) {
            display("the platform's answer was lost: {}", why)
        }
    }
}

impl Error {
    /// Tells whether a write that ended so may have taken effect.
    #[must_use]
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// Tells whether the same call may fare better later.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Busy(_) | Self::Unavailable(_) | Self::Unknown(_)
        )
    }
}
