//! A fleet of real processes on loopback addresses, with one address per VM.

use crate::caller::{Answer, Call, Caller};
use crate::error::Error;
use crate::process::Process;
use config::{Change, Class, Repeat, Route, Service, Target};
use http::Method;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Port of a node's listener for callers.
const CALLERS_PORT: u16 = 7001;
/// Port of a node's listener for announcements of its backend server.
const ANNOUNCE_PORT: u16 = 7002;
/// Port of a node's listener for other nodes.
const NODES_PORT: u16 = 7003;
/// Port of a node's listener for operators.
const OPERATORS_PORT: u16 = 7004;
/// Port on which a backend server accepts calls.
const BACKEND_PORT: u16 = 7005;
/// Port of the platform stand-in.
const PLATFORM_PORT: u16 = 7000;

/// Maximum number of a deployment's VMs in one block of 256 loopback addresses.
const VMS_PER_BLOCK: usize = 200;

/// Time limit of a call that the bench itself sends to a process of the deployment.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which awaited conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of the calls of every route that [`put_route`] returns, in milliseconds.
const ROUTE_TIMEOUT_MS: u32 = 5_000;

/// Bearer token that operators' writes to the deployment's nodes must carry.
pub const OPERATOR_TOKEN: &str = "bench-operators-token";

/// Description of a VM to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmSpec {
    /// Name of the VM's node.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Service of the VM's backend server. Without a service, the VM runs only a node.
    pub service: Option<String>,
    /// Additional arguments of the backend server's stand-in.
    pub backend_args: Vec<String>,
    /// Address at which the node reaches the platform; by default the address of the deployment's
    /// platform stand-in.
    pub platform_address: Option<SocketAddr>,
    /// Additional lines of the node's settings file, as pairs of section and line.
    pub extra_settings: Vec<(String, String)>,
}

impl VmSpec {
    /// Describes a VM in the region `region-1`.
    #[must_use]
    pub fn new(name: &str, zone: &str, service: Option<&str>) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            region: "region-1".to_owned(),
            service: service.map(str::to_owned),
            backend_args: Vec::new(),
            platform_address: None,
            extra_settings: Vec::new(),
        }
    }
}

/// Describes VMs for `services`: `per_zone` VMs of each service in each of three availability zones.
#[must_use]
pub fn service_vms(services: &[&str], per_zone: usize) -> Vec<VmSpec> {
    let mut specs = Vec::new();
    for zone in ["zone-1", "zone-2", "zone-3"] {
        for service in services {
            for index in 1..=per_zone {
                let name = format!("{zone}-{service}-{index}");
                specs.push(VmSpec::new(&name, zone, Some(service)));
            }
        }
    }
    specs
}

/// A VM with its processes.
#[derive(Debug)]
pub struct Vm {
    /// Description that the VM was started from.
    pub spec: VmSpec,
    /// Loopback address of the VM.
    pub ip: IpAddr,
    /// The node's process.
    pub node: Process,
    /// The backend server's process, if the VM has one.
    pub backend: Option<Process>,
    settings_file: PathBuf,
    programs: PathBuf,
}

impl Vm {
    /// Address of the node's listener for callers.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Address of the node's listener for other nodes.
    #[must_use]
    pub fn nodes_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, NODES_PORT)
    }

    /// Address of the node's listener at which the backend server announces itself.
    #[must_use]
    pub fn announce_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ANNOUNCE_PORT)
    }

    /// Address of the node's listener for operators.
    #[must_use]
    pub fn operators_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OPERATORS_PORT)
    }

    /// Address on which the backend server accepts calls.
    #[must_use]
    pub fn backend_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, BACKEND_PORT)
    }

    /// Starts the node again after its process has ended.
    ///
    /// # Errors
    ///
    /// When the program can't be started.
    pub fn restart_node(&mut self) -> Result<(), Error> {
        self.node = spawn_node(&self.programs, &self.settings_file, &self.node.log)?;
        Ok(())
    }

    /// Starts the backend server again after its process has ended.
    ///
    /// # Errors
    ///
    /// When the program can't be started.
    pub fn restart_backend(&mut self) -> Result<(), Error> {
        if let Some(service) = &self.spec.service {
            let log = self.settings_file.with_extension("backend.log");
            let programs = &self.programs;
            self.backend = Some(spawn_backend(programs, self.ip, service, &self.spec, &log)?);
        }
        Ok(())
    }
}

