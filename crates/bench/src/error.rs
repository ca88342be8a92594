//! The error type of the bench.

use quick_error::quick_error;
use std::io;
use std::path::PathBuf;

quick_error! {
    /// Why an experiment failed to run.
    #[derive(Debug)]
    pub enum Error {
        /// A file or socket operation failed.
        Io(source: io::Error) {
            from()
            display("{}", source)
            source(source)
        }
        /// A program under test does not exist at its expected path.
        ProgramNotFound(program: PathBuf) {
            display("{} does not exist: run `cargo build --release --workspace` first", program.display())
        }
        /// An HTTP connection failed, or a response was invalid or incomplete.
        Http(source: hyper::Error) {
            from()
            display("http: {}", source)
            source(source)
        }
        /// A request could not be built.
        Request(source: http::Error) {
            from()
            display("request: {}", source)
            source(source)
        }
        /// A link to a node failed.
        Wire(source: wire::Error) {
            from()
            display("link: {}", source)
            source(source)
        }
        /// A call was not answered, or an awaited condition not met, within the time limit.
        Timeout(what: String) {
            display("timed out: {}", what)
        }
        /// A program, the platform or a library returned an unexpected result.
        Unexpected(what: String) {
            display("{}", what)
        }
    }
}
