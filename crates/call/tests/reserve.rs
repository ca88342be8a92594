//! Replies to claims of idempotency keys, and the bounds of the key table.

use bytes::Bytes;
use call::Id;
use call::reserve::{
    Answer, Claim, Entry, Fingerprint, Holder, Key, KeyTable, MAX_ANSWER_BYTES,
    MAX_SHARD_ANSWER_BYTES, Reply,
};
use std::sync::Arc;
use yare::parameterized;

const FIRST: Holder = holder(1, 1);
const SECOND: Holder = holder(2, 1);
const SECOND_EARLIER: Holder = holder(2, 0);
const SECOND_LATER: Holder = holder(2, 2);

const fn holder(origin: u64, attempt: u8) -> Holder {
    let call = Id {
        origin,
        sequence: 1,
    };
    Holder { call, attempt }
}

fn claim(holder: Holder) -> Claim {
    Claim {
        key: Key::of("claims", "release-7"),
        fingerprint: Fingerprint::of("POST", "/claims/7/release", b"{}"),
        holder,
    }
}

fn answer(length: usize) -> Arc<Answer> {
    Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from(vec![b'x'; length]),
    })
}

fn reserve(holder: Holder) -> Entry {
    Entry::Reserve(claim(holder))
}

fn complete(holder: Holder, length: usize) -> Entry {
    Entry::Complete {
        key: claim(holder).key,
        holder,
        answer: Some(answer(length)),
    }
}

fn release(holder: Holder) -> Entry {
    Entry::Release {
        key: claim(holder).key,
        holder,
    }
}

fn refused() -> Reply {
    Reply::Refused { retry_after_ms: 0 }
}

#[parameterized(
    free = { vec![], Reply::Granted },
    held = { vec![reserve(FIRST)], Reply::Unsettled },
    same_attempt = { vec![reserve(SECOND)], Reply::Granted },
    answered = { vec![reserve(FIRST), complete(FIRST, 3)], Reply::Known(answer(3)) },
    too_long = { vec![reserve(FIRST), complete(FIRST, MAX_ANSWER_BYTES + 1)], Reply::Ran },
    released = { vec![reserve(FIRST), release(FIRST)], Reply::Granted },
    released_by_another = { vec![reserve(FIRST), release(SECOND)], Reply::Unsettled },
    completed_by_another = { vec![reserve(FIRST), complete(SECOND, 3)], Reply::Unsettled },
    released_after_running = { vec![reserve(FIRST), complete(FIRST, 3), release(FIRST)], Reply::Known(answer(3)) },
    earlier_own_attempt = { vec![reserve(SECOND_EARLIER)], Reply::Granted },
    later_own_attempt = { vec![reserve(SECOND_LATER)], refused() },
    earlier_own_attempt_released = { vec![reserve(SECOND_EARLIER), release(SECOND_EARLIER)], Reply::Granted },
    own_released = { vec![reserve(SECOND), release(SECOND)], refused() },
    expired = { vec![reserve(FIRST), complete(FIRST, 3), Entry::Expire { through: 2 }], Reply::Granted },
    not_expired = { vec![reserve(FIRST), Entry::Expire { through: 0 }], Reply::Unsettled },
)]
fn second_claim(entries: Vec<Entry>, expected: Reply) {
    let mut table = KeyTable::default();
    for (number, entry) in (1..).zip(&entries) {
        table.apply(entry, number);
    }
    let reply = table.find_reply(&claim(SECOND));
    assert_eq!(reply.unwrap_or(Reply::Granted), expected);
    assert_eq!(table.apply(&reserve(SECOND), 9), Some(expected));
}

#[test]
fn key_of_another_request() {
    let mut table = KeyTable::default();
    table.apply(&reserve(FIRST), 1);
    let other = Claim {
        fingerprint: Fingerprint::of("POST", "/claims/7/release", b"{\"amount\":2}"),
        ..claim(SECOND)
    };
    assert_eq!(table.find_reply(&other), Some(Reply::Mismatch));
}

#[test]
fn keys_scoped_to_service() {
    assert_ne!(Key::of("ab", "c"), Key::of("a", "bc"));
    let shards = (0..1000).map(|n| Key::of("claims", &n.to_string()).shard());
    let distinct: std::collections::HashSet<_> = shards.collect();
    assert_eq!(distinct.len(), usize::from(call::reserve::SHARD_COUNT));
}

#[test]
fn answer_size_bounded() {
    let mut table = KeyTable::default();
    let count = 2 * MAX_SHARD_ANSWER_BYTES / MAX_ANSWER_BYTES;
    for number in 0..count as u64 {
        let claim = Claim {
            key: Key::of("claims", &number.to_string()),
            ..claim(FIRST)
        };
        table.apply(&Entry::Reserve(claim), number);
        let complete = Entry::Complete {
            key: claim.key,
            holder: FIRST,
            answer: Some(answer(MAX_ANSWER_BYTES)),
        };
        table.apply(&complete, number);
    }
    let replies = (0..count).filter_map(|number| {
        table.find_reply(&Claim {
            key: Key::of("claims", &number.to_string()),
            ..claim(SECOND)
        })
    });
    let known = replies.filter(|reply| matches!(reply, Reply::Known(_)));
    assert_eq!(known.count() * MAX_ANSWER_BYTES, MAX_SHARD_ANSWER_BYTES);
    assert_eq!(table.len(), count);
}

// A call claims its key at one owner, gets no reply in time, and its second
// attempt is granted by another owner. The first owner's record was committed
// after all, and that owner now releases the key on behalf of the abandoned
// attempt. A repeat must not get the key, because the call is running.
#[test]
fn late_release_of_earlier_attempt() {
    let mut table = KeyTable::default();
    table.apply(&reserve(SECOND_EARLIER), 1);
    assert_eq!(table.apply(&reserve(SECOND), 2), Some(Reply::Granted));
    table.apply(&release(SECOND_EARLIER), 3);
    assert_eq!(table.apply(&reserve(FIRST), 4), Some(Reply::Unsettled));
    assert!(table.is_held(claim(SECOND).key, SECOND));
}
