//! Asks some backend servers about a call before it is sent: runs `policy::load_probe`.

use crate::millis::whole_ms;
use crate::outbound::Inner;
use crate::outbound::plan::{Plan, time_left};
use crate::outbound::service::{Ask, PickedEndpoint};
use clock::Clock;
use config::Endpoint;
use futures_util::future::join_all;
use policy::balance::{self, Key};
use policy::load_probe::{Estimate, ProbeResult};
use std::sync::Arc;
use std::time::Duration;
use wire::call::Look;

/// Longest wait for what backend servers tell.
///
/// Within a region an answer takes about a millisecond, some more from a VM with little of a
/// processor; one that is gone would be waited for in vain.
const PATIENCE: Duration = Duration::from_millis(15);

/// Picks where a call goes, after asking some backend servers where that pays.
pub(crate) async fn pick<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    tried: &[Key],
) -> Option<PickedEndpoint<C>>
where
    C: Clock,
{
    let mut seen = Vec::new();
    loop {
        let asked = survey(inner, plan, tried, &seen);
        if asked.is_empty() {
            return pick_without_probes(inner, plan, tried, &seen);
        }
        let answers = asked.into_iter().map(|(key, endpoint)| async move {
            let outlook = ask_one(inner, plan, &endpoint);
            let outlook = tokio::time::timeout(PATIENCE, outlook).await;
            ProbeResult {
                key,
                estimate: outlook.ok().flatten(),
            }
        });
        seen.extend(join_all(answers).await);
    }
}

/// Picks where a call goes by what those `seen` have told.
pub(crate) fn pick_without_probes<C>(
    inner: &Inner<C>,
    plan: &Plan,
    tried: &[Key],
    seen: &[ProbeResult],
) -> Option<PickedEndpoint<C>>
where
    C: Clock,
{
    let (view, ask) = (inner.shared.view.load_full(), make_ask(inner, plan, tried));
    let clock = &inner.shared.clock;
    plan.client.pick(clock, &view, &plan.service, &ask, seen)
}

/// Picks where a call of a request under suspicion goes: where all nodes send it.
pub(crate) fn pick_owner<C>(
    inner: &Inner<C>,
    plan: &Plan,
    tried: &[Key],
) -> Option<PickedEndpoint<C>>
where
    C: Clock,
{
    let (view, ask) = (inner.shared.view.load_full(), make_ask(inner, plan, tried));
    let clock = &inner.shared.clock;
    plan.client
        .pick_owner(clock, &view, &plan.service, &ask, plan.digest)
}

/// Picks an endpoint of the version that is under trial, when the call is one of those that try it.
pub(crate) fn pick_trial<C>(inner: &Inner<C>, plan: &Plan) -> Option<PickedEndpoint<C>>
where
    C: Clock,
{
    if !inner.shared.rollouts.sample(&plan.service) {
        return None;
    }
    let (view, ask) = (inner.shared.view.load_full(), make_ask(inner, plan, &[]));
    let clock = &inner.shared.clock;
    plan.client.pick_trial(clock, &view, &plan.service, &ask)
}

fn survey<C>(
    inner: &Inner<C>,
    plan: &Plan,
    tried: &[Key],
    seen: &[ProbeResult],
) -> Vec<(Key, Endpoint)>
where
    C: Clock,
{
    let (view, ask) = (inner.shared.view.load_full(), make_ask(inner, plan, tried));
    let clock = &inner.shared.clock;
    plan.client.survey(clock, &view, &plan.service, &ask, seen)
}

fn make_ask<'a, C>(inner: &'a Inner<C>, plan: &Plan, tried: &'a [Key]) -> Ask<'a>
where
    C: Clock,
{
    Ask {
        locality: &inner.locality,
        body_size: plan.body_size,
        rollouts: &inner.shared.rollouts,
        call: balance::PickArgs {
            tried,
            repeatable: plan.repeatable,
            route: plan.route,
            // Once it has gone by, none is sooner than another.
            target: plan
                .target
                .filter(|target| *target > inner.shared.clock.now()),
        },
    }
}

/// Asks one backend server about a call; nothing comes from one that can't be reached or leaves.
async fn ask_one<C>(inner: &Arc<Inner<C>>, plan: &Plan, endpoint: &Endpoint) -> Option<Estimate>
where
    C: Clock,
{
    let look = Look {
        serial: 0,
        service: plan.service.clone(),
        route: plan.route,
        class: plan.class,
        nested: plan.nested,
        timeout_ms: whole_ms(time_left(inner, plan.deadline)),
        target_ms: plan.target.map(|target| whole_ms(time_left(inner, target))),
    };
    if endpoint.node == inner.shared.settings.name {
        return Some(inner.inbound.estimate(&look));
    }
    // Goes on when nobody waits any more, so that the next call finds the link made.
    let (links, address) = (Arc::clone(&inner.links), endpoint.address);
    let link = if let Some(link) = links.find_open(address) {
        link
    } else {
        let made = tokio::spawn(async move { links.get_or_connect(address).await });
        made.await.ok()?.ok()?
    };
    if link.node != endpoint.node || link.is_leaving() {
        return None;
    }
    let told = link.look(look)?.answer().await?;
    Some(Estimate {
        accepts: told.takes,
        wait: Duration::from_millis(told.wait_ms.into()),
        run: told.run_ms.map(|run| Duration::from_millis(run.into())),
        load: f64::from(told.load_percent) / 100.0,
    })
}
