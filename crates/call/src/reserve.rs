//! Reservations of idempotency keys, so that a call runs at most once even if its caller repeats it.
//!
//! Keys are partitioned into shards. A shard is a replicated state machine: its
//! [`KeyTable`] depends only on a sequence of numbered records, each a batch of
//! [`Entry`]s, and never on a clock, so every node that applies the same records
//! has the same table. A call with a key runs only after the record that holds
//! its reservation is committed.
//!
//! A call that commits money or capacity is repeated seconds to minutes later at another node or in
//! another zone, often because the first answer was lost. Without a reservation the repeat would
//! run as well.

use crate::{Header, Id};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::cmp::Ordering;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Number of shards that keys are distributed over.
///
/// A shard commits one record at a time, so more shards increase throughput, but
/// all shards share the platform's write rate: with 16 shards and about 120
/// records per second, a fully loaded shard commits every 130 ms.
pub const SHARD_COUNT: u16 = 16;

/// Maximum number of keys per shard. At about 150 bytes each they take 10 MB, a
/// third of the memory that a node may use for its control plane.
pub const MAX_SHARD_KEYS: usize = 65_536;

/// Largest answer that is stored for repeats, in bytes of body and headers.
///
/// Confirmations of a booking or payment are well below this. Larger answers are
/// not stored, and a repeat is only told that the call ran.
pub const MAX_ANSWER_BYTES: usize = 4 << 10;

/// Maximum total size of the answers stored per shard, in bytes; the oldest are evicted first.
pub const MAX_SHARD_ANSWER_BYTES: usize = 1 << 20;

/// A caller's idempotency key, scoped to a service; stored as a digest to be small and `Copy`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key([u8; 16]);

impl Key {
    /// Computes the key of a call to `service` with the `Idempotency-Key` header value `key`.
    #[must_use]
    pub fn of(service: &str, key: &str) -> Self {
        // The length prefix distinguishes "ab" + "c" from "a" + "bc".
        let mut digest = Sha256::new_with_prefix((service.len() as u64).to_le_bytes());
        digest.update(service);
        digest.update(key);
        let digest = digest.finalize();
        Self(digest.first_chunk().copied().unwrap_or_default())
    }

    /// Returns the shard that the key belongs to.
    #[must_use]
    pub fn shard(self) -> u16 {
        u16::from_le_bytes([self.0[0], self.0[1]]) % SHARD_COUNT
    }
}

/// Distinguishes a repeat from a different request that carries the same key by mistake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Computes the fingerprint of a request from the parts that its caller chose.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut digest = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let digest = digest.finalize();
        Self(u64::from_le_bytes(
            digest.first_chunk().copied().unwrap_or_default(),
        ))
    }
}

/// An answer stored for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers, without hop-by-hop headers.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the size of body and headers, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let header = |header: &Header| header.name.len() + header.value.len();
        self.body.len() + self.headers.iter().map(header).sum::<usize>()
    }
}

/// The holder of a key: a call, and which of its attempts to claim the key succeeded.
///
/// A call that gets no reply to its claim makes another attempt, possibly
/// through another owner. The earlier attempt may still succeed, and then be
/// released on behalf of the call because nothing waits for it. Such a release
/// must not affect the reservation of a later attempt, and an attempt that
/// arrives late must not replace a later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Identifies the call; must never be reused for another request.
    pub call: Id,
    /// Number of the attempt to claim the key, within the call.
    pub attempt: u8,
}

/// A request by a call to become the only one that runs under its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Idempotency key of the call.
    pub key: Key,
    /// Fingerprint of the request to run under the key.
    pub fingerprint: Fingerprint,
    /// The call that makes the claim, and its attempt.
    pub holder: Holder,
}

/// The reply to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The call, and no other one, may run under the key.
    Granted,
    /// A call has run under the key; this was its answer.
    Known(Arc<Answer>),
    /// A call has run under the key; its answer is not stored.
    Ran,
    /// Another call holds the key: it may be running, or may have run.
    Unsettled,
    /// The key was used for a different request.
    Mismatch,
    /// The claim has reserved nothing: the call is certain not to run because of it.
    Refused {
        /// Delay before the next claim, in milliseconds.
        retry_after_ms: u32,
    },
}

