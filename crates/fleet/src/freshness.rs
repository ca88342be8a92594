//! How old a node's knowledge of the newest version is.
//!
//! Two decisions depend on it. A new process serves only once it holds the version that was the
//! newest after its start, so that its VM never goes back to an older one. And a key that operators
//! take away must stop working within a bound on every node, also on one that is cut off from all
//! others. Such a node can't know what it misses, but it does know at which moment its version was
//! the newest for certain; once that is longer ago than the bound, it refuses calls with keys.
//!
//! A *confirmation* says that a version was the newest at a moment. The primary root of each zone
//! gets one from the platform. Every other node requests one from its parent (roots from the
//! primary root), which replies once it has one that is young enough and requests a younger one
//! itself if need be. While a request is pending, further ones wait for the next, so that the
//! number of reads of the platform depends on the number of zones and not on how many nodes start
//! at once. A node whose parent does not reply asks the platform. A reading of the platform that
//! reaches a node ([`crate::readings`]) is a confirmation without a request.
//!
//! No clocks are compared. A reply says how long before the *arrival* of the request the
//! confirmation was made, and the requester counts that time back from the moment at which it
//! *sent* the request, which is earlier. A delay on the way makes a confirmation look older than it
//! is, never younger.

use crate::event::{Action, PlatformRequest};
use crate::fallback_poll::poll_interval;
use crate::link::{Link, LinkKey, Role};
use crate::node::Node;
use config::Version;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use wire::control::Frame;

/// Age of a confirmation at which a node renews it where calls need keys, as a share of the bound.
/// Renewals may then fail for more than half of the bound before calls are refused.
const RENEWAL_SHARE: f64 = 0.4;

/// The same share for a primary root, which has to find another source before the nodes that ask it
/// need one.
const PRIMARY_RENEWAL_SHARE: f64 = 0.25;

/// Longest wait for the reply of a source, after which the next one is asked. A starting node on
/// a VM whose platform is out of reach waits for as long before it counts on other nodes' reports.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for the platform, whose client gives up by itself, unless what it gets can't be
/// read.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for a parent, after which the platform is asked.
const PARENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the requests of other nodes are collected before the platform is asked.
const COLLECT_TIME: Duration = Duration::from_millis(50);

/// Time after which the first source is asked again, once one did not reply.
const RETRIES_TIME: Duration = Duration::from_secs(5);

/// Number of requests whose replies are still accepted.
const MAX_REQUESTS: usize = 4;

/// That a version was the newest at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Confirmation {
    pub(crate) version: Version,
    pub(crate) at: Instant,
    /// Whether a root with a lease has read it.
    pub(crate) by_root: bool,
}

/// Order in which sources of confirmations are asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// The parent, or for a root the primary root of its zone.
    Upstream,
    Platform,
    OtherZone,
    OwnZone,
}

/// A request of another node that has no reply yet.
#[derive(Debug, Clone, Copy)]
struct Waiter {
    serial: u64,
    arrived_at: Instant,
    /// The requester wants a confirmation of this moment or a later one.
    wanted_at: Instant,
}

/// A request of this node that has no reply yet.
#[derive(Debug, Clone, Copy)]
struct Request {
    sent_at: Instant,
    /// Link to the node that is asked; `None` for the platform.
    link: Option<LinkKey>,
    /// Whether it is a poll of the platform, sent because no reading had arrived in time.
    is_poll: bool,
}

