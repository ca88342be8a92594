//! Stops and starts the processes of a fleet, sends SIGHUP, and proposes versions.

use crate::deployment::{encode_patch, put_service};
use crate::error::Error;
use crate::faults_callers::now_us;
use crate::faults_history::Span;
use crate::faults_inject::{PendingStop, Stop, Target};
use crate::process::Process;
use crate::rolling::{backend_serves, wait_status};
use crate::stops::Report;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::ops::Range;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Range of the time between two events, in milliseconds.
const EVENT_GAP_MS: Range<u64> = 20..900;

/// Range of the time between the end of a process and its start, in milliseconds.
const START_DELAY_MS: Range<u64> = 0..400;

/// Interval at which the processes are polled.
const TICK: Duration = Duration::from_millis(4);

/// Time without new events before the callers end.
const LAST_EVENT_MARGIN: Duration = Duration::from_secs(4);

/// Time limit for a proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Stops and starts the processes of a fleet.
pub(crate) struct Runner {
    rng: SmallRng,
    pub(crate) target: Target,
    stopping: Vec<PendingStop>,
    /// Ended processes, with the times at which to start them.
    starts: Vec<(Instant, Stop)>,
    /// VMs that were started and don't serve yet.
    warming: Vec<usize>,
    warm_ups: JoinSet<Result<usize, Error>>,
    proposal: Option<Process>,
    /// Spans of the stops of each VM's node, from the signal until the process had ended.
    pub(crate) node_stops: Vec<Vec<Span>>,
    requested_us: Vec<u64>,
    /// Time after SIGTERM at which a node is killed.
    grace: Option<Duration>,
    pub(crate) report: Report,
}

impl Runner {
    pub(crate) fn new(seed: u64, target: Target, grace: Option<Duration>) -> Self {
        let vms = target.deployment.vms.len();
        Self {
            rng: SmallRng::seed_from_u64(seed),
            target,
            stopping: Vec::new(),
            starts: Vec::new(),
            warming: Vec::new(),
            warm_ups: JoinSet::new(),
            proposal: None,
            node_stops: vec![Vec::new(); vms],
            requested_us: vec![0; vms],
            grace,
            report: Report {
                seed,
                ..Report::default()
            },
        }
    }

    /// Draws events until shortly before `end`, and then waits until every VM serves again.
    pub(crate) async fn run_until(&mut self, end: Instant) -> Result<(), Error> {
        let mut next = Instant::now();
        loop {
            let now = Instant::now();
            self.advance(now)?;
            if now + LAST_EVENT_MARGIN < end {
                if now >= next {
                    self.begin_event()?;
                    next = now + Duration::from_millis(self.rng.random_range(EVENT_GAP_MS));
                }
            } else if now >= end && (0..self.node_stops.len()).all(|vm| self.is_serving(vm)) {
                return Ok(());
            }
            tokio::time::sleep(TICK).await;
        }
    }

    fn is_serving(&self, vm: usize) -> bool {
        !self.stopping.iter().any(|pending| pending.stop.vm() == vm)
            && !self.starts.iter().any(|(_, stop)| stop.vm() == vm)
            && !self.warming.contains(&vm)
    }

    fn begin_event(&mut self) -> Result<(), Error> {
        let vms = self.node_stops.len();
        match self.rng.random_range(0..10) {
            0..2 => self.hang_up(),
            2 => self.propose(),
            draw => {
                let count = match draw {
                    3..6 => 1,
                    _ => self.rng.random_range(1..=vms / 3),
                };
                for _ in 0..count {
                    let vm = self.rng.random_range(0..vms);
                    let stops = match self.rng.random_range(0..6) {
                        0 => vec![Stop::Server(vm)],
                        1 => vec![Stop::Server(vm), Stop::Node(vm)],
                        _ => vec![Stop::Node(vm)],
                    };
                    if self.can_stop(vm) {
                        self.request_stops(&stops)?;
                    }
                }
                Ok(())
            }
        }
    }

    /// Returns whether another VM with the same service serves.
    fn can_stop(&self, vm: usize) -> bool {
        let vms = &self.target.deployment.vms;
        let service = &vms[vm].spec.service;
        let same = (0..vms.len()).filter(|other| vms[*other].spec.service == *service);
        self.is_serving(vm) && same.filter(|other| self.is_serving(*other)).count() > 1
    }

    fn request_stops(&mut self, stops: &[Stop]) -> Result<(), Error> {
        for stop in stops {
            eprintln!("{} stop {stop:?}", now_us());
            match stop {
                Stop::Node(vm) => {
                    self.report.node_stops += 1;
                    self.requested_us[*vm] = now_us();
                }
                Stop::Server(_) => self.report.server_stops += 1,
            }
            self.stopping.push(self.target.request_stop(*stop)?);
        }
        self.report.stops_at_once = self.report.stops_at_once.max(self.stopping.len());
        Ok(())
    }

