//! Why a patch or a configuration is refused.

use quick_error::quick_error;

quick_error! {
    /// Why a patch or a configuration is refused.
    #[derive(Debug)]
    pub enum Error {
        /// A line of a patch file is not a change.
        Syntax(line: usize, source: serde_json::Error) {
            display("line {}: not a change: {}", line, source)
            source(source)
        }
    }
}
