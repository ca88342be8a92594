//! The client against the platform's stand-in, over HTTP.

use platform::Client;
use platform::client::Limits;
use serde_json::{Value, json};
use standin::forward::Forwarder;
use standin::platform::{RateLimits, serve};
use std::time::Duration;
use store::follow::JournalUpdate;
use store::memory::Faults;
use store::{Error, Event, Follower, Journal, MemoryStore, Store, Watch};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const QUICK: Limits = Limits {
    call: Duration::from_millis(300),
    watch: Duration::from_millis(300),
    batch_delay: Duration::from_millis(100),
};

async fn open(rates: RateLimits, limits: Limits) -> (MemoryStore, Client) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let memory = MemoryStore::new();
    tokio::spawn(serve(listener, memory.clone(), rates));
    (memory, Client::open(address, limits))
}

#[tokio::test]
async fn conditional_writes() {
    let (_, client) = open(RateLimits::default(), Limits::default()).await;
    let first = client.create("things/a", &json!(1)).await.unwrap();
    assert_eq!(
        client.create("things/a", &json!(2)).await,
        Err(Error::Conflict)
    );
    let second = client.update("things/a", &json!(3), first).await.unwrap();
    assert!(second > first);
    assert_eq!(
        client.update("things/a", &json!(4), first).await,
        Err(Error::Conflict)
    );
    assert_eq!(
        client.update("things/b", &json!(4), first).await,
        Err(Error::NotFound)
    );
    let object = client.get("things/a").await.unwrap().unwrap();
    assert_eq!((object.revision, object.value), (second, json!(3)));
    assert_eq!(
        client.delete("things/a", Some(first)).await,
        Err(Error::Conflict)
    );
    client.delete("things/a", Some(second)).await.unwrap();
    assert_eq!(client.get("things/a").await, Ok(None));
}

#[tokio::test]
async fn pages_of_a_list() {
    let (_, client) = open(RateLimits::default(), Limits::default()).await;
    for name in ["a/1", "a/2", "a/3", "b/1"] {
        client.create(name, &json!(name)).await.unwrap();
    }
    let page = client.list("a/", "", 2).await.unwrap();
    let names = page.items.iter().map(|object| object.name.as_str());
    assert_eq!(names.collect::<Vec<_>>(), ["a/1", "a/2"]);
    assert!(page.has_more);
    let rest = client.list("a/", "a/2", 2).await.unwrap();
    assert_eq!((rest.items.len(), rest.has_more), (1, false));
    assert_eq!(rest.items[0].value, json!("a/3"));
}

/// Waits for the next event that is more than a sign of life.
async fn next_change(watch: &mut Watch) -> Result<Event, Error> {
    loop {
        match watch.next().await {
            Ok(Event::Bookmark(_)) => {}
            other => return other,
        }
    }
}

#[tokio::test]
async fn watch_from_a_revision() {
    let (memory, client) = open(RateLimits::default(), Limits::default()).await;
    let first = client.create("a/1", &json!(1)).await.unwrap();
    client.create("b/1", &json!(1)).await.unwrap();
    let mut watch = client.watch("a/", first).await.unwrap();
    client.create("a/2", &json!(2)).await.unwrap();
    client.delete("a/1", None).await.unwrap();
    match next_change(&mut watch).await.unwrap() {
        Event::Put(object) => assert_eq!(object.name, "a/2"),
        other => panic!("{other:?}"),
    }
    let removed = next_change(&mut watch).await;
    assert!(matches!(removed, Ok(Event::Deleted { name, .. }) if name == "a/1"));
    memory.compact_history();
    let mut late = client.watch("a/", first).await.unwrap();
    assert_eq!(late.next().await, Err(Error::Gone));
}

// Operators write thirty versions within a quarter of a second. Each root asked
// on after every one of them, and calls to the platform are paid for. Cause: a
// watch asked anew as soon as it was answered.
#[tokio::test]
async fn quick_succession() {
    let (memory, client) = open(RateLimits::default(), QUICK).await;
    let mut last = client.create("a/1", &json!(0)).await.unwrap();
    let mut watch = client.watch("a/", last).await.unwrap();
    for value in 1..=30 {
        last = client.update("a/1", &json!(value), last).await.unwrap();
        tokio::time::sleep(Duration::from_millis(8)).await;
    }
    while next_change(&mut watch).await.unwrap().revision() < last {}
    let asked = memory.counts().watches;
    assert!((2..10).contains(&asked), "{asked} questions");
}

