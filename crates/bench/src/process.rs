//! Programs under test as child processes.

use crate::error::Error;
use rustix::process::{Pid, Signal, kill_process};
use std::ffi::OsStr;
use std::fs::File;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Environment variable that names the folder of the programs.
const PROGRAMS: &str = "BLUEBELLPICK_PROGRAMS";

/// Time between two looks at a process that is to end.
const POLL: Duration = Duration::from_millis(10);

/// Clock ticks a second of `/proc/PID/stat`; fixed by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// A child process that ends with its handle.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Where its standard output and error go.
    pub log: PathBuf,
}

/// What a process has used.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Processor time since its start.
    pub cpu_time: Duration,
    /// Times that one of its threads gave the processor up since its start.
    pub voluntary_switches: u64,
}

impl Process {
    /// Starts a program of this workspace, with its output in `log`.
    ///
    /// # Errors
    ///
    /// When the program is not there or can't be started.
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

    /// Gives the process id.
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

    /// Kills the process at once and reaps it.
    ///
    /// # Errors
    ///
    /// When the system refuses.
    pub fn kill(&mut self) -> Result<(), Error> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits for the process to end by itself.
    ///
    /// # Errors
    ///
    /// When it has not ended after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus, Error> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            std::thread::sleep(POLL);
        }
        Err(Error::Timeout(format!("process {} to end", self.id())))
    }

    /// Tells whether a process that has ended was ended by `signal`.
    pub fn was_ended_by(&mut self, signal: Signal) -> bool {
        let ended = self.child.try_wait().ok().flatten();
        ended.is_some_and(|status| status.signal() == Some(signal.as_raw()))
    }

    /// Tells whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Reads what the process has used so far.
    ///
    /// # Errors
    ///
    /// When the process has ended.
    pub fn usage(&self) -> Result<Usage, Error> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let usage = scan_ticks(&stat).zip(scan_resident(&status));
        let (ticks, resident) =
            usage.ok_or_else(|| Error::Unexpected("unreadable process status".to_owned()))?;
        Ok(Usage {
            resident_bytes: resident,
            cpu_time: self.read_scheduled().unwrap_or_else(|| {
                // The kernel may not keep nanoseconds.
                Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
            }),
            voluntary_switches: self.count_switches()?,
        })
    }

    /// Reads the processor time of all threads, to the nanosecond.
    fn read_scheduled(&self) -> Option<Duration> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.id())).ok()?;
        let mut all = Duration::ZERO;
        for task in tasks.flatten() {
            let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            let nanos = text.split_whitespace().next()?.parse().ok()?;
            all += Duration::from_nanos(nanos);
        }
        Some(all).filter(|time| !time.is_zero())
    }

    /// Counts the times that a thread of the process waited for something.
    fn count_switches(&self) -> Result<u64, Error> {
        let mut all = 0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.id()))? {
            // A thread may end between the listing and the look at it.
            let Ok(status) = std::fs::read_to_string(task?.path().join("status")) else {
                continue;
            };
            all += scan_switches(&status).unwrap_or_default();
        }
        Ok(all)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A run that fails half way must leave no process behind.
        if self.is_running() && self.kill().is_err() {
            eprintln!("process {} could not be ended", self.id());
        }
    }
}

/// Sums user and system ticks of `/proc/PID/stat`; the name in brackets may hold spaces.
fn scan_ticks(stat: &str) -> Option<f64> {
    let fields = stat.rsplit_once(')')?.1;
    let mut ticks = fields.split_whitespace().skip(11);
    let user = ticks.next()?.parse::<f64>().ok()?;
    let system = ticks.next()?.parse::<f64>().ok()?;
    Some(user + system)
}

fn scan_switches(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find(|line| line.starts_with("voluntary_ctxt_switches:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn scan_resident(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes = line.split_whitespace().nth(1)?.parse::<u64>().ok()?;
    Some(kilobytes * 1024)
}

/// Finds a program beside this one, where cargo puts them all.
fn find_program(name: &str) -> Result<PathBuf, Error> {
    let folder = match std::env::var_os(PROGRAMS) {
        Some(folder) => PathBuf::from(folder),
        None => own_folder()?,
    };
    let path = folder.join(name);
    if path.is_file() {
        Ok(path)
    } else {
        Err(Error::ProgramNotFound(path))
    }
}

fn own_folder() -> Result<PathBuf, Error> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    // Tests run one folder below the programs.
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(folder)
}
