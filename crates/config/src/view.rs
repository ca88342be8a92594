//! What a node serves by: a configuration joined with the endpoints it knows.
//!
//! A view is built aside and swapped in whole, so that no call ever sees a
//! route whose service is not there.

use crate::{
    Class, Digest, Endpoint, Mesh, Objective, Repeat, Retry, Route, Service, State, Version,
    VersionedMesh,
};
use smol_str::SmolStr;
use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Names a service of one view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(u32);

/// Names an endpoint of one view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(u32);

/// Names a route of one view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(u32);

/// A service with the endpoints that take its calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: SmolStr,
    /// The service as configured.
    pub service: Service,
    /// Its endpoints that take new work.
    pub endpoints: Vec<EndpointKey>,
    /// Whether it has endpoints at all, be it some that take no new work.
    pub has_endpoints: bool,
}

/// A route whose services are all in the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteEntry {
    /// Prefix that it stands under.
    pub prefix: SmolStr,
    /// Services with their shares in per cent.
    pub targets: Vec<(ServiceKey, u8)>,
    /// What the calls are worth.
    pub class: Class,
    /// Whether the calls may be repeated.
    pub repeat: Repeat,
    /// How they are tried again, if at all.
    pub retry: Option<Retry>,
    /// Time for a call when the caller names none, in milliseconds.
    pub timeout_ms: u32,
    /// Longest time that a call is kept waiting, in milliseconds.
    pub limit_ms: Option<u32>,
    /// Time within which an answer is worth most, in milliseconds.
    pub target_ms: Option<u32>,
}

/// A route that is withheld until its services are there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WithheldEntry {
    /// Prefix that it stands under.
    pub prefix: SmolStr,
    /// The route's first service, whose promise its refused calls break.
    pub service: SmolStr,
    /// What that service promises, if anything.
    pub objective: Option<Objective>,
}

/// A configuration joined with the endpoints that the node knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    version: Version,
    digest: Digest,
    endpoints: Vec<Arc<Endpoint>>,
    services: Vec<ServiceEntry>,
    routes: Vec<RouteEntry>,
    withheld: Vec<WithheldEntry>,
    /// Routes by prefix; hosts have a table each, the empty one is for all.
    index: HashMap<SmolStr, HashMap<SmolStr, Slot>>,
}

/// What stands at a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Slot {
    Route(RouteKey),
    Withheld(usize),
}

impl Default for View {
    /// Holds the empty configuration and no endpoint.
    fn default() -> Self {
        Self::join(
            &VersionedMesh::default(),
            std::iter::empty::<Arc<Endpoint>>(),
        )
    }
}

impl View {
    /// Joins a configuration with endpoints; routes none of whose services has an endpoint are withheld.
    #[must_use]
    pub fn build<I>(version: Version, mesh: &Mesh, endpoints: I) -> Self
    where
        I: IntoIterator,
        I::Item: Into<Arc<Endpoint>>,
    {
        Self::assemble(version, Digest::of(mesh), mesh, endpoints)
    }

    /// Joins the configuration that a node holds with endpoints, as [`View::build`] does.
    ///
    /// Endpoints are shared with the caller, so that a new view of 14,000
    /// costs a pointer each.
    #[must_use]
    pub fn join<I>(held: &VersionedMesh, endpoints: I) -> Self
    where
        I: IntoIterator,
        I::Item: Into<Arc<Endpoint>>,
    {
        Self::assemble(held.version(), held.digest(), held.mesh(), endpoints)
    }

    fn assemble<I>(version: Version, digest: Digest, mesh: &Mesh, endpoints: I) -> Self
    where
        I: IntoIterator,
        I::Item: Into<Arc<Endpoint>>,
    {
        let endpoints = endpoints.into_iter().map(Into::into);
        let mut view = Self {
            version,
            digest,
            endpoints: endpoints
                .filter(|known| known.state != State::Gone)
                .collect(),
            services: Vec::new(),
            routes: Vec::new(),
            withheld: Vec::new(),
            index: HashMap::new(),
        };
        view.add_services(mesh);
        for (prefix, route) in &mesh.routes {
            view.add_route(mesh, prefix, route);
        }
        view.assert_closed();
        view
    }

    /// Adds the services that have endpoints, in the order of their names, and
    /// those that share a route with one.
    ///
    /// A share of a route whose service has no endpoint is refused, and the
    /// other shares are served: they are none of its business.
    fn add_services(&mut self, mesh: &Mesh) {
        let mut takers: HashMap<&str, Vec<EndpointKey>> = HashMap::new();
        for (index, endpoint) in (0..).zip(&self.endpoints) {
            let keys = takers.entry(endpoint.service.as_str()).or_default();
            if endpoint.state == State::Serving {
                keys.push(EndpointKey(index));
            }
        }
        let mut absent = HashSet::new();
        for route in mesh.routes.values().filter(|route| route.targets.len() > 1) {
            let targets = || route.targets.iter().map(|target| target.service.as_str());
            if targets().any(|service| takers.get(service).is_some_and(|keys| !keys.is_empty())) {
                absent.extend(targets().filter(|service| !takers.contains_key(service)));
            }
        }
        let mut services = Vec::with_capacity(takers.len().min(mesh.services.len()));
        for (name, service) in &mesh.services {
            let endpoints = takers.remove(name.as_str());
            if endpoints.is_some() || absent.contains(name.as_str()) {
                services.push(ServiceEntry {
                    name: name.clone(),
                    service: service.clone(),
                    has_endpoints: endpoints.is_some(),
                    endpoints: endpoints.unwrap_or_default(),
                });
            }
        }
        self.services = services;
    }

