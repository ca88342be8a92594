//! Reservations of idempotency keys: at most once across callers' own repeats.
//!
//! Keys belong to shards. A shard is a [`KeyTable`] that follows from numbered
//! records alone, each a batch of [`Entry`]s: whoever applies the same records
//! comes to the same table, without looking at a clock. A call with a key runs
//! only after the record with its reservation stands.
//!
//! Load pattern: repeats of a call that commits money or capacity, seconds to
//! minutes after it, at another node or zone, often because the first answer
//! was lost. Without reservations the second one runs too.

use crate::{Header, Id};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::cmp::Ordering;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Shards that keys are spread over.
///
/// A shard's records come one at a time, so that more shards carry more load,
/// while the platform's writes are shared by all of them: with 16 shards and
/// some 120 records a second a shard under full load commits every 130 ms.
pub const SHARD_COUNT: u16 = 16;

/// Keys that a shard holds. At some 150 bytes each they take 10 MB, a third of
/// what a node may use for control.
pub const MAX_KEYS: usize = 65_536;

/// Largest answer that is kept for repeats, in bytes of its body and headers.
///
/// Confirmations of a booking or payment are well below; longer ones are not
/// kept, and a repeat is told that the call ran.
pub const MAX_ANSWER_BYTES: usize = 4 << 10;

/// Answers that a shard keeps, in bytes; the oldest make room.
pub const MAX_SHARD_ANSWER_BYTES: usize = 1 << 20;

/// Names a caller's key within its service; a digest, so that it is small and `Copy`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key([u8; 16]);

impl Key {
    /// Gives the key of a call to `service` with that `Idempotency-Key`.
    #[must_use]
    pub fn of(service: &str, key: &str) -> Self {
        // The length keeps "ab" + "c" apart from "a" + "bc".
        let mut digest = Sha256::new_with_prefix((service.len() as u64).to_le_bytes());
        digest.update(service);
        digest.update(key);
        let digest = digest.finalize();
        Self(digest.first_chunk().copied().unwrap_or_default())
    }

    /// Gives the shard that the key belongs to.
    #[must_use]
    pub fn shard(self) -> u16 {
        u16::from_le_bytes([self.0[0], self.0[1]]) % SHARD_COUNT
    }
}

/// Tells a repeat from another request that carries the same key by mistake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Gives the fingerprint of a request by what the caller chose of it.
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

/// An answer kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers, without those of one connection only.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// Gives the bytes that the answer takes.
    #[must_use]
    pub fn size(&self) -> usize {
        let header = |header: &Header| header.name.len() + header.value.len();
        self.body.len() + self.headers.iter().map(header).sum::<usize>()
    }
}

/// Who holds a key: a call, by one of its attempts to get it.
///
/// A call that heard nothing of its claim makes another attempt, over another
/// owner perhaps. The former attempt may succeed all the same, and be released
/// on the call's behalf because nobody waited for it. That must not release
/// what a later attempt holds, and a late attempt must not undo a later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Names the call; it must be one that is not used again for another request.
    pub call: Id,
    /// Counts its attempts.
    pub attempt: u8,
}

/// A call that asks to be the one that runs under its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: Key,
    /// What is asked under it.
    pub fingerprint: Fingerprint,
    /// Who asks.
    pub holder: Holder,
}

/// What a call learns of its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The call, and no other, may run under the key.
    Granted,
    /// A call under the key has run; this was its answer.
    Known(Arc<Answer>),
    /// A call under the key has run; its answer is not kept.
    Ran,
    /// Another call holds the key: it may run right now, or may have run.
    Unsettled,
    /// The key was used for another request.
    Mismatch,
    /// Nothing is known or reserved: the call surely does not run.
    Refused {
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
    },
}

