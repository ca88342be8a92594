//! Verbs and flags of the command line, with their help texts.

use bpaf::{OptionParser, Parser, construct, long, positional};
use config::Version;
use config::team::Limit;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use store::version::Id;

/// The parsed command line.
#[derive(Debug, Clone)]
pub struct Options {
    /// The verb with its own flags.
    pub verb: Verb,
    /// The platform and the nodes to access.
    pub target: Target,
    /// Whether to print JSON.
    pub json: bool,
}

/// A verb with its own flags.
#[derive(Debug, Clone)]
pub enum Verb {
    /// Proposes a patch.
    Propose(Propose),
    /// Finds out the outcome of a proposal and makes it final.
    Outcome {
        /// Author to record if an empty version has to be written to make the outcome final.
        author: String,
        /// Id of the proposal.
        id: Id,
    },
    /// Shows the status of nodes.
    Status,
    /// Shows a configuration.
    Show {
        /// Version of the configuration; the last version if absent.
        version: Option<Version>,
    },
    /// Lists versions.
    Log {
        /// Maximum number of versions to list.
        limit: u64,
    },
    /// Shows what changed between two versions.
    Diff {
        /// The older version.
        old: Version,
        /// The newer version.
        new: Version,
    },
    /// Takes a VM out of service, or back into service.
    Drain {
        /// Whether to end the drain.
        end: bool,
        /// Maximum wait for the end of the calls in flight at the VM.
        wait: Duration,
        /// Name of the VM's node, or the address of that node's operators' listener.
        vm: String,
    },
    /// Checks a patch file.
    Check {
        /// Version to check the patch against; if absent, only the form of the patch is checked.
        base: Option<Version>,
        /// The patch file.
        file: PathBuf,
    },
    /// Shows or changes teams.
    Team(Team),
    /// Reports the burn rates of error budgets.
    Burn,
    /// Explains what happened to one call, from the logs of nodes.
    Explain {
        /// Id of the call, as the caller chose it and as the log lines contain it.
        id: String,
        /// Log files, one per node; standard input if there are none.
        files: Vec<PathBuf>,
    },
}

/// Flags of `propose`.
#[derive(Debug, Clone)]
pub struct Propose {
    /// The version that the patch applies to.
    pub base: Version,
    /// Id of an earlier proposal, to retry that proposal; a new id is generated if absent.
    pub id: Option<Id>,
    /// Author of the proposal.
    pub author: String,
    /// Maximum time for retries while the platform does not answer.
    pub wait: Duration,
    /// The patch file.
    pub file: PathBuf,
}

/// Flags of `team`.
#[derive(Debug, Clone)]
pub struct Team {
    /// What to do.
    pub action: TeamAction,
    /// Author of the proposal.
    pub author: String,
    /// Maximum time for retries while the platform does not answer.
    pub wait: Duration,
}

/// What to do with teams.
#[derive(Debug, Clone)]
pub enum TeamAction {
    /// Lists all teams.
    List,
    /// Shows one team.
    Show {
        /// Name of the team.
        name: String,
    },
    /// Shows how much of their limits teams use.
    Usage {
        /// Name of the team; all teams if absent.
        name: Option<String>,
        /// Time over which calls are counted.
        span: Duration,
    },
    /// Sets the limit on a team's calls.
    Limit {
        /// Name of the team.
        name: String,
        /// The new limit; none if absent.
        limit: Option<Limit>,
    },
    /// Adds a key, and the team with it if it is new.
    AddKey {
        /// Name of the team.
        name: String,
        /// Where the key is read from.
        source: KeySource,
        /// Whether more was given, which may be the key itself.
        has_extra: bool,
    },
    /// Takes a key away.
    RevokeKey {
        /// Name of the team.
        name: String,
        /// Fingerprint of the key.
        fingerprint: String,
    },
}

/// Where a key is read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeySource {
    /// Standard input.
    Input,
    /// A file.
    File(PathBuf),
}

/// The platform and the nodes to access: flags that override the settings file.
#[derive(Debug, Clone)]
pub struct Target {
    /// Settings file.
    pub settings: Option<PathBuf>,
    /// Address of the platform.
    pub platform: Option<SocketAddr>,
    /// Addresses of the operators' listeners of nodes.
    pub nodes: Vec<SocketAddr>,
    /// File that contains the token for operators' writes.
    pub token_file: Option<PathBuf>,
    /// Maximum wait for the answer of a node or of the platform.
    pub timeout: Option<Duration>,
}

