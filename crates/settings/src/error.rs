//! What is wrong with a settings file.

use quick_error::quick_error;
use std::fmt;
use std::io;

/// One thing that is wrong, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Line of the file, from 1.
    pub line: usize,
    /// What is wrong, and what would be right.
    pub message: String,
}

quick_error! {
    /// Why settings can't be used.
    #[derive(Debug)]
    pub enum Error {
        /// The file can't be read.
        Unreadable(file: String, source: io::Error) {
            display("{}: can't be read: {}", file, source)
            source(source)
        }
        /// The file says something wrong; all of it is listed.
        Invalid(file: String, diagnostics: Vec<Diagnostic>) {
            display("{}", Listing(file, diagnostics))
        }
    }
}

/// Faults as compilers print them, one a line.
struct Listing<'a>(&'a str, &'a [Diagnostic]);

impl fmt::Display for Listing<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.1.iter().enumerate() {
            let newline = if index == 0 { "" } else { "\n" };
            write!(f, "{newline}{}:{}: {}", self.0, fault.line, fault.message)?;
        }
        Ok(())
    }
}
