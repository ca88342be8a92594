//! The object API's JSON forms, in the manner of Kubernetes.

use crate::{Event, List, Object, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

/// Path under which all objects live.
pub const ROOT: &str = "/apis/bluebellpick/v1/";

/// Largest value, in bytes of JSON (the platform's limit of a megabyte).
pub const MAX_VALUE: usize = 1 << 20;

/// What the platform knows of an object or a list.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Metadata {
    /// Name of the object.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub name: SmolStr,
    /// Revision, as decimal text.
    pub resource_version: String,
    /// In a list: where the next page goes on from, if there is one.
    #[serde(rename = "continue", skip_serializing_if = "Option::is_none")]
    pub more: Option<String>,
}

impl Metadata {
    /// Reads the revision; text that is no number counts as none.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.resource_version.parse().ok().map(Revision)
    }
}

/// An object on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Item {
    /// Name and revision.
    #[serde(default)]
    pub metadata: Metadata,
    /// The value.
    #[serde(default)]
    pub spec: Value,
}

impl From<Object> for Item {
    fn from(object: Object) -> Self {
        Self {
            metadata: Metadata {
                name: object.name,
                resource_version: object.revision.to_string(),
                more: None,
            },
            spec: object.value,
        }
    }
}

impl Item {
    /// Gives the object, unless its revision is missing.
    #[must_use]
    pub fn into_object(self) -> Option<Object> {
        Some(Object {
            revision: self.metadata.revision()?,
            name: self.metadata.name,
            value: self.spec,
        })
    }
}

/// A list on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// Revision of the list, and where it goes on.
    pub metadata: Metadata,
    /// The objects.
    pub items: Vec<Item>,
}

impl From<List> for Page {
    fn from(list: List) -> Self {
        let end = list.items.last().map(|object| object.name.to_string());
        Self {
            metadata: Metadata {
                name: SmolStr::default(),
                resource_version: list.revision.to_string(),
                more: if list.more { end } else { None },
            },
            items: list.items.into_iter().map(Item::from).collect(),
        }
    }
}

impl Page {
    /// Gives the list, unless a revision is missing.
    #[must_use]
    pub fn into_list(self) -> Option<List> {
        Some(List {
            revision: self.metadata.revision()?,
            more: self.metadata.more.is_some(),
            items: self
                .items
                .into_iter()
                .map(Item::into_object)
                .collect::<Option<_>>()?,
        })
    }
}

/// Kind of a watch's line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Kind {
    /// An object was made.
    Added,
    /// An object was changed.
    Modified,
    /// An object was deleted.
    Deleted,
    /// Nothing new up to this revision.
    Bookmark,
    /// The events asked for are gone.
    Error,
}

/// A line of a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Line {
    /// What happened.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// The object concerned; a bookmark has metadata only.
    pub object: Item,
}

impl From<Event> for Line {
    fn from(event: Event) -> Self {
        let (kind, name, revision, spec) = match event {
            Event::Put(object) => (Kind::Modified, object.name, object.revision, object.value),
            Event::Deleted { name, revision } => (Kind::Deleted, name, revision, Value::Null),
            Event::Bookmark(revision) => {
                (Kind::Bookmark, SmolStr::default(), revision, Value::Null)
            }
        };
        Self {
            kind,
            object: Item::from(Object {
                name,
                revision,
                value: spec,
            }),
        }
    }
}

impl Line {
    /// Gives the event, or `None` for an error line or one without revision.
    #[must_use]
    pub fn into_event(self) -> Option<Event> {
        let object = self.object.into_object()?;
        match self.kind {
            Kind::Added | Kind::Modified => Some(Event::Put(object)),
            Kind::Deleted => Some(Event::Deleted {
                name: object.name,
                revision: object.revision,
            }),
            Kind::Bookmark => Some(Event::Bookmark(object.revision)),
            Kind::Error => None,
        }
    }
}