/// One entry in a record of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A call claims its key.
    Reserve(Claim),
    /// The call that holds the key has run.
    Complete {
        /// Key under which the call ran.
        key: Key,
        /// The call and its attempt that hold the key.
        holder: Holder,
        /// Answer of the call, if it is to be stored.
        answer: Option<Arc<Answer>>,
    },
    /// The call that holds the key is certain not to have run, and never will.
    Release {
        /// Key to be released.
        key: Key,
        /// The call and its attempt that hold the key.
        holder: Holder,
    },
    /// Removes the keys that were reserved in records up to a given number.
    Expire {
        /// Number of the last record whose keys are removed.
        through: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Reserved,
    Ran,
    Answered(Arc<Answer>),
    /// Kept so that a late claim by the same call is not granted.
    Released,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Reservation {
    fingerprint: Fingerprint,
    holder: Holder,
    /// Number of the record that contains the reservation.
    number: u64,
    state: State,
}

impl Reservation {
    fn is_held_by(&self, holder: Holder) -> bool {
        self.holder == holder && self.state == State::Reserved
    }

    /// Returns the reply to another attempt by the holding call, or `None` if that attempt takes over.
    fn reply_to_attempt(&self, attempt: u8) -> Option<Reply> {
        match attempt.cmp(&self.holder.attempt) {
            Ordering::Greater => None,
            Ordering::Equal if self.state == State::Reserved => Some(Reply::Granted),
            // The attempt was delayed in transit: the call already uses a later
            // one, or has been told "not run".
            Ordering::Equal | Ordering::Less => Some(Reply::Refused { retry_after_ms: 0 }),
        }
    }

    /// Returns whether `holder` may take over the key.
    fn can_transfer_to(&self, holder: Holder) -> bool {
        let is_later_attempt =
            self.holder.call == holder.call && self.holder.attempt < holder.attempt;
        match self.state {
            State::Released => true,
            State::Reserved => is_later_attempt,
            State::Ran | State::Answered(_) => false,
        }
    }
}

/// The idempotency keys of a shard, with their reservations and answers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyTable {
    #[serde(rename = "slots")]
    reservations: HashMap<Key, Reservation>,
    /// Keys whose answers are stored, oldest first.
    answered: VecDeque<Key>,
    answer_bytes: usize,
}

impl KeyTable {
    /// Returns the number of keys in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reservations.len()
    }

    /// Returns whether the table contains no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// Returns the reply to a claim if it is already known, or `None` if the claim needs a record.
    #[must_use]
    pub fn find_reply(&self, claim: &Claim) -> Option<Reply> {
        let reservation = self.reservations.get(&claim.key)?;
        let known = match &reservation.state {
            State::Answered(answer) => Reply::Known(Arc::clone(answer)),
            State::Ran => Reply::Ran,
            State::Reserved | State::Released if reservation.holder.call == claim.holder.call => {
                return reservation.reply_to_attempt(claim.holder.attempt);
            }
            State::Reserved => Reply::Unsettled,
            State::Released => return None,
        };
        let same = reservation.fingerprint == claim.fingerprint;
        Some(if same { known } else { Reply::Mismatch })
    }

    /// Applies an entry of record `number`; returns the reply if the entry is a claim.
    pub fn apply(&mut self, entry: &Entry, number: u64) -> Option<Reply> {
        match entry {
            Entry::Reserve(claim) => return Some(self.reserve(claim, number)),
            Entry::Complete {
                key,
                holder,
                answer,
            } => self.complete(*key, *holder, answer.as_ref()),
            Entry::Release { key, holder } => {
                if let Some(reservation) = self.find_held_reservation(*key, *holder) {
                    reservation.state = State::Released;
                }
            }
            Entry::Expire { through } => self.expire(*through),
        }
        None
    }

    fn reserve(&mut self, claim: &Claim, number: u64) -> Reply {
        if let Some(reply) = self.find_reply(claim) {
            return reply;
        }
        let reservation = Reservation {
            fingerprint: claim.fingerprint,
            holder: claim.holder,
            number,
            state: State::Reserved,
        };
        let previous = self.reservations.insert(claim.key, reservation);
        assert!(
            previous.is_none_or(|reservation| reservation.can_transfer_to(claim.holder)),
            "a key changes holder only if the previous holder is certain not to have run"
        );
        Reply::Granted
    }

    /// Finds the reservation of a key if `holder` holds the key and has neither completed nor
    /// released it.
    fn find_held_reservation(&mut self, key: Key, holder: Holder) -> Option<&mut Reservation> {
        let reservation = self.reservations.get_mut(&key)?;
        reservation.is_held_by(holder).then_some(reservation)
    }

    fn complete(&mut self, key: Key, holder: Holder, answer: Option<&Arc<Answer>>) {
        let Some(reservation) = self.find_held_reservation(key, holder) else {
            return;
        };
        let Some(answer) = answer.filter(|answer| answer.size() <= MAX_ANSWER_BYTES) else {
            reservation.state = State::Ran;
            return;
        };
        reservation.state = State::Answered(Arc::clone(answer));
        self.answered.push_back(key);
        self.answer_bytes += answer.size();
        while self.answer_bytes > MAX_SHARD_ANSWER_BYTES {
            self.evict_oldest_answer();
        }
    }

    /// Removes the oldest stored answer, but keeps the fact that its call ran.
    fn evict_oldest_answer(&mut self) {
        let oldest = self.answered.pop_front();
        let reservation = oldest.and_then(|key| self.reservations.get_mut(&key));
        if let Some(reservation) = reservation
            && let State::Answered(answer) = &reservation.state
        {
            self.answer_bytes -= answer.size();
            reservation.state = State::Ran;
        }
    }

    fn expire(&mut self, through: u64) {
        self.reservations
            .retain(|_, reservation| reservation.number > through);
        let reservations = &self.reservations;
        self.answered.retain(|key| reservations.contains_key(key));
        let sizes = self
            .reservations
            .values()
            .filter_map(|reservation| match &reservation.state {
                State::Answered(answer) => Some(answer.size()),
                _ => None,
            });
        self.answer_bytes = sizes.sum();
    }

    /// Returns whether `holder` holds `key` and has neither completed nor released it.
    #[must_use]
    pub fn is_held(&self, key: Key, holder: Holder) -> bool {
        self.reservations
            .get(&key)
            .is_some_and(|reservation| reservation.is_held_by(holder))
    }
}
