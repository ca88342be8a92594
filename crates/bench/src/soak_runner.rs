//! Runs a soak test: starts and ends the faults, and checks the fleet in the calms between them.

use crate::deployment::{Vm, put_service, send_fault};
use crate::error::Error;
use crate::faults::{FAULT_DURATION_MS, SETTLE_TIME};
use crate::faults_callers::{InvocationLog, now_us};
use crate::faults_forward::Forwarder;
use crate::faults_history::{History, check};
use crate::faults_inject::{Fault, PendingStop, Stop, Target};
use crate::node::{read_metrics, read_status};
use crate::soak::Report;
use crate::soak_cleanup::{count_late_runs, count_unended, list_half_closed};
use crate::soak_deadly::{
    DeadlyKind, DeadlySeries, RESTART_DELAY, count_excess_runs, count_innocents_held,
};
use crate::soak_plan::{
    Action, EVENT_GAP_MS, Event, KILL_ALL_ONE_IN, Plan, STOP_ONE_IN, STORM_MS, ZONE_COUNT,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Duration of a storm, the time between two calms; [`STORM_MS`] as a `Duration`.
const STORM_DURATION: Duration = Duration::from_millis(STORM_MS);

/// Time limit for every node to serve after all faults have ended; this is the time that callers
/// are guaranteed.
const SERVE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time limit for a version to come into force on all nodes.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(6);

/// Maximum number of attempts to propose a version while other operators propose too.
const MAX_PROPOSE_ATTEMPTS: u32 = 5;

/// Interval at which the nodes' versions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of the checks for due actions while a plan is played.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Time limit for half-closed sockets to be closed, from the end of the other checks in a calm, the
/// period without faults after a storm.
const SOCKET_CLOSE_TIME: Duration = Duration::from_secs(2);

/// State of a running soak test: the active faults, and the violations counted so far.
pub(crate) struct SoakRunner {
    rng: SmallRng,
    pub(crate) target: Target,
    active_faults: Vec<(Instant, Fault)>,
    stopping: Vec<PendingStop>,
    stops_late: usize,
    half_closed: usize,
    injected: usize,
    calms: usize,
    not_served: usize,
    not_in_force: usize,
    reverts: u64,
    unexpected_exits: usize,
    /// Tasks of the running series of deadly requests.
    deadly_series: Vec<JoinHandle<()>>,
    deadly_count: usize,
    /// Crashed backend servers, by index of the VM, with the times at which to restart them.
    pending_restarts: Vec<(Instant, usize)>,
    /// Backend servers that report, by index of the VM, with the times at which the reports end.
    reporting: Vec<(Instant, Reporting)>,
}

/// A backend server that reports, by index of the VM.
#[derive(Debug, Clone, Copy)]
enum Reporting {
    Limit(usize),
    Leaving(usize),
}

impl SoakRunner {
    pub(crate) fn new(seed: u64, target: Target) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            target,
            active_faults: Vec::new(),
            stopping: Vec::new(),
            stops_late: 0,
            half_closed: 0,
            injected: 0,
            calms: 0,
            not_served: 0,
            not_in_force: 0,
            reverts: 0,
            unexpected_exits: 0,
            deadly_series: Vec::new(),
            deadly_count: 0,
            pending_restarts: Vec::new(),
            reporting: Vec::new(),
        }
    }

    /// Runs all storms and calms of a plan.
    pub(crate) async fn run_plan(&mut self, plan: &Plan) -> Result<(), Error> {
        for storm in 0..plan.header.storms {
            let start = Instant::now();
            for event in plan.events.iter().filter(|event| event.storm == storm) {
                self.wait_until(start + Duration::from_millis(event.at_ms))
                    .await?;
                self.begin_event(event).await?;
            }
            self.wait_until(start + STORM_DURATION).await?;
            while !self.stopping.is_empty() {
                self.wait_until(Instant::now() + TICK_INTERVAL).await?;
            }
            self.run_calm().await?;
        }
        Ok(())
    }

    /// Waits until `at`. In the meantime, ends each fault that is due and restarts processes that
    /// have ended.
    async fn wait_until(&mut self, at: Instant) -> Result<(), Error> {
        loop {
            let now = Instant::now();
            self.recover_due(now).await?;
            self.end_reports(now).await?;
            self.finish_stops()?;
            self.restart_ended_nodes()?;
            self.restart_crashed_servers(now)?;
            if now >= at {
                return Ok(());
            }
            tokio::time::sleep(TICK_INTERVAL.min(at - now)).await;
        }
    }

    async fn begin_event(&mut self, event: &Event) -> Result<(), Error> {
        if !self.can_apply(event.action) {
            eprintln!("{} skip {:?}", now_us(), event.action);
            return Ok(());
        }
        eprintln!("{} begin {:?}", now_us(), event.action);
        self.injected += 1;
        let end = Instant::now() + Duration::from_millis(event.for_ms);
        match event.action {
            Action::Fault(fault) => {
                self.target.inject(fault).await?;
                self.active_faults.push((end, fault));
            }
            Action::KillAll => self.kill_all().await?,
            Action::SilenceZone(zone) => self.silence_zone(zone).await?,
            Action::Stop(stop) => self.stopping.push(self.target.request_stop(stop)?),
            Action::StopBoth(vm) => {
                for stop in [Stop::Server(vm), Stop::Node(vm)] {
                    self.stopping.push(self.target.request_stop(stop)?);
                }
            }
            Action::Bounce(vm) => self.target.kill_and_restart(vm)?,
            Action::Deadly(kind) => self.begin_deadly(kind, end),
            Action::NameLimit { vm, rate } => {
                self.set_headers(vm, &[("bluebellpick-rate-limit", &rate.to_string())])
                    .await;
                self.reporting.push((end, Reporting::Limit(vm)));
            }
            Action::ReportLeaving(vm) => {
                self.set_headers(vm, &[("bluebellpick-leaving", "1")]).await;
                self.reporting.push((end, Reporting::Leaving(vm)));
            }
        }
        Ok(())
    }

    /// Sets the headers of a backend server's responses, unless a deadly request has crashed it.
    async fn set_headers(&self, vm: usize, headers: &[(&str, &str)]) {
        let address = self.target.deployment.vms[vm].backend_address();
        let body = json!({ "headers": headers }).to_string();
        drop(send_fault(address, &body).await);
    }

    /// Ends the reports that are due: a limit is taken back, a backend server that leaves is
    /// replaced.
    async fn end_reports(&mut self, now: Instant) -> Result<(), Error> {
        let due: Vec<_> = self
            .reporting
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, reporting) in due {
            match reporting {
                Reporting::Limit(vm) => self.set_headers(vm, &[]).await,
                Reporting::Leaving(vm) if self.target.server(vm)?.is_running() => {
                    self.target.kill_and_restart(vm)?;
                }
                Reporting::Leaving(_) => {}
            }
        }
        Ok(())
    }

    fn begin_deadly(&mut self, kind: DeadlyKind, end: Instant) {
        self.deadly_count += 1;
        let name = format!("{kind:?}-{}", self.deadly_count).to_lowercase();
        let vms = &self.target.deployment.vms;
        let addresses = vms.iter().map(Vm::callers_address).collect();
        let series = DeadlySeries { kind, name };
        self.deadly_series
            .push(tokio::spawn(series.send(addresses, end)));
    }

    /// Restarts backend servers that a deadly request has crashed, after [`RESTART_DELAY`].
    fn restart_crashed_servers(&mut self, now: Instant) -> Result<(), Error> {
        for vm in 0..self.target.deployment.vms.len() {
            let kill = Fault::KillServer(vm);
            let is_killed = self.active_faults.iter().any(|(_, fault)| *fault == kill);
            let stop = Stop::Server(vm);
            let is_stopping = self.stopping.iter().any(|pending| pending.stop == stop);
            let is_pending = self.pending_restarts.iter().any(|(_, other)| *other == vm);
            if !is_killed && !is_stopping && !is_pending && !self.target.server(vm)?.is_running() {
                eprintln!("{} crashed {vm}", now_us());
                self.pending_restarts.push((now + RESTART_DELAY, vm));
            }
        }
        for (_, vm) in self
            .pending_restarts
            .extract_if(.., |(at, _)| *at <= now)
            .collect::<Vec<_>>()
        {
            if !self.target.server(vm)?.is_running() {
                self.target.restart_server(vm)?;
            }
        }
        Ok(())
    }

    /// Returns whether an action is compatible with all active faults and stops.
    ///
    /// The actions of a generated plan are compatible with one another, but an action may conflict
    /// with a kill of all nodes, or with a stop that takes longer than planned.
    fn can_apply(&self, action: Action) -> bool {
        let vm = action.vm();
        let is_stopping = |pending: &PendingStop| Some(pending.stop.vm()) == vm;
        let is_compatible_with = |fault: Fault| match action {
            Action::Fault(one) => one.is_compatible_with(fault),
            _ => vm.is_none() || fault.vm() != vm,
        };
        !self.stopping.iter().any(is_stopping)
            && self
                .active_faults
                .iter()
                .all(|(_, fault)| is_compatible_with(*fault))
    }

    async fn silence_zone(&mut self, zone: usize) -> Result<(), Error> {
        let vms = self.target.deployment.vms.len();
        let vms_per_zone = vms / ZONE_COUNT;
        for vm in zone * vms_per_zone..(zone + 1) * vms_per_zone {
            self.target.inject(Fault::Silence(vm)).await?;
        }
        Ok(())
    }

    /// Restarts the processes that have stopped gracefully, and kills and restarts the processes
    /// that have exceeded the time limit.
    fn finish_stops(&mut self) -> Result<(), Error> {
        for pending in std::mem::take(&mut self.stopping) {
            if self.target.has_ended(&pending)? {
                self.target.start(pending.stop)?;
            } else if pending.is_overdue() {
                eprintln!("violation: {:?} did not end", pending.stop);
                self.stops_late += 1;
                self.target.kill(pending.stop)?;
                self.target.start(pending.stop)?;
            } else {
                self.stopping.push(pending);
            }
        }
        Ok(())
    }

    pub(crate) async fn run_until(&mut self, end: Instant) -> Result<(), Error> {
        while Instant::now() + SETTLE_TIME + PROPAGATION_TIMEOUT < end {
            self.inject_until(end.min(Instant::now() + STORM_DURATION))
                .await?;
            self.run_calm().await?;
        }
        Ok(())
    }

    /// Injects and ends random faults until `until`.
    async fn inject_until(&mut self, until: Instant) -> Result<(), Error> {
        while Instant::now() < until {
            self.recover_due(Instant::now()).await?;
            self.restart_ended_nodes()?;
            if self.rng.random_ratio(1, KILL_ALL_ONE_IN) {
                self.kill_all().await?;
            } else if self.rng.random_ratio(1, STOP_ONE_IN) {
                self.restart_one().await?;
            } else {
                self.inject_one().await?;
            }
            let gap = Duration::from_millis(self.rng.random_range(EVENT_GAP_MS));
            tokio::time::sleep(gap).await;
        }
        Ok(())
    }

    /// Restarts nodes that have exited unexpectedly, as the supervisor of a process does.
    ///
    /// A SIGHUP that arrives before the process has installed its handler for this signal
    /// terminates the process, which no code can prevent. Any other exit is a violation.
    fn restart_ended_nodes(&mut self) -> Result<(), Error> {
        for (index, vm) in self.target.deployment.vms.iter_mut().enumerate() {
            let kill = Fault::KillNode(index);
            let is_killed = self.active_faults.iter().any(|(_, fault)| *fault == kill);
            let stop = Stop::Node(index);
            let is_stopping = self.stopping.iter().any(|pending| pending.stop == stop);
            if is_killed || is_stopping || vm.node.is_running() {
                continue;
            }
            if !vm.node.was_ended_by(Signal::HUP) {
                eprintln!("violation: {} ended by itself", vm.spec.name);
                self.unexpected_exits += 1;
            }
            vm.restart_node()?;
        }
        Ok(())
    }

    async fn inject_one(&mut self) -> Result<(), Error> {
        let fault = Fault::sample(&mut self.rng, self.target.deployment.vms.len());
        let duration = Duration::from_millis(self.rng.random_range(FAULT_DURATION_MS));
        if !self
            .active_faults
            .iter()
            .all(|(_, other)| fault.is_compatible_with(*other))
        {
            return Ok(());
        }
        eprintln!("{} inject {fault:?}", now_us());
        self.target.inject(fault).await?;
        self.injected += 1;
        self.active_faults.push((Instant::now() + duration, fault));
        Ok(())
    }

    /// Kills the nodes of all VMs that have no active fault or stop.
    async fn kill_all(&mut self) -> Result<(), Error> {
        let until = Instant::now() + Duration::from_millis(FAULT_DURATION_MS.start);
        for vm in 0..self.target.deployment.vms.len() {
            let fault = Fault::KillNode(vm);
            if self.can_apply(Action::Fault(fault)) {
                self.target.inject(fault).await?;
                self.active_faults.push((until, fault));
            }
        }
        eprintln!("{} kill all", now_us());
        self.injected += 1;
        Ok(())
    }

    /// Restarts a process gracefully on a random VM, unless the VM has an active fault.
    async fn restart_one(&mut self) -> Result<(), Error> {
        let vm = self.rng.random_range(0..self.target.deployment.vms.len());
        let is_compatible =
            |(_, other): &(Instant, Fault)| Fault::KillNode(vm).is_compatible_with(*other);
        if !self.active_faults.iter().all(is_compatible) {
            return Ok(());
        }
        let stop = if self.rng.random_bool(0.5) {
            Stop::Node(vm)
        } else {
            Stop::Server(vm)
        };
        eprintln!("{} stop {stop:?}", now_us());
        self.injected += 1;
        self.target.restart_gracefully(stop).await
    }

    async fn recover_due(&mut self, now: Instant) -> Result<(), Error> {
        let due: Vec<_> = self
            .active_faults
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, fault) in due {
            self.target.recover(fault).await?;
        }
        Ok(())
    }

    /// Ends all faults, and checks whether every node serves and puts a new version into force in
    /// time, and whether half-closed sockets are left.
    async fn run_calm(&mut self) -> Result<(), Error> {
        for (_, fault) in std::mem::take(&mut self.active_faults) {
            self.target.recover(fault).await?;
        }
        self.target
            .forwarders
            .iter()
            .for_each(Forwarder::close_lossy);
        for series in std::mem::take(&mut self.deadly_series) {
            series.abort();
        }
        self.restart_ended_nodes()?;
        let now = Instant::now();
        if let Some(last) = self.reporting.iter().map(|(end, _)| *end).max() {
            self.end_reports(last).await?;
        }
        self.restart_crashed_servers(now)?;
        self.restart_crashed_servers(now + RESTART_DELAY)?;
        self.calms += 1;
        eprintln!("{} calm", now_us());
        let deployment = &self.target.deployment;
        if let Err(error) = deployment.wait_served("/records/calm", SERVE_TIMEOUT).await {
            eprintln!("violation: {error}");
            self.not_served += 1;
        }
        let version = self.propose_version()?;
        let proposed_at = Instant::now();
        while !self.has_version_everywhere(version).await {
            if proposed_at.elapsed() > PROPAGATION_TIMEOUT {
                eprintln!("violation: version {version} is not in force everywhere");
                self.not_in_force += 1;
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.count_reverts().await;
        tokio::time::sleep(SOCKET_CLOSE_TIME).await;
        self.count_half_closed()
    }

    /// Counts the half-closed sockets of nodes: those that the peer has closed but the node has
    /// not.
    fn count_half_closed(&mut self) -> Result<(), Error> {
        for vm in &self.target.deployment.vms {
            let sockets = list_half_closed(vm.node.id())?;
            if !sockets.is_empty() {
                let (name, count) = (&vm.spec.name, sockets.len());
                eprintln!("violation: {name} holds {count} half-closed sockets");
                eprintln!(
                    "half-closed sockets (local-remote port): {}",
                    sockets.join(" ")
                );
                self.half_closed += count;
            }
        }
        Ok(())
    }

    /// Proposes a version as an operator does, and returns its number.
    ///
    /// The proposals of a [`Fault::Race`] may still be running and may take the number of this
    /// proposal, so there are several attempts.
    fn propose_version(&self) -> Result<u64, Error> {
        let deployment = &self.target.deployment;
        let change = put_service(&format!("calm-{}", self.calms));
        let mut outcome = Err(Error::Unexpected("no attempt".to_owned()));
        for _ in 0..MAX_PROPOSE_ATTEMPTS {
            let last = self.last_version()?;
            outcome = deployment.propose(std::slice::from_ref(&change), last);
            if outcome.is_ok() {
                return Ok(last + 1);
            }
        }
        outcome.map(|_| 0)
    }

    /// Returns the number of the last version, from the output of `bluebellpick log`.
    fn last_version(&self) -> Result<u64, Error> {
        let deployment = &self.target.deployment;
        let platform = deployment.platform_address.to_string();
        let arguments = ["log", "--limit=1", "--json", "--platform", &platform];
        let (_, output) = deployment.run_cli(&arguments, SERVE_TIMEOUT)?;
        let unexpected = || Error::Unexpected(format!("log: {output}"));
        let listed: serde_json::Value =
            serde_json::from_str(&output).map_err(|_no_json| unexpected())?;
        listed[0]["version"].as_u64().ok_or_else(unexpected)
    }

    /// Returns whether `version` or a later version is in force on every node.
    async fn has_version_everywhere(&self, version: u64) -> bool {
        for vm in &self.target.deployment.vms {
            let held = read_status(vm).await.map(|status| status.version.0);
            if !held.is_ok_and(|held| held >= version) {
                return false;
            }
        }
        true
    }

    async fn count_reverts(&mut self) {
        for vm in &self.target.deployment.vms {
            if let Ok(metrics) = read_metrics(vm).await {
                let reverts = metrics.get("bluebellpick_config_reverts_total");
                if reverts > 0.0 {
                    eprintln!("violation: {} was offered an older view", vm.spec.name);
                    self.reverts += 1;
                }
            }
        }
    }

    /// Runs the final checks and returns the report, once all callers have ended.
    pub(crate) async fn report(&self, seed: u64, log: &InvocationLog) -> Result<Report, Error> {
        let unended = count_unended(&self.target.deployment.vms).await;
        let late_runs = count_late_runs(&self.target)?;
        let deadly_runs = count_excess_runs(&self.target)?;
        let invocations = log.take();
        let innocents_held = count_innocents_held(&invocations);
        let history = History {
            invocations,
            records: self.target.read_records()?,
            // Faults overlap all the time, so calls may be cut off during graceful stops. The
            // experiments `faults` and `rolling` check that graceful stops alone cut no call off.
            graceful_spans: Vec::new(),
        };
        let check_result = check(&history);
        for line in &check_result.violations {
            eprintln!("violation: {line}");
        }
        Ok(Report {
            seed,
            check_result,
            faults_injected: self.injected,
            calms: self.calms,
            not_served: self.not_served,
            not_in_force: self.not_in_force,
            reverts: self.reverts,
            ended_by_themselves: self.unexpected_exits,
            stops_late: self.stops_late,
            half_closed: self.half_closed,
            late_runs,
            unended,
            deadly_runs,
            innocents_held,
        })
    }
}
