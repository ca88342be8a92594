//! The faults of a soak, as they begin and end, and the looks at the fleet between them.

use crate::deployment::{Vm, put_service};
use crate::error::Error;
use crate::faults::{FAULT_MS, SETTLE};
use crate::faults_callers::{Notes, now_us};
use crate::faults_forward::Forwarder;
use crate::faults_history::{History, check};
use crate::faults_inject::{Ending, Fault, Stop, Target};
use crate::node::{read_metrics, read_status};
use crate::soak::Report;
use crate::soak_cleanup::{count_late_runs, count_unended, list_half_closed};
use crate::soak_deadly::{DOWN, Kind, Series, count_further_runs, count_innocents_held};
use crate::soak_plan::{Action, Event, GAP_MS, HERDS, Plan, STOPS, STORM_MS, ZONES};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Time between two calms.
const STORM: Duration = Duration::from_millis(STORM_MS);

/// Longest time after all faults until every node serves, as callers are promised.
const SERVED: Duration = Duration::from_secs(15);

/// Longest time until a version is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);

/// Tries of a write against other operators.
const WRITES: u32 = 5;

/// Time between two looks at the nodes.
const POLL: Duration = Duration::from_millis(50);

/// Time between two looks at what is due while a plan is played.
const STEP: Duration = Duration::from_millis(10);

/// Time after a calm by which no socket is half closed.
const CLOSED: Duration = Duration::from_secs(2);

/// The faults in force, and what the calms between them showed.
pub(crate) struct Storm {
    rng: SmallRng,
    pub(crate) target: Target,
    in_force: Vec<(Instant, Fault)>,
    stopping: Vec<Ending>,
    stops_late: usize,
    half_closed: usize,
    injected: usize,
    calms: usize,
    not_served: usize,
    not_in_force: usize,
    reverts: u64,
    ended: usize,
    /// Deadly requests that come again and again.
    deadly: Vec<JoinHandle<()>>,
    deadly_count: usize,
    /// Backend servers that have crashed, and when they are to be started again.
    crashed: Vec<(Instant, usize)>,
}

