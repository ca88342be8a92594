//! Removal of old versions from the platform, by the roots that watch them.

use clock::Clock;
use log::debug;
use rand::Rng;
use std::time::Duration;
use store::retention::RetentionTracker;
use store::{Journal, Store};

/// Mean time between two rounds of removal; each wait is jittered, so that roots don't act
/// together.
///
/// 3,700 versions a day are about three per minute. A round removes eight versions at a time until
/// no old version is left.
const ROUND_INTERVAL: Duration = Duration::from_mins(1);

/// Number of versions that are kept for operators who look back: about six hours at 3,700 a day.
const KEPT_VERSIONS: u64 = 1_000;

/// Removes old versions until this future is dropped. Several roots may safely remove versions at
/// the same time.
pub(crate) async fn run<S, C>(journal: Journal<S, C>)
where
    S: Store,
    C: Clock,
{
    let mut retention = RetentionTracker::default();
    loop {
        let factor = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(ROUND_INTERVAL.mul_f64(factor)).await;
        loop {
            match journal.remove_old(&mut retention, KEPT_VERSIONS).await {
                Ok(true) => {}
                Ok(false) => break,
                Err(error) => {
                    debug!(error:%; "removal_failed");
                    break;
                }
            }
        }
    }
}