// An operator's version reaches no zone for an hour although the platform is
// well: the root relays' watches went silent without an error. Cause: what
// lies between forgot the connections; only the missing answers show it.
#[tokio::test]
async fn silent_watch() {
    let (memory, client) = open(RateLimits::default(), QUICK).await;
    let first = client.create("a/1", &json!(1)).await.unwrap();
    let mut watch = client.watch("a/", first).await.unwrap();
    memory.set_faults(Faults {
        silent_watches: true,
        ..Faults::default()
    });
    client.create("a/2", &json!(2)).await.unwrap();
    let ended = tokio::time::timeout(Duration::from_secs(3), watch.next()).await;
    assert!(matches!(ended, Ok(Err(Error::Unavailable(_)))), "{ended:?}");
}

// A proposal's answer is lost after the platform took it. The operator must
// not be told that it surely failed.
#[tokio::test]
async fn lost_answer() {
    let (memory, client) = open(RateLimits::default(), QUICK).await;
    memory.set_faults(Faults {
        lose_next: 1,
        ..Faults::default()
    });
    let lost = client.create("a/1", &json!(1)).await;
    assert!(lost.is_err_and(|error| error.may_have_taken_effect()));
    assert!(client.get("a/1").await.unwrap().is_some());
}

// All calls of a node to the platform hang although new connections work. The
// kept ones are open at the node and forgotten in between. One call may be lost
// to that, not one for each kept connection.
#[tokio::test]
async fn silent_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let forwarder = Forwarder::spawn(listener.local_addr().unwrap())
        .await
        .unwrap();
    tokio::spawn(serve(listener, MemoryStore::new(), RateLimits::default()));
    let client = Client::open(forwarder.address(), QUICK);
    let one = json!(1);
    let (first, second, third) = tokio::join!(
        client.create("a/1", &one),
        client.create("a/2", &one),
        client.create("a/3", &one),
    );
    assert!(
        first
            .and(second)
            .and(third)
            .is_ok_and(|revision| revision.number > 0)
    );
    forwarder.stall_connections();
    let silent = client.create("a/4", &json!(2)).await;
    assert!(silent.is_err_and(|error| error.may_have_taken_effect()));
    for name in ["a/1", "a/2", "a/3"] {
        assert!(client.get(name).await.unwrap().is_some());
    }
}

// The platform is slow for a long stretch: each answer takes twice as long as a
// node waits. Two calls are lost to that; the operators' patches that follow
// must get through.
#[tokio::test]
async fn slow_for_long() {
    let (memory, client) = open(RateLimits::default(), QUICK).await;
    memory.set_faults(Faults {
        slow_ms: 700,
        ..Faults::default()
    });
    let mut answered = Vec::new();
    for number in 0..5 {
        let created = client.create(&format!("a/{number}"), &json!(1)).await;
        answered.push(created.is_ok());
    }
    assert_eq!(answered, [false, false, true, true, true]);
    memory.set_faults(Faults::default());
    client.create("a/9", &json!(1)).await.unwrap();
    memory.set_faults(Faults {
        slow_ms: 60_000,
        ..Faults::default()
    });
    let start = std::time::Instant::now();
    let lost = client.create("a/10", &json!(1)).await;
    assert!(lost.is_err_and(|error| error.may_have_taken_effect()));
    assert!(
        start.elapsed() < 2 * QUICK.call,
        "waits as briefly as before"
    );
}

// A watch is open while what lies between forgets its connection. Whoever
// follows a journal must learn of the next version all the same.
#[tokio::test]
async fn follower_past_silence() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let forwarder = Forwarder::spawn(listener.local_addr().unwrap())
        .await
        .unwrap();
    tokio::spawn(serve(listener, MemoryStore::new(), RateLimits::default()));
    let client = Client::open(forwarder.address(), QUICK);
    let journal = Journal::open(client, clock::System, "numbers");
    let mut follower = Follower::open(journal.clone(), Some(0));
    for number in 1..4 {
        let free = journal.now();
        let nonce = number.to_string();
        journal
            .append(number, &nonce, &json!(number), free)
            .await
            .unwrap();
        let next = tokio::time::timeout(Duration::from_secs(10), follower.next()).await;
        assert!(
            matches!(&next, Ok(JournalUpdate::Record(record)) if record.number == number),
            "{next:?}"
        );
        forwarder.stall_connections();
    }
}

#[tokio::test]
async fn over_the_rate() {
    let rates = RateLimits {
        writes: 2,
        reads: 1,
    };
    let (_, client) = open(rates, Limits::default()).await;
    client.create("a/1", &json!(1)).await.unwrap();
    client.create("a/2", &json!(1)).await.unwrap();
    let over = client.create("a/3", &json!(1)).await;
    assert!(matches!(over, Err(Error::Busy(wait)) if wait >= Duration::from_secs(1)));
    client.get("a/1").await.unwrap();
    assert!(matches!(client.get("a/1").await, Err(Error::Busy(_))));
}

