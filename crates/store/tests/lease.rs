//! Leases with lost responses and paused holders.

use clock::Manual;
use std::time::Duration;
use store::memory::Faults;
use store::{Error, Lease, MemoryStore};

const LEASE_DURATION: Duration = Duration::from_secs(15);
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

type TestLease = Lease<MemoryStore, Manual>;

fn open() -> (MemoryStore, Manual, TestLease, TestLease) {
    let memory = MemoryStore::new();
    let clock = Manual::new();
    let lease = |holder| {
        Lease::open(
            memory.clone(),
            clock.clone(),
            "z1/0",
            holder,
            LEASE_DURATION,
        )
    };
    let (first, second) = (lease("first"), lease("second"));
    (memory, clock, first, second)
}

fn lose_responses(lose_next: u32) -> Faults {
    Faults {
        lose_next,
        ..Faults::default()
    }
}

#[tokio::test]
async fn single_holder() {
    let (_, clock, mut first, mut second) = open();
    assert_eq!(first.acquire_or_renew().await, Ok(true));
    for _ in 0..10 {
        clock.advance(RENEWAL_INTERVAL);
        assert_eq!(first.acquire_or_renew().await, Ok(true));
        assert_eq!(second.acquire_or_renew().await, Ok(false));
    }
    first.release().await.unwrap();
    assert!(!first.is_held());
    assert_eq!(second.acquire_or_renew().await, Ok(true));
}

// A root's renewals take effect, but their responses are lost: the root must keep its lease. If a
// renewal did not take effect, the root must not count as the holder after the lease has expired.
#[tokio::test]
async fn renewal_response_lost() {
    let (memory, clock, mut first, mut second) = open();
    memory.set_faults(lose_responses(1));
    assert_eq!(first.acquire_or_renew().await, Ok(true));
    for _ in 0..10 {
        clock.advance(RENEWAL_INTERVAL);
        memory.set_faults(lose_responses(1));
        assert_eq!(first.acquire_or_renew().await, Ok(true));
        assert_eq!(second.acquire_or_renew().await, Ok(false));
    }
    clock.advance(RENEWAL_INTERVAL);
    memory.set_faults(Faults {
        late_next: 1,
        ..Faults::default()
    });
    let result = first.acquire_or_renew().await;
    assert!(matches!(result, Err(Error::Unknown(_))), "{result:?}");
    assert!(first.is_held());
    clock.advance(LEASE_DURATION);
    assert!(!first.is_held());
}

// A root is paused for longer than its lease and then continues. The root must notice by its clock
// that another process may have acquired the lease.
#[tokio::test]
async fn paused_holder() {
    let (_, clock, mut first, mut second) = open();
    assert_eq!(first.acquire_or_renew().await, Ok(true));
    assert_eq!(second.acquire_or_renew().await, Ok(false));
    clock.advance(LEASE_DURATION);
    assert!(!first.is_held());
    assert_eq!(second.acquire_or_renew().await, Ok(true));
    assert_eq!(first.acquire_or_renew().await, Ok(false));
    assert!(second.is_held());
}

// A renewal takes as long as the lease's duration. If the duration counted from the response, the
// holder would continue for 15 s after another process has acquired the lease.
#[tokio::test(start_paused = true)]
async fn slow_renewal() {
    let (memory, clock, mut first, _) = open();
    memory.set_faults(Faults {
        slow_ms: 10,
        ..Faults::default()
    });
    let renewal = first.acquire_or_renew();
    let advance = async {
        tokio::time::sleep(Duration::from_millis(5)).await;
        clock.advance(LEASE_DURATION);
    };
    let (held, ()) = tokio::join!(renewal, advance);
    assert_eq!(held, Ok(false));
}