/// A running fleet. When a deployment is dropped, its processes are killed.
#[derive(Debug)]
pub struct Deployment {
    folder: TempDir,
    /// The platform stand-in's process.
    pub platform: Process,
    /// Address of the platform stand-in.
    pub platform_address: SocketAddr,
    /// The VMs, in the order of their descriptions.
    pub vms: Vec<Vm>,
    /// Second and third byte of the addresses in the deployment's first block of loopback
    /// addresses.
    first_block: [u8; 2],
    /// Folder of the programs to run; empty for the default folder, as [`Process::spawn`] finds it.
    programs: PathBuf,
}

impl Deployment {
    /// Starts a platform stand-in and then the described VMs.
    ///
    /// # Errors
    ///
    /// When a program can't be started.
    pub async fn spawn(specs: Vec<VmSpec>, platform_arguments: &[&str]) -> Result<Self, Error> {
        Self::spawn_from(Path::new(""), specs, platform_arguments).await
    }

    /// Like [`Deployment::spawn`], but runs the programs in the folder `programs`.
    ///
    /// # Errors
    ///
    /// When a program can't be started.
    pub async fn spawn_from(
        programs: &Path,
        specs: Vec<VmSpec>,
        platform_arguments: &[&str],
    ) -> Result<Self, Error> {
        let folder = tempfile::Builder::new().prefix("bluebellpick-").tempdir()?;
        // A random block of loopback addresses, so that deployments can run side by side.
        let first_block = [rand::random_range(1..=254), rand::random_range(0..=250)];
        let address = SocketAddr::new(loopback_address(first_block, 0), PLATFORM_PORT);
        let programs = programs.to_owned();
        let platform = spawn_platform(&programs, address, platform_arguments, folder.path())?;
        let mut deployment = Self {
            folder,
            platform,
            platform_address: address,
            vms: Vec::new(),
            first_block,
            programs,
        };
        deployment.wait_platform().await?;
        for spec in specs {
            deployment.add(spec)?;
        }
        Ok(deployment)
    }

    /// Returns the IP address that the next VM to be added will have.
    #[must_use]
    pub fn next_ip(&self) -> IpAddr {
        loopback_address(self.first_block, self.vms.len() + 1)
    }

    /// Starts another VM.
    ///
    /// # Errors
    ///
    /// When a program can't be started.
    pub fn add(&mut self, spec: VmSpec) -> Result<(), Error> {
        let ip = self.next_ip();
        let settings = self.folder.path().join(format!("{}.ini", spec.name));
        let seeds = self
            .vms
            .iter()
            .take(3)
            .map(Vm::nodes_address)
            .collect::<Vec<_>>();
        std::fs::write(
            &settings,
            format_settings(
                &spec,
                ip,
                spec.platform_address.unwrap_or(self.platform_address),
                &seeds,
            ),
        )?;
        let log = settings.with_extension("node.log");
        let node = spawn_node(&self.programs, &settings, &log)?;
        let backend = match &spec.service {
            Some(service) => {
                let log = settings.with_extension("backend.log");
                Some(spawn_backend(&self.programs, ip, service, &spec, &log)?)
            }
            None => None,
        };
        self.vms.push(Vm {
            spec,
            ip,
            node,
            backend,
            settings_file: settings,
            programs: self.programs.clone(),
        });
        Ok(())
    }

