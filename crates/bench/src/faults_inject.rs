//! Injects faults into a running fleet and ends them.

use crate::deployment::{Deployment, encode_patch, put_service};
use crate::error::Error;
use crate::faults_callers::now_us;
use crate::faults_forward::{ForwardMode, Forwarder};
use crate::faults_history::{ProcessRecord, Run, Span};
use crate::process::Process;
use crate::soak_deadly;
use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Time limit for a graceful stop of a process.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which a stopping process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A fault; the numbers are indexes of VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// SIGKILL of a node.
    KillNode(usize),
    /// SIGSTOP of a node, and SIGCONT at the end of the fault.
    FreezeNode(usize),
    /// SIGKILL of a backend server.
    KillServer(usize),
    /// SIGSTOP of a backend server, and SIGCONT at the end of the fault.
    FreezeServer(usize),
    /// The connections to a node drop the bytes towards the node.
    LoseUp(usize),
    /// The connections to a node drop the bytes from the node.
    LoseDown(usize),
    /// The connections to a node hold back the bytes towards the node until the end of the fault.
    HoldUp(usize),
    /// The connections to a node drop the bytes in both directions.
    Silence(usize),
    /// The connections to a node delay the bytes in both directions.
    Lag(usize),
    /// The connections to a node are closed; new connections work.
    Reset(usize),
    /// SIGHUP of a node.
    Hangup(usize),
    /// The platform responds after 0.8 s.
    PlatformSlow,
    /// The platform's watches stay open but deliver no more changes.
    SilentWatches,
    /// The platform executes requests but drops half of the responses.
    LoseAnswers,
    /// The platform is down.
    PlatformDown,
    /// Two operators propose changes against the same version at the same time.
    Race,
}

impl Fault {
    /// Returns a random fault.
    pub fn sample(rng: &mut SmallRng, vms: usize) -> Self {
        let vm = rng.random_range(0..vms);
        let faults = [
            Self::KillNode(vm),
            Self::FreezeNode(vm),
            Self::KillServer(vm),
            Self::FreezeServer(vm),
            Self::LoseUp(vm),
            Self::LoseDown(vm),
            Self::HoldUp(vm),
            Self::LoseAnswers,
            Self::PlatformDown,
            Self::Race,
            Self::Silence(vm),
            Self::Lag(vm),
            Self::Reset(vm),
            Self::Hangup(vm),
            Self::PlatformSlow,
            Self::SilentWatches,
        ];
        faults[rng.random_range(0..faults.len())]
    }

    /// Returns the affected VM, if the fault affects a single VM.
    pub(crate) fn vm(self) -> Option<usize> {
        match self {
            Self::KillNode(vm)
            | Self::FreezeNode(vm)
            | Self::KillServer(vm)
            | Self::FreezeServer(vm)
            | Self::LoseUp(vm)
            | Self::LoseDown(vm)
            | Self::HoldUp(vm)
            | Self::Silence(vm)
            | Self::Lag(vm)
            | Self::Reset(vm)
            | Self::Hangup(vm) => Some(vm),
            Self::LoseAnswers
            | Self::PlatformDown
            | Self::PlatformSlow
            | Self::SilentWatches
            | Self::Race => None,
        }
    }

    /// Returns whether two faults can be active at once without the end of one ending the other.
    #[must_use]
    pub fn is_compatible_with(self, other: Self) -> bool {
        match (self.vm(), other.vm()) {
            (Some(one), Some(two)) => one != two,
            (None, None) => self == Self::Race || other == Self::Race,
            _ => true,
        }
    }
}

/// A process to stop gracefully; the numbers are indexes of VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stop {
    /// A node.
    Node(usize),
    /// A backend server.
    Server(usize),
}

/// A graceful stop that has been requested and whose end has not been seen.
#[derive(Debug, Clone, Copy)]
pub struct PendingStop {
    /// The process that was requested to stop.
    pub stop: Stop,
    requested_at: Instant,
    requested_us: u64,
}

impl Stop {
    /// Returns the VM of the process.
    #[must_use]
    pub fn vm(self) -> usize {
        let (Self::Node(vm) | Self::Server(vm)) = self;
        vm
    }
}