    fn add_route(&mut self, mesh: &Mesh, prefix: &SmolStr, route: &Route) {
        let slot = match self.resolve_route(mesh, prefix, route) {
            Some(entry) => {
                let key = u32::try_from(self.routes.len()).expect("routes are limited");
                self.routes.push(entry);
                Slot::Route(RouteKey(key))
            }
            None => self.withhold(mesh, prefix, route),
        };
        let (host, path) = prefix.split_at(prefix.find('/').unwrap_or_default());
        let paths = self.index.entry(host.into()).or_default();
        paths.insert(path.into(), slot);
    }

    fn withhold(&mut self, mesh: &Mesh, prefix: &SmolStr, route: &Route) -> Slot {
        let service = route.targets.first().map(|target| target.service.clone());
        let service = service.unwrap_or_default();
        let objective = mesh
            .services
            .get(&service)
            .and_then(|known| known.objective);
        self.withheld.push(WithheldEntry {
            prefix: prefix.clone(),
            service,
            objective,
        });
        Slot::Withheld(self.withheld.len() - 1)
    }

    fn resolve_route(&self, mesh: &Mesh, prefix: &SmolStr, route: &Route) -> Option<RouteEntry> {
        let targets = route
            .targets
            .iter()
            .map(|target| Some((self.find_service(&target.service)?, target.percent)))
            .collect::<Option<Vec<_>>>()?;
        let has_endpoints = |key: &ServiceKey| self.service(*key).has_endpoints;
        if !targets.iter().any(|(key, _)| has_endpoints(key)) {
            return None;
        }
        let retry = match &route.retry {
            Some(name) => Some(mesh.retries.get(name)?.clone()),
            None => None,
        };
        Some(RouteEntry {
            prefix: prefix.clone(),
            targets,
            class: route.class,
            repeat: route.repeat,
            retry,
            timeout_ms: route.timeout_ms,
            limit_ms: route.limit_ms,
            target_ms: route.target_ms,
        })
    }

    /// Checks that no route points at a service that the view lacks.
    ///
    /// Such a route would send a caller nowhere. It can't come about while
    /// views are only made here; the check stays on to keep that so.
    fn assert_closed(&self) {
        for (service, _) in self.routes.iter().flat_map(|route| &route.targets) {
            assert!(
                (service.0 as usize) < self.services.len(),
                "a view holds no route without its services"
            );
        }
    }

    /// Gives the version of the configuration.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Gives the digest of the configuration.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Finds a service by name.
    #[must_use]
    pub fn find_service(&self, name: &str) -> Option<ServiceKey> {
        let index = self
            .services
            .binary_search_by(|entry| entry.name.as_str().cmp(name))
            .ok()?;
        u32::try_from(index).ok().map(ServiceKey)
    }

    /// Finds the route of `host` with the longest prefix of `path`; none when just that one is withheld.
    ///
    /// A shorter prefix doesn't step in for a withheld one: it belongs to
    /// another service, which must not get these calls.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<RouteKey> {
        match self.look_up(host, path)? {
            Slot::Route(key) => Some(key),
            Slot::Withheld(_) => None,
        }
    }

    /// Tells whether `path` has a route that is withheld until its services are there.
    #[must_use]
    pub fn is_withheld(&self, host: &str, path: &str) -> bool {
        self.find_withheld(host, path).is_some()
    }

    /// Finds the route of `path` when it is withheld until its services are there.
    #[must_use]
    pub fn find_withheld(&self, host: &str, path: &str) -> Option<&WithheldEntry> {
        match self.look_up(host, path)? {
            Slot::Route(_) => None,
            Slot::Withheld(index) => self.withheld.get(index),
        }
    }

    /// Looks a path up among the routes of its host, then among those of all hosts.
    fn look_up(&self, host: &str, path: &str) -> Option<Slot> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let name = name_host(host);
        let own = self.index.get(&*name).filter(|_| !name.is_empty());
        own.and_then(|paths| look_up_path(paths, path))
            .or_else(|| look_up_path(self.index.get("")?, path))
    }

    /// Gives the routes that are withheld until their services are there.
    #[must_use]
    pub fn withheld(&self) -> &[WithheldEntry] {
        &self.withheld
    }

    /// Gives a service.
    #[must_use]
    pub fn service(&self, key: ServiceKey) -> &ServiceEntry {
        &self.services[key.0 as usize]
    }

    /// Gives an endpoint.
    #[must_use]
    pub fn endpoint(&self, key: EndpointKey) -> &Endpoint {
        &self.endpoints[key.0 as usize]
    }

    /// Gives a route.
    #[must_use]
    pub fn route(&self, key: RouteKey) -> &RouteEntry {
        &self.routes[key.0 as usize]
    }

    /// Gives all services that have endpoints.
    #[must_use]
    pub fn services(&self) -> &[ServiceEntry] {
        &self.services
    }

    /// Gives all endpoints that are not gone.
    #[must_use]
    pub fn endpoints(&self) -> &[Arc<Endpoint>] {
        &self.endpoints
    }

    /// Gives all routes that are not withheld.
    #[must_use]
    pub fn routes(&self) -> &[RouteEntry] {
        &self.routes
    }
}

/// Gives a `Host` header as routes name hosts: without its port, in lower case.
fn name_host(host: &str) -> Cow<'_, str> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

/// Looks `path` up part by part, from the whole of it to the root.
///
/// `/a/b` is tried as `/a/b`, then as `/a/`, `/a` and `/`: each part once with
/// its slash, for prefixes that take only what lies below them.
fn look_up_path(paths: &HashMap<SmolStr, Slot>, path: &str) -> Option<Slot> {
    let mut rest = path;
    loop {
        if let Some(found) = paths.get(rest) {
            return Some(*found);
        }
        rest = match rest.strip_suffix('/') {
            Some(part) => part,
            None => &rest[..=rest.rfind('/')?],
        };
    }
}
