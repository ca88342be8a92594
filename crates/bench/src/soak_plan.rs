//! Plans of faults: generated from a seed before they are played, and stored in files.
//!
//! Faults that are chosen during a run depend on the timing of that run, so a run that failed with
//! a seed may pass many times with the same seed. A plan lists each fault with its time. The file
//! of a plan has one JSON object per line, the header first; lines that begin with `#` are
//! comments.

use crate::error::Error;
use crate::faults::FAULT_DURATION_MS;
use crate::faults_inject::{Fault, Stop};
use crate::soak_deadly::DeadlyKind;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Range of the time between the starts of two events, in milliseconds. Faults last up to 2.5 s, so
/// about three faults are active at once.
pub(crate) const EVENT_GAP_MS: std::ops::Range<u64> = 100..900;

/// One in this many events is a graceful stop instead of a fault.
pub(crate) const STOP_ONE_IN: u32 = 6;

/// One in this many events kills all nodes at once.
pub(crate) const KILL_ALL_ONE_IN: u32 = 40;

/// Duration of a storm, the time between two calms, in milliseconds.
pub(crate) const STORM_MS: u64 = 12_000;

/// Planned duration of a graceful stop, in milliseconds; most graceful stops end within this time.
const PLANNED_STOP_MS: u64 = 3_000;

/// Time for which a deadly request is repeated, in milliseconds: a backend server that the request
/// crashes is restarted twice within this time.
const DEADLY_MS: u64 = 9_000;

/// One in this many planned events is of a kind that is not chosen during a run without a plan.
const PLAN_ONLY_ONE_IN: u32 = 6;

/// One in this many planned events is a report of a backend server, in plans with reports.
const REPORT_ONE_IN: u32 = 4;

/// Number of availability zones of a soak test's fleet.
pub(crate) const ZONE_COUNT: usize = 3;

/// Number of services of a soak test's fleet.
const SERVICE_COUNT: usize = 3;

/// Header of a plan: the seed, the size of the fleet and the number of storms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanHeader {
    /// Seed of the plan and of the callers.
    pub seed: u64,
    /// Number of VMs of each service in each availability zone.
    pub per_zone: usize,
    /// Number of storms: periods of overlapping faults, each followed by a calm.
    pub storms: usize,
    /// Whether backend servers also report limits and departures in their responses.
    #[serde(default)]
    pub reports: bool,
}

/// What an event does to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Injects a fault for the duration of the event.
    Fault(Fault),
    /// Kills the nodes of all VMs that have no active fault or stop.
    KillAll,
    /// Makes all connections to the nodes of an availability zone drop the bytes in both
    /// directions; new connections work.
    SilenceZone(usize),
    /// Stops a process gracefully, and starts it again after its end.
    Stop(Stop),
    /// Stops a VM's backend server and node gracefully at the same time, and starts each again
    /// after its end.
    StopBoth(usize),
    /// Kills a backend server and starts it again immediately, at the same address.
    Bounce(usize),
    /// Sends a deadly request repeatedly for the duration of the event.
    Deadly(DeadlyKind),
    /// Has a backend server name a limit on the rate of its calls.
    NameLimit {
        /// VM of the backend server.
        vm: usize,
        /// Calls per second.
        rate: u8,
    },
    /// Has a backend server report that it is leaving while its heartbeats go on; it is replaced at
    /// the end of the event.
    ReportLeaving(usize),
}

/// An action with its time in the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the storm that the event belongs to.
    pub storm: usize,
    /// Start of the event, in milliseconds from the start of the storm.
    pub at_ms: u64,
    /// Duration of the event, in milliseconds.
    pub for_ms: u64,
    /// What the event does.
    pub action: Action,
}

/// A plan of faults.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The seed, the size of the fleet and the number of storms.
    pub header: PlanHeader,
    /// Events in the order of their starts.
    pub events: Vec<Event>,
}

impl Plan {
    /// Generates a plan from the seed in its header.
    #[must_use]
    pub fn generate(header: PlanHeader) -> Self {
        let mut rng = SmallRng::seed_from_u64(header.seed);
        let mut events = Vec::new();
        for storm in 0..header.storms {
            let mut at_ms = 0;
            while at_ms < STORM_MS {
                let action = sample_action(&mut rng, header);
                let for_ms = match action {
                    Action::Stop(_) | Action::StopBoth(_) => PLANNED_STOP_MS,
                    Action::Deadly(_) => DEADLY_MS,
                    _ => rng.random_range(FAULT_DURATION_MS),
                };
                let event = Event {
                    storm,
                    at_ms,
                    for_ms,
                    action,
                };
                if events.iter().all(|other| is_compatible_with(&event, other)) {
                    events.push(event);
                }
                at_ms += rng.random_range(EVENT_GAP_MS);
            }
        }
        Self { header, events }
    }

