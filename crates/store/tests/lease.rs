//! Leases under lost answers and paused holders.

use clock::Manual;
use std::time::Duration;
use store::memory::Faults;
use store::{Error, Lease, MemoryStore};

const DURATION: Duration = Duration::from_secs(15);
const RENEWAL: Duration = Duration::from_secs(5);

type Root = Lease<MemoryStore, Manual>;

fn open() -> (MemoryStore, Manual, Root, Root) {
    let memory = MemoryStore::new();
    let clock = Manual::new();
    let lease = |holder| Lease::open(memory.clone(), clock.clone(), "z1/0", holder, DURATION);
    let (first, second) = (lease("first"), lease("second"));
    (memory, clock, first, second)
}

fn losing(lose_next: u32) -> Faults {
    Faults {
        lose_next,
        ..Faults::default()
    }
}

#[tokio::test]
async fn one_holds() {
    let (_, clock, mut first, mut second) = open();
    assert_eq!(first.acquire_or_renew().await, Ok(true));
    for _ in 0..10 {
        clock.advance(RENEWAL);
        assert_eq!(first.acquire_or_renew().await, Ok(true));
        assert_eq!(second.acquire_or_renew().await, Ok(false));
    }
    first.release().await.unwrap();
    assert!(!first.is_held());
    assert_eq!(second.acquire_or_renew().await, Ok(true));
}

// A root relay's renewals are answered into the void although they take
// effect. It must not give its job up, nor hold on to it when they did not.
#[tokio::test]
async fn renewal_answer_lost() {
    let (memory, clock, mut first, mut second) = open();
    memory.set_faults(losing(1));
    assert_eq!(first.acquire_or_renew().await, Ok(true));
    for _ in 0..10 {
        clock.advance(RENEWAL);
        memory.set_faults(losing(1));
        assert_eq!(first.acquire_or_renew().await, Ok(true));
        assert_eq!(second.acquire_or_renew().await, Ok(false));
    }
    clock.advance(RENEWAL);
    memory.set_faults(Faults {
        late_next: 1,
        ..Faults::default()
    });
    let lost = first.acquire_or_renew().await;
    assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
    assert!(first.is_held());
    clock.advance(DURATION);
    assert!(!first.is_held());
}

// A root relay is stopped for longer than its lease and goes on as if no time
// had passed. It must see by the clock that another may have taken over.
#[tokio::test]
async fn paused_holder() {
    let (_, clock, mut first, mut second) = open();
    assert_eq!(first.acquire_or_renew().await, Ok(true));
    assert_eq!(second.acquire_or_renew().await, Ok(false));
    clock.advance(DURATION);
    assert!(!first.is_held());
    assert_eq!(second.acquire_or_renew().await, Ok(true));
    assert_eq!(first.acquire_or_renew().await, Ok(false));
    assert!(second.is_held());
}

// The renewal takes as long as the lease; counted from the answer the holder
// would go on for fifteen seconds after another has taken over.
#[tokio::test(start_paused = true)]
async fn slow_renewal() {
    let (memory, clock, mut first, _) = open();
    memory.set_faults(Faults {
        slow_ms: 10,
        ..Faults::default()
    });
    let tend = first.acquire_or_renew();
    let pass = async {
        tokio::time::sleep(Duration::from_millis(5)).await;
        clock.advance(DURATION);
    };
    let (held, ()) = tokio::join!(tend, pass);
    assert_eq!(held, Ok(false));
}
