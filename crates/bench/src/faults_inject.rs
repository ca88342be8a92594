//! Faults that are put into a running fleet, and taken out again.

use crate::deployment::{Deployment, encode_patch, put_service};
use crate::error::Error;
use crate::faults_callers::now_us;
use crate::faults_forward::{Forwarder, Mode};
use crate::faults_history::{Record, Run, Span};
use crate::process::Process;
use crate::soak_deadly;
use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Longest wait for a process that was told to stop gracefully.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// Time between two looks at such a process.
const POLL: Duration = Duration::from_millis(10);

/// What is done to the fleet; numbers name VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// SIGKILL of a node.
    KillNode(usize),
    /// SIGSTOP of a node, and SIGCONT later.
    FreezeNode(usize),
    /// SIGKILL of a backend server.
    KillServer(usize),
    /// SIGSTOP of a backend server, and SIGCONT later.
    FreezeServer(usize),
    /// Connections to a node lose what goes towards it.
    LoseUp(usize),
    /// Connections to a node lose what comes back.
    LoseDown(usize),
    /// Connections to a node hold what goes towards it, and deliver it late.
    HoldUp(usize),
    /// Connections to a node lose what goes either way.
    Silence(usize),
    /// Connections to a node are slow either way.
    Lag(usize),
    /// Connections to a node are closed; new ones work.
    Reset(usize),
    /// SIGHUP of a node.
    Hangup(usize),
    /// The platform answers after 0.8 s.
    PlatformSlow,
    /// The platform's watches stay open and say nothing more.
    SilentWatches,
    /// The platform loses answers after the effect.
    LoseAnswers,
    /// The platform is down.
    PlatformDown,
    /// Two operators propose against the same version.
    Race,
}

impl Fault {
    /// Draws a fault.
    pub fn draw(rng: &mut SmallRng, vms: usize) -> Self {
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

    /// Gives the VM that it is done to, if it is one.
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

    /// Tells whether two faults can be in force at once without one undoing the other.
    #[must_use]
    pub fn goes_with(self, other: Self) -> bool {
        match (self.vm(), other.vm()) {
            (Some(one), Some(two)) => one != two,
            (None, None) => self == Self::Race || other == Self::Race,
            _ => true,
        }
    }
}

/// What is stopped gracefully; numbers name VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stop {
    /// A node.
    Node(usize),
    /// A backend server.
    Server(usize),
}

/// A graceful stop under way.
#[derive(Debug, Clone, Copy)]
pub struct Ending {
    /// What was told to stop.
    pub stop: Stop,
    since: Instant,
    from_us: u64,
}

impl Stop {
    /// Gives the VM whose process it stops.
    #[must_use]
    pub fn vm(self) -> usize {
        let (Self::Node(vm) | Self::Server(vm)) = self;
        vm
    }
}

impl Ending {
    /// Tells whether it should have ended.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.since.elapsed() > STOP_LIMIT
    }
}

/// A running fleet with the means to harm it.
#[derive(Debug)]
pub struct Target {
    /// The fleet.
    pub deployment: Deployment,
    /// A forwarder in front of each VM's node.
    pub forwarders: Vec<Forwarder>,
    /// Files of the records, by VM: one a process.
    records: HashMap<usize, Vec<(PathBuf, Vec<Span>)>>,
    racers: Vec<Process>,
    races: u32,
}

impl Target {
    /// Takes over a fleet whose backend servers record to the files of [`record_file`].
    #[must_use]
    pub fn new(deployment: Deployment, forwarders: Vec<Forwarder>, files: Vec<PathBuf>) -> Self {
        let records = files.into_iter().map(|file| vec![(file, Vec::new())]);
        Self {
            deployment,
            forwarders,
            records: records.enumerate().collect(),
            racers: Vec::new(),
            races: 0,
        }
    }

