//! What a node serves by: a configuration joined with the endpoints it knows.
//!
//! A view is built aside and swapped in whole, so that no call ever sees a
//! route whose service is not there.

use crate::{Class, Endpoint, Mesh, Repeat, Retry, Service, State, Version};
use smol_str::SmolStr;

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
}

/// A route whose services are all in the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteEntry {
    /// Path prefix.
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
}

/// A configuration joined with the endpoints that the node knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    version: Version,
    endpoints: Vec<Endpoint>,
    services: Vec<ServiceEntry>,
    routes: Vec<RouteEntry>,
    withheld: Vec<SmolStr>,
}

impl View {
    /// Joins a configuration with endpoints; routes to services without any endpoint are withheld.
    #[must_use]
    pub fn build<'a, I>(version: Version, mesh: &Mesh, endpoints: I) -> Self
    where
        I: IntoIterator<Item = &'a Endpoint>,
    {
        let mut view = Self {
            version,
            ..Self::default()
        };
        for endpoint in endpoints {
            if endpoint.state != State::Gone {
                view.endpoints.push(endpoint.clone());
            }
        }
        for (name, service) in &mesh.services {
            view.add_service(name, service);
        }
        view.attach_endpoints();
        view.services
            .iter()
            .for_each(|entry| debug_assert!(mesh.services.contains_key(&entry.name)));
        for (prefix, route) in &mesh.routes {
            match view.resolve_route(prefix, route) {
                Some(entry) => view.routes.push(entry),
                None => view.withheld.push(prefix.clone()),
            }
        }
        // Longest prefix first, so that the first match is the best one.
        view.routes
            .sort_by_key(|entry| std::cmp::Reverse(entry.prefix.len()));
        view
    }

    fn add_service(&mut self, name: &SmolStr, service: &Service) {
        if self.endpoints.iter().any(|known| known.service == *name) {
            self.services.push(ServiceEntry {
                name: name.clone(),
                service: service.clone(),
                endpoints: Vec::new(),
            });
        }
    }

    fn attach_endpoints(&mut self) {
        for (index, endpoint) in (0..).zip(&self.endpoints) {
            let found = self
                .services
                .binary_search_by(|entry| entry.name.cmp(&endpoint.service));
            if let Ok(service) = found
                && endpoint.state == State::Serving
            {
                self.services[service].endpoints.push(EndpointKey(index));
            }
        }
    }

    fn resolve_route(&self, prefix: &SmolStr, route: &crate::Route) -> Option<RouteEntry> {
        let targets = route
            .targets
            .iter()
            .map(|target| Some((self.find_service(&target.service)?, target.percent)))
            .collect::<Option<Vec<_>>>()?;
        Some(RouteEntry {
            prefix: prefix.clone(),
            targets,
            class: route.class,
            repeat: route.repeat,
            retry: None,
            timeout_ms: route.timeout_ms,
        })
    }

    /// Gives the version of the configuration.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
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

    /// Finds the route with the longest prefix of `path`.
    #[must_use]
    pub fn find_route(&self, path: &str) -> Option<RouteKey> {
        let index = self
            .routes
            .iter()
            .position(|entry| is_under(path, &entry.prefix))?;
        u32::try_from(index).ok().map(RouteKey)
    }

    /// Tells whether `path` has a route that is withheld until its services are there.
    #[must_use]
    pub fn is_withheld(&self, path: &str) -> bool {
        self.withheld.iter().any(|prefix| is_under(path, prefix))
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

    /// Gives all services.
    #[must_use]
    pub fn services(&self) -> &[ServiceEntry] {
        &self.services
    }

    /// Gives all endpoints that are not gone.
    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Gives all routes, longest prefix first.
    #[must_use]
    pub fn routes(&self) -> &[RouteEntry] {
        &self.routes
    }
}

/// Tells whether `path` is `prefix` or lies below it.
fn is_under(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix.trim_end_matches('/'))
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}