/// What a node knows about the age of its configuration, and who wants to know it.
#[derive(Debug)]
pub(crate) struct Freshness {
    /// Bound on the age where calls need keys, if there is one.
    max_age: Option<Duration>,
    /// Start of this process, or the end of the VM's latest suspension.
    started_at: Instant,
    /// Version by which this node serves calls.
    installed: Version,
    pub(crate) latest: Option<Confirmation>,
    /// Moment of the youngest reading of the platform by a root with a lease.
    pub(crate) root_read_at: Option<Instant>,
    /// Moment of the reading that was last sent to the neighbours.
    pub(crate) sent_reading: Option<Instant>,
    /// Moment at which the installed version was the newest.
    confirmed_at: Option<Instant>,
    /// Whether this process waits for a confirmation of a moment after its start.
    is_starting: bool,
    waiters: BTreeMap<LinkKey, Waiter>,
    /// The latest requests of this node by number, for replies that arrive after the next request.
    requests: BTreeMap<u64, Request>,
    /// Whether the latest request is still waited for.
    is_pending: bool,
    /// Number of the latest request of this node.
    pub(crate) serial: u64,
    /// Since when a request is needed that is not sent yet.
    needed_since: Option<Instant>,
    /// Number of sources that have not replied since the first one was asked last.
    retries: usize,
    /// When to ask the first source again.
    retries_until: Instant,
    not_before: Instant,
}

impl Freshness {
    pub(crate) fn new(max_age: Option<Duration>, now: Instant) -> Self {
        Self {
            max_age,
            started_at: now,
            installed: Version::ZERO,
            latest: None,
            root_read_at: None,
            sent_reading: None,
            confirmed_at: None,
            is_starting: false,
            waiters: BTreeMap::new(),
            requests: BTreeMap::new(),
            is_pending: false,
            serial: 0,
            needed_since: None,
            retries: 0,
            retries_until: now,
            not_before: now,
        }
    }

    /// Records that the node serves calls by `version` from now on.
    pub(crate) fn set_installed(&mut self, version: Version) {
        self.installed = version;
    }

    /// Makes the process wait for a confirmation of a moment after its start.
    pub(crate) fn request_since_start(&mut self) {
        self.is_starting = true;
    }

    /// Returns the version that was the newest at some moment after the start of this process.
    fn version_since_start(&self) -> Option<Version> {
        let latest = self.latest.filter(|latest| latest.at >= self.started_at);
        latest.map(|latest| latest.version)
    }

    /// Returns until when the reply to the latest request is waited for, if it is.
    fn reply_deadline(&self) -> Option<Instant> {
        let request = self.requests.get(&self.serial);
        let request = request.filter(|_| self.is_pending)?;
        let timeout = match request.link {
            Some(_) => REPLY_TIMEOUT,
            None => PLATFORM_TIMEOUT,
        };
        Some(request.sent_at + timeout)
    }

    /// Updates the moment at which the installed version was the newest; returns whether it has
    /// changed.
    fn update_confirmed(&mut self) -> bool {
        let latest = self.latest;
        let latest = latest.filter(|latest| latest.version <= self.installed);
        let at = latest.map(|latest| latest.at);
        let is_later = at > self.confirmed_at;
        if is_later {
            self.confirmed_at = at;
        }
        is_later
    }

    fn is_later_than_known(&self, moment: Instant) -> bool {
        self.latest.is_none_or(|latest| latest.at < moment)
    }

    /// Returns whether a confirmation is missing; `renewal` is the age at which one is renewed.
    fn is_request_needed(&self, now: Instant, renewal: Option<Duration>) -> bool {
        let needs_renewal = renewal.is_some_and(|renewal| {
            self.latest
                .is_none_or(|latest| now.saturating_duration_since(latest.at) >= renewal)
        });
        let mut waiters = self.waiters.values();
        needs_renewal
            || (self.is_starting && self.version_since_start().is_none())
            || waiters.any(|waiter| self.is_later_than_known(waiter.wanted_at))
    }
}

impl Node {
    /// Returns the age at which a confirmation is renewed, where calls need keys.
    fn renewal_age(&self) -> Option<Duration> {
        let max_age = self.freshness.max_age?;
        let needs_keys = self.replica.held().mesh().requires_keys;
        let share = if self.lease.is_primary() {
            PRIMARY_RENEWAL_SHARE
        } else {
            RENEWAL_SHARE
        };
        (needs_keys && !self.is_leaving).then(|| max_age.mul_f64(share))
    }