/// Description of the exit codes for the help texts.
const EXIT_CODES_HELP: &str = "Exit codes: 0 done, or accepted; 1 the platform or a node failed; \
    2 wrong command line, settings or patch; 3 refused; 4 never applied; 5 not known yet.";

/// Default of `propose --wait`, in seconds. The platform should answer within some seconds; if it
/// does not, the operator is better served by the report "not known yet" than by a longer wait.
const DEFAULT_WAIT_S: u64 = 10;

/// Default of `team usage --over`, in seconds: the default window of limits.
const DEFAULT_USAGE_SPAN_S: u64 = 5;

/// Default number of versions that `log` lists.
const DEFAULT_LOG_LIMIT: u64 = 20;

/// Returns the parser of the whole command line.
#[must_use]
pub fn parse_options() -> OptionParser<Options> {
    let verbs = construct!([
        parse_propose(),
        parse_outcome(),
        parse_status(),
        parse_show(),
        parse_log(),
        parse_diff(),
        parse_drain(),
        parse_check(),
        parse_team(),
        parse_burn(),
        parse_explain(),
    ]);
    verbs
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates a bluebellpick fleet: proposes configurations and tells how they fare")
        .header(
            "A configuration is a numbered version. Write a patch against the version you last \
             saw and propose it: it is accepted as the next version, refused because another \
             patch came first or breaks a rule, or never applied. `bluebellpick VERB --help` \
             tells more of each verb.",
        )
        .footer(EXIT_CODES_HELP)
}

fn parse_seconds(name: &'static str, help: &'static str) -> impl Parser<Duration> {
    long(name)
        .help(help)
        .argument::<u64>("SECONDS")
        .map(Duration::from_secs)
}

fn parse_version(name: &'static str, help: &'static str) -> impl Parser<Version> {
    positional::<u64>(name).help(help).map(Version)
}

fn parse_target() -> impl Parser<Target> {
    let settings = long("settings")
        .help("Settings file in INI, section [operator]; flags override it")
        .env("BLUEBELLPICK_SETTINGS")
        .argument("FILE")
        .optional();
    let platform = long("platform")
        .help("Address of the platform's object API")
        .argument("ADDRESS")
        .optional();
    let nodes = long("node")
        .help("Operators' listener of a node to ask; may be given several times")
        .argument("ADDRESS")
        .many();
    let token_file = long("token-file")
        .help("File that holds the token of operators' writes")
        .argument("FILE")
        .optional();
    let timeout = parse_seconds("timeout", "Longest wait for one answer; 5 unless set").optional();
    construct!(Target {
        settings,
        platform,
        nodes,
        token_file,
        timeout
    })
}

fn parse_json() -> impl Parser<bool> {
    long("json").help("Write JSON on one line").switch()
}

fn parse_author() -> impl Parser<String> {
    long("author")
        .help("Who proposes, for the log of versions; $USER unless given")
        .env("USER")
        .argument("NAME")
        .fallback("unknown".into())
}

fn make_options<V>(verb: V) -> impl Parser<Options>
where
    V: Parser<Verb>,
{
    let target = parse_target();
    let json = parse_json();
    construct!(Options { target, json, verb })
}

fn parse_propose() -> impl Parser<Options> {
    let base = long("base")
        .help("The version that the patch is against: the one that you last saw")
        .argument::<u64>("N")
        .map(Version);
    let id = long("id")
        .help("Name of an earlier attempt at the same proposal, to retry it; it is never applied twice")
        .argument("ID")
        .optional();
    let author = parse_author();
    let wait = parse_seconds(
        "wait",
        "Longest time of trying while the platform does not answer",
    )
    .fallback(Duration::from_secs(DEFAULT_WAIT_S));
    let file = positional("FILE").help("Patch file: one JSON change a line, # for comments");
    let verb = construct!(Propose {
        base,
        id,
        author,
        wait,
        file
    })
    .map(Verb::Propose);
    make_options(verb)
        .to_options()
        .descr("Proposes a patch: accepted, refused, never applied, or not known yet")
        .header(
            "The patch is checked, then becomes version N + 1 unless another one has become it \
             first. The proposal's name is written to standard error before anything is sent: \
             should this program be cut off, `bluebellpick outcome ID` settles what became of it.",
        )
        .footer(EXIT_CODES_HELP)
        .command("propose")
        .help("Proposes a patch")
}

