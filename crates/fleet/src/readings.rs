//! How readings of the platform travel between nodes.
//!
//! A path to a root doesn't show that the configuration is current: the platform may refuse the
//! root, answer it late or not at all, or the root may be frozen or cut off in one direction. So
//! each node that reads the platform, a root or not, passes on at which moment it did, and every
//! node knows how old the youngest reading is that has reached it.
//!
//! A reading spreads over all links, up and down the tree and between roots, to the nodes that
//! only know an older one. Its moment is related to a heartbeat of the receiver, which counts from
//! when it sent that heartbeat by its own clock; see [`Reading`].

use crate::freshness::Confirmation;
use crate::link::{Link, LinkKey};
use crate::node::Node;
use config::Version;
use std::time::{Duration, Instant};
use wire::control::{Frame, Reading};

/// How much younger than the last one a reading has to be for a node to send it at once; others
/// wait until they are needed. Without a limit, the readings of 45 roots would cause some ten
/// frames a second on each link.
const MIN_GAIN: Duration = Duration::from_millis(600);

impl Node {
    /// Handles a watch's report that there was no further version at `at`.
    pub(crate) fn on_unchanged(&mut self, at: Instant) {
        // What the watch has sent before has arrived before, applied or not.
        let version = self.sync.platform_version.max(self.version());
        if version > Version::ZERO {
            self.record_own_reading(version, at);
        }
    }

    /// Records that this node has read from the platform that `version` was the newest at `at`.
    pub(crate) fn record_own_reading(&mut self, version: Version, at: Instant) {
        let by_root = self.lease.slot().is_some();
        self.record_confirmation(Confirmation {
            version,
            at,
            by_root,
        });
    }

    /// Handles a reading that a neighbour knows of.
    pub(crate) fn on_reading(&mut self, now: Instant, key: LinkKey, reading: &Reading) {
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        let offset = Duration::from_millis(reading.offset_ms.unsigned_abs().into());
        let at = link.heartbeat_sent_at(reading.heartbeat).and_then(|sent| {
            if reading.offset_ms < 0 {
                sent.checked_sub(offset)
            } else {
                sent.checked_add(offset)
            }
        });
        // A peer that claims a reading of the future has a wrong clock.
        let Some(at) = at.filter(|at| *at <= now) else {
            return;
        };
        link.reading_at = link.reading_at.max(Some(at));
        self.record_confirmation(Confirmation {
            version: reading.version,
            at,
            by_root: reading.by_root,
        });
    }

    /// Returns when [`Node::step_readings`] is due.
    pub(crate) fn next_reading_push(&self) -> Option<Instant> {
        let latest = self.freshness.latest?;
        let Some(sent) = self.freshness.sent_reading else {
            return Some(latest.at);
        };
        (latest.at > sent).then(|| (sent + MIN_GAIN).max(latest.at))
    }

    /// Sends the youngest reading to the neighbours that only know an older one.
    pub(crate) fn step_readings(&mut self, now: Instant) {
        if self.next_reading_push().is_none_or(|at| now < at) {
            return;
        }
        self.freshness.sent_reading = self.freshness.latest.map(|latest| latest.at);
        for key in self.find_links(Link::is_established) {
            self.send_reading(key);
        }
    }

    /// Sends the youngest reading over a link that has carried none yet, so that a node with a new
    /// parent need not wait for the next one.
    pub(crate) fn send_first_reading(&mut self, key: LinkKey) {
        let link = self.links.get(&key);
        if link.is_some_and(|link| link.is_established() && link.reading_at.is_none()) {
            self.send_reading(key);
        }
    }

    fn send_reading(&mut self, key: LinkKey) {
        let (Some(latest), Some(link)) = (self.freshness.latest, self.links.get_mut(&key)) else {
            return;
        };
        // A peer from which no heartbeat has arrived gets the reading with the first one.
        let Some((heartbeat, arrived_at)) = link.last_received() else {
            return;
        };
        if link.reading_at >= Some(latest.at) {
            return;
        }
        let Some(offset_ms) = offset_ms(arrived_at, latest.at) else {
            return;
        };
        link.reading_at = Some(latest.at);
        let reading = Reading {
            heartbeat,
            offset_ms,
            version: latest.version,
            by_root: latest.by_root,
        };
        self.send(key, Frame::Reading(reading));
    }
}

/// Returns the time from one moment to another in milliseconds, rounded down.
fn offset_ms(from: Instant, to: Instant) -> Option<i32> {
    if to >= from {
        i32::try_from((to - from).as_millis()).ok()
    } else {
        let ms = (from - to).as_micros().div_ceil(1_000);
        i32::try_from(ms).ok().map(|ms| -ms)
    }
}
