//! Removal of old versions from the platform, by those that follow them.

use clock::Clock;
use log::debug;
use rand::Rng;
use std::time::Duration;
use store::retain::Retention;
use store::{Journal, Store};

/// Mean time between two rounds; each root waits for a time of its own.
///
/// A day's 3,700 versions are some three a minute, and a round removes eight
/// at a time until none is left.
const ROUND: Duration = Duration::from_mins(1);

/// Versions that stay, for operators who look back: some six hours of 3,700 a day.
const KEPT: u64 = 1_000;

/// Removes old versions until it is dropped. Others may do so too; it does no harm.
pub(crate) async fn run<S, C>(journal: Journal<S, C>)
where
    S: Store,
    C: Clock,
{
    let mut retention = Retention::default();
    loop {
        let share = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(ROUND.mul_f64(share)).await;
        loop {
            match journal.remove_old(&mut retention, KEPT).await {
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
