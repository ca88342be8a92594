//! What can go wrong with frames.

use quick_error::quick_error;
use std::io;

quick_error! {
    /// What can go wrong with frames.
    #[derive(Debug)]
    pub enum Error {
        /// The link failed.
        Io(source: io::Error) {
            from()
            display("link: {}", source)
            source(source)
        }
        /// The peer announced a frame over the limit.
        TooLong(length: usize) {
            display("frame of {} bytes is over the limit of {}", length, crate::codec::MAX_FRAME)
        }
        /// The bytes are no frame of this protocol.
        Malformed(source: postcard::Error) {
            from()
            display("not a frame: {}", source)
            source(source)
        }
        /// The peer speaks another version of the protocol.
        Protocol(theirs: u16) {
            display("peer speaks protocol {}, this node speaks {}", theirs, crate::PROTOCOL_VERSION)
        }
    }
}