fn parse_outcome() -> impl Parser<Options> {
    let author = parse_author();
    let id = positional("ID").help("Name of the proposal, as `propose` told it");
    let verb = construct!(Verb::Outcome { author, id });
    make_options(verb)
        .to_options()
        .descr("Settles what became of a proposal")
        .header(
            "Where the proposal's number is still free, a version without changes takes it, so \
             that a write that is still on its way can't be applied later. The answer is final then.",
        )
        .footer(EXIT_CODES_HELP)
        .command("outcome")
        .help("Settles what became of a proposal")
}

fn parse_status() -> impl Parser<Options> {
    make_options(bpaf::pure(Verb::Status))
        .to_options()
        .descr("Tells which version is the last, and how nodes stand")
        .footer("Ends with 1 when a node that was asked did not answer.")
        .command("status")
        .help("Tells how nodes stand")
}

fn parse_show() -> impl Parser<Options> {
    let version = parse_version("N", "The version; the last one when none is given").optional();
    let verb = construct!(Verb::Show { version });
    make_options(verb)
        .to_options()
        .descr("Shows a whole configuration, as a patch against version 0")
        .command("show")
        .help("Shows a configuration")
}

fn parse_log() -> impl Parser<Options> {
    let limit = long("limit")
        .help("How many versions, from the last one back")
        .argument("N")
        .fallback(DEFAULT_LOG_LIMIT);
    let verb = construct!(Verb::Log { limit });
    make_options(verb)
        .to_options()
        .descr("Lists versions with their proposals, the last one first")
        .command("log")
        .help("Lists versions")
}

fn parse_diff() -> impl Parser<Options> {
    let old = parse_version("A", "The version before");
    let new = parse_version("B", "The version after");
    let verb = construct!(Verb::Diff { old, new });
    make_options(verb)
        .to_options()
        .descr("Shows what changed between two versions, as a patch")
        .header("`diff B A` gives the patch that reverts the changes from A to B.")
        .command("diff")
        .help("Shows what changed between two versions")
}

fn parse_drain() -> impl Parser<Options> {
    let wait = parse_seconds(
        "wait",
        "Longest wait until its calls in flight have ended; 0 unless set",
    )
    .fallback(Duration::ZERO);
    let end = long("end")
        .help("Ends the drain: the VM comes back into service")
        .switch();
    let vm =
        positional("VM").help("Name of its node, or address of the node's operators' listener");
    let verb = construct!(Verb::Drain { end, wait, vm });
    make_options(verb)
        .to_options()
        .descr("Takes a VM out of service: no new calls, and those in flight end")
        .header("Needs the token. The drain outlives the node's process, until `--end` ends it.")
        .command("drain")
        .help("Takes a VM out of service")
}

fn parse_check() -> impl Parser<Options> {
    let base = long("base")
        .help("The version that the patch is against; only its form is checked when none is given")
        .argument::<u64>("N")
        .map(Version)
        .optional();
    let file = positional("FILE").help("Patch file: one JSON change a line, # for comments");
    let verb = construct!(Verb::Check { base, file });
    make_options(verb)
        .to_options()
        .descr("Checks a patch file without proposing it")
        .header("Version 0 is empty and needs no platform.")
        .command("check")
        .help("Checks a patch file")
}

fn parse_team() -> impl Parser<Options> {
    let action = construct!([
        parse_team_list(),
        parse_team_show(),
        parse_team_usage(),
        parse_team_limit(),
        parse_team_key(),
    ]);
    action
        .to_options()
        .descr("Shows teams, and changes their keys and limits")
        .header(
            "A change is proposed against the last version. Keys are shown by fingerprints, and \
             read from a file or from standard input.",
        )
        .footer(EXIT_CODES_HELP)
        .command("team")
        .help("Shows and changes teams")
}

fn make_team_options<A>(action: A) -> impl Parser<Options>
where
    A: Parser<TeamAction>,
{
    let author = parse_author();
    let wait = parse_seconds(
        "wait",
        "Longest time of trying while the platform does not answer",
    )
    .fallback(Duration::from_secs(DEFAULT_WAIT_S));
    let verb = construct!(Team {
        author,
        wait,
        action
    })
    .map(Verb::Team);
    make_options(verb)
}

fn parse_team_name() -> impl Parser<String> {
    positional("TEAM").help("Name of the team")
}

fn parse_team_list() -> impl Parser<Options> {
    make_team_options(bpaf::pure(TeamAction::List))
        .to_options()
        .descr("Lists teams with their limits and the fingerprints of their keys")
        .command("list")
        .help("Lists teams")
}

