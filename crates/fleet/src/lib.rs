//! Decisions about distribution: roots, relays, endpoints and status, without a network.
//!
//! [`Node`] is the state machine of one node. It takes [`Event`]s (the time, a
//! frame from a peer, an answer of the platform, the own backend server's
//! announcement) and gives [`Action`]s (connect, send, close, ask the
//! platform, serve by a new view). It opens no socket and reads no clock, so
//! that tests run fleets of them in one thread.
//!
//! A version's way: a [`lease`] follows the platform and pushes each step to
//! its children; every [`children`] applies it by its [`replica`] and pushes it
//! on. Nodes find their [`parent`] among those named to them, serve once the
//! [`bootstrap`] gate is open, and sum up their [`status`] for their parent.
//! [`endpoints`] flow both ways over the same links; the [`departure`] guard
//! says when silence means that one has gone. So does what is known of requests that crash
//! backend servers, and how far roll-outs of versions have come.
//!
//! ```
//! use fleet::{Action, Event, Node, PlatformRequest, Settings};
//! use std::time::{Duration, Instant};
//! use wire::control::Peer;
//!
//! let own = Peer { node: "vm-1".into(), zone: "a".into(), address: ([127, 0, 0, 1], 7001).into() };
//! let settings = Settings {
//!     local: own,
//!     region: "north".into(),
//!     incarnation: 1,
//!     started_ms: 1,
//!     seeds: Vec::new(),
//!     follows_rollouts: false,
//!     sends_full: false,
//! };
//! let start = Instant::now();
//! let mut node = Node::new(settings, 42, start);
//! let actions = node.handle(start + Duration::from_secs(1), Event::Wake);
//! assert!(matches!(actions[..], [Action::QueryPlatform(PlatformRequest::Leases { .. })]));
//! ```

pub mod bootstrap;
pub mod children;
pub mod departure;
pub mod endpoints;
pub mod leaky_bucket;
pub mod lease;
pub mod link;
pub mod parent;
pub mod replica;
pub mod status;

mod crashes;
mod event;
mod fallback_poll;
mod heartbeat;
mod initial_reads;
mod node;
mod outage;
mod rollouts;
mod root_duties;
mod search;
mod sync;
mod tree;

pub use event::{Action, Backend, Event, PlatformRequest, PlatformResponse, RootLease};
pub use link::{LinkKey, Role};
pub use node::{Counters, Node, Settings};
pub use wire::control::Peer;
