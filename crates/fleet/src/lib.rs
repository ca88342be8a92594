//! Distribution of configuration, endpoints and status among the nodes of a fleet, without I/O.
//!
//! [`Node`] is the state machine of one node. It takes [`Event`]s (a timer, a frame from a peer, a
//! response of the platform, an announcement of the local backend server) and returns [`Action`]s
//! (connect, send, close, query the platform, install a new view). It opens no socket and reads no
//! clock, so that tests run whole fleets in one thread.
//!
//! The nodes of each availability zone form trees. The roots, which hold a [`lease`], watch the
//! platform and push each step of the configuration to their [`children`]; every node applies it to
//! its [`replica`] and pushes it on. A node selects its [`parent`] among known candidates, serves
//! once its readiness gate ([`bootstrap`]) is open, and reports the aggregated [`status`] of its
//! subtree to its parent. [`endpoints`] are exchanged in both directions over the same links, as are
//! records of requests that crash backend servers and the progress of roll-outs. The [`departure`]
//! guard decides when a silent node counts as gone. Where calls need keys, each node knows how old
//! its configuration may be.
//!
//! ```
//! use fleet::{Action, Event, Node, PlatformRequest, Settings};
//! use std::time::{Duration, Instant};
//! use wire::control::Peer;
//!
//! let local = Peer { node: "vm-1".into(), zone: "a".into(), address: ([127, 0, 0, 1], 7001).into() };
//! let settings = Settings {
//!     local,
//!     region: "north".into(),
//!     incarnation: 1,
//!     started_ms: 1,
//!     seeds: Vec::new(),
//!     follows_rollouts: false,
//!     sends_full: false,
//!     max_config_age: None,
//! };
//! let start = Instant::now();
//! let mut node = Node::new(settings, 42, start);
//! let actions = node.handle(start + Duration::from_secs(1), Event::Wake);
//! let [Action::QueryPlatform(first), Action::QueryPlatform(second)] = actions[..] else { panic!() };
//! assert!(matches!(first, PlatformRequest::Leases { .. }));
//! assert_eq!(second, PlatformRequest::Farewells);
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
mod farewells;
mod freshness;
mod heartbeat;
mod initial_reads;
mod node;
mod outage;
mod readings;
mod recall;
mod rollouts;
mod root_duties;
mod search;
mod sync;
mod tree;

pub use event::{Action, Backend, Event, PlatformRequest, PlatformResponse, RootLease};
pub use link::{LinkKey, Role};
pub use node::{Counters, Node, Settings};
pub use wire::control::Peer;
