//! Errors of sending and receiving frames.

use quick_error::quick_error;
use std::io;

quick_error! {
    /// Error of sending or receiving a frame.
    #[derive(Debug)]
    pub enum Error {
        /// The link failed.
        Io(source: io::Error) {
            from()
            display("link: {}", source)
            source(source)
        }
        /// A frame, or a configuration in chunks, exceeds its size limit.
        TooLong(length: usize) {
            display("frame of {} bytes is over the limit of {}", length, crate::codec::MAX_FRAME_BYTES)
        }
        /// The bytes are not a valid frame of this protocol.
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
