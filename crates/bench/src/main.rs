//! `bluebellpick-bench`: load tests, experiments and fault injection against real processes.
//!
//! The last line that an experiment prints is a JSON object with its results.

use bench::error::Error;
use bench::{
    budget, converge, deadly, demo, denials, faults, overload, path, reports, rolling, soak,
    soak_repeat, state, stops,
};
use bpaf::{Parser, construct};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// The experiment to run, with its options.
#[derive(Debug, Clone)]
enum Command {
    Budget(budget::Options),
    Demo,
    Denials(denials::Options),
    Path(path::Options),
    Converge(converge::Options),
    Deadly(deadly::Options),
    Faults(faults::Options),
    State(state::Options),
    Overload(overload::Options),
    Reports(reports::Options),
    Rolling(rolling::Options),
    Soak(soak::Options),
    Stops(stops::Options),
}

fn parse_command() -> impl Parser<Command> {
    let budget = budget::parse()
        .map(Command::Budget)
        .to_options()
        .descr("Checks the retries of a fleet whose nodes are killed and cut off")
        .command("budget");
    let demo = bpaf::pure(Command::Demo)
        .to_options()
        .descr("Runs a demonstration on stand-ins: proposals, calls, a killed and a drained VM, reports")
        .command("demo");
    let denials = denials::parse()
        .map(Command::Denials)
        .to_options()
        .descr("Checks the versions of calls while the platform turns nodes away")
        .command("denials");
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
    let reports = reports::parse()
        .map(Command::Reports)
        .to_options()
        .descr("Checks the calls of backend servers that report limits and departures")
        .command("reports");
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
    let stops = stops::parse()
        .map(Command::Stops)
        .to_options()
        .descr("Checks that overlapping graceful stops leave no request without an answer")
        .command("stops");
    construct!([
        budget, demo, denials, path, converge, deadly, faults, state, overload, reports, rolling,
        soak, stops
    ])
}

// The runtime has one thread: the task that waits for the next send time yields to the tasks of the
// calls on the same thread, so that the sockets of these calls are served without delay.
#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let command = parse_command()
        .to_options()
        .descr("Load, experiments and failures against real processes")
        .run();
    // On a signal, the future of the run is dropped, and with it the handles of the processes,
    // which kills the processes.
    let result = tokio::select! {
        report = run(command) => report,
        () = wait_signal() => Err(Error::Unexpected("interrupted by a signal".to_owned())),
    };
    match result {
        Ok((report, passed)) => {
            println!("{report}");
            if passed {
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

/// Runs the experiment. Returns its report as JSON, and whether all its checks passed.
async fn run(command: Command) -> Result<(String, bool), Error> {
    match command {
        Command::Budget(options) => {
            let report = budget::run(options).await?;
            Ok((to_json(&report)?, report.is_clean()))
        }
        Command::Denials(options) => {
            let report = denials::run(options).await?;
            Ok((to_json(&report)?, report.is_clean()))
        }
        Command::Demo => Ok((to_json(&demo::run().await?)?, true)),
        Command::Path(options) => {
            let report = match &options.against {
                Some(against) => to_json(&path::run_pair(&options, against).await?)?,
                None => to_json(&path::run(&options).await?)?,
            };
            Ok((report, true))
        }
        Command::Deadly(options) => Ok((to_json(&deadly::run(options).await?)?, true)),
        Command::Faults(options) => {
            let report = faults::run(options).await?;
            Ok((to_json(&report)?, report.is_clean()))
        }
        Command::State(options) => Ok((to_json(&state::run(options).await?)?, true)),
        Command::Overload(options) => Ok((to_json(&overload::run(options).await?)?, true)),
        Command::Rolling(options) => {
            let report = rolling::run(options).await?;
            Ok((to_json(&report)?, report.is_clean()))
        }
        Command::Soak(options) if options.shrink => {
            let totals = soak_repeat::shrink(&options).await?;
            Ok((to_json(&totals)?, totals.failed == 0))
        }
        Command::Soak(options) if options.repeat > 1 => {
            let totals = soak_repeat::run(&options).await?;
            Ok((to_json(&totals)?, totals.failed == 0))
        }
        Command::Soak(options) => {
            let report = soak::run(options).await?;
            Ok((to_json(&report)?, report.is_clean()))
        }
        Command::Stops(options) => {
            let report = stops::run(options).await?;
            Ok((to_json(&report)?, report.is_clean()))
        }
        Command::Reports(options) => {
            let report = reports::run(options).await?;
            Ok((to_json(&report)?, report.is_clean()))
        }
        Command::Converge(options) => Ok((to_json(&converge::run(options).await?)?, true)),
    }
}

fn to_json<T>(report: &T) -> Result<String, Error>
where
    T: serde::Serialize,
{
    serde_json::to_string(report).map_err(|error| Error::Unexpected(error.to_string()))
}