    /// Sends SIGHUP to a node, in half of the cases to one that is stopping.
    ///
    /// A node that has just been started has not installed its handler yet.
    fn hang_up(&mut self) -> Result<(), Error> {
        let stopping = self
            .stopping
            .iter()
            .filter_map(|pending| match pending.stop {
                Stop::Node(vm) => Some(vm),
                Stop::Server(_) => None,
            });
        let stopping: Vec<_> = stopping.collect();
        let vm = if stopping.is_empty() || self.rng.random_bool(0.5) {
            self.rng.random_range(0..self.node_stops.len())
        } else {
            stopping[self.rng.random_range(0..stopping.len())]
        };
        let node = &mut self.target.deployment.vms[vm].node;
        if stopping.contains(&vm) && node.is_running() {
            self.report.hangups_in_stop += 1;
        } else if !self.is_serving(vm) {
            return Ok(());
        }
        if self.grace.is_some() && stopping.contains(&vm) && self.rng.random_bool(0.5) {
            eprintln!("{} stop again {vm}", now_us());
            return self.target.deployment.vms[vm].node.signal(Signal::TERM);
        }
        self.report.hangups += 1;
        eprintln!("{} hangup {vm}", now_us());
        self.target.deployment.vms[vm].node.signal(Signal::HUP)
    }

    /// Starts a proposal of the next version, unless one is still running.
    fn propose(&mut self) -> Result<(), Error> {
        if self.proposal.is_some() {
            return Ok(());
        }
        let deployment = &self.target.deployment;
        let base = self.report.versions + 1;
        let service = format!("stops-{base}");
        let file = deployment.folder().join(format!("{service}.jsonl"));
        std::fs::write(&file, encode_patch(&[put_service(&service)])?)?;
        let log = file.with_extension("log");
        let (file, base) = (file.display().to_string(), base.to_string());
        let platform = deployment.platform_address.to_string();
        let arguments = ["propose", &file, "--base", &base, "--platform", &platform];
        self.proposal = Some(Process::spawn("bluebellpick", arguments, &log)?);
        Ok(())
    }

    /// Follows the processes that stop, start and propose.
    fn advance(&mut self, now: Instant) -> Result<(), Error> {
        self.finish_stops(now)?;
        for (_, stop) in self
            .starts
            .extract_if(.., |(at, _)| *at <= now)
            .collect::<Vec<_>>()
        {
            self.target.start(stop)?;
            self.warm_up(stop.vm());
        }
        while let Some(warm) = self.warm_ups.try_join_next() {
            let vm = warm.map_err(|error| Error::Unexpected(error.to_string()))??;
            let position = self.warming.iter().position(|warming| *warming == vm);
            position.map(|position| self.warming.swap_remove(position));
        }
        for vm in 0..self.node_stops.len() {
            if self.is_serving(vm) && !self.target.deployment.vms[vm].node.is_running() {
                eprintln!("violation: node {vm} ended without a request to stop");
                self.report.unexpected_exits += 1;
                self.target.start(Stop::Node(vm))?;
                self.warm_up(vm);
            }
        }
        if let Some(mut proposal) = self.proposal.take() {
            if proposal.is_running() {
                self.proposal = Some(proposal);
            } else if proposal.wait(PROPOSE_TIMEOUT)?.success() {
                self.report.versions += 1;
            } else {
                let output = std::fs::read_to_string(&proposal.log)?;
                return Err(Error::Unexpected(format!(
                    "proposal not accepted: {output}"
                )));
            }
        }
        Ok(())
    }

    fn warm_up(&mut self, vm: usize) {
        let address = self.target.deployment.vms[vm].operators_address();
        self.warming.push(vm);
        self.warm_ups.spawn(async move {
            wait_status(address, backend_serves).await?;
            Ok(vm)
        });
    }

    fn finish_stops(&mut self, now: Instant) -> Result<(), Error> {
        for pending in std::mem::take(&mut self.stopping) {
            let is_node = matches!(pending.stop, Stop::Node(_));
            let limit = self.grace.filter(|_| is_node);
            let is_late =
                pending.is_overdue() || limit.is_some_and(|limit| pending.has_taken(limit));
            if is_late {
                eprintln!("violation: {:?} did not end", pending.stop);
                self.report.stops_late += 1;
                self.target.kill(pending.stop)?;
            }
            if !self.target.has_ended(&pending)? {
                self.stopping.push(pending);
                continue;
            }
            if let Stop::Node(vm) = pending.stop {
                self.node_stops[vm].push(Span {
                    from_us: self.requested_us[vm],
                    to_us: now_us(),
                });
                let node = &mut self.target.deployment.vms[vm].node;
                if !is_late && !node.wait(TICK)?.success() {
                    eprintln!("violation: node {vm} failed while it stopped");
                    self.report.unexpected_exits += 1;
                }
            }
            let delay = Duration::from_millis(self.rng.random_range(START_DELAY_MS));
            self.starts.push((now + delay, pending.stop));
        }
        Ok(())
    }
}
