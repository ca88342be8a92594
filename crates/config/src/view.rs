//! Routing views: a configuration joined with the endpoints that a node knows.
//!
//! A view is built separately and swapped in as a unit, so that no call ever
//! sees a route whose service is missing.

use crate::{
    Class, Digest, Endpoint, Mesh, Objective, Repeat, Retry, Route, Service, State, Version,
    VersionedMesh, team,
};
use smol_str::SmolStr;
use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Identifies a service within one view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(u32);

/// Identifies an endpoint within one view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(u32);

/// Identifies a route within one view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(u32);

/// A service with the endpoints that accept its calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: SmolStr,
    /// The service as configured.
    pub service: Service,
    /// Endpoints of the service that accept new calls.
    pub endpoints: Vec<EndpointKey>,
    /// Whether the service has any endpoints, including those that accept no new calls.
    pub has_endpoints: bool,
}

/// A route whose services are all in the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteEntry {
    /// Prefix of the route.
    pub prefix: SmolStr,
    /// Services with their shares, in per cent.
    pub targets: Vec<(ServiceKey, u8)>,
    /// Priority class of the calls.
    pub class: Class,
    /// Whether the calls may be repeated.
    pub repeat: Repeat,
    /// Rule by which the calls are retried, if any.
    pub retry: Option<Retry>,
    /// Timeout of a call if its caller sets none, in milliseconds.
    pub timeout_ms: u32,
    /// Upper bound on the time that a call may take, in milliseconds.
    pub limit_ms: Option<u32>,
    /// Latency target: time within which an answer has its full value, in milliseconds.
    pub target_ms: Option<u32>,
    /// Whether the calls need no key.
    pub public: bool,
}

/// A route that is withheld until its services are available.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WithheldEntry {
    /// Prefix of the route.
    pub prefix: SmolStr,
    /// The route's first service; refused calls count against its objective.
    pub service: SmolStr,
    /// The service level objective of that service, if any.
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
    teams: Arc<team::Table>,
    /// Routes by host and path prefix; those under the empty host apply to all hosts.
    index: HashMap<SmolStr, HashMap<SmolStr, PrefixEntry>>,
}

/// The route at a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PrefixEntry {
    Route(RouteKey),
    Withheld(usize),
}

impl Default for View {
    /// Creates a view of the empty configuration, without endpoints.
    fn default() -> Self {
        Self::join(
            &VersionedMesh::default(),
            std::iter::empty::<Arc<Endpoint>>(),
        )
    }
}

impl View {
    /// Joins a configuration with endpoints; a route is withheld if none of its services has an endpoint.
    #[must_use]
    pub fn build<I>(version: Version, mesh: &Mesh, endpoints: I) -> Self
    where
        I: IntoIterator,
        I::Item: Into<Arc<Endpoint>>,
    {
        let teams = Arc::new(team::Table::build(mesh));
        Self::assemble(version, Digest::of(mesh), mesh, teams, endpoints)
    }

    /// Joins a node's current configuration with endpoints, as [`View::build`] does.
    ///
    /// Endpoints are shared with the caller, so that a new view of 14,000
    /// endpoints costs one pointer each.
    #[must_use]
    pub fn join<I>(current: &VersionedMesh, endpoints: I) -> Self
    where
        I: IntoIterator,
        I::Item: Into<Arc<Endpoint>>,
    {
        Self::assemble(
            current.version(),
            current.digest(),
            current.mesh(),
            Arc::clone(current.teams()),
            endpoints,
        )
    }

    fn assemble<I>(
        version: Version,
        digest: Digest,
        mesh: &Mesh,
        teams: Arc<team::Table>,
        endpoints: I,
    ) -> Self
    where
        I: IntoIterator,
        I::Item: Into<Arc<Endpoint>>,
    {
        let endpoints = endpoints.into_iter().map(Into::into);
        let mut view = Self {
            version,
            digest,
            endpoints: endpoints
                .filter(|endpoint| endpoint.state != State::Gone)
                .collect(),
            services: Vec::new(),
            routes: Vec::new(),
            withheld: Vec::new(),
            teams,
            index: HashMap::new(),
        };
        view.add_services(mesh);
        for (prefix, route) in &mesh.routes {
            view.add_route(mesh, prefix, route);
        }
        view.assert_services_present();
        view
    }

