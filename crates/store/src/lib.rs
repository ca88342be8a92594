//! Access to the platform's object store, and the structures kept in it.
//!
//! [`Store`] is the interface to the platform's object API. [`MemoryStore`] implements it in
//! process, with fault injection. On top of it are numbered journals ([`Journal`],
//! [`Follower`]), leases ([`Lease`]), objects that are replaced as a whole
//! ([`ObjectWatcher`]) and the crashes that roots publish ([`CrashStore`]).
//!
//! ```
//! use store::{Error, MemoryStore, Store};
//!
//! let run = async {
//!     let store = MemoryStore::new();
//!     let first = store.create("versions/1", &serde_json::json!({"by": "ann"})).await?;
//!     let second = store.create("versions/1", &serde_json::json!({"by": "ben"})).await;
//!     assert!(matches!(second, Err(Error::Conflict)));
//!     assert_eq!(store.get("versions/1").await?.map(|object| object.revision), Some(first));
//!     Ok::<(), Error>(())
//! };
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(run).unwrap();
//! ```

pub mod adaptive_timeout;
pub mod board;
pub mod follow;
pub mod journal;
pub mod latest;
pub mod lease;
pub mod memory;
pub mod propose;
pub mod retention;
pub mod version;

mod envelope;
mod error;
pub mod farewells;
mod store;

pub use board::CrashStore;
pub use error::Error;
pub use follow::Follower;
pub use journal::Journal;
pub use latest::ObjectWatcher;
pub use lease::Lease;
pub use memory::MemoryStore;
pub use store::{Event, List, MAX_VALUE_BYTES, Notice, Object, Revision, Store, Watch};
