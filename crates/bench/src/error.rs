//! Why a run can't be made.

use quick_error::quick_error;
use std::io;
use std::path::PathBuf;

quick_error! {
    /// Why a run can't be made.
    #[derive(Debug)]
    pub enum Error {
        /// A file or socket failed.
        Io(source: io::Error) {
            from()
            display("{}", source)
            source(source)
        }
        /// A program is not where it is looked for.
        ProgramNotFound(program: PathBuf) {
            display("{} is not there: run `cargo build --release --workspace` first", program.display())
        }
        /// A call failed below HTTP.
        Http(source: hyper::Error) {
            from()
            display("http: {}", source)
            source(source)
        }
        /// A request could not be put together.
        Request(source: http::Error) {
            from()
            display("request: {}", source)
            source(source)
        }
        /// A link between nodes failed.
        Wire(source: wire::Error) {
            from()
            display("link: {}", source)
            source(source)
        }
        /// Something did not come about in time.
        Timeout(what: String) {
            display("timed out: {}", what)
        }
        /// A program answered what it should not.
        Unexpected(what: String) {
            display("{}", what)
        }
    }
}