    /// Reads a plan from a file.
    ///
    /// # Errors
    ///
    /// When the file can't be read, a line is malformed (the error names the line), or an event
    /// does not fit the fleet.
    pub fn read(file: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(file)?;
        let lines = text.lines().enumerate();
        let mut lines = lines.filter(|(_, line)| !line.starts_with('#') && !line.is_empty());
        let (number, header) = lines
            .next()
            .ok_or_else(|| Error::Unexpected(format!("{}: no header", file.display())))?;
        let line_error = |number: usize, error: &serde_json::Error| {
            Error::Unexpected(format!("{}, line {}: {error}", file.display(), number + 1))
        };
        let header = serde_json::from_str(header).map_err(|error| line_error(number, &error))?;
        let events = lines.map(|(number, line)| {
            serde_json::from_str(line).map_err(|error| line_error(number, &error))
        });
        let plan = Self {
            header,
            events: events.collect::<Result<_, _>>()?,
        };
        plan.check()?;
        Ok(plan)
    }

    /// Checks that every event refers to an existing VM, availability zone and storm.
    fn check(&self) -> Result<(), Error> {
        let vms = ZONE_COUNT * SERVICE_COUNT * self.header.per_zone;
        for event in &self.events {
            let exists = event.storm < self.header.storms
                && event.action.vm().is_none_or(|vm| vm < vms)
                && !matches!(event.action, Action::SilenceZone(zone) if zone >= ZONE_COUNT);
            if !exists {
                return Err(Error::Unexpected(format!("not in this fleet: {event:?}")));
            }
        }
        Ok(())
    }

    /// Writes the plan to a file.
    ///
    /// # Errors
    ///
    /// When the file can't be written.
    pub fn write(&self, file: &Path) -> Result<(), Error> {
        Ok(std::fs::write(file, self.to_lines()?)?)
    }

    /// Returns the plan as the text of a plan file.
    ///
    /// # Errors
    ///
    /// Never for a plan that was generated or read.
    pub fn to_lines(&self) -> Result<String, Error> {
        let as_error = |error: serde_json::Error| Error::Unexpected(error.to_string());
        let mut text = serde_json::to_string(&self.header).map_err(as_error)? + "\n";
        for event in &self.events {
            text += &serde_json::to_string(event).map_err(as_error)?;
            text.push('\n');
        }
        Ok(text)
    }

    /// Returns the plan without the events from `start` up to `end`, which is excluded.
    #[must_use]
    pub fn without(&self, start: usize, end: usize) -> Self {
        let mut events = self.events.clone();
        events.drain(start..end.min(self.events.len()));
        Self {
            header: self.header,
            events,
        }
    }
}

impl Action {
    /// Returns the affected VM, if the action affects a single VM.
    #[must_use]
    pub fn vm(self) -> Option<usize> {
        match self {
            Self::Fault(fault) => fault.vm(),
            Self::Stop(stop) => Some(stop.vm()),
            Self::StopBoth(vm)
            | Self::Bounce(vm)
            | Self::NameLimit { vm, .. }
            | Self::ReportLeaving(vm) => Some(vm),
            Self::KillAll | Self::SilenceZone(_) | Self::Deadly(_) => None,
        }
    }
}

fn sample_action(rng: &mut SmallRng, header: PlanHeader) -> Action {
    let vms = ZONE_COUNT * SERVICE_COUNT * header.per_zone;
    let vm = rng.random_range(0..vms);
    if header.reports && rng.random_ratio(1, REPORT_ONE_IN) {
        return if rng.random_bool(0.7) {
            let rate = rng.random_range(0..40);
            Action::NameLimit { vm, rate }
        } else {
            Action::ReportLeaving(vm)
        };
    }
    if rng.random_ratio(1, KILL_ALL_ONE_IN) {
        return Action::KillAll;
    }
    if rng.random_ratio(1, PLAN_ONLY_ONE_IN) {
        return match rng.random_range(0..4) {
            0 => Action::SilenceZone(rng.random_range(0..ZONE_COUNT)),
            1 => Action::StopBoth(vm),
            2 => Action::Bounce(vm),
            _ => Action::Deadly(sample_kind(rng)),
        };
    }
    if rng.random_ratio(1, STOP_ONE_IN) {
        return Action::Stop(if rng.random_bool(0.5) {
            Stop::Node(vm)
        } else {
            Stop::Server(vm)
        });
    }
    Action::Fault(Fault::sample(rng, vms))
}

fn sample_kind(rng: &mut SmallRng) -> DeadlyKind {
    let kinds = [
        DeadlyKind::Lookup,
        DeadlyKind::Burst,
        DeadlyKind::Booking,
        DeadlyKind::Keyed,
    ];
    kinds[rng.random_range(0..kinds.len())]
}

/// Returns whether two events don't overlap in time, or can be active at once without one undoing
/// the other.
fn is_compatible_with(one: &Event, other: &Event) -> bool {
    let is_apart = one.storm != other.storm
        || one.at_ms >= other.at_ms + other.for_ms
        || other.at_ms >= one.at_ms + one.for_ms;
    if is_apart {
        return true;
    }
    match (one.action, other.action) {
        (Action::Fault(one), Action::Fault(other)) => one.is_compatible_with(other),
        _ => match (one.action.vm(), other.action.vm()) {
            (Some(one), Some(other)) => one != other,
            _ => true,
        },
    }
}
