//! Runs the program against a platform stand-in in the test process.

use serde_json::Value;
use standin::platform::{RateLimits, serve};
use std::fs;
use std::net::SocketAddr;
use std::process::Command;
use store::MemoryStore;
use tempfile::TempDir;
use tokio::net::TcpListener;

/// Result of a run of the program.
#[derive(Debug)]
pub struct RunResult {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

impl RunResult {
    /// Reads the output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.output).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// A platform stand-in and a folder for the files of a test.
pub struct Harness {
    platform: SocketAddr,
    folder: TempDir,
}

impl Harness {
    /// Serves `memory` as the platform.
    pub async fn open(memory: &MemoryStore) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let platform = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, memory.clone(), RateLimits::default()));
        Self {
            platform,
            folder: tempfile::tempdir().unwrap(),
        }
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs the program with the arguments and the address of the platform stand-in.
    pub fn run(&self, arguments: &[&str]) -> RunResult {
        let platform = format!("--platform={}", self.platform);
        run_program(&[arguments, &[&platform, "--timeout=2"]].concat())
    }
}

/// Runs the program with the arguments, as the user `ann`.
pub fn run_program(arguments: &[&str]) -> RunResult {
    let output = Command::new(env!("CARGO_BIN_EXE_bluebellpick"))
        .args(arguments)
        .env_remove("BLUEBELLPICK_SETTINGS")
        .env("USER", "ann")
        .output()
        .unwrap();
    RunResult {
        code: output.status.code().unwrap(),
        output: String::from_utf8(output.stdout).unwrap(),
        errors: String::from_utf8(output.stderr).unwrap(),
    }
}