    /// Adds the services that have endpoints, and those that share a route with
    /// a service that has a serving endpoint, in the order of their names.
    ///
    /// If one of several services of a route has no endpoint, the calls of its share are refused.
    /// The other shares of the route are served, as they do not depend on that service.
    fn add_services(&mut self, mesh: &Mesh) {
        let mut by_service: HashMap<&str, Vec<EndpointKey>> = HashMap::new();
        for (index, endpoint) in (0..).zip(&self.endpoints) {
            let keys = by_service.entry(endpoint.service.as_str()).or_default();
            if endpoint.state == State::Serving {
                keys.push(EndpointKey(index));
            }
        }
        let mut without_endpoints = HashSet::new();
        for route in mesh.routes.values().filter(|route| route.targets.len() > 1) {
            let targets = || route.targets.iter().map(|target| target.service.as_str());
            if targets().any(|service| by_service.get(service).is_some_and(|keys| !keys.is_empty()))
            {
                without_endpoints
                    .extend(targets().filter(|service| !by_service.contains_key(service)));
            }
        }
        let mut services = Vec::with_capacity(by_service.len().min(mesh.services.len()));
        for (name, service) in &mesh.services {
            let endpoints = by_service.remove(name.as_str());
            if endpoints.is_some() || without_endpoints.contains(name.as_str()) {
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
        let prefix_entry = match self.resolve_route(mesh, prefix, route) {
            Some(entry) => {
                let key = u32::try_from(self.routes.len()).expect("routes are limited");
                self.routes.push(entry);
                PrefixEntry::Route(RouteKey(key))
            }
            None => self.withhold(mesh, prefix, route),
        };
        let (host, path) = prefix.split_at(prefix.find('/').unwrap_or_default());
        let paths = self.index.entry(host.into()).or_default();
        paths.insert(path.into(), prefix_entry);
    }

    fn withhold(&mut self, mesh: &Mesh, prefix: &SmolStr, route: &Route) -> PrefixEntry {
        let service = route.targets.first().map(|target| target.service.clone());
        let service = service.unwrap_or_default();
        let objective = mesh
            .services
            .get(&service)
            .and_then(|service| service.objective);
        self.withheld.push(WithheldEntry {
            prefix: prefix.clone(),
            service,
            objective,
        });
        PrefixEntry::Withheld(self.withheld.len() - 1)
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
            public: route.public,
        })
    }

    /// Asserts that no route refers to a service that is missing from the view.
    ///
    /// Calls of such a route would have no destination. A missing service is impossible as long as
    /// views are built only here; the check remains enabled to guard that invariant.
    fn assert_services_present(&self) {
        for (service, _) in self.routes.iter().flat_map(|route| &route.targets) {
            assert!(
                (service.0 as usize) < self.services.len(),
                "a view contains no route whose services are missing"
            );
        }
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the digest of the configuration.
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

    /// Finds the route of `host` with the longest matching prefix of `path`; `None` if that route is withheld.
    ///
    /// A shorter prefix is not used instead of a withheld one, because it
    /// belongs to another service, which must not receive these calls.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<RouteKey> {
        match self.find_entry(host, path)? {
            PrefixEntry::Route(key) => Some(key),
            PrefixEntry::Withheld(_) => None,
        }
    }

    /// Returns whether the route of `path` is withheld until its services are available.
    #[must_use]
    pub fn is_withheld(&self, host: &str, path: &str) -> bool {
        self.find_withheld(host, path).is_some()
    }

    /// Finds the route of `path` if it is withheld until its services are available.
    #[must_use]
    pub fn find_withheld(&self, host: &str, path: &str) -> Option<&WithheldEntry> {
        match self.find_entry(host, path)? {
            PrefixEntry::Route(_) => None,
            PrefixEntry::Withheld(index) => self.withheld.get(index),
        }
    }

    /// Looks up a path among the routes of its host, then among those that apply to all hosts.
    fn find_entry(&self, host: &str, path: &str) -> Option<PrefixEntry> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let name = normalize_host(host);
        let host_routes = self.index.get(&*name).filter(|_| !name.is_empty());
        host_routes
            .and_then(|paths| find_longest_prefix(paths, path))
            .or_else(|| find_longest_prefix(self.index.get("")?, path))
    }

    /// Returns the routes that are withheld until their services are available.
    #[must_use]
    pub fn withheld(&self) -> &[WithheldEntry] {
        &self.withheld
    }

    /// Returns the teams that may call.
    #[must_use]
    pub fn teams(&self) -> &Arc<team::Table> {
        &self.teams
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, key: ServiceKey) -> &ServiceEntry {
        &self.services[key.0 as usize]
    }

    /// Returns an endpoint.
    #[must_use]
    pub fn endpoint(&self, key: EndpointKey) -> &Endpoint {
        &self.endpoints[key.0 as usize]
    }

    /// Returns a route.
    #[must_use]
    pub fn route(&self, key: RouteKey) -> &RouteEntry {
        &self.routes[key.0 as usize]
    }

    /// Returns all services that have endpoints or share a route with one that does.
    #[must_use]
    pub fn services(&self) -> &[ServiceEntry] {
        &self.services
    }

    /// Returns all endpoints that are not gone.
    #[must_use]
    pub fn endpoints(&self) -> &[Arc<Endpoint>] {
        &self.endpoints
    }

    /// Returns all routes that are not withheld.
    #[must_use]
    pub fn routes(&self) -> &[RouteEntry] {
        &self.routes
    }
}

/// Normalizes a `Host` header to the form used in routes: without port, in lower case.
fn normalize_host(host: &str) -> Cow<'_, str> {
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

/// Finds the longest prefix of `path` by removing one segment at a time, down to the root.
///
/// `/a/b` is looked up as `/a/b`, `/a/`, `/a` and `/`. Each parent is looked up
/// with its trailing slash first, for prefixes that match only paths below them.
fn find_longest_prefix(paths: &HashMap<SmolStr, PrefixEntry>, path: &str) -> Option<PrefixEntry> {
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