impl Storm {
    pub(crate) fn new(seed: u64, target: Target) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            target,
            in_force: Vec::new(),
            stopping: Vec::new(),
            stops_late: 0,
            half_closed: 0,
            injected: 0,
            calms: 0,
            not_served: 0,
            not_in_force: 0,
            reverts: 0,
            ended: 0,
            deadly: Vec::new(),
            deadly_count: 0,
            crashed: Vec::new(),
        }
    }

    /// Plays a plan to its end.
    pub(crate) async fn play(&mut self, plan: &Plan) -> Result<(), Error> {
        for storm in 0..plan.head.storms {
            let start = Instant::now();
            for event in plan.events.iter().filter(|event| event.storm == storm) {
                self.wait_until(start + Duration::from_millis(event.at_ms))
                    .await?;
                self.begin_event(event).await?;
            }
            self.wait_until(start + STORM).await?;
            while !self.stopping.is_empty() {
                self.wait_until(Instant::now() + STEP).await?;
            }
            self.calm().await?;
        }
        Ok(())
    }

    /// Ends what is due until `at`.
    async fn wait_until(&mut self, at: Instant) -> Result<(), Error> {
        loop {
            let now = Instant::now();
            self.end_due(now).await?;
            self.end_stops()?;
            self.revive()?;
            self.revive_crashed(now)?;
            if now >= at {
                return Ok(());
            }
            tokio::time::sleep(STEP.min(at - now)).await;
        }
    }

    async fn begin_event(&mut self, event: &Event) -> Result<(), Error> {
        if !self.is_free(event.action) {
            eprintln!("{} skip {:?}", now_us(), event.action);
            return Ok(());
        }
        eprintln!("{} begin {:?}", now_us(), event.action);
        self.injected += 1;
        let end = Instant::now() + Duration::from_millis(event.for_ms);
        match event.action {
            Action::Fault(fault) => {
                self.target.inject(fault).await?;
                self.in_force.push((end, fault));
            }
            Action::KillAll => self.kill_all().await?,
            Action::SilenceZone(zone) => self.silence_zone(zone).await?,
            Action::Stop(stop) => self.stopping.push(self.target.tell(stop)?),
            Action::StopBoth(vm) => {
                for stop in [Stop::Server(vm), Stop::Node(vm)] {
                    self.stopping.push(self.target.tell(stop)?);
                }
            }
            Action::Bounce(vm) => self.target.bounce(vm)?,
            Action::Deadly(kind) => self.begin_deadly(kind, end),
        }
        Ok(())
    }

    fn begin_deadly(&mut self, kind: Kind, end: Instant) {
        self.deadly_count += 1;
        let name = format!("{kind:?}-{}", self.deadly_count).to_lowercase();
        let vms = &self.target.deployment.vms;
        let addresses = vms.iter().map(Vm::callers_address).collect();
        let series = Series { kind, name };
        self.deadly.push(tokio::spawn(series.send(addresses, end)));
    }

    /// Starts backend servers again some time after a request has crashed them.
    fn revive_crashed(&mut self, now: Instant) -> Result<(), Error> {
        for vm in 0..self.target.deployment.vms.len() {
            let kill = Fault::KillServer(vm);
            let is_killed = self.in_force.iter().any(|(_, fault)| *fault == kill);
            let stop = Stop::Server(vm);
            let is_stopping = self.stopping.iter().any(|ending| ending.stop == stop);
            let is_known = self.crashed.iter().any(|(_, known)| *known == vm);
            if !is_killed && !is_stopping && !is_known && !self.target.server(vm)?.is_running() {
                eprintln!("{} crashed {vm}", now_us());
                self.crashed.push((now + DOWN, vm));
            }
        }
        for (_, vm) in self
            .crashed
            .extract_if(.., |(at, _)| *at <= now)
            .collect::<Vec<_>>()
        {
            if !self.target.server(vm)?.is_running() {
                self.target.restart_server(vm)?;
            }
        }
        Ok(())
    }

    /// Tells whether nothing in force stands against an action: a kill of all nodes, or
    /// a stop that takes longer than it was planned with.
    fn is_free(&self, action: Action) -> bool {
        let vm = action.vm();
        let is_stopping = |ending: &Ending| Some(ending.stop.vm()) == vm;
        let goes_with = |fault: Fault| match action {
            Action::Fault(one) => one.goes_with(fault),
            _ => vm.is_none() || fault.vm() != vm,
        };
        !self.stopping.iter().any(is_stopping)
            && self.in_force.iter().all(|(_, fault)| goes_with(*fault))
    }

    async fn silence_zone(&mut self, zone: usize) -> Result<(), Error> {
        let vms = self.target.deployment.vms.len();
        let a_zone = vms / ZONES;
        for vm in zone * a_zone..(zone + 1) * a_zone {
            self.target.inject(Fault::Silence(vm)).await?;
        }
        Ok(())
    }

    /// Starts again what was told to stop and has ended.
    fn end_stops(&mut self) -> Result<(), Error> {
        for ending in std::mem::take(&mut self.stopping) {
            if self.target.has_ended(&ending)? {
                self.target.start(ending.stop)?;
            } else if ending.is_late() {
                eprintln!("violation: {:?} did not end", ending.stop);
                self.stops_late += 1;
                self.target.kill(ending.stop)?;
                self.target.start(ending.stop)?;
            } else {
                self.stopping.push(ending);
            }
        }
        Ok(())
    }

    pub(crate) async fn run_until(&mut self, end: Instant) -> Result<(), Error> {
        while Instant::now() + SETTLE + IN_FORCE < end {
            self.rage(end.min(Instant::now() + STORM)).await?;
            self.calm().await?;
        }
        Ok(())
    }

    /// Begins and ends faults until `until`.
    async fn rage(&mut self, until: Instant) -> Result<(), Error> {
        while Instant::now() < until {
            self.end_due(Instant::now()).await?;
            self.revive()?;
            if self.rng.random_ratio(1, HERDS) {
                self.kill_all().await?;
            } else if self.rng.random_ratio(1, STOPS) {
                self.stop_one().await?;
            } else {
                self.begin_one().await?;
            }
            let gap = Duration::from_millis(self.rng.random_range(GAP_MS));
            tokio::time::sleep(gap).await;
        }
        Ok(())
    }

    /// Starts nodes again that have ended by themselves, as a platform does.
    ///
    /// A SIGHUP that meets a process before its first line of code ends it, and
    /// no code can help that; any other end is a violation.
    fn revive(&mut self) -> Result<(), Error> {
        for (index, vm) in self.target.deployment.vms.iter_mut().enumerate() {
            let kill = Fault::KillNode(index);
            let is_killed = self.in_force.iter().any(|(_, fault)| *fault == kill);
            let stop = Stop::Node(index);
            let is_stopping = self.stopping.iter().any(|ending| ending.stop == stop);
            if is_killed || is_stopping || vm.node.is_running() {
                continue;
            }
            if !vm.node.was_ended_by(Signal::HUP) {
                eprintln!("violation: {} ended by itself", vm.spec.name);
                self.ended += 1;
            }
            vm.restart_node()?;
        }
        Ok(())
    }

    async fn begin_one(&mut self) -> Result<(), Error> {
        let fault = Fault::draw(&mut self.rng, self.target.deployment.vms.len());
        let lasts = Duration::from_millis(self.rng.random_range(FAULT_MS));
        if !self
            .in_force
            .iter()
            .all(|(_, other)| fault.goes_with(*other))
        {
            return Ok(());
        }
        eprintln!("{} inject {fault:?}", now_us());
        self.target.inject(fault).await?;
        self.injected += 1;
        self.in_force.push((Instant::now() + lasts, fault));
        Ok(())
    }

    /// Kills the nodes of all VMs that nothing else is done to.
    async fn kill_all(&mut self) -> Result<(), Error> {
        let until = Instant::now() + Duration::from_millis(FAULT_MS.start);
        for vm in 0..self.target.deployment.vms.len() {
            let fault = Fault::KillNode(vm);
            if self.is_free(Action::Fault(fault)) {
                self.target.inject(fault).await?;
                self.in_force.push((until, fault));
            }
        }
        eprintln!("{} kill all", now_us());
        self.injected += 1;
        Ok(())
    }

    /// Stops a process gracefully, on a VM that nothing else is done to, and starts it again.
    async fn stop_one(&mut self) -> Result<(), Error> {
        let vm = self.rng.random_range(0..self.target.deployment.vms.len());
        let is_free = |(_, other): &(Instant, Fault)| Fault::KillNode(vm).goes_with(*other);
        if !self.in_force.iter().all(is_free) {
            return Ok(());
        }
        let stop = if self.rng.random_bool(0.5) {
            Stop::Node(vm)
        } else {
            Stop::Server(vm)
        };
        eprintln!("{} stop {stop:?}", now_us());
        self.injected += 1;
        self.target.stop(stop).await
    }

    async fn end_due(&mut self, now: Instant) -> Result<(), Error> {
        let due: Vec<_> = self.in_force.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, fault) in due {
            self.target.recover(fault).await?;
        }
        Ok(())
    }

    /// Ends all faults, and looks whether every node serves and takes a version in time.
    async fn calm(&mut self) -> Result<(), Error> {
        for (_, fault) in std::mem::take(&mut self.in_force) {
            self.target.recover(fault).await?;
        }
        self.target.forwarders.iter().for_each(Forwarder::sever);
        for series in std::mem::take(&mut self.deadly) {
            series.abort();
        }
        self.revive()?;
        let now = Instant::now();
        self.revive_crashed(now)?;
        self.revive_crashed(now + DOWN)?;
        self.calms += 1;
        eprintln!("{} calm", now_us());
        let deployment = &self.target.deployment;
        if let Err(error) = deployment.wait_served("/records/calm", SERVED).await {
            eprintln!("violation: {error}");
            self.not_served += 1;
        }
        let version = self.write_version()?;
        let written = Instant::now();
        while !self.holds(version).await {
            if written.elapsed() > IN_FORCE {
                eprintln!("violation: version {version} is not in force everywhere");
                self.not_in_force += 1;
                break;
            }
            tokio::time::sleep(POLL).await;
        }
        self.count_reverts().await;
        tokio::time::sleep(CLOSED).await;
        self.count_half_closed()
    }

    /// Counts the sockets of nodes that their peers have closed and they have not.
    fn count_half_closed(&mut self) -> Result<(), Error> {
        for vm in &self.target.deployment.vms {
            let sockets = list_half_closed(vm.node.id())?;
            if !sockets.is_empty() {
                let (name, count) = (&vm.spec.name, sockets.len());
                eprintln!("violation: {name} holds {count} half-closed sockets");
                eprintln!(
                    "half closed, by ports here and there: {}",
                    sockets.join(" ")
                );
                self.half_closed += count;
            }
        }
        Ok(())
    }

    /// Writes a version as an operator does, and gives its number.
    ///
    /// Two operators may still be racing, and win against this one.
    fn write_version(&self) -> Result<u64, Error> {
        let deployment = &self.target.deployment;
        let change = put_service(&format!("calm-{}", self.calms));
        let mut outcome = Err(Error::Unexpected("never tried".to_owned()));
        for _ in 0..WRITES {
            let last = self.read_last()?;
            outcome = deployment.propose(std::slice::from_ref(&change), last);
            if outcome.is_ok() {
                return Ok(last + 1);
            }
        }
        outcome.map(|_| 0)
    }

    /// Reads the number of the last version.
    fn read_last(&self) -> Result<u64, Error> {
        let deployment = &self.target.deployment;
        let platform = deployment.platform_address.to_string();
        let arguments = ["log", "--limit=1", "--json", "--platform", &platform];
        let (_, output) = deployment.run_cli(&arguments, SERVED)?;
        let unexpected = || Error::Unexpected(format!("log: {output}"));
        let listed: serde_json::Value =
            serde_json::from_str(&output).map_err(|_no_json| unexpected())?;
        listed[0]["version"].as_u64().ok_or_else(unexpected)
    }

    /// Tells whether every node serves by a version, or a later one.
    async fn holds(&self, version: u64) -> bool {
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

    /// Reports what was found, once all callers have ended.
    pub(crate) async fn report(&self, seed: u64, notes: &Notes) -> Result<Report, Error> {
        let unended = count_unended(&self.target.deployment.vms).await;
        let late_runs = count_late_runs(&self.target)?;
        let deadly_runs = count_further_runs(&self.target)?;
        let invocations = notes.take();
        let innocents_held = count_innocents_held(&invocations);
        let history = History {
            invocations,
            records: self.target.read_records()?,
            // Faults overlap all the while: what a stop alone may cut is for `faults` and `rolling`.
            graceful: Vec::new(),
        };
        let verdict = check(&history);
        for line in &verdict.violations {
            eprintln!("violation: {line}");
        }
        Ok(Report {
            seed,
            verdict,
            faults_injected: self.injected,
            calms: self.calms,
            not_served: self.not_served,
            not_in_force: self.not_in_force,
            reverts: self.reverts,
            ended_by_themselves: self.ended,
            stops_late: self.stops_late,
            half_closed: self.half_closed,
            late_runs,
            unended,
            deadly_runs,
            innocents_held,
        })
    }
}
