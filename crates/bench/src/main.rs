//! `bluebellpick-bench`: load, experiments and failures against real processes.
//!
//! Every experiment prints one JSON object with its figures as its last line.

use bench::error::Error;
use bench::{converge, deadly, demo, faults, overload, path, rolling, soak, soak_repeat, state};
use bpaf::{Parser, construct};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Which experiment to run.
#[derive(Debug, Clone)]
enum Command {
    Demo,
    Path(path::Options),
    Converge(converge::Options),
    Deadly(deadly::Options),
    Faults(faults::Options),
    State(state::Options),
    Overload(overload::Options),
    Rolling(rolling::Options),
    Soak(soak::Options),
}

fn parse_command() -> impl Parser<Command> {
    let demo = bpaf::pure(Command::Demo)
        .to_options()
        .descr("Shows the main job on stand-ins")
        .command("demo");
    let path = path::parse()
        .map(Command::Path)
        .to_options()
        .descr("Sets direct calls and calls through the proxies side by side")
        .command("path");
    let converge = converge::parse()
        .map(Command::Converge)
        .to_options()
        .descr("Measures how long versions take to all nodes, and what that costs")
        .command("converge");
    let deadly = deadly::parse()
        .map(Command::Deadly)
        .to_options()
        .descr("Measures what a request that crashes backend servers costs all others")
        .command("deadly");
    let faults = faults::parse()
        .map(Command::Faults)
        .to_options()
        .descr("Checks the histories of callers and backend servers under seeded faults")
        .command("faults");
    let state = state::parse()
        .map(Command::State)
        .to_options()
        .descr("Measures what a large fleet's state and churn cost one node")
        .command("state");
    let overload = overload::parse()
        .map(Command::Overload)
        .to_options()
        .descr("Sends up to ten times the capacity, beside a plain baseline")
        .command("overload");
    let rolling = rolling::parse()
        .map(Command::Rolling)
        .to_options()
        .descr("Restarts every VM in turn under load, which must lose no call")
        .command("rolling");
    let soak = soak::parse()
        .map(Command::Soak)
        .to_options()
        .descr("Checks what must hold while seeded faults overlap, and after they end")
        .command("soak");
    construct!([
        demo, path, converge, deadly, faults, state, overload, rolling, soak
    ])
}

// One thread: the pacer must see the sockets of its own calls at once.
#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let command = parse_command()
        .to_options()
        .descr("Load, experiments and failures against real processes")
        .run();
    // A run that is ended early drops its processes, which ends them.
    let ended = tokio::select! {
        report = run(command) => report,
        () = wait_signal() => Err(Error::Unexpected("ended early by a signal".to_owned())),
    };
    match ended {
        Ok((report, is_clean)) => {
            println!("{report}");
            if is_clean {
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

async fn wait_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Gives the report, and whether nothing that must hold was violated.
async fn run(command: Command) -> Result<(String, bool), Error> {
    match command {
        Command::Demo => Ok((print_json(&demo::run().await?)?, true)),
        Command::Path(plot) => {
            let report = match &plot.against {
                Some(against) => print_json(&path::run_pair(&plot, against).await?)?,
                None => print_json(&path::run(&plot).await?)?,
            };
            Ok((report, true))
        }
        Command::Deadly(plot) => Ok((print_json(&deadly::run(plot).await?)?, true)),
        Command::Faults(plot) => {
            let report = faults::run(plot).await?;
            Ok((print_json(&report)?, report.is_clean()))
        }
        Command::State(plot) => Ok((print_json(&state::run(plot).await?)?, true)),
        Command::Overload(plot) => Ok((print_json(&overload::run(plot).await?)?, true)),
        Command::Rolling(plot) => {
            let report = rolling::run(plot).await?;
            Ok((print_json(&report)?, report.is_clean()))
        }
        Command::Soak(plot) if plot.shrink => {
            let tally = soak_repeat::shrink(&plot).await?;
            Ok((print_json(&tally)?, tally.failed == 0))
        }
        Command::Soak(plot) if plot.repeat > 1 => {
            let tally = soak_repeat::run(&plot).await?;
            Ok((print_json(&tally)?, tally.failed == 0))
        }
        Command::Soak(plot) => {
            let report = soak::run(plot).await?;
            Ok((print_json(&report)?, report.is_clean()))
        }
        Command::Converge(plot) => Ok((print_json(&converge::run(plot).await?)?, true)),
    }
}

fn print_json<T>(report: &T) -> Result<String, Error>
where
    T: serde::Serialize,
{
    serde_json::to_string(report).map_err(|error| Error::Unexpected(error.to_string()))
}
