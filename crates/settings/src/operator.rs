//! Settings of `bluebellpick`, the operators' command line.

use crate::document::{Document, read_file};
use crate::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

crate::table! {
    /// Settings of the command line; its flags override them.
    pub struct Settings {
        /// Address of the platform's object API.
        [operator] platform: Option<SocketAddr> = "";
        /// Operators' listeners of the nodes to ask.
        [operator] nodes: Vec<SocketAddr> = "";
        /// File that holds the token of operators' writes.
        [operator] token_file: Option<PathBuf> = "";
        /// Longest wait for a node's or the platform's answer.
        [operator] timeout: Duration = "5 s";
    }
}

impl Settings {
    /// Reads the settings file at `path`.
    ///
    /// # Errors
    ///
    /// When the file can't be read or has errors, which are all listed, sorted by line.
    pub fn open<P>(path: P) -> Result<Self, Error>
    where
        P: AsRef<Path>,
    {
        let (text, file) = read_file(path.as_ref())?;
        Self::parse(&text, &file)
    }

    /// Parses settings from `text`. `file` is the name of the text in error messages.
    ///
    /// # Errors
    ///
    /// When the text has errors, which are all listed, sorted by line.
    pub fn parse(text: &str, file: &str) -> Result<Self, Error> {
        let mut document = Document::new(text, Self::KEYS);
        let settings = Self::read(&mut document);
        document.finish(settings, file)
    }
}