#[tokio::test]
async fn too_large() {
    let (_, client) = open(RateLimits::default(), Limits::default()).await;
    let value = Value::String("x".repeat(1 << 20));
    assert_eq!(client.create("a/1", &value).await, Err(Error::TooLarge));
    let fitting = Value::String("x".repeat((1 << 20) - 2));
    client.create("a/1", &fitting).await.unwrap();
    assert_eq!(client.get("a/1").await.unwrap().unwrap().value, fitting);
}

#[tokio::test]
async fn nobody_listens() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = Client::open(address, QUICK);
    let refused = client.create("a/1", &json!(1)).await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
}

/// Answers each request with an object, a part of the body at a time.
async fn dribble(listener: TcpListener, pause: Duration) {
    let value = "x".repeat(1_000);
    let object = json!({"metadata": {"name": "1", "revision": 7}, "spec": value}).to_string();
    while let Ok((mut stream, _)) = listener.accept().await {
        let object = object.clone();
        tokio::spawn(async move {
            let mut head = [0; 1_024];
            while stream.read(&mut head).await.is_ok_and(|count| count > 0) {
                let text = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
                    object.len()
                );
                // A client that has given up is no fault of the test's.
                drop(stream.write_all(text.as_bytes()).await);
                for part in object.as_bytes().chunks(100) {
                    tokio::time::sleep(pause).await;
                    drop(stream.write_all(part).await);
                }
            }
        });
    }
}

// Operators add 1,640 routes, and all VMs lose power. Those with the smallest
// links never came back to serve: they asked for the configuration over and over,
// and gave each answer up half way. Cause: 430 kB take 0.7 s over 5 Mbit/s, and an
// answer as a whole had half a second.
#[tokio::test]
async fn thin_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::open(listener.local_addr().unwrap(), QUICK);
    tokio::spawn(dribble(listener, QUICK.call / 4));
    let object = client.get("a/1").await.unwrap().unwrap();
    assert_eq!(object.value, json!("x".repeat(1_000)));
}

// The same answer stops for good half way, as the connection has gone silent. It
// must be given up, and the next call start on a new connection.
#[tokio::test]
async fn stopped_half_way() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::open(listener.local_addr().unwrap(), QUICK);
    tokio::spawn(dribble(listener, QUICK.call * 20));
    let start = std::time::Instant::now();
    assert!(matches!(
        client.get("a/1").await,
        Err(Error::Unavailable(_))
    ));
    assert!(start.elapsed() < QUICK.call * 10);
}

/// A client must notice by any answer that the store came back from a copy, and drop what it knew.
#[tokio::test]
async fn another_era() {
    let (memory, client) = open(RateLimits::default(), QUICK).await;
    client.create("things/a", &json!(1)).await.unwrap();
    let mut eras = client.watch_era();
    assert_eq!(*eras.borrow_and_update(), Some(0));
    let copy = memory.backup();
    let lost = client.create("things/b", &json!("lost")).await.unwrap();
    let mut watch = client.watch("things", lost).await.unwrap();
    memory.restore(copy);
    memory.create("things/b", &json!("other")).await.unwrap();
    let gone = async {
        loop {
            match watch.next().await {
                Ok(_) => {}
                Err(error) => return error,
            }
        }
    };
    let gone = tokio::time::timeout(Duration::from_secs(5), gone).await;
    assert_eq!(gone, Ok(Error::Gone));
    assert_eq!(*eras.borrow_and_update(), Some(1));
    assert_eq!(
        client.update("things/b", &json!("mine"), lost).await,
        Err(Error::Gone)
    );
    assert_eq!(
        client.delete("things/b", Some(lost)).await,
        Err(Error::Gone)
    );
    let object = client.get("things/b").await.unwrap().unwrap();
    assert_eq!(object.value, json!("other"));
    assert!(object.revision > lost);
}

/// A report must change an object's status alone, and only as it was read.
#[tokio::test]
async fn reports() {
    let (_, client) = open(RateLimits::default(), Limits::default()).await;
    let first = client.create("things/a", &json!(1)).await.unwrap();
    let status = json!({"state": "done"});
    let second = client.update_status("things/a", &status, first).await;
    let second = second.unwrap();
    assert_eq!(
        client.update_status("things/a", &json!(2), first).await,
        Err(Error::Conflict)
    );
    let object = client.get("things/a").await.unwrap().unwrap();
    assert_eq!(
        (object.revision, object.value, object.status),
        (second, json!(1), status)
    );
}
