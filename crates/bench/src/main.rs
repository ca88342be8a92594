//! `bluebellpick-bench`: load, experiments and failures against real processes.
//!
//! Every experiment prints one JSON object with its figures as its last line.

use bench::error::Error;
use bench::{converge, path};
use bpaf::{Parser, construct, long};
use std::process::ExitCode;
use std::time::Duration;

/// Which experiment to run.
#[derive(Debug, Clone)]
enum Command {
    Path(path::Plot),
    Converge(converge::Plot),
}

fn parse_seconds(default: u64) -> impl Parser<Duration> {
    long("seconds")
        .help("How long to measure, in seconds")
        .argument::<u64>("SECONDS")
        .fallback(default)
        .display_fallback()
        .map(Duration::from_secs)
}

fn parse_path() -> impl Parser<Command> {
    let rate = long("rate")
        .help("Calls a second of each series and VM")
        .argument::<u32>("RATE")
        .guard(|rate| *rate > 0, "at least one call a second")
        .fallback(100)
        .display_fallback();
    let duration = parse_seconds(10);
    let vms = long("vms")
        .help("VMs with a backend server each")
        .argument::<usize>("COUNT")
        .guard(|vms| (2..=50).contains(vms), "between 2 and 50 VMs")
        .fallback(3)
        .display_fallback();
    let plot = construct!(path::Plot {
        rate,
        duration,
        vms
    });
    plot.map(Command::Path)
}

fn parse_converge() -> impl Parser<Command> {
    let nodes = long("nodes")
        .help("Node processes, in three availability zones")
        .argument::<usize>("COUNT")
        .guard(|nodes| (3..=240).contains(nodes), "between 3 and 240 nodes")
        .fallback(12)
        .display_fallback();
    let versions = long("versions")
        .help("Versions to propose, when nothing goes wrong")
        .argument::<usize>("COUNT")
        .fallback(20)
        .display_fallback();
    let services = long("services")
        .help("Services, and routes, of the configuration")
        .argument::<usize>("COUNT")
        .guard(
            |services| (2..=2_000).contains(services),
            "between 2 and 2000",
        )
        .fallback(410)
        .display_fallback();
    let distribution = long("distribution")
        .help("How versions come: tree, or one of the baselines whole and watch")
        .argument::<String>("WAY")
        .fallback("tree".to_owned())
        .display_fallback();
    let fault = long("fault")
        .help("platform-outage, roots-killed, partition or herd-restart")
        .argument::<converge::Fault>("FAULT")
        .optional();
    let plot = construct!(converge::Plot {
        nodes,
        versions,
        services,
        distribution,
        fault
    });
    plot.map(Command::Converge)
}

fn parse_command() -> impl Parser<Command> {
    let path = parse_path()
        .to_options()
        .descr("Sets direct calls and calls through the proxies side by side")
        .command("path");
    let converge = parse_converge()
        .to_options()
        .descr("Measures how long versions take to all nodes, and what that costs")
        .command("converge");
    construct!([path, converge])
}

// One thread: the pacer must see the sockets of its own calls at once.
#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let command = parse_command()
        .to_options()
        .descr("Load, experiments and failures against real processes")
        .run();
    match run(command).await {
        Ok(report) => {
            println!("{report}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("bluebellpick-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<String, Error> {
    match command {
        Command::Path(plot) => print_json(&path::run(plot).await?),
        Command::Converge(plot) => print_json(&converge::run(plot).await?),
    }
}

fn print_json<T>(report: &T) -> Result<String, Error>
where
    T: serde::Serialize,
{
    serde_json::to_string(report).map_err(|error| Error::Unexpected(error.to_string()))
}
