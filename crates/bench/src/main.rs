//! `bluebellpick-bench`: load, experiments and failures against real processes.
//!
//! Every experiment prints one JSON object with its figures as its last line.

use bench::error::Error;
use bench::{converge, demo, path};
use bpaf::{Parser, construct};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Which experiment to run.
#[derive(Debug, Clone)]
enum Command {
    Demo,
    Path(path::Plot),
    Converge(converge::Plot),
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
    construct!([demo, path, converge])
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

async fn run(command: Command) -> Result<String, Error> {
    match command {
        Command::Demo => print_json(&demo::run().await?),
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
