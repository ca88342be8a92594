//! A plan of faults: drawn whole from a seed before it is played, and kept in a file.
//!
//! Draws that follow the wall clock give another series each time, so that a seed
//! which failed once passes for long. A plan names each fault with its moment. Its
//! file has a JSON object a line, the head first; lines that begin with `#` are notes.

use crate::error::Error;
use crate::faults::FAULT_MS;
use crate::faults_inject::{Fault, Stop};
use crate::soak_deadly::Kind;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Pause between the beginnings of two faults, in milliseconds: with faults of
/// up to 2.5 s some three are in force at once.
pub(crate) const GAP_MS: std::ops::Range<u64> = 100..900;

/// One in so many events is a graceful stop in place of a fault.
pub(crate) const STOPS: u32 = 6;

/// One in so many events kills all nodes at once.
pub(crate) const HERDS: u32 = 40;

/// Time between two calms, in milliseconds.
pub(crate) const STORM_MS: u64 = 12_000;

/// Time that a stop is planned with: most have ended by then.
const STOP_MS: u64 = 3_000;

/// Time for which a deadly request comes again: a server that it has crashed is back
/// twice by then.
const DEADLY_MS: u64 = 9_000;

/// One in so many events is of the kinds that only plans have.
const NEW_KINDS: u32 = 6;

/// Availability zones of a soak's fleet.
pub(crate) const ZONES: usize = 3;

/// Services of a soak's fleet.
const SERVICES: usize = 3;

/// What a plan is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Seed that it was drawn from, and of the callers.
    pub seed: u64,
    /// VMs of each service in each zone.
    pub per_zone: usize,
    /// Storms, each of which ends with a calm.
    pub storms: usize,
}

/// What is done to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// A fault.
    Fault(Fault),
    /// Kills all nodes that nothing else is done to.
    KillAll,
    /// All connections to the nodes of a zone lose what goes either way; new ones work.
    SilenceZone(usize),
    /// A graceful stop.
    Stop(Stop),
    /// Graceful stops of a VM's node and its backend server, at the same moment.
    StopBoth(usize),
    /// Kills a backend server and starts it again at once, at the same address.
    Bounce(usize),
    /// A request that crashes what runs it comes again and again, at all nodes in turn.
    Deadly(Kind),
}

/// One thing that is done to the fleet, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the storm that it is part of.
    pub storm: usize,
    /// When it begins, in milliseconds from the start of the storm.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// What it is.
    pub action: Action,
}

/// A plan of faults.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// What it is for.
    pub head: Head,
    /// Its events, in order.
    pub events: Vec<Event>,
}

impl Plan {
    /// Draws a plan.
    #[must_use]
    pub fn draw(head: Head) -> Self {
        let mut rng = SmallRng::seed_from_u64(head.seed);
        let mut events = Vec::new();
        for storm in 0..head.storms {
            let mut at_ms = 0;
            while at_ms < STORM_MS {
                let action = draw_action(&mut rng, head.per_zone);
                let for_ms = match action {
                    Action::Stop(_) | Action::StopBoth(_) => STOP_MS,
                    Action::Deadly(_) => DEADLY_MS,
                    _ => rng.random_range(FAULT_MS),
                };
                let event = Event {
                    storm,
                    at_ms,
                    for_ms,
                    action,
                };
                if events.iter().all(|other| goes_with(&event, other)) {
                    events.push(event);
                }
                at_ms += rng.random_range(GAP_MS);
            }
        }
        Self { head, events }
    }

    /// Reads a plan.
    ///
    /// # Errors
    ///
    /// When the file can't be read; a line that is no event is named.
    pub fn open(file: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(file)?;
        let lines = text.lines().enumerate();
        let mut lines = lines.filter(|(_, line)| !line.starts_with('#') && !line.is_empty());
        let (number, head) = lines
            .next()
            .ok_or_else(|| Error::Unexpected(format!("{}: no head", file.display())))?;
        let name = |number: usize, error: &serde_json::Error| {
            Error::Unexpected(format!("{}, line {}: {error}", file.display(), number + 1))
        };
        let head = serde_json::from_str(head).map_err(|error| name(number, &error))?;
        let events = lines
            .map(|(number, line)| serde_json::from_str(line).map_err(|error| name(number, &error)));
        let plan = Self {
            head,
            events: events.collect::<Result<_, _>>()?,
        };
        plan.check()?;
        Ok(plan)
    }

