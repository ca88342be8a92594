//! Tracks the processes of the backend server and rejects messages that are out of date.
//!
//! Announcements and leave requests come over several connections, so a pause of the node or a
//! network partition can reorder them. If they were applied in order of arrival, a heartbeat that
//! comes after the leave request would announce the leaving server as ready again. One backend
//! server got new calls for 25 s in this way, the whole time that it waited to exit.

use crate::shared::Backend;
use config::{Farewell, merge_farewells};
use smol_str::{SmolStr, ToSmolStr};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of former processes that are remembered; enough for the restarts of an hour.
const MAX_FORMER_PROCESSES: usize = 32;

/// Number of messages after which a former process that has not left counts as the current process
/// again. A message that was delayed by a partition arrives only once, while a running process
/// keeps sending heartbeats.
const MESSAGES_TO_BECOME_CURRENT: u8 = 2;

/// Time after a leave request during which announcements of unnamed processes are ignored.
///
/// Nothing in such an announcement distinguishes a restart from a late heartbeat. A request that
/// was in progress when the leave request came has ended after this time: the listener allows at
/// most 5 s for its head and 5 s for its body.
const UNNAMED_RETURN_DELAY: Duration = Duration::from_secs(10);

/// Time for which a leave request without a start time binds other processes of that name.
///
/// Messages are late by seconds, or by as long as a partition lasts. Start times come from a clock
/// that may be set back, so that a new process may seem to have started before the leave request.
const NAME_BINDING_TIME: Duration = Duration::from_mins(1);

/// Identifies a process of the backend server.
///
/// A backend server may restart under the same name, with sequence numbers that start over. If
/// processes were identified by name alone, the heartbeats of the new process would be taken for
/// late ones of the former process, and a leave request of the former process would remove the new
/// one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Process {
    /// Name of the process; empty if it gives none.
    name: SmolStr,
    /// Start time of the process by the clock of its VM, if it is announced.
    started_ms: Option<u64>,
    /// Identifies the process to other nodes.
    number: u64,
}

/// Number of all processes that give no name.
const UNNAMED: u64 = 0;

impl Process {
    /// Identifies a process that announces itself in the platform's format.
    pub(crate) fn from_platform(instance: SmolStr, started_ms: Option<u64>) -> Self {
        let number = identify(&instance, None, started_ms);
        Self {
            name: instance,
            started_ms,
            number,
        }
    }

    /// Identifies a process by its incarnation; without one, the process is unnamed.
    pub(crate) fn from_incarnation(incarnation: Option<u64>) -> Self {
        Self {
            name: incarnation.map_or_else(SmolStr::default, |number| number.to_smolstr()),
            started_ms: None,
            number: incarnation.map_or(UNNAMED, |_| identify("", incarnation, None)),
        }
    }

    /// Identifies the process that announced `backend`.
    pub(crate) fn of_backend(backend: &Backend) -> Self {
        match &backend.instance {
            Some(instance) => Self::from_platform(instance.clone(), backend.process_started_ms),
            None => Self::from_incarnation(backend.incarnation),
        }
    }

    fn is_unnamed(&self) -> bool {
        self.name.is_empty()
    }

    /// Returns the farewell of this process, which leaves now by the clock of the VM.
    pub(crate) fn farewell(&self, wall_ms: u64) -> Farewell {
        Farewell {
            left_ms: wall_ms,
            process: self.number,
        }
    }

    /// Returns for how long `farewell` binds this process, from the leave request on; `None` if it
    /// is about another process, and [`Duration::MAX`] if it binds the process for good.
    ///
    /// A leave request may name no start time. It is then about the process of that name that had
    /// started by then.
    fn binding_time(&self, farewell: &Farewell) -> Option<Duration> {
        if farewell.process == self.number {
            let is_unnamed = self.is_unnamed();
            let limited = is_unnamed.then_some(UNNAMED_RETURN_DELAY);
            return Some(limited.unwrap_or(Duration::MAX));
        }
        let started = self.started_ms?;
        let is_earlier = farewell.process == self.number ^ started && started <= farewell.left_ms;
        is_earlier.then_some(NAME_BINDING_TIME)
    }

    /// Returns whether this process started before `other`; false if a start time is missing.
    ///
    /// The result is only a hint, since the clock may have been set back between the two starts.
    fn started_before(&self, other: &Self) -> bool {
        match (self.started_ms, other.started_ms) {
            (Some(started), Some(other)) => started < other,
            _ => false,
        }
    }
}

/// Returns the number by which other nodes identify a process.
pub(crate) fn identify(instance: &str, incarnation: Option<u64>, started_ms: Option<u64>) -> u64 {
    policy::hash(instance) ^ incarnation.unwrap_or_default() ^ started_ms.unwrap_or_default()
}

/// The parts of an announcement or leave request that decide whether the message is current.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Message {
    /// Sequence number among the messages of its process, if the message has one.
    pub(crate) sequence: Option<u64>,
    /// Whether the process is leaving and takes no more calls.
    pub(crate) is_leave: bool,
    /// When the message was read.
    pub(crate) received_at: Instant,
    /// The same moment by the clock of the VM, in milliseconds since the Unix epoch.
    pub(crate) wall_ms: u64,
}

/// The current process of the backend server and its former processes.
#[derive(Debug, Default)]
pub(crate) struct ProcessTracker {
    current: Option<Process>,
    /// Sequence number of the last applied message of the current process that had one.
    last_sequence: u64,
    /// When the current process sent its leave request, if it did.
    left_at: Option<Instant>,
    former: VecDeque<Former>,
    /// Processes that have left, also before this process of the node started.
    farewells: Vec<Farewell>,
}

