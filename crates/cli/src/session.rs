//! Runs a verb, with addresses and files from flags and settings.

use crate::error::Error;
use crate::exit::Exit;
use crate::fetch::{fetch, make_request};
use crate::options::{Options, Target, Verb};
use crate::{burn_report, check, drain, explain, history, propose, status_report, team};
use clock::System;
use http::Method;
use platform::{Client, client};
use serde::Serialize;
use serde::de::DeserializeOwned;
use settings::operator::Settings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use store::Journal;
use store::version::JOURNAL;

/// The journal of versions in the platform.
pub(crate) type VersionJournal = Journal<Client, System>;

/// Addresses, files and output format of one run, from flags and settings.
#[derive(Debug)]
pub(crate) struct Session {
    platform: Option<SocketAddr>,
    nodes: Vec<SocketAddr>,
    token_file: Option<PathBuf>,
    pub(crate) timeout: Duration,
    pub(crate) json: bool,
}

/// The answer of a node, or why the node did not answer.
#[derive(Debug)]
pub(crate) struct Reply<T> {
    pub(crate) address: SocketAddr,
    pub(crate) result: Result<T, Error>,
}

/// A node that did not answer, in JSON output.
#[derive(Debug, Serialize)]
pub(crate) struct Unreachable {
    pub(crate) address: SocketAddr,
    pub(crate) error: String,
}

/// Runs the verb in `options` and returns the exit code.
pub async fn run(options: Options) -> Exit {
    match run_verb(options).await {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("bluebellpick: {error}");
            error.exit()
        }
    }
}

async fn run_verb(options: Options) -> Result<Exit, Error> {
    let session = Session::open(&options.target, options.json)?;
    match options.verb {
        Verb::Propose(flags) => propose::propose_file(&session, &flags).await,
        Verb::Outcome { author, id } => propose::resolve_proposal(&session, &id, &author).await,
        Verb::Status => status_report::report_status(&session).await,
        Verb::Show { version } => history::show_version(&session, version).await,
        Verb::Log { limit } => history::list_versions(&session, limit).await,
        Verb::Diff { old, new } => history::show_difference(&session, old, new).await,
        Verb::Drain { end: true, vm, .. } => drain::end_drain(&session, &vm).await,
        Verb::Drain { wait, vm, .. } => drain::drain_vm(&session, &vm, wait).await,
        Verb::Check { base, file } => check::check_file(&session, &file, base).await,
        Verb::Team(flags) => team::run(&session, &flags).await,
        Verb::Burn => burn_report::report_burn(&session).await,
        Verb::Explain { id, files } => explain::explain_call(&session, &id, &files),
    }
}

impl Session {
    fn open(target: &Target, json: bool) -> Result<Self, Error> {
        let file = match &target.settings {
            Some(path) => Settings::open(path)?,
            None => Settings::parse("", "")?,
        };
        let nodes = if target.nodes.is_empty() {
            file.nodes
        } else {
            target.nodes.clone()
        };
        Ok(Self {
            platform: target.platform.or(file.platform),
            nodes,
            token_file: target.token_file.clone().or(file.token_file),
            timeout: target.timeout.unwrap_or(file.timeout),
            json,
        })
    }

    /// Opens the journal of versions in the platform.
    pub(crate) fn open_journal(&self) -> Result<VersionJournal, Error> {
        let address = self.platform.ok_or(Error::Usage(
            "the platform's address is needed: give --platform ADDRESS, or platform in the settings file",
        ))?;
        let limits = client::Limits {
            call_timeout: self.timeout,
            ..client::Limits::default()
        };
        let client = Client::open(address, limits);
        Ok(Journal::open(client, System, JOURNAL))
    }

    /// Returns whether the platform's address is known.
    pub(crate) fn has_platform(&self) -> bool {
        self.platform.is_some()
    }

    /// Reads the token of operators' writes.
    pub(crate) fn read_token(&self) -> Result<String, Error> {
        let path = self.token_file.as_ref().ok_or(Error::Usage(
            "a token is needed: give --token-file FILE, or token_file in the settings file",
        ))?;
        match std::fs::read_to_string(path) {
            Ok(text) => Ok(text.trim().to_owned()),
            Err(source) => Err(Error::File(path.display().to_string(), source)),
        }
    }

    /// Sends `GET path` to all nodes concurrently.
    pub(crate) async fn query_nodes<T>(&self, path: &'static str) -> Result<Vec<Reply<T>>, Error>
    where
        T: DeserializeOwned + Send + 'static,
    {
        if self.nodes.is_empty() {
            return Err(Error::Usage(
                "nodes to ask are needed: give --node ADDRESS, or nodes in the settings file",
            ));
        }
        let mut pending = Vec::new();
        for address in self.nodes.clone() {
            let request = make_request(address, Method::GET, path, None)?;
            let reply = fetch::<T>(address, request, self.timeout);
            pending.push((address, tokio::spawn(reply)));
        }
        let mut replies = Vec::new();
        for (address, task) in pending {
            let result = match task.await {
                Ok(result) => result,
                Err(error) => Err(Error::Node(address, error.to_string())),
            };
            replies.push(Reply { address, result });
        }
        Ok(replies)
    }

    /// Prints a value as JSON on one line.
    pub(crate) fn print_json<T>(&self, value: &T)
    where
        T: Serialize,
    {
        debug_assert!(self.json, "JSON output was requested");
        println!("{}", to_json(value));
    }
}

/// Serializes a value as JSON.
pub(crate) fn to_json<T>(value: &T) -> String
where
    T: Serialize,
{
    serde_json::to_string(value).expect("every printed value can be serialized as JSON")
}

/// Separates the answers of nodes from the failures of other nodes.
pub(crate) fn partition_replies<T>(
    replies: Vec<Reply<T>>,
) -> (Vec<(SocketAddr, T)>, Vec<Unreachable>) {
    let mut answers = Vec::new();
    let mut unreachable = Vec::new();
    for Reply { address, result } in replies {
        match result {
            Ok(answer) => answers.push((address, answer)),
            Err(error) => unreachable.push(Unreachable {
                address,
                error: error.to_string(),
            }),
        }
    }
    (answers, unreachable)
}

/// Prints which nodes did not answer and returns the resulting exit code.
pub(crate) fn print_unreachable(unreachable: &[Unreachable]) -> Exit {
    for node in unreachable {
        eprintln!("bluebellpick: {}", node.error);
    }
    if unreachable.is_empty() {
        Exit::Done
    } else {
        Exit::Failed
    }
}
