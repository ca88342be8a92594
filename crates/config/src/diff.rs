//! What changed between two configurations.

use crate::{Change, Mesh, Patch};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// Gives a patch that leads from `old` to `new`; an empty one when they are equal.
#[must_use]
pub fn diff(old: &Mesh, new: &Mesh) -> Patch {
    let mut changes = Vec::new();
    put_new(&old.services, &new.services, |name, service| {
        changes.push(Change::PutService { name, service });
    });
    put_new(&old.retries, &new.retries, |name, retry| {
        changes.push(Change::PutRetry { name, retry });
    });
    put_new(&old.routes, &new.routes, |prefix, route| {
        changes.push(Change::PutRoute { prefix, route });
    });
    remove_old(&old.routes, &new.routes, |prefix| {
        changes.push(Change::RemoveRoute { prefix });
    });
    remove_old(&old.retries, &new.retries, |name| {
        changes.push(Change::RemoveRetry { name });
    });
    remove_old(&old.services, &new.services, |name| {
        changes.push(Change::RemoveService { name });
    });
    Patch::from(changes)
}

fn put_new<T, F>(old: &BTreeMap<SmolStr, T>, new: &BTreeMap<SmolStr, T>, mut put: F)
where
    T: Clone + PartialEq,
    F: FnMut(SmolStr, T),
{
    for (name, value) in new {
        if old.get(name) != Some(value) {
            put(name.clone(), value.clone());
        }
    }
}

fn remove_old<T, F>(old: &BTreeMap<SmolStr, T>, new: &BTreeMap<SmolStr, T>, mut remove: F)
where
    F: FnMut(SmolStr),
{
    for name in old.keys() {
        if !new.contains_key(name) {
            remove(name.clone());
        }
    }
}
