//! `bluebellpick-bench`: load, experiments and failures against real processes.
//!
//! Every experiment prints one JSON object with its figures as its last line.

use bench::error::Error;
use bench::{faults, path};
use bpaf::{Parser, construct, long};
use std::process::ExitCode;
use std::time::Duration;

/// Which experiment to run.
#[derive(Debug, Clone)]
enum Command {
    Path(path::Plot),
    Faults(faults::Plot),
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

fn parse_faults() -> impl Parser<Command> {
    let seed = long("seed")
        .help("Seed of all faults and calls")
        .argument::<u64>("SEED")
        .fallback(1)
        .display_fallback();
    let duration = parse_seconds(60);
    let rolling = long("rolling")
        .help("Restart every node and backend server in turn instead, which must cut nothing off")
        .switch();
    let plot = construct!(faults::Plot {
        seed,
        duration,
        rolling
    });
    plot.map(Command::Faults)
}

fn parse_command() -> impl Parser<Command> {
    let faults = parse_faults()
        .to_options()
        .descr("Checks the histories of callers and backend servers under seeded faults")
        .command("faults");
    let path = parse_path()
        .to_options()
        .descr("Sets direct calls and calls through the proxies side by side")
        .command("path");
    construct!([faults, path])
}

// One thread: the pacer must see the sockets of its own calls at once.
#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let command = parse_command()
        .to_options()
        .descr("Load, experiments and failures against real processes")
        .run();
    match run(command).await {
        Ok((report, clean)) => {
            println!("{report}");
            if clean {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("bluebellpick-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Gives the report, and whether nothing that must hold was violated.
async fn run(command: Command) -> Result<(String, bool), Error> {
    match command {
        Command::Path(plot) => Ok((print_json(&path::run(plot).await?)?, true)),
        Command::Faults(plot) => {
            let report = faults::run(plot).await?;
            Ok((print_json(&report)?, report.is_clean()))
        }
    }
}

fn print_json<T>(report: &T) -> Result<String, Error>
where
    T: serde::Serialize,
{
    serde_json::to_string(report).map_err(|error| Error::Unexpected(error.to_string()))
}
