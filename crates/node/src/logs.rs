//! The log: one line a change of state, with a fixed event name and key-values.

use env_logger::{Builder, Env};

/// Variable that sets the log level, in the manner of `env_logger`.
pub const VARIABLE: &str = "BLUEBELLPICK_LOG";

/// Starts the log on standard error; level `info` unless the variable says otherwise.
pub fn open() {
    Builder::from_env(Env::new().filter_or(VARIABLE, "info"))
        .format_timestamp_millis()
        .init();
}
