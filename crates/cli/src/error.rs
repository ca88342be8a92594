//! Errors of the command line's verbs.

use crate::exit::Exit;
use config::Version;
use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;

quick_error! {
    /// Why a verb failed.
    #[derive(Debug)]
    pub enum Error {
        /// The settings file is invalid.
        Settings(source: settings::Error) {
            from()
            display("{}", source)
            source(source)
        }
        /// Flags and settings are incomplete, or contradict each other.
        Usage(what: &'static str) {
            display("{}", what)
        }
        /// A file could not be read.
        File(name: String, source: io::Error) {
            display("{}: can't be read: {}", name, source)
            source(source)
        }
        /// A patch is invalid.
        Patch(name: String, source: config::Error) {
            display("{}: {}", name, source)
            source(source)
        }
        /// A request to the platform failed.
        Platform(source: store::Error) {
            from()
            display("{}", source)
            source(source)
        }
        /// The requested version does not exist yet.
        NoSuchVersion(version: Version, last: Version) {
            display("there is no version {} yet; the last one is {}", version, last)
        }
        /// The requested version can no longer be shown, because its record has been removed.
        Removed(version: Version, oldest: Version) {
            display("version {} is no longer kept; the oldest that can be shown is {}", version, oldest)
        }
        /// No node of that name answered.
        NoSuchNode(name: String) {
            display("none of the nodes that answered is named {:?}; give the address of its operators' listener in place of the name, or add that address with --node", name)
        }
        /// There is no such team in the last version.
        NoSuchTeam(name: String) {
            display("there is no team {:?}; see them with: bluebellpick team list", name)
        }
        /// The team does not hold the key.
        NoSuchKey(team: String, fingerprint: String) {
            display("team {:?} holds no key with the fingerprint {:?}; see them with: bluebellpick team show {}", team, fingerprint, team)
        }
        /// The team holds the key already.
        KnownKey(team: String, fingerprint: String) {
            display("team {:?} holds the key already; its fingerprint is {}", team, fingerprint)
        }
        /// No log line mentions the call.
        NoSuchCall(id: String, lines: usize) {
            display("none of the {} lines read is about call {:?}; calls that were answered in time leave no line", lines, id)
        }
        /// A node did not answer, or refused the request.
        Node(address: SocketAddr, why: String) {
            display("node at {}: {}", address, why)
        }
    }
}

impl Error {
    /// Returns the exit code for the error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Settings(_)
            | Self::Usage(_)
            | Self::File(..)
            | Self::Patch(..)
            | Self::NoSuchTeam(_)
            | Self::NoSuchKey(..)
            | Self::KnownKey(..) => Exit::Usage,
            Self::Platform(_)
            | Self::NoSuchVersion(..)
            | Self::Removed(..)
            | Self::NoSuchNode(_)
            | Self::NoSuchCall(..)
            | Self::Node(..) => Exit::Failed,
        }
    }
}
