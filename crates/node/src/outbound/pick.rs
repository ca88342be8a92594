//! Picks the endpoint for an attempt, after load probes where they pay off (`policy::load_probe`).

use crate::millis::whole_ms;
use crate::outbound::Inner;
use crate::outbound::plan::{Plan, time_left};
use crate::outbound::service::{PickContext, PickedEndpoint};
use clock::Clock;
use config::Endpoint;
use futures_util::future::join_all;
use policy::balance::{self, Key};
use policy::load_probe::{Estimate, ProbeResult};
use std::sync::Arc;
use std::time::Duration;
use wire::call::LoadProbe;

/// Longest wait for the replies to load probes.
///
/// Within a region a reply takes about a millisecond, and somewhat longer from a VM with little
/// CPU time. A backend server that is gone never replies.
const PROBE_TIMEOUT: Duration = Duration::from_millis(15);

/// Picks an endpoint for a call, probing some backend servers first where that pays off.
pub(crate) async fn pick<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    tried: &[Key],
) -> Option<PickedEndpoint<C>>
where
    C: Clock,
{
    let mut probed = Vec::new();
    loop {
        let targets = probe_targets(inner, plan, tried, &probed);
        if targets.is_empty() {
            return pick_without_probes(inner, plan, tried, &probed);
        }
        let replies = targets.into_iter().map(|(key, endpoint)| async move {
            let estimate = probe(inner, plan, &endpoint);
            let estimate = tokio::time::timeout(PROBE_TIMEOUT, estimate).await;
            ProbeResult {
                key,
                estimate: estimate.ok().flatten(),
            }
        });
        probed.extend(join_all(replies).await);
    }
}

/// Picks an endpoint for a call without sending load probes, using the results of those sent so
/// far.
pub(crate) fn pick_without_probes<C>(
    inner: &Inner<C>,
    plan: &Plan,
    tried: &[Key],
    probed: &[ProbeResult],
) -> Option<PickedEndpoint<C>>
where
    C: Clock,
{
    let (view, context) = (
        inner.shared.view.load_full(),
        pick_context(inner, plan, tried),
    );
    let clock = &inner.shared.clock;
    plan.client
        .pick(clock, &view, &plan.service, &context, probed)
}

/// Picks the endpoint for a suspect request: the endpoint to which all nodes send that request.
pub(crate) fn pick_owner<C>(
    inner: &Inner<C>,
    plan: &Plan,
    tried: &[Key],
) -> Option<PickedEndpoint<C>>
where
    C: Clock,
{
    let (view, context) = (
        inner.shared.view.load_full(),
        pick_context(inner, plan, tried),
    );
    let clock = &inner.shared.clock;
    plan.client
        .pick_owner(clock, &view, &plan.service, &context, plan.digest)
}

/// Picks an endpoint of the version under trial if the call is sampled for the trial.
pub(crate) fn pick_trial<C>(inner: &Inner<C>, plan: &Plan) -> Option<PickedEndpoint<C>>
where
    C: Clock,
{
    if !inner.shared.rollouts.sample(&plan.service) {
        return None;
    }
    let (view, context) = (
        inner.shared.view.load_full(),
        pick_context(inner, plan, &[]),
    );
    let clock = &inner.shared.clock;
    plan.client
        .pick_trial(clock, &view, &plan.service, &context)
}

fn probe_targets<C>(
    inner: &Inner<C>,
    plan: &Plan,
    tried: &[Key],
    probed: &[ProbeResult],
) -> Vec<(Key, Endpoint)>
where
    C: Clock,
{
    let (view, context) = (
        inner.shared.view.load_full(),
        pick_context(inner, plan, tried),
    );
    let clock = &inner.shared.clock;
    plan.client
        .probe_targets(clock, &view, &plan.service, &context, probed)
}

fn pick_context<'a, C>(inner: &'a Inner<C>, plan: &Plan, tried: &'a [Key]) -> PickContext<'a>
where
    C: Clock,
{
    PickContext {
        locality: &inner.locality,
        body_size: plan.body_size,
        rollouts: &inner.shared.rollouts,
        reports: &inner.reports,
        args: balance::PickArgs {
            tried,
            repeatable: plan.repeatable,
            route: plan.route,
            // Once the target has passed, no endpoint can meet it.
            target: plan
                .target
                .filter(|target| *target > inner.shared.clock.now()),
        },
    }
}

/// Sends a load probe to one backend server; `None` if it can't be reached, is leaving or doesn't
/// reply.
async fn probe<C>(inner: &Arc<Inner<C>>, plan: &Plan, endpoint: &Endpoint) -> Option<Estimate>
where
    C: Clock,
{
    let request = LoadProbe {
        serial: 0,
        service: plan.service.clone(),
        route: plan.route,
        class: plan.class,
        parent_class: plan.parent_class,
        timeout_ms: whole_ms(time_left(inner, plan.deadline)),
        target_ms: plan.target.map(|target| whole_ms(time_left(inner, target))),
        known_report: inner.reports.find(&endpoint.node),
        team: plan.team.hash(),
    };
    if endpoint.node == inner.shared.settings.name {
        return Some(inner.inbound.estimate(&request));
    }
    // Connects in a task of its own, so that the link is opened for the next call even if this call
    // stops waiting.
    let (links, address) = (Arc::clone(&inner.links), endpoint.address);
    let link = if let Some(link) = links.find_open(address) {
        link
    } else {
        let connecting = tokio::spawn(async move { links.get_or_connect(address).await });
        connecting.await.ok()?.ok()?
    };
    if link.node != endpoint.node || link.is_leaving() {
        return None;
    }
    let reply = link.probe(request)?.estimate().await?;
    Some(Estimate {
        accepts: reply.accepts,
        wait: Duration::from_millis(reply.wait_ms.into()),
        run: reply.run_ms.map(|run| Duration::from_millis(run.into())),
        load: f64::from(reply.load_percent) / 100.0,
        pace: reply.pace_percent.map(|pace| f64::from(pace) / 100.0),
    })
}