/// A process of the backend server that is considered gone.
#[derive(Debug)]
struct Former {
    process: Process,
    /// Whether the process sent a leave request; otherwise another process replaced it.
    has_left: bool,
    /// Number of messages received from the process since it has counted as gone.
    messages: u8,
}

impl ProcessTracker {
    /// Records a message; returns whether to apply it, that is, whether it is up to date and its
    /// sender counts as the current process from now on.
    pub(crate) fn accept(&mut self, process: &Process, message: &Message) -> bool {
        if message.is_leave {
            merge_farewells(&mut self.farewells, &[process.farewell(message.wall_ms)]);
        } else if self.time_since_farewell(process, message.wall_ms).is_some() {
            return false;
        }
        if self.seems_outdated(process) {
            self.add_former(process.clone(), message.is_leave, 1);
            return false;
        }
        if !self.is_newer(process, message) {
            return false;
        }
        if message.is_leave
            && self
                .current
                .as_ref()
                .is_some_and(|current| current != process)
        {
            // The leave request of another process must not remove the current process, and a late
            // announcement must not bring that other process back.
            self.add_former(process.clone(), true, 0);
            return false;
        }
        self.record(process, message);
        true
    }

    /// Takes over farewells that other nodes hold; returns whether the current process is among
    /// those that have left, without having told this process of the node.
    pub(crate) fn learn(&mut self, farewells: &[Farewell], now: Instant, wall_ms: u64) -> bool {
        merge_farewells(&mut self.farewells, farewells);
        let current = self.current.as_ref().filter(|_| self.left_at.is_none());
        let Some(since) = current.and_then(|current| self.time_since_farewell(current, wall_ms))
        else {
            return false;
        };
        self.left_at = now.checked_sub(since).or(Some(now));
        true
    }

    /// Returns how long ago a process left, by a leave request to this process of the node or to a
    /// former one; `None` if it hasn't left, or if another process may be running by now.
    fn time_since_farewell(&self, process: &Process, wall_ms: u64) -> Option<Duration> {
        self.farewells.iter().find_map(|farewell| {
            let since = wall_ms.checked_sub(farewell.left_ms);
            let since = since.map(Duration::from_millis);
            match process.binding_time(farewell)? {
                Duration::MAX => Some(since.unwrap_or_default()),
                // The age of a farewell is unknown if the clock was set back since.
                binding_time => since.filter(|since| *since < binding_time),
            }
        })
    }

    /// Returns whether the current process has sent a leave request, or no process has announced
    /// itself since the last one left.
    pub(crate) fn has_left(&self) -> bool {
        self.left_at.is_some() || (self.current.is_none() && !self.farewells.is_empty())
    }

    /// Returns the current process, or an unnamed one if none is known.
    pub(crate) fn current(&self) -> Process {
        let unnamed = || Process::from_incarnation(None);
        self.current.clone().unwrap_or_else(unnamed)
    }

    /// Returns the current process if it has the name of `process`, otherwise `process` itself.
    ///
    /// A leave request without a start time is attributed to the current process of that name. If
    /// the request were ignored, calls would still be sent to a process that is leaving.
    pub(crate) fn match_by_name(&self, process: Process) -> Process {
        let current = self.current.as_ref();
        let current = current.filter(|current| current.name == process.name);
        current.cloned().unwrap_or(process)
    }

    /// Returns whether a message is newer than what is known of its process; counts the messages of
    /// former processes.
    ///
    /// A message that was delayed by a partition or a pause may come after its sender has left or
    /// crashed and another process has its address. If it were applied, calls would be addressed to
    /// a process that is gone.
    fn is_newer(&mut self, process: &Process, message: &Message) -> bool {
        if let Some(index) = self
            .former
            .iter()
            .position(|former| former.process == *process)
        {
            let former = &mut self.former[index];
            former.messages = former.messages.saturating_add(1);
            // A leave request doesn't show that the process keeps running. When a leave request
            // counted as a message of a running process, a late heartbeat was the second message
            // and brought the leaving process back.
            former.has_left |= message.is_leave;
            if former.has_left || former.messages < MESSAGES_TO_BECOME_CURRENT {
                return false;
            }
            self.former.remove(index);
        }
        match &self.current {
            Some(current) if current == process => match self.left_at {
                Some(left_at) => {
                    let since = message.received_at.saturating_duration_since(left_at);
                    message.is_leave || process.is_unnamed() && since >= UNNAMED_RETURN_DELAY
                }
                None => message
                    .sequence
                    .is_none_or(|sequence| sequence > self.last_sequence),
            },
            _ => true,
        }
    }

    /// Returns whether an unknown process seems to have started before the current process.
    ///
    /// Such a process is accepted from its second message on. A late message of a former process
    /// comes alone, while a process that started after its clock was set back keeps sending
    /// heartbeats.
    fn seems_outdated(&self, process: &Process) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current != process && process.started_before(current))
            && !self.former.iter().any(|former| former.process == *process)
    }

    fn record(&mut self, process: &Process, message: &Message) {
        if self.current.as_ref() != Some(process)
            && let Some(former) = self.current.replace(process.clone())
        {
            self.add_former(former, self.left_at.is_some(), 0);
            self.last_sequence = 0;
        }
        self.left_at = message
            .is_leave
            .then(|| self.left_at.unwrap_or(message.received_at));
        self.last_sequence = message.sequence.unwrap_or(self.last_sequence);
    }

    /// Adds a process to the former processes, with the number of messages already received from
    /// it.
    ///
    /// An unnamed process is not remembered, since the next unnamed one may be another process.
    fn add_former(&mut self, process: Process, has_left: bool, messages: u8) {
        if process.is_unnamed() {
            return;
        }
        self.former.push_back(Former {
            process,
            has_left,
            messages,
        });
        if self.former.len() > MAX_FORMER_PROCESSES {
            self.former.pop_front();
        }
    }
}