fn parse_team_show() -> impl Parser<Options> {
    let name = parse_team_name();
    make_team_options(construct!(TeamAction::Show { name }))
        .to_options()
        .descr("Shows one team")
        .command("show")
        .help("Shows a team")
}

fn parse_team_usage() -> impl Parser<Options> {
    let span = parse_seconds("over", "Time over which calls are counted")
        .fallback(Duration::from_secs(DEFAULT_USAGE_SPAN_S));
    let name = parse_team_name().optional();
    make_team_options(construct!(TeamAction::Usage { span, name }))
        .to_options()
        .descr("Shows the calls of teams beside their limits, as counted by the nodes")
        .header(
            "Reads the counts of the nodes that are asked twice; name every node to cover the \
             whole fleet.",
        )
        .footer("Ends with 1 when a node that was asked did not answer.")
        .command("usage")
        .help("Shows how much of their limits teams use")
}

fn parse_team_limit() -> impl Parser<Options> {
    let per_minute = long("per-minute")
        .help("Calls a minute that the team may make, through all nodes together")
        .argument("N");
    let burst = long("burst")
        .help("Calls that may come at once after a pause")
        .argument("N");
    let limit = construct!(Limit { per_minute, burst }).optional();
    let none = long("none")
        .help("Takes the limit away")
        .req_flag(())
        .optional();
    let name = parse_team_name();
    let action = construct!(limit, none, name)
        .guard(
            |(limit, none, _)| limit.is_some() != none.is_some(),
            "want either --per-minute and --burst, or --none",
        )
        .map(|(limit, _, name)| TeamAction::Limit { name, limit });
    make_team_options(action)
        .to_options()
        .descr("Sets the limit on a team's calls")
        .command("limit")
        .help("Sets a team's limit")
}

fn parse_team_key() -> impl Parser<Options> {
    construct!([parse_key_add(), parse_key_revoke()])
        .to_options()
        .descr("Adds a key of a team, or takes one away")
        .command("key")
        .help("Adds or revokes a key")
}

fn parse_key_add() -> impl Parser<Options> {
    let source = long("file")
        .help("File that holds the key; standard input unless given")
        .argument("FILE")
        .map(KeySource::File)
        .fallback(KeySource::Input);
    let name = parse_team_name();
    // Accepted here and refused later, as the parser's own error would repeat the key.
    let has_extra = positional::<String>("EXTRA")
        .many()
        .map(|extra| !extra.is_empty())
        .hide();
    let action = construct!(TeamAction::AddKey {
        source,
        name,
        has_extra
    });
    make_team_options(action)
        .to_options()
        .descr("Adds a key; the first one adds the team")
        .command("add")
        .help("Adds a key")
}

fn parse_key_revoke() -> impl Parser<Options> {
    let name = parse_team_name();
    let fingerprint =
        positional("FINGERPRINT").help("Fingerprint of the key, as `team show` has it");
    make_team_options(construct!(TeamAction::RevokeKey { name, fingerprint }))
        .to_options()
        .descr("Takes a key away")
        .command("revoke")
        .help("Takes a key away")
}

fn parse_burn() -> impl Parser<Options> {
    make_options(bpaf::pure(Verb::Burn))
        .to_options()
        .descr("Reports how fast services use up their error budgets")
        .header(
            "Adds up the counts of the nodes that are asked; name every node to cover the whole \
             fleet. Windows and alerts follow the Site Reliability Workbook, chapter 5.",
        )
        .footer("Ends with 1 when a node that was asked did not answer.")
        .command("burn")
        .help("Reports the burn of error budgets")
}

fn parse_explain() -> impl Parser<Options> {
    let id = positional("ID").help("The call's name, as the caller or the lines of a log have it");
    let files = positional("FILE")
        .help("Log of a node, named after it; standard input when none is given")
        .many();
    let verb = construct!(Verb::Explain { id, files });
    make_options(verb)
        .to_options()
        .descr("Tells the story of one call over all nodes, and its cause")
        .header(
            "Reads the logs that nodes write to standard output, sorts what is said of the call by \
             time, adds what the nodes on its way went through, and names the cause of what its \
             caller got. Calls that backend servers made on its behalf are included.",
        )
        .footer("Ends with 1 when no line is about the call.")
        .command("explain")
        .help("Tells the story of one call from logs")
}
