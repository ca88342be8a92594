//! Checks which team calls, before anything else is done for a call.
//!
//! A call is refused as unauthorized only if no configuration that may be in force allows it. A
//! node that doesn't know how old its configuration is refuses calls with keys as "not run", and
//! tells callers when to come back: the key may have been taken away, or added, in the meantime.

use crate::inbound::run::Refused;
use crate::outbound::Inner;
use crate::outbound::response::{Body, refuse, reject};
use clock::Clock;
use config::{RouteEntry, View, team};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use smol_str::SmolStr;
use std::time::Duration;
use wire::call::{Header, Reason};

/// Header with the key of a team, on the product's own interface.
const KEY_HEADER: HeaderName = HeaderName::from_static("bluebellpick-key");

/// Header that tells the backend server which team calls, on the product's own interface.
const TEAM_HEADER: &str = "bluebellpick-team";

/// Who calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Caller {
    /// Anyone: the call needs no key.
    Anyone,
    /// The team that holds the call's key.
    Team(team::Entry),
}

impl Caller {
    /// Returns the name of the team; empty if the call needs no key.
    pub(crate) fn name(&self) -> &str {
        match self {
            Self::Anyone => "",
            Self::Team(team) => &team.name,
        }
    }

    /// Returns the hash of the team's name, by which nodes tell teams apart.
    pub(crate) fn hash(&self) -> Option<u64> {
        match self {
            Self::Anyone => None,
            Self::Team(team) => Some(policy::hash(&team.name)),
        }
    }
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denial {
    /// The call has no key, or one that no team holds.
    Unauthorized,
    /// The configuration is too old to tell whether the key is in force.
    Unconfirmed,
}

impl Denial {
    /// Returns the name of the reason in log lines and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::Unconfirmed => "unconfirmed",
        }
    }

    pub(crate) fn respond<C>(self) -> Response<Body<C>>
    where
        C: Clock,
    {
        match self {
            Self::Unauthorized => {
                let mut response = reject(StatusCode::UNAUTHORIZED, self.as_str());
                let scheme = HeaderValue::from_static("Bearer");
                response
                    .headers_mut()
                    .insert(header::WWW_AUTHENTICATE, scheme);
                response
            }
            Self::Unconfirmed => refuse(Refused::not_run(Reason::Unconfirmed, 0)),
        }
    }
}

/// Determines who makes a call; `is_nested` tells that the local backend server makes it for a call
/// that it runs, which needs no key.
///
/// # Errors
///
/// If the call must not be served.
pub(crate) fn check<C>(
    inner: &Inner<C>,
    view: &View,
    route: &RouteEntry,
    headers: &HeaderMap,
    is_nested: bool,
) -> Result<Caller, Denial>
where
    C: Clock,
{
    let teams = view.teams();
    if !teams.requires_keys() || route.public || is_nested {
        return Ok(Caller::Anyone);
    }
    let shared = &inner.shared;
    let max_age = shared.settings.revoke;
    let age = max_age.map_or(Some(Duration::ZERO), |_| {
        shared.freshness.age(&shared.clock)
    });
    let is_younger_than = |limit: Duration| age.is_some_and(|age| age < limit);
    let key = if shared.uses_platform_interface() {
        platform::header::read_key(headers)
    } else {
        headers.get(&KEY_HEADER).map(HeaderValue::as_bytes)
    };
    let found = key.and_then(|key| teams.find(key));
    match found {
        Some(_) if !is_younger_than(max_age.unwrap_or(Duration::MAX)) => Err(Denial::Unconfirmed),
        Some(team) => Ok(Caller::Team(teams.team(team).clone())),
        // A key that is unknown here may be one of a version that has not arrived yet.
        None if key.is_some() && !is_younger_than(max_age.unwrap_or(Duration::MAX) / 2) => {
            Err(Denial::Unconfirmed)
        }
        None => Err(Denial::Unauthorized),
    }
}

/// Removes a caller's key, and what the caller says of its team, from the headers of a request for
/// the backend server. Then adds the name of the team.
pub(crate) fn set_team_header<C>(
    inner: &Inner<C>,
    headers: &mut Vec<Header>,
    caller: &Caller,
    requires_keys: bool,
) where
    C: Clock,
{
    let is_platform = inner.shared.uses_platform_interface();
    let (key_header, team_header) = if is_platform {
        (header::AUTHORIZATION, platform::header::TENANT)
    } else {
        (KEY_HEADER, TEAM_HEADER)
    };
    headers.retain(|header| {
        header.name != team_header && !(requires_keys && header.name == key_header.as_str())
    });
    if let Caller::Team(team) = caller {
        headers.push(Header {
            name: SmolStr::new_static(team_header),
            value: team.name.as_bytes().to_vec().into(),
        });
    }
}
