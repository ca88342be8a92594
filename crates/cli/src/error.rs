//! Why a verb can't do its work.

use crate::exit::Exit;
use config::Version;
use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;

quick_error! {
    /// Why a verb can't do its work.
    #[derive(Debug)]
    pub enum Error {
        /// The settings file is wrong.
        Settings(source: settings::Error) {
            from()
            display("{}", source)
            source(source)
        }
        /// Flags and settings lack something, or contradict each other.
        Usage(what: &'static str) {
            display("{}", what)
        }
        /// A file can't be read.
        File(name: String, source: io::Error) {
            display("{}: can't be read: {}", name, source)
            source(source)
        }
        /// A patch breaks a rule.
        Patch(name: String, source: config::Error) {
            display("{}: {}", name, source)
            source(source)
        }
        /// The platform did not answer as it should.
        Platform(source: store::Error) {
            from()
            display("{}", source)
            source(source)
        }
        /// There is no such version yet.
        NoSuchVersion(version: Version, last: Version) {
            display("there is no version {} yet; the last one is {}", version, last)
        }
        /// The version's record has been removed.
        Removed(version: Version, oldest: Version) {
            display("version {} is no longer kept; the oldest that can be shown is {}", version, oldest)
        }
        /// No node of that name answered.
        NoSuchNode(name: String) {
            display("none of the nodes that answered is named {:?}; name it by the address of its operators' listener, or add that with --node", name)
        }
        /// No line of the logs is about the call.
        NoSuchCall(id: String, lines: usize) {
            display("none of the {} lines read is about call {:?}; calls that were answered in time leave no line", lines, id)
        }
        /// A node did not answer.
        Node(address: SocketAddr, why: String) {
            display("node at {}: {}", address, why)
        }
    }
}

impl Error {
    /// Gives the code that the program ends with.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Settings(_) | Self::Usage(_) | Self::File(..) | Self::Patch(..) => Exit::Usage,
            Self::Platform(_)
            | Self::NoSuchVersion(..)
            | Self::Removed(..)
            | Self::NoSuchNode(_)
            | Self::NoSuchCall(..)
            | Self::Node(..) => Exit::Failed,
        }
    }
}
