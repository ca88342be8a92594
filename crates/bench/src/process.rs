//! Child processes that run the programs under test.

use crate::error::Error;
use rustix::process::{Pid, Signal, kill_process};
use std::ffi::OsStr;
use std::fs::File;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Environment variable with the folder of the programs under test.
const PROGRAMS_VARIABLE: &str = "BLUEBELLPICK_PROGRAMS";

/// Interval at which a process is polled while waiting for it to end.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`), which is a constant of the kernel's
/// interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// A handle of a child process. When the handle is dropped, the process is killed.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// File that receives the standard output and standard error of the process.
    pub log: PathBuf,
}

/// Resources that a process has used.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// CPU time since the start of the process.
    pub cpu_time: Duration,
    /// Voluntary context switches of the process's live threads since each thread started.
    pub voluntary_switches: u64,
}

impl Process {
    /// Starts a program of this workspace and appends its output to `log`.
    ///
    /// # Errors
    ///
    /// When the program does not exist or can't be started.
    pub fn spawn<I, S>(program: &str, arguments: I, log: &Path) -> Result<Self, Error>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        let path = find_program(program)?;
        let output = File::options().create(true).append(true).open(log)?;
        let child = Command::new(path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self {
            child,
            log: log.to_owned(),
        })
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// When the process has ended.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| Error::Unexpected("process id out of range".to_owned()))?;
        kill_process(pid, signal).map_err(|errno| Error::Io(errno.into()))
    }

    /// Kills the process and reaps it.
    ///
    /// # Errors
    ///
    /// When the system call fails.
    pub fn kill(&mut self) -> Result<(), Error> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits for the process to end on its own.
    ///
    /// # Errors
    ///
    /// When the process has not ended after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus, Error> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(Error::Timeout(format!("process {} did not end", self.id())))
    }

    /// Returns whether the process has been terminated by `signal`.
    pub fn was_ended_by(&mut self, signal: Signal) -> bool {
        let ended = self.child.try_wait().ok().flatten();
        ended.is_some_and(|status| status.signal() == Some(signal.as_raw()))
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Reads the resources that the process has used so far.
    ///
    /// # Errors
    ///
    /// When the process has ended.
    pub fn usage(&self) -> Result<Usage, Error> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let usage = parse_cpu_ticks(&stat).zip(parse_resident(&status));
        let (ticks, resident) =
            usage.ok_or_else(|| Error::Unexpected("unreadable process status".to_owned()))?;
        Ok(Usage {
            resident_bytes: resident,
            cpu_time: self.read_cpu_time().unwrap_or_else(|| {
                // A kernel without schedstats reports CPU time only in ticks.
                Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
            }),
            voluntary_switches: self.count_voluntary_switches()?,
        })
    }

    /// Reads the CPU time of all live threads from `schedstat`, with nanosecond resolution. Returns
    /// `None` if the kernel does not report it.
    fn read_cpu_time(&self) -> Option<Duration> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.id())).ok()?;
        let mut all = Duration::ZERO;
        for task in tasks.flatten() {
            let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            let nanos = text.split_whitespace().next()?.parse().ok()?;
            all += Duration::from_nanos(nanos);
        }
        Some(all).filter(|time| !time.is_zero())
    }

    /// Sums the voluntary context switches of all live threads.
    fn count_voluntary_switches(&self) -> Result<u64, Error> {
        let mut all = 0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.id()))? {
            // A thread may end between the listing and the read.
            let Ok(status) = std::fs::read_to_string(task?.path().join("status")) else {
                continue;
            };
            all += parse_voluntary_switches(&status).unwrap_or_default();
        }
        Ok(all)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A run that fails midway must not leave processes behind.
        if self.is_running() && self.kill().is_err() {
            eprintln!("process {} could not be killed", self.id());
        }
    }
}

/// Sums the user and system ticks in `/proc/PID/stat`.
///
/// Fields are counted from the last `)`, because the program name in parentheses may contain
/// spaces.
fn parse_cpu_ticks(stat: &str) -> Option<f64> {
    let fields = stat.rsplit_once(')')?.1;
    let mut ticks = fields.split_whitespace().skip(11);
    let user = ticks.next()?.parse::<f64>().ok()?;
    let system = ticks.next()?.parse::<f64>().ok()?;
    Some(user + system)
}

fn parse_voluntary_switches(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find(|line| line.starts_with("voluntary_ctxt_switches:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn parse_resident(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes = line.split_whitespace().nth(1)?.parse::<u64>().ok()?;
    Some(kilobytes * 1024)
}

/// Finds a program in the folder that [`PROGRAMS_VARIABLE`] names or, if the variable is not set,
/// in this program's folder, where cargo puts all programs of the workspace.
fn find_program(name: &str) -> Result<PathBuf, Error> {
    let folder = match std::env::var_os(PROGRAMS_VARIABLE) {
        Some(folder) => PathBuf::from(folder),
        None => current_folder()?,
    };
    let path = folder.join(name);
    if path.is_file() {
        Ok(path)
    } else {
        Err(Error::ProgramNotFound(path))
    }
}

fn current_folder() -> Result<PathBuf, Error> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    // Cargo puts test executables in the subfolder `deps`.
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(folder)
}