    /// Returns the folder of settings files and logs, which is deleted when the deployment is
    /// dropped.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Runs the operators' command-line program and returns its exit code and output.
    ///
    /// # Errors
    ///
    /// When the program can't be started or doesn't end within `limit`.
    pub fn run_cli(&self, arguments: &[&str], limit: Duration) -> Result<(i32, String), Error> {
        let log = self
            .folder
            .path()
            .join(format!("operate-{:016x}.log", rand::random::<u64>()));
        let program = program_path(&self.programs, "bluebellpick");
        let mut process = Process::spawn(&program, arguments, &log)?;
        let status = process.wait(limit)?;
        let output = std::fs::read_to_string(&log)?;
        Ok((status.code().unwrap_or(-1), output))
    }

    /// Proposes changes with the operators' command-line program.
    ///
    /// # Errors
    ///
    /// When the changes are not accepted.
    pub fn propose(&self, changes: &[Change], base: u64) -> Result<String, Error> {
        let name = format!("patch-{:016x}.jsonl", rand::random::<u64>());
        let file = self.folder.path().join(name);
        std::fs::write(&file, encode_patch(changes)?)?;
        let (base, platform) = (base.to_string(), self.platform_address.to_string());
        let file = file.display().to_string();
        let arguments = ["propose", &file, "--base", &base, "--platform", &platform];
        let (code, output) = self.run_cli(&arguments, Duration::from_secs(20))?;
        if code == 0 {
            Ok(output)
        } else {
            Err(Error::Unexpected(format!(
                "propose exited with {code}: {output}"
            )))
        }
    }

    /// Sets or clears a fault of the platform stand-in.
    ///
    /// # Errors
    ///
    /// When the stand-in refuses the fault.
    pub async fn set_platform_fault(&self, fault: &str) -> Result<Answer, Error> {
        send_fault(self.platform_address, fault).await
    }

