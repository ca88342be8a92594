//! Errors in settings files.

use quick_error::quick_error;
use std::fmt;
use std::io;

/// An error in a settings file, with its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Line number in the file, starting at 1.
    pub line: usize,
    /// What is wrong, and what a valid value looks like.
    pub message: String,
}

quick_error! {
    /// Why settings could not be loaded.
    #[derive(Debug)]
    pub enum Error {
        /// The file could not be read.
        Unreadable(file: String, source: io::Error) {
            display("{}: can't be read: {}", file, source)
            source(source)
        }
        /// The file has errors; all of them are listed.
        Invalid(file: String, diagnostics: Vec<Diagnostic>) {
            display("{}", DiagnosticList(file, diagnostics))
        }
    }
}

/// Formats diagnostics as compilers do: `file:line: message`, one per line.
struct DiagnosticList<'a>(&'a str, &'a [Diagnostic]);

impl fmt::Display for DiagnosticList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.1.iter().enumerate() {
            let newline = if index == 0 { "" } else { "\n" };
            write!(
                f,
                "{newline}{}:{}: {}",
                self.0, diagnostic.line, diagnostic.message
            )?;
        }
        Ok(())
    }
}
