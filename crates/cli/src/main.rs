//! The operators' command line.

use bpaf::{Args, ParseFailure};
use cli::Exit;
use std::process::ExitCode;

/// Width of help texts, in columns.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    env_logger::init();
    let options = match cli::options::parse_options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let is_help = !matches!(failure, ParseFailure::Stderr(_));
            return if is_help { Exit::Done } else { Exit::Usage }.into();
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(cli::run(options)).into(),
        Err(error) => {
            eprintln!("bluebellpick: {error}");
            Exit::Failed.into()
        }
    }
}