    /// Returns when [`Node::step_freshness`] is due.
    pub(crate) fn next_freshness_step(&self, now: Instant) -> Option<Instant> {
        let freshness = &self.freshness;
        if let Some(deadline) = freshness.reply_deadline() {
            return Some(deadline);
        }
        let renewal = self.renewal_age();
        let due_at = if freshness.is_request_needed(now, renewal) {
            let since = freshness.needed_since.unwrap_or(now);
            let source = self.confirming_source(now);
            Some(since + self.request_delay(now, source))
        } else {
            let latest = freshness.latest;
            renewal.and_then(|renewal| latest.map(|latest| latest.at + renewal))
        };
        due_at.map(|due_at| due_at.max(freshness.not_before))
    }

    /// Requests a confirmation if one is needed.
    pub(crate) fn step_freshness(&mut self, now: Instant) {
        if self.freshness.update_confirmed() {
            self.report_confirmation();
        }
        if let Some(deadline) = self.freshness.reply_deadline() {
            if now < deadline {
                return;
            }
            self.freshness.is_pending = false;
            self.switch_source(now);
        }
        let renewal = self.renewal_age();
        if now < self.freshness.not_before || !self.freshness.is_request_needed(now, renewal) {
            self.freshness.needed_since = None;
            return;
        }
        let source = self.confirming_source(now);
        let since = *self.freshness.needed_since.get_or_insert(now);
        if now < since + self.request_delay(now, source) {
            return;
        }
        match source {
            Some(link) => self.request_from_neighbour(now, link),
            None => self.request_from_platform(now),
        }
    }

    /// Returns how long a request to a source is delayed, for it to serve more than one node.
    fn request_delay(&self, now: Instant, source: Option<LinkKey>) -> Duration {
        let freshness = &self.freshness;
        if source.is_some() {
            Duration::ZERO
        } else if !self.lease.is_root() && now >= freshness.retries_until {
            // The node is looking for a parent, which can reply as well.
            PARENT_TIMEOUT
        } else if freshness.waiters.is_empty() {
            Duration::ZERO
        } else {
            COLLECT_TIME
        }
    }

    /// Returns the source to ask: the link to a node, or `None` for the platform.
    fn confirming_source(&self, now: Instant) -> Option<LinkKey> {
        let sources = self.list_sources();
        let is_retry = now < self.freshness.retries_until;
        let index = if is_retry { self.freshness.retries } else { 0 };
        sources[index % sources.len()]
    }

