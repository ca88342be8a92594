//! Which process of the backend server a word is from, and whether it is news.
//!
//! Announcements and farewells come over several connections, so that a pause
//! of the node or a cut may turn their order. Taken as they come, a heartbeat
//! that trails the farewell announces a server that leaves as ready again: it
//! got new calls for 25 s, as long as it waited to end.

use smol_str::{SmolStr, ToSmolStr};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Former processes of the backend server that are remembered: restarts within an hour, at most.
const MAX_FORMER: usize = 32;

/// Announcements after which one whose place was taken is the living one after
/// all: what a cut has held up comes once, a heartbeat goes on.
const ALIVE: u8 = 2;

/// Time after a farewell for which one without a name is not believed to be back.
///
/// Nothing in it tells a restart from a late heartbeat. The listener takes at most
/// 5 s for the head and 5 s for the body of what was under way as the farewell came.
const NAMELESS_WAIT: Duration = Duration::from_secs(10);

/// What names a process of the backend server.
///
/// A backend server may start again under the name that it had, and then counts
/// its announcements anew: by its name alone, its heartbeats would pass for late
/// ones of the former process, and a departure of that one would end it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Process {
    /// Its name; empty for one that gives none.
    name: SmolStr,
    /// When it started, by its VM's clock, if it says so.
    born: Option<u64>,
}

impl Process {
    /// Names a process that speaks the platform's words.
    pub(super) fn on_platform(instance: SmolStr, born: Option<u64>) -> Self {
        Self {
            name: instance,
            born,
        }
    }

    /// Names a process by its incarnation, if it gives one.
    pub(super) fn of_product(incarnation: Option<u64>) -> Self {
        Self {
            name: incarnation.map_or_else(SmolStr::default, |number| number.to_smolstr()),
            born: None,
        }
    }

    fn is_nameless(&self) -> bool {
        self.name.is_empty()
    }

    /// Tells whether it started before another, as far as both say when.
    ///
    /// The clock may have been set back in between: it is a hint, not a proof.
    fn is_older(&self, other: &Self) -> bool {
        match (self.born, other.born) {
            (Some(born), Some(others)) => born < others,
            _ => false,
        }
    }
}

/// What a process says, as far as its order matters.
#[derive(Debug, Clone, Copy)]
pub(super) struct Word {
    /// Number of the word among those of its process, if it has one.
    pub(super) sequence: Option<u64>,
    /// Whether the process takes no more work.
    pub(super) leaves: bool,
    /// When it was read.
    pub(super) at: Instant,
}

/// The backend server's process that announced itself last, and those before it.
#[derive(Debug, Default)]
pub(super) struct Known {
    process: Option<Process>,
    sequence: u64,
    /// When it said that it leaves, if it did.
    left: Option<Instant>,
    former: VecDeque<Former>,
}

/// A process of the backend server that is taken for gone.
#[derive(Debug)]
struct Former {
    process: Process,
    /// Whether it said so itself; otherwise another one took its place.
    left: bool,
    /// Announcements that came from it since.
    heard: u8,
}

impl Known {
    /// Takes in a word; tells whether it is news of the process that counts now.
    pub(super) fn take(&mut self, process: &Process, word: &Word) -> bool {
        if self.is_past(process) {
            self.forget(process.clone(), word.leaves, 1);
            return false;
        }
        if !self.is_news(process, word) {
            return false;
        }
        if word.leaves && self.process.as_ref().is_some_and(|known| known != process) {
            // An announcement that comes late must not bring it back, nor may its
            // departure end the one that is here.
            self.forget(process.clone(), true, 0);
            return false;
        }
        self.note(process, word);
        true
    }

    /// Tells whether the process that was heard of last has said that it leaves.
    pub(super) fn has_left(&self) -> bool {
        self.left.is_some()
    }

    /// Gives the process that is here now.
    pub(super) fn find_present(&self) -> Process {
        let nameless = || Process::of_product(None);
        self.process.clone().unwrap_or_else(nameless)
    }

    /// Gives the process of that name which is here, if there is one.
    ///
    /// A farewell that doesn't say when its sender started is of that process:
    /// not to believe it would send calls to one that leaves.
    pub(super) fn find_namesake(&self, process: Process) -> Process {
        let here = self.process.as_ref();
        let here = here.filter(|known| known.name == process.name);
        here.cloned().unwrap_or(process)
    }

    /// Tells whether a word of a process is newer than what is known.
    ///
    /// Guards against one that a cut or a pause has held up: it may come after
    /// its sender has left or crashed and another process has its address, and
    /// calls would be addressed to a process that is gone.
    fn is_news(&mut self, process: &Process, word: &Word) -> bool {
        if let Some(place) = self.former.iter().position(|one| one.process == *process) {
            let former = &mut self.former[place];
            former.heard = former.heard.saturating_add(1);
            // A farewell is no sign of life: with it counted as one, a late heartbeat
            // was the second, and had the process back that leaves.
            former.left |= word.leaves;
            if former.left || former.heard < ALIVE {
                return false;
            }
            self.former.remove(place);
        }
        match &self.process {
            Some(known) if known == process => match self.left {
                Some(left) => {
                    let since = word.at.saturating_duration_since(left);
                    word.leaves || process.is_nameless() && since >= NAMELESS_WAIT
                }
                None => word
                    .sequence
                    .is_none_or(|sequence| sequence > self.sequence),
            },
            _ => true,
        }
    }

    /// Tells whether a process that was not heard of before seems to be of the past.
    ///
    /// It is then heard a second time before it is believed: a word of the former
    /// process that comes late is alone, the heartbeats of one whose clock was set
    /// back before it started go on.
    fn is_past(&self, process: &Process) -> bool {
        let known = self.process.as_ref();
        known.is_some_and(|known| known != process && process.is_older(known))
            && !self.former.iter().any(|one| one.process == *process)
    }

    fn note(&mut self, process: &Process, word: &Word) {
        if self.process.as_ref() != Some(process)
            && let Some(former) = self.process.replace(process.clone())
        {
            self.forget(former, self.left.is_some(), 0);
            self.sequence = 0;
        }
        self.left = word.leaves.then(|| self.left.unwrap_or(word.at));
        self.sequence = word.sequence.unwrap_or(self.sequence);
    }

    /// Takes a process for gone that was `heard` so often since.
    ///
    /// One without a name is not remembered: the next one without is another.
    fn forget(&mut self, process: Process, left: bool, heard: u8) {
        if process.is_nameless() {
            return;
        }
        self.former.push_back(Former {
            process,
            left,
            heard,
        });
        if self.former.len() > MAX_FORMER {
            self.former.pop_front();
        }
    }
}
