//! `bluebellpick-node`: the proxy and relay beside a backend server.

use bpaf::{Parser, construct, long};
use log::{error, warn};
use settings::node::Settings;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;

/// What the command line says.
#[derive(Debug, Clone)]
struct Options {
    settings: PathBuf,
    check: bool,
}

fn parse_options() -> impl Parser<Options> {
    let settings = long("settings")
        .help("INI file with the node's settings")
        .argument("FILE");
    let check = long("check")
        .help("Only check the settings, then end: 0 when they are right, 2 when not")
        .switch();
    construct!(Options { settings, check })
}

fn main() -> ExitCode {
    let options = parse_options()
        .to_options()
        .descr("The proxy and relay that runs beside every backend server")
        .run();
    let settings = match Settings::open(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    node::logs::open();
    match start(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(error:%; "failed");
            ExitCode::FAILURE
        }
    }
}

fn start(settings: Settings) -> std::io::Result<()> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.threads.into())
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = node::node::spawn(settings, clock::System).await?;
    wait_any(&mut terminate, &mut interrupt).await;
    tokio::select! {
        () = running.stop() => {}
        () = wait_any(&mut terminate, &mut interrupt) => warn!("stopped_at_once"),
    }
    Ok(())
}

async fn wait_any(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
