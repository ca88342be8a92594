//! `bluebellpick-bench`: load, experiments and failures against real processes.
//!
//! Every experiment prints one JSON object with its figures as its last line.

use bench::error::Error;
use bench::{overload, path};
use bpaf::{Parser, construct, long};
use std::process::ExitCode;
use std::time::Duration;

/// Which experiment to run.
#[derive(Debug, Clone)]
enum Command {
    Path(path::Plot),
    Overload(overload::Plot),
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

fn parse_overload() -> impl Parser<Command> {
    let duration = parse_seconds(5);
    let only = long("only")
        .help("Run just this part: levels, fairness, slow or burst")
        .argument::<overload::Part>("PART")
        .optional();
    construct!(overload::Plot { duration, only }).map(Command::Overload)
}

fn parse_command() -> impl Parser<Command> {
    let path = parse_path()
        .to_options()
        .descr("Sets direct calls and calls through the proxies side by side")
        .command("path");
    let overload = parse_overload()
        .to_options()
        .descr("Sends up to ten times the capacity, beside a plain baseline")
        .command("overload");
    construct!([path, overload])
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
        Command::Overload(plot) => print_json(&overload::run(plot).await?),
    }
}

fn print_json<T>(report: &T) -> Result<String, Error>
where
    T: serde::Serialize,
{
    serde_json::to_string(report).map_err(|error| Error::Unexpected(error.to_string()))
}
