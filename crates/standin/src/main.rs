//! The stand-ins as one program.

use bpaf::{Parser, construct, long};
use platform::Memory;
use standin::platform::Rates;
use std::net::SocketAddr;
use std::process::ExitCode;

/// What to stand in for.
#[derive(Debug, Clone)]
enum Command {
    Platform {
        listen: SocketAddr,
        rates: Rates,
        seed: u64,
    },
}

fn parse_listen() -> impl Parser<SocketAddr> {
    long("listen")
        .help("Address to listen on; with port 0 a free one is taken and told")
        .argument("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn parse_platform() -> impl Parser<Command> {
    let listen = parse_listen();
    let writes = long("writes")
        .help("Writes a second that the platform takes")
        .argument("RATE")
        .fallback(Rates::default().writes);
    let reads = long("reads")
        .help("Reads and watches a second that the platform takes")
        .argument("RATE")
        .fallback(Rates::default().reads);
    let rates = construct!(Rates { writes, reads });
    let seed = long("seed")
        .help("Seed of the faults that are drawn")
        .argument("SEED")
        .fallback(0);
    construct!(Command::Platform {
        listen,
        rates,
        seed
    })
}

fn parse_command() -> impl Parser<Command> {
    parse_platform()
        .to_options()
        .descr("The platform's object API, with faults by command")
        .command("platform")
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
            standin::platform::serve(listener, Memory::seeded(seed), rates).await;
            Ok(())
        }
    }
}
