//! What lenders report to one another.

use policy::lending::{Book, Report, SLOTS};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(5);

/// Reports what was lent at some moments.
fn report_of(lent: &[(Instant, u32)], now: Instant) -> Report {
    let mut report = Report {
        lender: 1,
        total: lent.iter().map(|(_, tokens)| u64::from(*tokens)).sum(),
        slots: Vec::new(),
    };
    for (at, tokens) in lent {
        report.add(WINDOW, now - *at, *tokens);
    }
    report
}

// A report arrives late or twice, or after a newer one: it must not count twice, or replace that.
#[test]
fn old_report() {
    let now = Instant::now();
    let mut book = Book::default();
    let first = report_of(&[(now, 5)], now);
    let second = report_of(&[(now, 5), (now, 7)], now);
    assert_eq!(book.merge(now, WINDOW, first.clone()), None);
    assert_eq!(book.merge(now, WINDOW, second.clone()), Some(7));
    assert_eq!(book.merge(now, WINDOW, first), Some(0));
    assert_eq!(book.merge(now, WINDOW, second), Some(0));
    assert_eq!(book.in_window(now, WINDOW), 12);
    assert_eq!(book.in_window(now + WINDOW * 2, WINDOW), 0);
}

// A lender of which nothing is known may have lent its burst just now, and the rest evenly.
#[test]
fn worst_report() {
    let report = Report::worst(1, 600, 100);
    assert_eq!(report.slots.iter().sum::<u32>(), 600);
    assert_eq!(report.slots[..3], [160, 60, 60]);
    assert!(report.slots.len() <= SLOTS as usize + 1);
}

// A lender that was assumed to have lent its worst case reports what it has lent.
#[test]
fn late_report() {
    let now = Instant::now();
    let mut book = Book::default();
    book.merge(now, WINDOW, Report::worst(1, 600, 100));
    assert_eq!(book.merge(now, WINDOW, report_of(&[(now, 5)], now)), None);
    assert_eq!(book.in_window(now, WINDOW), 5);
}

proptest! {
    // Reports pass through another lender, late: none may drop a token that is still in the window.
    #[test]
    fn relayed_reports(
        steps in prop::collection::vec((0_u64..300, 0_u32..20), 1..100),
        delay in 0_u64..400,
        later in 0_u64..6_000,
    ) {
        let mut now = Instant::now();
        let mut lent = Vec::new();
        let (mut first, mut second) = (Book::default(), Book::default());
        let delay = Duration::from_millis(delay);
        for (wait, tokens) in steps {
            now += Duration::from_millis(wait);
            lent.push((now, tokens));
            first.merge(now + delay, WINDOW, report_of(&lent, now));
            for report in first.reports(now + delay * 2, WINDOW).collect::<Vec<_>>() {
                second.merge(now + delay * 2, WINDOW, report);
            }
        }
        let end = now + delay * 2 + Duration::from_millis(later);
        let in_window = lent.iter().filter(|(at, _)| end - *at <= WINDOW);
        let true_sum: u64 = in_window.map(|(_, tokens)| u64::from(*tokens)).sum();
        prop_assert!(second.in_window(end, WINDOW) >= true_sum);
    }
}
