//! A fleet of real processes on loopback addresses, one address a VM.

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
const CALLERS: u16 = 7001;
/// Port of a node's listener for its backend server.
const BACKEND: u16 = 7002;
/// Port of a node's listener for nodes.
const NODES: u16 = 7003;
/// Port of a node's listener for operators.
const OPERATORS: u16 = 7004;
/// Port of a backend server.
const SERVER: u16 = 7005;
/// Port of the platform.
const PLATFORM: u16 = 7000;

/// VMs of one deployment in a block of 256 addresses.
const VMS_A_BLOCK: usize = 200;

/// Longest wait for a call to a listener of the deployment.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Time between two looks at something that is to come about.
const POLL: Duration = Duration::from_millis(20);

/// Time for a call of a route, in milliseconds.
const ROUTE_TIMEOUT_MS: u32 = 5_000;

/// Token of the deployment's operators.
pub const OPERATOR_TOKEN: &str = "bench-operators-token";

/// One VM to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmSpec {
    /// Name of its node.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Service of its backend server; without one the node runs alone.
    pub service: Option<String>,
    /// Further arguments of the backend server's stand-in.
    pub backend_args: Vec<String>,
    /// Address of the platform, if it is another than the deployment's.
    pub platform: Option<SocketAddr>,
    /// Further lines of the node's settings, by section.
    pub settings: Vec<(String, String)>,
}

impl VmSpec {
    /// Plans a VM of one region.
    #[must_use]
    pub fn new(name: &str, zone: &str, service: Option<&str>) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            region: "region-1".to_owned(),
            service: service.map(str::to_owned),
            backend_args: Vec::new(),
            platform: None,
            settings: Vec::new(),
        }
    }
}

/// Plans `services` in three availability zones, with `per_zone` VMs each.
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
    /// What it was started from.
    pub spec: VmSpec,
    /// Its address.
    pub ip: IpAddr,
    /// The node.
    pub node: Process,
    /// The backend server.
    pub backend: Option<Process>,
    settings: PathBuf,
    programs: PathBuf,
}

impl Vm {
    /// Where callers connect.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS)
    }

    /// Where other nodes connect.
    #[must_use]
    pub fn nodes_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, NODES)
    }

    /// Where the backend server announces itself.
    #[must_use]
    pub fn announce_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, BACKEND)
    }

    /// Where operators connect.
    #[must_use]
    pub fn operators_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OPERATORS)
    }

    /// Where the backend server takes calls.
    #[must_use]
    pub fn backend_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, SERVER)
    }

    /// Starts the node again, after its process has ended.
    ///
    /// # Errors
    ///
    /// When the program can't be started.
    pub fn restart_node(&mut self) -> Result<(), Error> {
        self.node = spawn_node(&self.programs, &self.settings, &self.node.log)?;
        Ok(())
    }

    /// Starts the backend server again, after its process has ended.
    ///
    /// # Errors
    ///
    /// When the program can't be started.
    pub fn restart_backend(&mut self) -> Result<(), Error> {
        if let Some(service) = &self.spec.service {
            let log = self.settings.with_extension("backend.log");
            let programs = &self.programs;
            self.backend = Some(spawn_backend(programs, self.ip, service, &self.spec, &log)?);
        }
        Ok(())
    }
}

/// A running fleet; its processes end with it.
#[derive(Debug)]
pub struct Deployment {
    folder: TempDir,
    /// The platform's stand-in.
    pub platform: Process,
    /// Where the platform listens.
    pub platform_address: SocketAddr,
    /// The VMs, in the order of their plans.
    pub vms: Vec<Vm>,
    base: [u8; 2],
    /// Where the programs are; empty for beside this one.
    programs: PathBuf,
}

impl Deployment {
    /// Starts a platform stand-in and then every planned VM.
    ///
    /// # Errors
    ///
    /// When a program can't be started.
    pub async fn spawn(specs: Vec<VmSpec>, platform_arguments: &[&str]) -> Result<Self, Error> {
        Self::spawn_from(Path::new(""), specs, platform_arguments).await
    }

