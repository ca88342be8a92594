//! Command-line program that runs a stand-in.

use bpaf::{Parser, construct, long};
use smol_str::SmolStr;
use standin::announce::{Announcement, LeaveRequest, NodeClient};
use standin::backend::{Backend, Behavior, CrashTrigger, RequestPattern};
use standin::platform::RateLimits;
use standin::record::RunLog;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use store::MemoryStore;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code of a backend server that was crashed by a request.
const CRASH_EXIT_CODE: i32 = 70;

/// The stand-in to run.
#[derive(Debug, Clone)]
enum Command {
    Platform {
        listen: SocketAddr,
        rates: RateLimits,
        seed: u64,
    },
    Backend {
        listen: SocketAddr,
        announce: Option<SocketAddr>,
        service: SmolStr,
        behavior: Behavior,
        run_log_path: Option<PathBuf>,
        drain_timeout: Duration,
        seed: u64,
    },
}

fn parse_listen() -> impl Parser<SocketAddr> {
    long("listen")
        .help("Address to listen on; port 0 selects a free port, and the address is printed")
        .argument("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn parse_seed() -> impl Parser<u64> {
    long("seed")
        .help("Seed of the random number generator")
        .argument("SEED")
        .fallback(0)
}

fn parse_ms(name: &'static str, help: &'static str, fallback: u64) -> impl Parser<Duration> {
    long(name)
        .help(help)
        .argument("MS")
        .fallback(fallback)
        .map(Duration::from_millis)
}

fn parse_platform() -> impl Parser<Command> {
    let listen = parse_listen();
    let writes = long("writes")
        .help("Maximum number of writes per second")
        .argument("RATE")
        .fallback(RateLimits::default().writes);
    let reads = long("reads")
        .help("Maximum number of reads and watches per second")
        .argument("RATE")
        .fallback(RateLimits::default().reads);
    let rates = construct!(RateLimits { writes, reads });
    let seed = parse_seed();
    construct!(Command::Platform {
        listen,
        rates,
        seed
    })
}

fn parse_behavior() -> impl Parser<Behavior> {
    let slots = long("slots")
        .help("Calls that run at once")
        .argument("N")
        .fallback(6);
    let max_queued = long("queue")
        .help("Calls that may wait for a slot before others are shed")
        .argument("N")
        .fallback(6);
    let mean_work = parse_ms("work-ms", "Mean work of a call", 2);
    let long_percent = long("long-percent")
        .help("Share of long calls, in per cent")
        .argument("PERCENT")
        .fallback(0);
    let long_work = parse_ms("long-ms", "Work of a long call", 200);
    let warm_up = parse_ms("cold-ms", "Time after the start in which work is slow", 0);
    let crash_trigger = parse_crash_trigger();
    construct!(Behavior {
        slots,
        max_queued,
        mean_work,
        long_percent,
        long_work,
        warm_up,
        crash_trigger
    })
}

fn parse_crash_trigger() -> impl Parser<Option<CrashTrigger>> {
    let path = long("deadly-path")
        .help("Requests whose path contains this end the process")
        .argument::<String>("TEXT")
        .map(RequestPattern::Path);
    let header = long("deadly-header")
        .help("Requests with a header of this name end the process")
        .argument::<String>("NAME")
        .map(|name| RequestPattern::Header(name.to_ascii_lowercase()));
    let body = long("deadly-body")
        .help("Requests whose body contains this end the process")
        .argument::<String>("TEXT")
        .map(RequestPattern::Body);
    let pattern = construct!([path, header, body]).optional();
    let delay = parse_ms(
        "deadly-after-ms",
        "Time from the start of a deadly request to the end of the process",
        30,
    );
    construct!(pattern, delay)
        .map(|(pattern, delay)| pattern.map(|pattern| CrashTrigger { pattern, delay }))
}

fn parse_backend() -> impl Parser<Command> {
    let listen = parse_listen();
    let announce = long("announce")
        .help("Where the node on the same VM takes announcements")
        .argument("ADDRESS")
        .optional();
    let service = long("service")
        .help("Service to announce")
        .argument::<String>("NAME")
        .map(SmolStr::from)
        .fallback("records".into());
    let behavior = parse_behavior();
    let run_log_path = long("record")
        .help("File for a line at each start and end of a run")
        .argument("FILE")
        .optional();
    let drain_timeout = parse_ms("drain-ms", "Longest drain after SIGTERM", 30_000);
    let seed = parse_seed();
    construct!(Command::Backend {
        listen,
        announce,
        service,
        behavior,
        run_log_path,
        drain_timeout,
        seed
    })
}

fn parse_command() -> impl Parser<Command> {
    let platform = parse_platform()
        .to_options()
        .descr("The platform's object API, with injected faults")
        .command("platform");
    let backend = parse_backend()
        .to_options()
        .descr("A backend server that announces itself to its node")
        .command("backend");
    construct!([platform, backend])
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let command = parse_command().to_options().run();
    match run(command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(error:%; "start_failed");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> std::io::Result<()> {
    match command {
        Command::Platform {
            listen,
            rates,
            seed,
        } => {
            let listener = standin::http::bind(listen).await?;
            standin::platform::serve(listener, MemoryStore::with_seed(seed), rates).await;
        }
        Command::Backend {
            listen,
            announce,
            service,
            behavior,
            run_log_path,
            drain_timeout,
            seed,
        } => {
            let mut stop = signal(SignalKind::terminate())?;
            let run_log = RunLog::open(run_log_path.as_deref())?;
            let listener = standin::http::bind(listen).await?;
            let announcement = Announcement {
                service,
                address: listener.local_addr()?,
                slots: behavior.slots,
                incarnation: rand::random(),
                sequence: 1,
            };
            let backend = Backend::spawn(listener, behavior, run_log.clone(), seed);
            let announcer = Announcer {
                node: announce.map(NodeClient::open),
                announcement,
                run_log,
            };
            tokio::select! {
                () = serve_backend(&backend, announcer, &mut stop, drain_timeout) => {}
                () = backend.crashed() => std::process::exit(CRASH_EXIT_CODE),
            }
        }
    }
    Ok(())
}

/// Announces a backend server to its node.
struct Announcer {
    /// The node on the same VM; `None` if the backend server doesn't announce itself.
    node: Option<NodeClient>,
    announcement: Announcement,
    /// Log that records when the node acknowledges the leave request.
    run_log: RunLog,
}

/// Serves until SIGTERM, then waits until the node has no calls in flight and after that until the
/// backend server has none, for at most `drain_timeout` each.
async fn serve_backend(
    backend: &Backend,
    announcer: Announcer,
    stop: &mut tokio::signal::unix::Signal,
    drain_timeout: Duration,
) {
    let Announcer {
        node,
        announcement,
        run_log,
    } = announcer;
    let leave_request = LeaveRequest {
        incarnation: announcement.incarnation,
    };
    let heartbeat = async {
        match &node {
            Some(node) => node.announce(announcement).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = heartbeat => {}
        _ = stop.recv() => {}
    }
    if let Some(node) = &node {
        let on_acknowledged = || run_log.record_leave_acknowledged();
        node.leave(leave_request, drain_timeout, on_acknowledged)
            .await;
    }
    if tokio::time::timeout(drain_timeout, backend.drain())
        .await
        .is_err()
    {
        log::warn!(in_flight = backend.in_flight(); "drain_timeout");
    }
}
