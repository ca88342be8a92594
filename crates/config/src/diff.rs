//! Computes the difference between two configurations.

use crate::{Change, Mesh, Patch};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// Computes the patch that turns `old` into `new`; it is empty when they are equal.
#[must_use]
pub fn diff(old: &Mesh, new: &Mesh) -> Patch {
    let mut changes = Vec::new();
    put_changed(&old.services, &new.services, |name, service| {
        changes.push(Change::PutService { name, service });
    });
    put_changed(&old.retries, &new.retries, |name, retry| {
        changes.push(Change::PutRetry { name, retry });
    });
    put_changed(&old.routes, &new.routes, |prefix, route| {
        changes.push(Change::PutRoute { prefix, route });
    });
    put_changed(&old.teams, &new.teams, |name, team| {
        changes.push(Change::PutTeam { name, team });
    });
    remove_missing(&old.teams, &new.teams, |name| {
        changes.push(Change::RemoveTeam { name });
    });
    let required = new.requires_keys;
    if required != old.requires_keys && new.teams.is_empty() {
        changes.push(Change::RequireKeys { required });
    }
    remove_missing(&old.routes, &new.routes, |prefix| {
        changes.push(Change::RemoveRoute { prefix });
    });
    remove_missing(&old.retries, &new.retries, |name| {
        changes.push(Change::RemoveRetry { name });
    });
    remove_missing(&old.services, &new.services, |name| {
        changes.push(Change::RemoveService { name });
    });
    Patch::from(changes)
}

fn put_changed<T, F>(old: &BTreeMap<SmolStr, T>, new: &BTreeMap<SmolStr, T>, mut put: F)
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

fn remove_missing<T, F>(old: &BTreeMap<SmolStr, T>, new: &BTreeMap<SmolStr, T>, mut remove: F)
where
    F: FnMut(SmolStr),
{
    for name in old.keys() {
        if !new.contains_key(name) {
            remove(name.clone());
        }
    }
}