/// One entry of a shard's records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A call asks for its key.
    Reserve(Claim),
    /// The call that holds the key has run.
    Complete {
        /// The key.
        key: Key,
        /// Who holds it.
        holder: Holder,
        /// Its answer, if it is to be kept.
        answer: Option<Arc<Answer>>,
    },
    /// The call that holds the key surely has not run and never will.
    Release {
        /// The key.
        key: Key,
        /// Who holds it.
        holder: Holder,
    },
    /// Keys reserved in records up to this number are forgotten.
    Expire {
        /// Number of the last such record.
        through: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Reserved,
    Ran,
    Answered(Arc<Answer>),
    /// Kept so that a claim of the same call which comes late is not granted.
    Released,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Slot {
    fingerprint: Fingerprint,
    holder: Holder,
    /// Record that the reservation is in.
    number: u64,
    state: State,
}

impl Slot {
    fn is_held_by(&self, holder: Holder) -> bool {
        self.holder == holder && self.state == State::Reserved
    }

    /// Tells what the holding call's attempt `attempt` comes to, or `None` when it takes over.
    fn look_again(&self, attempt: u8) -> Option<Reply> {
        match attempt.cmp(&self.holder.attempt) {
            Ordering::Greater => None,
            Ordering::Equal if self.state == State::Reserved => Some(Reply::Granted),
            // An attempt that was late on its way: the call goes by a later
            // one, or has long been told "not run".
            Ordering::Equal | Ordering::Less => Some(Reply::Refused { retry_after_ms: 0 }),
        }
    }

    fn may_pass_to(&self, holder: Holder) -> bool {
        let later = self.holder.call == holder.call && self.holder.attempt < holder.attempt;
        match self.state {
            State::Released => true,
            State::Reserved => later,
            State::Ran | State::Answered(_) => false,
        }
    }
}

/// The keys of a shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyTable {
    slots: HashMap<Key, Slot>,
    /// Keys whose answers are kept, oldest first.
    answered: VecDeque<Key>,
    answer_bytes: usize,
}

impl KeyTable {
    /// Gives the number of keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Tells whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Tells what is known of a claim, or `None` when it needs a record.
    #[must_use]
    pub fn find_reply(&self, claim: &Claim) -> Option<Reply> {
        let slot = self.slots.get(&claim.key)?;
        let known = match &slot.state {
            State::Answered(answer) => Reply::Known(Arc::clone(answer)),
            State::Ran => Reply::Ran,
            State::Reserved | State::Released if slot.holder.call == claim.holder.call => {
                return slot.look_again(claim.holder.attempt);
            }
            State::Reserved => Reply::Unsettled,
            State::Released => return None,
        };
        let same = slot.fingerprint == claim.fingerprint;
        Some(if same { known } else { Reply::Mismatch })
    }

    /// Applies an entry of record `number`; for a claim it tells what came of it.
    pub fn apply(&mut self, entry: &Entry, number: u64) -> Option<Reply> {
        match entry {
            Entry::Reserve(claim) => return Some(self.reserve(claim, number)),
            Entry::Complete {
                key,
                holder,
                answer,
            } => self.complete(*key, *holder, answer.as_ref()),
            Entry::Release { key, holder } => {
                if let Some(slot) = self.reserved(*key, *holder) {
                    slot.state = State::Released;
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
        let slot = Slot {
            fingerprint: claim.fingerprint,
            holder: claim.holder,
            number,
            state: State::Reserved,
        };
        let former = self.slots.insert(claim.key, slot);
        assert!(
            former.is_none_or(|slot| slot.may_pass_to(claim.holder)),
            "a key changes hands only after its holder surely has not run"
        );
        Reply::Granted
    }

    /// Finds the slot of a key that `holder` holds and that is still open.
    fn reserved(&mut self, key: Key, holder: Holder) -> Option<&mut Slot> {
        let slot = self.slots.get_mut(&key)?;
        slot.is_held_by(holder).then_some(slot)
    }

    fn complete(&mut self, key: Key, holder: Holder, answer: Option<&Arc<Answer>>) {
        let Some(slot) = self.reserved(key, holder) else {
            return;
        };
        let Some(answer) = answer.filter(|answer| answer.size() <= MAX_ANSWER_BYTES) else {
            slot.state = State::Ran;
            return;
        };
        slot.state = State::Answered(Arc::clone(answer));
        self.answered.push_back(key);
        self.answer_bytes += answer.size();
        while self.answer_bytes > MAX_SHARD_ANSWER_BYTES {
            self.forget_answer();
        }
    }

    /// Forgets the oldest answer, but not that its call ran.
    fn forget_answer(&mut self) {
        let oldest = self.answered.pop_front();
        let slot = oldest.and_then(|key| self.slots.get_mut(&key));
        if let Some(slot) = slot
            && let State::Answered(answer) = &slot.state
        {
            self.answer_bytes -= answer.size();
            slot.state = State::Ran;
        }
    }

    fn expire(&mut self, through: u64) {
        self.slots.retain(|_, slot| slot.number > through);
        let slots = &self.slots;
        self.answered.retain(|key| slots.contains_key(key));
        let kept = self.slots.values().filter_map(|slot| match &slot.state {
            State::Answered(answer) => Some(answer.size()),
            _ => None,
        });
        self.answer_bytes = kept.sum();
    }

    /// Tells whether `holder` holds `key` and has not ended.
    #[must_use]
    pub fn is_held(&self, key: Key, holder: Holder) -> bool {
        self.slots
            .get(&key)
            .is_some_and(|slot| slot.is_held_by(holder))
    }
}