    /// Tells which event names a VM, a zone or a storm that there is not.
    fn check(&self) -> Result<(), Error> {
        let vms = ZONES * SERVICES * self.head.per_zone;
        for event in &self.events {
            let is_there = event.storm < self.head.storms
                && event.action.vm().is_none_or(|vm| vm < vms)
                && !matches!(event.action, Action::SilenceZone(zone) if zone >= ZONES);
            if !is_there {
                return Err(Error::Unexpected(format!("not in this fleet: {event:?}")));
            }
        }
        Ok(())
    }

    /// Writes a plan.
    ///
    /// # Errors
    ///
    /// When the file can't be written.
    pub fn write(&self, file: &Path) -> Result<(), Error> {
        Ok(std::fs::write(file, self.to_lines()?)?)
    }

    /// Gives the lines of its file.
    ///
    /// # Errors
    ///
    /// Never for a plan that was drawn or read.
    pub fn to_lines(&self) -> Result<String, Error> {
        let as_error = |error: serde_json::Error| Error::Unexpected(error.to_string());
        let mut text = serde_json::to_string(&self.head).map_err(as_error)? + "\n";
        for event in &self.events {
            text += &serde_json::to_string(event).map_err(as_error)?;
            text.push('\n');
        }
        Ok(text)
    }

    /// Gives the plan without the events from `start` up to `end`.
    #[must_use]
    pub fn without(&self, start: usize, end: usize) -> Self {
        let mut events = self.events.clone();
        events.drain(start..end.min(self.events.len()));
        Self {
            head: self.head,
            events,
        }
    }
}

impl Action {
    /// Gives the VM that it is done to, if it is one.
    #[must_use]
    pub fn vm(self) -> Option<usize> {
        match self {
            Self::Fault(fault) => fault.vm(),
            Self::Stop(stop) => Some(stop.vm()),
            Self::StopBoth(vm) | Self::Bounce(vm) => Some(vm),
            Self::KillAll | Self::SilenceZone(_) | Self::Deadly(_) => None,
        }
    }
}

fn draw_action(rng: &mut SmallRng, per_zone: usize) -> Action {
    let vms = ZONES * SERVICES * per_zone;
    let vm = rng.random_range(0..vms);
    if rng.random_ratio(1, HERDS) {
        return Action::KillAll;
    }
    if rng.random_ratio(1, NEW_KINDS) {
        return match rng.random_range(0..4) {
            0 => Action::SilenceZone(rng.random_range(0..ZONES)),
            1 => Action::StopBoth(vm),
            2 => Action::Bounce(vm),
            _ => Action::Deadly(draw_kind(rng)),
        };
    }
    if rng.random_ratio(1, STOPS) {
        return Action::Stop(if rng.random_bool(0.5) {
            Stop::Node(vm)
        } else {
            Stop::Server(vm)
        });
    }
    Action::Fault(Fault::draw(rng, vms))
}

fn draw_kind(rng: &mut SmallRng) -> Kind {
    let kinds = [Kind::Lookup, Kind::Burst, Kind::Booking, Kind::Keyed];
    kinds[rng.random_range(0..kinds.len())]
}

/// Tells whether two events can be in force at once without one undoing the other.
fn goes_with(one: &Event, other: &Event) -> bool {
    let is_apart = one.storm != other.storm
        || one.at_ms >= other.at_ms + other.for_ms
        || other.at_ms >= one.at_ms + one.for_ms;
    if is_apart {
        return true;
    }
    match (one.action, other.action) {
        (Action::Fault(one), Action::Fault(other)) => one.goes_with(other),
        _ => match (one.action.vm(), other.action.vm()) {
            (Some(one), Some(other)) => one != other,
            _ => true,
        },
    }
}