    /// Waits until every node answers a GET of `path` with success.
    ///
    /// # Errors
    ///
    /// When a node has not answered with success within `limit`; the error contains the node's last
    /// answer.
    pub async fn wait_served(&self, path: &str, limit: Duration) -> Result<(), Error> {
        let start = Instant::now();
        for vm in &self.vms {
            let caller = Caller::new(vm.callers_address());
            loop {
                let answer = caller.send_within(&Call::get(path), CALL_TIMEOUT).await;
                if answer
                    .as_ref()
                    .is_ok_and(|answer| answer.status.is_success())
                {
                    break;
                }
                if start.elapsed() > limit {
                    let what = format!("{path} at {}: {answer:?}", vm.spec.name);
                    return Err(Error::Timeout(what));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn wait_platform(&self) -> Result<(), Error> {
        let caller = Caller::new(self.platform_address);
        let start = Instant::now();
        while start.elapsed() < CALL_TIMEOUT {
            if caller.send(&Call::get("/counts")).await.is_ok() {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(Error::Timeout(
            "no answer from the platform stand-in".to_owned(),
        ))
    }
}

/// Sets or clears a fault of a stand-in through its control path, `/fault`.
///
/// # Errors
///
/// When the stand-in refuses the fault.
pub async fn send_fault(address: SocketAddr, fault: &str) -> Result<Answer, Error> {
    let call = Call::new(Method::POST, "/fault").body(fault.to_owned().into());
    let answer = Caller::new(address)
        .send_within(&call, CALL_TIMEOUT)
        .await?;
    if answer.status.is_success() {
        Ok(answer)
    } else {
        Err(Error::Unexpected(format!("fault refused: {answer:?}")))
    }
}

/// Encodes changes as the text of a patch file, one JSON object per line.
///
/// # Errors
///
/// When a change can't be represented in JSON.
pub fn encode_patch(changes: &[Change]) -> Result<String, Error> {
    let mut text = String::new();
    for change in changes {
        let to_error = |error: serde_json::Error| Error::Unexpected(error.to_string());
        let mut line = serde_json::to_value(change).map_err(to_error)?;
        remove_nulls(&mut line);
        text += &line.to_string();
        text.push('\n');
    }
    Ok(text)
}

/// Removes null fields, because the programs of an earlier build may not know the fields that are
/// not set.
fn remove_nulls(value: &mut serde_json::Value) {
    if let serde_json::Value::Object(fields) = value {
        fields.retain(|_, field| !field.is_null());
        fields.values_mut().for_each(remove_nulls);
    }
}

/// Returns the change that adds a service without objectives.
#[must_use]
pub fn put_service(name: &str) -> Change {
    Change::PutService {
        name: name.into(),
        service: Service::default(),
    }
}

/// Returns the change that routes all calls under `prefix` to one service.
#[must_use]
pub fn put_route(prefix: &str, service: &str, class: Class, repeat: Repeat) -> Change {
    let targets = vec![Target {
        service: service.into(),
        percent: 100,
    }];
    Change::PutRoute {
        prefix: prefix.into(),
        route: Route {
            targets,
            class,
            repeat,
            retry: None,
            timeout_ms: ROUTE_TIMEOUT_MS,
            limit_ms: None,
            target_ms: None,
            public: false,
        },
    }
}

fn loopback_address(first_block: [u8; 2], index: usize) -> IpAddr {
    let block = u8::try_from(index / VMS_PER_BLOCK).unwrap_or(u8::MAX);
    let last = u8::try_from(index % VMS_PER_BLOCK + 1).unwrap_or(u8::MAX);
    Ipv4Addr::new(
        127,
        first_block[0],
        first_block[1].saturating_add(block),
        last,
    )
    .into()
}

fn format_settings(
    spec: &VmSpec,
    ip: IpAddr,
    platform: SocketAddr,
    seeds: &[SocketAddr],
) -> String {
    let seeds = seeds
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(", ");
    let sections = [
        (
            "node",
            format!(
                "name = {}\nzone = {}\nregion = {}",
                spec.name, spec.zone, spec.region
            ),
        ),
        (
            "listen",
            format!(
                "callers = {ip}:{CALLERS_PORT}\nbackend = {ip}:{ANNOUNCE_PORT}\nnodes = {ip}:{NODES_PORT}\noperators = {ip}:{OPERATORS_PORT}"
            ),
        ),
        ("fleet", format!("platform = {platform}\nseeds = {seeds}")),
        ("limits", String::new()),
        ("operators", format!("token = {OPERATOR_TOKEN}")),
    ];
    let mut text = Vec::new();
    for (section, lines) in sections {
        text.push(format!("[{section}]"));
        text.push(lines);
        let additional = spec
            .extra_settings
            .iter()
            .filter(|(name, _)| name == section);
        text.extend(additional.map(|(_, line)| line.clone()));
    }
    text.join("\n")
}

/// Returns the path of a program in `programs`, or its bare name if `programs` is empty.
fn program_path(programs: &Path, name: &str) -> String {
    programs.join(name).display().to_string()
}

fn spawn_platform(
    programs: &Path,
    address: SocketAddr,
    arguments: &[&str],
    folder: &Path,
) -> Result<Process, Error> {
    let listen = address.to_string();
    let mut all = vec!["platform", "--listen", &listen];
    all.extend(arguments);
    let program = program_path(programs, "bluebellpick-standin");
    Process::spawn(&program, all, &folder.join("platform.log"))
}

fn spawn_node(programs: &Path, settings: &Path, log: &Path) -> Result<Process, Error> {
    let settings = settings.display().to_string();
    let program = program_path(programs, "bluebellpick-node");
    Process::spawn(&program, ["--settings", &settings], log)
}

fn spawn_backend(
    programs: &Path,
    ip: IpAddr,
    service: &str,
    spec: &VmSpec,
    log: &Path,
) -> Result<Process, Error> {
    let listen = SocketAddr::new(ip, BACKEND_PORT).to_string();
    let announce = SocketAddr::new(ip, ANNOUNCE_PORT).to_string();
    let mut arguments = vec!["backend", "--listen", &listen, "--announce", &announce];
    arguments.extend(["--service", service]);
    arguments.extend(spec.backend_args.iter().map(String::as_str));
    let program = program_path(programs, "bluebellpick-standin");
    Process::spawn(&program, arguments, log)
}
