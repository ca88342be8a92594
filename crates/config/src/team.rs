//! Teams: who may call, with which keys, how urgently and how much.

use crate::{Class, Mesh};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use smol_str::SmolStr;
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use subtle::ConstantTimeEq;

/// Length of a key's digest in bytes.
const DIGEST_BYTES: usize = 32;

/// Number of bytes of a digest that are shown to people.
const SHOWN_BYTES: usize = 4;

/// SHA-256 digest of a key; configurations contain digests in place of keys.
///
/// `Display` and `Debug` show the first four bytes only, because a key that is easy to guess can be
/// found from its full digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Parses the digest from its 64 hexadecimal digits; `None` if the text is anything else.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut digest = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut digest).ok()?;
        Some(Self(digest))
    }

    /// Returns the first bytes as a number, to look the digest up by.
    fn prefix(&self) -> u64 {
        self.0
            .iter()
            .take(size_of::<u64>())
            .fold(0, |prefix, byte| prefix << 8 | u64::from(*byte))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0[..SHOWN_BYTES]))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self}..)")
    }
}

impl Serialize for KeyDigest {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if serializer.is_human_readable() {
            serializer.serialize_str(&hex::encode(self.0))
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        if !deserializer.is_human_readable() {
            return <[u8; DIGEST_BYTES]>::deserialize(deserializer).map(Self);
        }
        let text = SmolStr::deserialize(deserializer)?;
        // The text is left out of the error: it may be the key itself, given by mistake.
        Self::parse(&text).ok_or_else(|| {
            D::Error::custom("a key is given by its SHA-256 digest, 64 hexadecimal digits")
        })
    }
}

/// How many calls a team may make, through all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Number of calls a minute.
    pub per_minute: u32,
    /// Number of calls that may come at once after a pause.
    pub burst: u32,
}

impl Limit {
    /// Returns the number of calls a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.per_minute) / 60.0
    }
}

/// A team that calls services with keys of its own.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Digests of the team's keys; a team without any can't call.
    #[serde(default)]
    pub keys: BTreeSet<KeyDigest>,
    /// Priority class of the team's calls, in place of the route's.
    #[serde(default)]
    pub class: Option<Class>,
    /// Limit on the team's calls, if there is one.
    #[serde(default)]
    pub limit: Option<Limit>,
}

/// Identifies a team within one [`Table`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u32);

/// A team as calls see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the team.
    pub name: SmolStr,
    /// Priority class of the team's calls, in place of the route's.
    pub class: Option<Class>,
    /// Limit on the team's calls, if there is one.
    pub limit: Option<Limit>,
}

/// The teams of a configuration, found by key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    requires_keys: bool,
    entries: Vec<Entry>,
    /// Digests with their teams, by the first bytes of the digest.
    digests: HashMap<u64, Vec<(KeyDigest, Key)>>,
}

impl Table {
    /// Builds the table of a configuration.
    #[must_use]
    pub fn build(mesh: &Mesh) -> Self {
        let mut table = Self {
            requires_keys: mesh.requires_keys,
            ..Self::default()
        };
        for (index, (name, team)) in (0..).zip(&mesh.teams) {
            table.entries.push(Entry {
                name: name.clone(),
                class: team.class,
                limit: team.limit,
            });
            for digest in &team.keys {
                let digests = table.digests.entry(digest.prefix()).or_default();
                digests.push((*digest, Key(index)));
            }
        }
        table
    }

    /// Returns whether a call needs the key of a team, unless its route is public.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Finds the team that holds a key, in a time that doesn't tell how much of the key is right.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<Key> {
        let digest = KeyDigest::of(key);
        let candidates = self.digests.get(&digest.prefix())?;
        let found = candidates
            .iter()
            .find(|(known, _)| known.0.ct_eq(&digest.0).into());
        found.map(|(_, team)| *team)
    }

    /// Returns a team.
    #[must_use]
    pub fn team(&self, key: Key) -> &Entry {
        &self.entries[key.0 as usize]
    }

    /// Finds a team by its name.
    #[must_use]
    pub fn find_by_name(&self, name: &str) -> Option<&Entry> {
        let found = self
            .entries
            .binary_search_by(|entry| entry.name.as_str().cmp(name));
        found.ok().map(|index| &self.entries[index])
    }

    /// Returns all teams, in the order of their names.
    #[must_use]
    pub fn teams(&self) -> &[Entry] {
        &self.entries
    }
}