    /// Lists the sources of confirmations in the order in which they are asked.
    ///
    /// Nodes that wait for a reply of this node are left out, as they would wait in a circle.
    fn list_sources(&self) -> Vec<Option<LinkKey>> {
        let zone = &self.settings.local.zone;
        let primary = self.lease.primary_of(zone);
        let is_primary = self.lease.is_primary();
        let rank = |link: &Link| match (link.role, &link.peer) {
            (Role::Parent, _) => Some(Rank::Upstream),
            (Role::RootPeer, Some(peer)) if peer.zone != *zone => Some(Rank::OtherZone),
            (Role::RootPeer, Some(peer)) if !is_primary && Some(&peer.node) == primary.as_ref() => {
                Some(Rank::Upstream)
            }
            (Role::RootPeer, Some(_)) => Some(Rank::OwnZone),
            _ => None,
        };
        let links = self.links.iter();
        let links = links.filter(|(key, _)| !self.freshness.waiters.contains_key(key));
        let mut ranked: Vec<_> = links
            .filter_map(|(key, link)| Some((rank(link)?, Some(*key))))
            .collect();
        ranked.push((Rank::Platform, None));
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, source)| source).collect()
    }

    /// Goes on to the next source, because one did not reply.
    fn switch_source(&mut self, now: Instant) {
        let is_retry = now < self.freshness.retries_until;
        self.freshness.retries = if is_retry {
            self.freshness.retries + 1
        } else {
            1
        };
        self.freshness.retries_until = now + RETRIES_TIME;
    }

    fn begin_request(&mut self, now: Instant, link: Option<LinkKey>) -> u64 {
        self.freshness.serial += 1;
        self.freshness.needed_since = None;
        self.freshness.is_pending = true;
        let serial = self.freshness.serial;
        let requests = &mut self.freshness.requests;
        let request = Request {
            sent_at: now,
            link,
            is_poll: false,
        };
        requests.insert(serial, request);
        if requests.len() > MAX_REQUESTS {
            requests.pop_first();
        }
        serial
    }

    fn request_from_neighbour(&mut self, now: Instant, link: LinkKey) {
        let freshness = &self.freshness;
        let wanted = freshness.waiters.values().map(|waiter| waiter.wanted_at);
        let since_start = freshness.is_starting.then_some(freshness.started_at);
        let latest_wanted = wanted.chain(since_start).max();
        let renewal = self.renewal_age().map(|renewal| renewal / 2);
        let max_age = latest_wanted.map(|at| now.saturating_duration_since(at));
        let max_age = max_age.into_iter().chain(renewal).min();
        let max_age = max_age.unwrap_or_default().as_millis();
        let serial = self.begin_request(now, Some(link));
        let frame = Frame::RequestConfirmation {
            serial,
            max_age_ms: u32::try_from(max_age).unwrap_or(u32::MAX),
        };
        self.send(link, frame);
    }

    /// Polls the platform for the newest version.
    pub(crate) fn poll_platform(&mut self, now: Instant) {
        self.request_from_platform(now);
        let serial = self.freshness.serial;
        if let Some(request) = self.freshness.requests.get_mut(&serial) {
            request.is_poll = true;
        }
    }

    /// Requests that the platform confirm the newest version, and send it if it isn't held.
    fn request_from_platform(&mut self, now: Instant) {
        let serial = self.begin_request(now, None);
        self.delay_fallback_poll(now);
        let after = self.version();
        let request = PlatformRequest::ConfirmVersion { after, serial };
        self.actions.push(Action::QueryPlatform(request));
    }

    /// Handles the platform's answer to request `serial`: the newest version is `version`.
    pub(crate) fn on_version_confirmed(&mut self, now: Instant, serial: u64, version: Version) {
        let Some(request) = self.take_request(serial, None) else {
            return;
        };
        if serial == self.freshness.serial {
            self.allow_fallback_poll(request.sent_at);
        }
        self.record_own_reading(version, request.sent_at);
        if request.is_poll {
            self.on_poll_answered(now);
        }
    }

    /// Handles that the platform did not answer request `serial`.
    pub(crate) fn on_confirmation_failed(&mut self, now: Instant, serial: u64) {
        let is_latest = serial == self.freshness.serial;
        let Some(request) = self.take_request(serial, None) else {
            return;
        };
        if is_latest {
            self.on_poll_failed(now, request.sent_at);
        }
        self.counters.failed_polls += u64::from(request.is_poll);
        self.freshness.is_starting = false;
        self.readiness_gate.record_platform_failure(now);
        if !is_latest {
            return;
        }
        self.switch_source(now);
        if self.freshness.retries >= self.list_sources().len() {
            let interval = poll_interval(self.count_zone_nodes());
            self.freshness.not_before = now + interval / 2 + self.jitter(interval);
            for (link, waiter) in std::mem::take(&mut self.freshness.waiters) {
                let serial = waiter.serial;
                self.send(link, Frame::Unconfirmed { serial });
            }
        }
    }

    /// Handles a request of a neighbour for a confirmation that was at most `max_age_ms` old when
    /// the request arrived.
    pub(crate) fn on_request_confirmation(
        &mut self,
        now: Instant,
        link: LinkKey,
        serial: u64,
        max_age_ms: u32,
    ) {
        let max_age = Duration::from_millis(max_age_ms.into());
        let waiter = Waiter {
            serial,
            arrived_at: now,
            wanted_at: now.checked_sub(max_age).unwrap_or(now),
        };
        self.freshness.waiters.insert(link, waiter);
        self.reply_to_waiters();
    }

    /// Handles a neighbour's reply to request `serial`: `version` was the newest `age_ms` before
    /// the request arrived.
    pub(crate) fn on_confirmed(
        &mut self,
        link: LinkKey,
        serial: u64,
        version: Version,
        age_ms: u32,
    ) {
        let Some(request) = self.take_request(serial, Some(link)) else {
            return;
        };
        let age = Duration::from_millis(age_ms.into());
        if let Some(at) = request.sent_at.checked_sub(age) {
            // Who has read it is not part of the reply.
            let by_root = false;
            self.record_confirmation(Confirmation {
                version,
                at,
                by_root,
            });
        }
    }

    /// Handles that a neighbour can't reach the platform.
    pub(crate) fn on_unconfirmed(&mut self, now: Instant, link: LinkKey, serial: u64) {
        let is_latest = serial == self.freshness.serial;
        if self.take_request(serial, Some(link)).is_some() && is_latest {
            self.switch_source(now);
        }
    }

    /// Takes request `serial` if it was sent to the node at `link`, or to the platform.
    fn take_request(&mut self, serial: u64, link: Option<LinkKey>) -> Option<Request> {
        let freshness = &mut self.freshness;
        let request = *freshness.requests.get(&serial)?;
        if request.link != link {
            return None;
        }
        freshness.is_pending &= serial != freshness.serial;
        freshness.requests.remove(&serial)
    }

    pub(crate) fn record_confirmation(&mut self, new: Confirmation) {
        if new.by_root {
            self.freshness.root_read_at = self.freshness.root_read_at.max(Some(new.at));
        }
        if !self.freshness.is_later_than_known(new.at) {
            return;
        }
        self.freshness.latest = Some(new);
        if let Some(version) = self.freshness.version_since_start() {
            self.freshness.is_starting = false;
            self.readiness_gate.record_platform_version(version);
        }
        if self.freshness.update_confirmed() {
            self.report_confirmation();
        }
        self.reply_to_waiters();
    }

    fn reply_to_waiters(&mut self) {
        let Some(latest) = self.freshness.latest else {
            return;
        };
        let waiters = self.freshness.waiters.iter();
        let served = waiters.filter(|(_, waiter)| waiter.wanted_at <= latest.at);
        let served: Vec<_> = served.map(|(link, waiter)| (*link, *waiter)).collect();
        for (link, waiter) in served {
            self.freshness.waiters.remove(&link);
            let age = waiter.arrived_at.saturating_duration_since(latest.at);
            // Rounded up, so that the confirmation does not become younger on the way.
            let age_ms = age.as_micros().div_ceil(1_000);
            let frame = Frame::Confirmed {
                serial: waiter.serial,
                version: latest.version,
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            };
            self.send(link, frame);
        }
    }

    /// Forgets the requests over a link that is closed.
    pub(crate) fn drop_confirmations(&mut self, link: LinkKey) {
        self.freshness.waiters.remove(&link);
        let freshness = &mut self.freshness;
        freshness
            .requests
            .retain(|_, request| request.link != Some(link));
        freshness.is_pending &= freshness.requests.contains_key(&freshness.serial);
    }

    /// Returns the moment at which the version held was the newest; if this node can't apply the
    /// newest version, that of the youngest reading.
    pub(crate) fn fresh_at(&self) -> Option<Instant> {
        let confirmed_at = self.freshness.confirmed_at;
        let is_stuck = self.replica.refused().is_some();
        let latest = self.freshness.latest.filter(|_| is_stuck);
        confirmed_at.max(latest.map(|latest| latest.at))
    }

    fn report_confirmation(&mut self) {
        let confirmed_at = self.freshness.confirmed_at;
        self.actions.push(Action::SetConfirmed(confirmed_at));
    }

    /// Drops all confirmations after the VM was suspended.
    ///
    /// The monotonic clock does not count that time, so each confirmation is older than it seems.
    /// Neighbours whose requests wait will ask again.
    pub(crate) fn on_suspended(&mut self, now: Instant) {
        self.freshness = Freshness {
            serial: self.freshness.serial + 1,
            installed: self.freshness.installed,
            ..Freshness::new(self.freshness.max_age, now)
        };
        for link in self.links.values_mut() {
            link.forget_readings();
        }
        self.report_confirmation();
    }
}