    /// Puts a fault in.
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
                self.forwarders[vm].set(Mode::Lose, Mode::Pass);
                Ok(())
            }
            Fault::LoseDown(vm) => {
                self.forwarders[vm].set(Mode::Pass, Mode::Lose);
                Ok(())
            }
            Fault::HoldUp(vm) => {
                self.forwarders[vm].set(Mode::Hold, Mode::Pass);
                Ok(())
            }
            Fault::Silence(vm) => {
                self.forwarders[vm].set(Mode::Lose, Mode::Lose);
                Ok(())
            }
            Fault::Lag(vm) => {
                self.forwarders[vm].set(Mode::Lag, Mode::Lag);
                Ok(())
            }
            Fault::Reset(vm) => {
                self.forwarders[vm].reset();
                Ok(())
            }
            Fault::Hangup(vm) => self.deployment.vms[vm].node.signal(Signal::HUP),
            Fault::PlatformSlow => self.set_platform(r#"{"slow_ms":800}"#).await,
            Fault::SilentWatches => self.set_platform(r#"{"silent_watches":true}"#).await,
            Fault::LoseAnswers => self.set_platform(r#"{"lose_percent":50}"#).await,
            Fault::PlatformDown => self.set_platform(r#"{"down":true}"#).await,
            Fault::Race => self.race(),
        }
    }

    /// Takes a fault out again.
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
                self.forwarders[vm].set(Mode::Pass, Mode::Pass);
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
            | Fault::SilentWatches => self.set_platform("{}").await,
        }
    }

    /// Stops a process gracefully, waits for its end and starts it again.
    ///
    /// # Errors
    ///
    /// When it does not end in time, or can't be started again.
    pub async fn stop(&mut self, stop: Stop) -> Result<(), Error> {
        self.end(stop).await?;
        self.start(stop)
    }

    /// Stops a process gracefully and waits for its end.
    ///
    /// # Errors
    ///
    /// When it does not end in time.
    pub async fn end(&mut self, stop: Stop) -> Result<(), Error> {
        let ending = self.tell(stop)?;
        while !self.has_ended(&ending)? {
            if ending.is_late() {
                return Err(Error::Timeout(format!("{stop:?} to end")));
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }

    /// Tells a process to stop gracefully.
    ///
    /// # Errors
    ///
    /// When there is no such process.
    pub fn tell(&mut self, stop: Stop) -> Result<Ending, Error> {
        let process = self.process(stop)?;
        // A request may have crashed it.
        if process.is_running() {
            process.signal(Signal::TERM)?;
        }
        Ok(Ending {
            stop,
            since: Instant::now(),
            from_us: now_us(),
        })
    }

    /// Tells whether a process that was told to stop has ended, and notes when.
    ///
    /// # Errors
    ///
    /// When there is no such process.
    pub fn has_ended(&mut self, ending: &Ending) -> Result<bool, Error> {
        if self.process(ending.stop)?.is_running() {
            return Ok(false);
        }
        let span = Span {
            from_us: ending.from_us,
            to_us: now_us(),
        };
        let records = self.records.entry(ending.stop.vm()).or_default();
        if let Some((_, left)) = records.last_mut() {
            left.push(span);
        }
        Ok(true)
    }

    /// Kills a process that did not stop.
    ///
    /// # Errors
    ///
    /// When the system refuses.
    pub fn kill(&mut self, stop: Stop) -> Result<(), Error> {
        self.process(stop)?.kill()
    }

    /// Gives the files of all records.
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
    /// When it can't be killed or started.
    pub fn bounce(&mut self, vm: usize) -> Result<(), Error> {
        self.server(vm)?.kill()?;
        self.restart_server(vm)
    }

    /// Starts a process again that has ended.
    ///
    /// # Errors
    ///
    /// When it can't be started.
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

    /// Reads what all backend servers recorded.
    ///
    /// # Errors
    ///
    /// When a file can't be read, or a line is no run.
    pub fn read_records(&self) -> Result<Vec<Record>, Error> {
        let files = self.records.values().flatten();
        files
            .map(|(file, left)| {
                Ok(Record {
                    runs: read_runs(&read_record(file)?)?,
                    left: left.clone(),
                })
            })
            .collect()
    }

    pub(crate) fn server(&mut self, vm: usize) -> Result<&mut Process, Error> {
        let server = self.deployment.vms[vm].backend.as_mut();
        server.ok_or_else(|| Error::Unexpected(format!("VM {vm} has no backend server")))
    }

    /// Signals a backend server, unless a request has crashed it.
    fn signal_server(&mut self, vm: usize, signal: Signal) -> Result<(), Error> {
        let server = self.server(vm)?;
        if server.is_running() {
            server.signal(signal)?;
        }
        Ok(())
    }

    async fn set_platform(&self, fault: &str) -> Result<(), Error> {
        self.deployment.set_platform_fault(fault).await.map(drop)
    }

    /// A killed process leaves its record behind; the next one gets a file of its own.
    pub(crate) fn restart_server(&mut self, vm: usize) -> Result<(), Error> {
        let files = self.records.entry(vm).or_default();
        let file = record_file(self.deployment.folder(), vm, files.len());
        files.push((file.clone(), Vec::new()));
        let server = &mut self.deployment.vms[vm];
        server.spec.backend_args = record_arguments(&file);
        server.restart_backend()
    }

    /// Starts two proposals against the version of now; which one wins is not looked at here.
    fn race(&mut self) -> Result<(), Error> {
        self.races += 1;
        self.racers.retain_mut(Process::is_running);
        let platform = self.deployment.platform_address.to_string();
        for racer in 0..2 {
            let service = format!("race-{}-{racer}", self.races);
            let file = self.deployment.folder().join(format!("{service}.jsonl"));
            std::fs::write(&file, encode_patch(&[put_service(&service)])?)?;
            let (file, base) = (file.display().to_string(), self.races.to_string());
            let arguments = ["propose", &file, "--base", &base, "--platform", &platform];
            let log = self.deployment.folder().join(format!("{service}.log"));
            self.racers
                .push(Process::spawn("bluebellpick", arguments, &log)?);
        }
        Ok(())
    }
}

/// Reads a record; a process that was killed before its first line of code left none, and ran nothing.
pub(crate) fn read_record(file: &std::path::Path) -> Result<String, Error> {
    match std::fs::read_to_string(file) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(String::new()),
        read => Ok(read?),
    }
}

/// Names the file of a backend server's record.
#[must_use]
pub fn record_file(folder: &std::path::Path, vm: usize, process: usize) -> PathBuf {
    folder.join(format!("record-{vm}-{process}.jsonl"))
}

/// Gives the arguments of a backend server that records to `file`.
#[must_use]
pub fn record_arguments(file: &std::path::Path) -> Vec<String> {
    let file = file.display().to_string();
    vec![
        "--record".to_owned(),
        file,
        "--work-ms".to_owned(),
        "8".to_owned(),
        "--deadly-path".to_owned(),
        soak_deadly::MARK.to_owned(),
    ]
}

/// Reads a record's lines; the last one of each run tells the most, and a killed process may leave half a line.
pub(crate) fn read_runs(text: &str) -> Result<Vec<Run>, Error> {
    let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
    let mut runs: HashMap<usize, Run> = HashMap::new();
    for line in whole.lines() {
        let run: Run =
            serde_json::from_str(line).map_err(|error| Error::Unexpected(error.to_string()))?;
        runs.insert(run.run, run);
    }
    Ok(runs.into_values().collect())
}