impl PendingStop {
    /// Returns whether the time limit for the stop has passed.
    #[must_use]
    pub fn is_overdue(&self) -> bool {
        self.has_taken(STOP_TIMEOUT)
    }

    /// Returns whether the stop has taken longer than `limit` so far.
    #[must_use]
    pub fn has_taken(&self, limit: Duration) -> bool {
        self.requested_at.elapsed() > limit
    }
}

/// A running fleet into which faults can be injected.
#[derive(Debug)]
pub struct Target {
    /// The fleet.
    pub deployment: Deployment,
    /// Forwarders in front of the nodes, one per VM; empty if there are no forwarders.
    pub forwarders: Vec<Forwarder>,
    /// Record files by index of the VM, one file per process of the backend server, each with the
    /// stop spans of the process.
    records: HashMap<usize, Vec<(PathBuf, Vec<Span>)>>,
    proposers: Vec<Process>,
    race_count: u32,
}

impl Target {
    /// Creates a target from a fleet. `files` are the record files of the backend servers, in the
    /// order of the VMs.
    #[must_use]
    pub fn new(deployment: Deployment, forwarders: Vec<Forwarder>, files: Vec<PathBuf>) -> Self {
        let records = files.into_iter().map(|file| vec![(file, Vec::new())]);
        Self {
            deployment,
            forwarders,
            records: records.enumerate().collect(),
            proposers: Vec::new(),
            race_count: 0,
        }
    }