    /// Starts a fleet as [`Deployment::spawn`] does, from the programs in another folder.
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
        // Deployments that run side by side each take their own block of loopback addresses.
        let base = [rand::random_range(1..=254), rand::random_range(0..=250)];
        let address = SocketAddr::new(ip_of(base, 0), PLATFORM);
        let programs = programs.to_owned();
        let platform = spawn_platform(&programs, address, platform_arguments, folder.path())?;
        let mut deployment = Self {
            folder,
            platform,
            platform_address: address,
            vms: Vec::new(),
            base,
            programs,
        };
        deployment.wait_platform().await?;
        for spec in specs {
            deployment.add(spec)?;
        }
        Ok(deployment)
    }

    /// Gives the address that the next VM will have.
    #[must_use]
    pub fn next_ip(&self) -> IpAddr {
        ip_of(self.base, self.vms.len() + 1)
    }

    /// Starts one more VM.
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
            write_settings(
                &spec,
                ip,
                spec.platform.unwrap_or(self.platform_address),
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
            settings,
            programs: self.programs.clone(),
        });
        Ok(())
    }

    /// Where settings and logs are, as long as the deployment runs.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Runs the operators' program with the deployment's platform and gives its exit code and output.
    ///
    /// # Errors
    ///
    /// When it can't be started, or doesn't end within `limit`.
    pub fn run_cli(&self, arguments: &[&str], limit: Duration) -> Result<(i32, String), Error> {
        let log = self
            .folder
            .path()
            .join(format!("operate-{:016x}.log", rand::random::<u64>()));
        let program = name_program(&self.programs, "bluebellpick");
        let mut process = Process::spawn(&program, arguments, &log)?;
        let status = process.wait(limit)?;
        let output = std::fs::read_to_string(&log)?;
        Ok((status.code().unwrap_or(-1), output))
    }

    /// Proposes changes with the operators' program.
    ///
    /// # Errors
    ///
    /// When they are not accepted.
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
            Err(Error::Unexpected(format!("propose ended {code}: {output}")))
        }
    }

    /// Gives the platform stand-in a fault, or takes it back.
    ///
    /// # Errors
    ///
    /// When the stand-in refuses it.
    pub async fn set_platform_fault(&self, fault: &str) -> Result<Answer, Error> {
        send_fault(self.platform_address, fault).await
    }

    /// Waits until `path` is answered with success at every node.
    ///
    /// # Errors
    ///
    /// When one of them doesn't within `limit`; its last answer is told.
    pub async fn wait_served(&self, path: &str, limit: Duration) -> Result<(), Error> {
        let start = Instant::now();
        for vm in &self.vms {
            let caller = Caller::new(vm.callers_address());
            loop {
                let answer = caller.send_within(&Call::get(path), CALL_LIMIT).await;
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
                tokio::time::sleep(POLL).await;
            }
        }
        Ok(())
    }

    async fn wait_platform(&self) -> Result<(), Error> {
        let caller = Caller::new(self.platform_address);
        let start = Instant::now();
        while start.elapsed() < CALL_LIMIT {
            if caller.send(&Call::get("/counts")).await.is_ok() {
                return Ok(());
            }
            tokio::time::sleep(POLL).await;
        }
        Err(Error::Timeout("the platform's stand-in".to_owned()))
    }
}

/// Gives a stand-in a fault by its control path.
///
/// # Errors
///
/// When the stand-in refuses it.
pub async fn send_fault(address: SocketAddr, fault: &str) -> Result<Answer, Error> {
    let call = Call::new(Method::POST, "/fault").body(fault.to_owned().into());
    let answer = Caller::new(address).send_within(&call, CALL_LIMIT).await?;
    if answer.status.is_success() {
        Ok(answer)
    } else {
        Err(Error::Unexpected(format!("fault refused: {answer:?}")))
    }
}

/// Writes a patch file: a change a line.
///
/// # Errors
///
/// When a change has no JSON form.
pub fn encode_patch(changes: &[Change]) -> Result<String, Error> {
    let mut text = String::new();
    for change in changes {
        let as_error = |error: serde_json::Error| Error::Unexpected(error.to_string());
        let mut line = serde_json::to_value(change).map_err(as_error)?;
        drop_nulls(&mut line);
        text += &line.to_string();
        text.push('\n');
    }
    Ok(text)
}

/// Leaves out what is not set: programs of an earlier build may not know its name.
fn drop_nulls(value: &mut serde_json::Value) {
    if let serde_json::Value::Object(fields) = value {
        fields.retain(|_, field| !field.is_null());
        fields.values_mut().for_each(drop_nulls);
    }
}

/// Gives the change that adds a service without objectives.
#[must_use]
pub fn put_service(name: &str) -> Change {
    Change::PutService {
        name: name.into(),
        service: Service::default(),
    }
}

/// Gives the change that routes all calls under `prefix` to one service.
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
        },
    }
}

fn ip_of(base: [u8; 2], index: usize) -> IpAddr {
    let block = u8::try_from(index / VMS_A_BLOCK).unwrap_or(u8::MAX);
    let last = u8::try_from(index % VMS_A_BLOCK + 1).unwrap_or(u8::MAX);
    Ipv4Addr::new(127, base[0], base[1].saturating_add(block), last).into()
}

fn write_settings(spec: &VmSpec, ip: IpAddr, platform: SocketAddr, seeds: &[SocketAddr]) -> String {
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
                "callers = {ip}:{CALLERS}\nbackend = {ip}:{BACKEND}\nnodes = {ip}:{NODES}\noperators = {ip}:{OPERATORS}"
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
        let further = spec.settings.iter().filter(|(name, _)| name == section);
        text.extend(further.map(|(_, line)| line.clone()));
    }
    text.join("\n")
}

/// Names a program in a folder, or beside this one where that is empty.
fn name_program(programs: &Path, name: &str) -> String {
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
    let program = name_program(programs, "bluebellpick-standin");
    Process::spawn(&program, all, &folder.join("platform.log"))
}

fn spawn_node(programs: &Path, settings: &Path, log: &Path) -> Result<Process, Error> {
    let settings = settings.display().to_string();
    let program = name_program(programs, "bluebellpick-node");
    Process::spawn(&program, ["--settings", &settings], log)
}

fn spawn_backend(
    programs: &Path,
    ip: IpAddr,
    service: &str,
    spec: &VmSpec,
    log: &Path,
) -> Result<Process, Error> {
    let listen = SocketAddr::new(ip, SERVER).to_string();
    let announce = SocketAddr::new(ip, BACKEND).to_string();
    let mut arguments = vec!["backend", "--listen", &listen, "--announce", &announce];
    arguments.extend(["--service", service]);
    arguments.extend(spec.backend_args.iter().map(String::as_str));
    let program = name_program(programs, "bluebellpick-standin");
    Process::spawn(&program, arguments, log)
}
