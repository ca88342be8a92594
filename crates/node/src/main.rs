//! `bluebellpick-node`: the sidecar proxy next to a backend server.

use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long};
use log::{error, info, warn};
use settings::node::Settings;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for an invalid command line or invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Width of the help text, in columns.
const HELP_WIDTH: usize = 100;

/// Options of the command line.
#[derive(Debug, Clone)]
struct Options {
    settings: PathBuf,
    check: bool,
}

fn parse_options() -> OptionParser<Options> {
    let settings = long("settings")
        .help("INI file with the node's settings")
        .env("BLUEBELLPICK_SETTINGS")
        .argument("FILE");
    let check = long("check")
        .help("Only check the settings, then end: 0 when they are right, 2 when not")
        .switch();
    construct!(Options { settings, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("The proxy and relay that runs beside every backend server")
        .footer(
            "SIGTERM or SIGINT stops it gracefully: no new work, and what is in flight ends first. \
             A SIGINT during the stop ends it at once. Exit codes: 0 stopped gracefully; 1 could not start, or ended \
             before what was in flight; 2 wrong command line or settings. The log goes to \
             standard output; BLUEBELLPICK_LOG sets its level.",
        )
}

/// Installs a handler for SIGHUP, so that a SIGHUP during the start doesn't end the process.
///
/// The settings file may change while the process starts, and the default action of SIGHUP ends
/// the process. The handler stays installed when its runtime is dropped. A SIGHUP this early can
/// be ignored, since the settings file is read afterwards.
fn handle_early_hangups() {
    let handled = Builder::new_current_thread().enable_all().build();
    let handled =
        handled.and_then(|runtime| runtime.block_on(async { signal(SignalKind::hangup()) }));
    if let Err(error) = handled {
        eprintln!(
            "can't install a handler for SIGHUP; until the node serves, SIGHUP ends it: {error}"
        );
    }
}

fn main() -> ExitCode {
    handle_early_hangups();
    let options = match parse_options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let is_wrong = matches!(failure, ParseFailure::Stderr(_));
            return ExitCode::from(if is_wrong { EXIT_BAD_SETTINGS } else { 0 });
        }
    };
    let settings = match Settings::open(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    let logs = node::logs::open();
    let code = start(settings, &options.settings).unwrap_or_else(|error| {
        error!(error:%; "failed");
        // Printed for users who start the node by hand, even if standard output is redirected.
        eprintln!("{error}");
        ExitCode::FAILURE
    });
    logs.close();
    code
}

fn start(settings: Settings, path: &Path) -> std::io::Result<ExitCode> {
    let background = build_runtime("background", 1)?;
    let calls = build_runtime("calls", settings.threads.into())?;
    calls.block_on(serve(settings, path, background.handle()))
}

fn build_runtime(name: &str, threads: usize) -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
}

async fn serve(settings: Settings, path: &Path, background: &Handle) -> std::io::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut current = settings.clone();
    let running = node::node::spawn(settings, clock::System, background).await?;
    loop {
        tokio::select! {
            () = wait_any(&mut terminate, &mut interrupt) => break,
            _ = hangup.recv() => current = check_settings_file(current, path),
        }
    }
    tokio::select! {
        () = running.stop() => Ok(ExitCode::SUCCESS),
        () = wait_interrupt(&mut terminate, &mut interrupt) => {
            warn!("stopped_at_once");
            Ok(ExitCode::FAILURE)
        }
    }
}

/// Waits until someone interrupts a stop. Supervisors repeat SIGTERM, and calls would be lost if
/// each of them ended the process.
async fn wait_interrupt(terminate: &mut Signal, interrupt: &mut Signal) {
    loop {
        tokio::select! {
            _ = terminate.recv() => info!("already_stopping"),
            _ = interrupt.recv() => return,
        }
    }
}

/// Reads the settings file again, and logs whether it is valid and has changed.
///
/// Changes take effect only at the next start, because each setting is either an address or
/// locality by which callers and other nodes already know this node, or a limit of a listener or
/// connection that is already open. An invalid file is reported at once, and not by a process that
/// fails to start later. Returns the settings to compare the file with at the next check.
fn check_settings_file(current: Settings, path: &Path) -> Settings {
    match Settings::open(path) {
        Ok(next) if next == current => {
            info!("settings_unchanged");
            current
        }
        Ok(next) => {
            warn!("settings_wait_for_restart");
            next
        }
        Err(error) => {
            error!(error:%; "settings_refused");
            current
        }
    }
}

async fn wait_any(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