    /// Begins a fault.
    ///
    /// # Errors
    ///
    /// When a process can't be signalled or the platform refuses the command.
    pub async fn inject(&mut self, fault: Fault) -> Result<(), Error> {
        match fault {
            Fault::KillNode(vm) => self.deployment.vms[vm].node.kill(),
            Fault::FreezeNode(vm) => self.deployment.vms[vm].node.signal(Signal::STOP),
            Fault::KillServer(vm) => self.server(vm)?.kill(),
            Fault::FreezeServer(vm) => self.signal_server(vm, Signal::STOP),
            Fault::LoseUp(vm) => {
                self.forwarders[vm].set_modes(ForwardMode::Drop, ForwardMode::Pass);
                Ok(())
            }
            Fault::LoseDown(vm) => {
                self.forwarders[vm].set_modes(ForwardMode::Pass, ForwardMode::Drop);
                Ok(())
            }
            Fault::HoldUp(vm) => {
                self.forwarders[vm].set_modes(ForwardMode::Hold, ForwardMode::Pass);
                Ok(())
            }
            Fault::Silence(vm) => {
                self.forwarders[vm].set_modes(ForwardMode::Drop, ForwardMode::Drop);
                Ok(())
            }
            Fault::Lag(vm) => {
                self.forwarders[vm].set_modes(ForwardMode::Delay, ForwardMode::Delay);
                Ok(())
            }
            Fault::Reset(vm) => {
                self.forwarders[vm].close_all();
                Ok(())
            }
            Fault::Hangup(vm) => self.deployment.vms[vm].node.signal(Signal::HUP),
            Fault::PlatformSlow => self.set_platform_fault(r#"{"slow_ms":800}"#).await,
            Fault::SilentWatches => self.set_platform_fault(r#"{"silent_watches":true}"#).await,
            Fault::LoseAnswers => self.set_platform_fault(r#"{"lose_percent":50}"#).await,
            Fault::PlatformDown => self.set_platform_fault(r#"{"down":true}"#).await,
            Fault::Race => self.race(),
        }
    }

    /// Ends a fault.
    ///
    /// # Errors
    ///
    /// When a program can't be started again or the platform refuses the command.
    pub async fn recover(&mut self, fault: Fault) -> Result<(), Error> {
        match fault {
            Fault::KillNode(vm) => self.deployment.vms[vm].restart_node(),
            Fault::FreezeNode(vm) => self.deployment.vms[vm].node.signal(Signal::CONT),
            Fault::KillServer(vm) => self.restart_server(vm),
            Fault::FreezeServer(vm) => self.signal_server(vm, Signal::CONT),
            Fault::HoldUp(vm) | Fault::Lag(vm) => {
                self.forwarders[vm].set_modes(ForwardMode::Pass, ForwardMode::Pass);
                Ok(())
            }
            Fault::LoseUp(_)
            | Fault::LoseDown(_)
            | Fault::Silence(_)
            | Fault::Reset(_)
            | Fault::Hangup(_)
            | Fault::Race => Ok(()),
            Fault::LoseAnswers
            | Fault::PlatformDown
            | Fault::PlatformSlow
            | Fault::SilentWatches => self.set_platform_fault("{}").await,
        }
    }

    /// Stops a process gracefully, waits until it has ended and starts it again.
    ///
    /// # Errors
    ///
    /// When the process does not end in time, or can't be started again.
    pub async fn restart_gracefully(&mut self, stop: Stop) -> Result<(), Error> {
        self.stop_and_wait(stop).await?;
        self.start(stop)
    }

    /// Stops a process gracefully and waits until it has ended.
    ///
    /// # Errors
    ///
    /// When the process does not end in time.
    pub async fn stop_and_wait(&mut self, stop: Stop) -> Result<(), Error> {
        let pending = self.request_stop(stop)?;
        while !self.has_ended(&pending)? {
            if pending.is_overdue() {
                return Err(Error::Timeout(format!("{stop:?} to end")));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Requests a process to stop gracefully, if it is still running.
    ///
    /// # Errors
    ///
    /// When the VM has no such process, or the signal can't be sent.
    pub fn request_stop(&mut self, stop: Stop) -> Result<PendingStop, Error> {
        let process = self.process(stop)?;
        // A deadly request may have crashed the process.
        if process.is_running() {
            process.signal(Signal::TERM)?;
        }
        Ok(PendingStop {
            stop,
            requested_at: Instant::now(),
            requested_us: now_us(),
        })
    }

    /// Returns whether a process that was requested to stop has ended. If the process has ended,
    /// records the stop span.
    ///
    /// # Errors
    ///
    /// When the VM has no such process.
    pub fn has_ended(&mut self, pending: &PendingStop) -> Result<bool, Error> {
        if self.process(pending.stop)?.is_running() {
            return Ok(false);
        }
        let span = Span {
            from_us: pending.requested_us,
            to_us: now_us(),
        };
        let records = self.records.entry(pending.stop.vm()).or_default();
        if let Some((_, stop_spans)) = records.last_mut() {
            stop_spans.push(span);
        }
        Ok(true)
    }

    /// Kills a process that did not stop.
    ///
    /// # Errors
    ///
    /// When the signal can't be sent.
    pub fn kill(&mut self, stop: Stop) -> Result<(), Error> {
        self.process(stop)?.kill()
    }

    /// Returns the paths of the record files of all processes.
    pub fn record_files(&self) -> impl Iterator<Item = &std::path::Path> {
        self.records
            .values()
            .flatten()
            .map(|(file, _)| file.as_path())
    }

    /// Kills a backend server and starts it again at once.
    ///
    /// # Errors
    ///
    /// When the backend server can't be killed or started.
    pub fn kill_and_restart(&mut self, vm: usize) -> Result<(), Error> {
        self.server(vm)?.kill()?;
        self.restart_server(vm)
    }

    /// Starts a process again after it has ended.
    ///
    /// # Errors
    ///
    /// When the process can't be started.
    pub fn start(&mut self, stop: Stop) -> Result<(), Error> {
        match stop {
            Stop::Node(vm) => self.deployment.vms[vm].restart_node(),
            Stop::Server(vm) => self.restart_server(vm),
        }
    }

    fn process(&mut self, stop: Stop) -> Result<&mut Process, Error> {
        match stop {
            Stop::Node(vm) => Ok(&mut self.deployment.vms[vm].node),
            Stop::Server(vm) => self.server(vm),
        }
    }

    /// Reads the records of all backend servers.
    ///
    /// # Errors
    ///
    /// When a file can't be read, or a line is not a valid run.
    pub fn read_records(&self) -> Result<Vec<ProcessRecord>, Error> {
        let files = self.records.values().flatten();
        files
            .map(|(file, stop_spans)| {
                Ok(ProcessRecord {
                    runs: read_runs(&read_record(file)?)?,
                    stop_spans: stop_spans.clone(),
                })
            })
            .collect()
    }

    pub(crate) fn server(&mut self, vm: usize) -> Result<&mut Process, Error> {
        let server = self.deployment.vms[vm].backend.as_mut();
        server.ok_or_else(|| Error::Unexpected(format!("VM {vm} has no backend server")))
    }

    /// Sends a signal to a backend server, unless a deadly request has crashed it.
    fn signal_server(&mut self, vm: usize, signal: Signal) -> Result<(), Error> {
        let server = self.server(vm)?;
        if server.is_running() {
            server.signal(signal)?;
        }
        Ok(())
    }

    async fn set_platform_fault(&self, fault: &str) -> Result<(), Error> {
        self.deployment.set_platform_fault(fault).await.map(drop)
    }

    /// Starts a backend server again. The new process gets a record file of its own, because it
    /// would overwrite the record of the previous process in the same file.
    pub(crate) fn restart_server(&mut self, vm: usize) -> Result<(), Error> {
        let files = self.records.entry(vm).or_default();
        let file = record_file(self.deployment.folder(), vm, files.len());
        files.push((file.clone(), Vec::new()));
        let server = &mut self.deployment.vms[vm];
        server.spec.backend_args = record_args(&file);
        server.restart_backend()
    }

    /// Starts two concurrent proposals with the same base version. Which of the two is accepted, if
    /// any, is not checked.
    fn race(&mut self) -> Result<(), Error> {
        self.race_count += 1;
        self.proposers.retain_mut(Process::is_running);
        let platform = self.deployment.platform_address.to_string();
        for proposer in 0..2 {
            let service = format!("race-{}-{proposer}", self.race_count);
            let file = self.deployment.folder().join(format!("{service}.jsonl"));
            std::fs::write(&file, encode_patch(&[put_service(&service)])?)?;
            let (file, base) = (file.display().to_string(), self.race_count.to_string());
            let arguments = ["propose", &file, "--base", &base, "--platform", &platform];
            let log = self.deployment.folder().join(format!("{service}.log"));
            self.proposers
                .push(Process::spawn("bluebellpick", arguments, &log)?);
        }
        Ok(())
    }
}

/// Reads a record file. A missing file counts as empty: the process was killed before it created
/// the file, and has run nothing.
pub(crate) fn read_record(file: &std::path::Path) -> Result<String, Error> {
    match std::fs::read_to_string(file) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(String::new()),
        read => Ok(read?),
    }
}

/// Returns the path of the record file of a backend server's process.
#[must_use]
pub fn record_file(folder: &std::path::Path, vm: usize, process: usize) -> PathBuf {
    folder.join(format!("record-{vm}-{process}.jsonl"))
}

/// Returns the arguments of a backend server that records to `file`.
#[must_use]
pub fn record_args(file: &std::path::Path) -> Vec<String> {
    let file = file.display().to_string();
    vec![
        "--record".to_owned(),
        file,
        "--work-ms".to_owned(),
        "8".to_owned(),
        "--deadly-path".to_owned(),
        soak_deadly::DEADLY_MARKER.to_owned(),
    ]
}

/// Parses the lines of a record. If several lines are about the same run, the last of them is used,
/// because it is the most complete. A line without a newline at the end of the file, which a killed
/// process may leave, is ignored.
pub(crate) fn read_runs(text: &str) -> Result<Vec<Run>, Error> {
    let complete = text.rsplit_once('\n').map_or("", |(complete, _)| complete);
    let mut runs: HashMap<usize, Run> = HashMap::new();
    for line in complete.lines() {
        let run: Run =
            serde_json::from_str(line).map_err(|error| Error::Unexpected(error.to_string()))?;
        runs.insert(run.run, run);
    }
    Ok(runs.into_values().collect())
}
