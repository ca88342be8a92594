//! What a response reports about its backend server, also in values that make no sense.

use policy::self_report::{Load, Percent, Rate, RateReading, Reading};
use yare::parameterized;

fn named(millis: u32) -> RateReading {
    RateReading::Named(Rate::from_millis(millis))
}

#[parameterized(
    absent = { &[], RateReading::Absent, 0 },
    whole = { &["8"], named(8_000), 0 },
    decimal = { &["10.9"], named(10_900), 0 },
    long_decimal = { &["0.33333"], named(333), 0 },
    point_first = { &[".5"], named(500), 0 },
    point_last = { &["5."], named(5_000), 0 },
    spaces = { &[" 7.5 "], named(7_500), 0 },
    zero = { &["0"], named(0), 0 },
    huge = { &["99999999999999999999"], named(u32::MAX), 0 },
    negative = { &["-3"], RateReading::Unreadable, 1 },
    exponent = { &["1e3"], RateReading::Unreadable, 1 },
    infinite = { &["inf"], RateReading::Unreadable, 1 },
    word = { &["many"], RateReading::Unreadable, 1 },
    empty = { &[""], RateReading::Unreadable, 1 },
    point = { &["."], RateReading::Unreadable, 1 },
    two_points = { &["1.2.3"], RateReading::Unreadable, 1 },
    twice = { &["8", "8"], named(8_000), 0 },
    twice_differing = { &["9", "4"], named(4_000), 1 },
    one_readable = { &["x", "4"], named(4_000), 1 },
    other_readable = { &["4", "x"], named(4_000), 1 },
)]
fn rates(values: &[&str], expected: RateReading, invalid: u32) {
    let mut reading = Reading::default();
    for value in values {
        reading.add_rate(value);
    }
    assert_eq!((reading.rate, reading.invalid), (expected, invalid));
}

#[parameterized(
    absent = { &[], false, 0 },
    leaving = { &["1"], true, 0 },
    staying = { &["0"], false, 0 },
    twice = { &["1", "1"], true, 0 },
    contradicting = { &["0", "1"], true, 0 },
    word = { &["true"], false, 1 },
    empty = { &[""], false, 1 },
)]
fn leaving(values: &[&str], expected: bool, invalid: u32) {
    let mut reading = Reading::default();
    for value in values {
        reading.add_leaving(value);
    }
    assert_eq!((reading.leaving, reading.invalid), (expected, invalid));
}

#[parameterized(
    absent = { &[], None, 0 },
    three = { &["3,0,8"], Some((3, 0, 8, None)), 0 },
    four = { &["3,1,8,250"], Some((3, 1, 8, Some(2.5))), 0 },
    spaces = { &[" 3, 0 ,8, 100 "], Some((3, 0, 8, Some(1.0))), 0 },
    twice = { &["3,0,8,100", "3,0,8,100"], Some((3, 0, 8, Some(1.0))), 0 },
    twice_differing = { &["3,0,8,100", "3,0,8,90"], None, 1 },
    one_readable = { &["3,0,8,100", "x"], None, 1 },
    two_figures = { &["3,0"], None, 1 },
    five_figures = { &["3,0,8,100,7"], None, 1 },
    negative = { &["3,0,8,-100"], None, 1 },
    negative_calls = { &["-3,0,8,100"], None, 1 },
    zero_pace = { &["3,0,8,0"], None, 1 },
    huge_pace = { &["3,0,8,65536"], None, 1 },
    huge_calls = { &["99999999999,0,8,100"], None, 1 },
    not_a_number = { &["3,0,8,NaN"], None, 1 },
    decimal = { &["3,0,8,100.5"], None, 1 },
    empty = { &[""], None, 1 },
)]
fn loads(values: &[&str], expected: Option<(u32, u32, u32, Option<f64>)>, invalid: u32) {
    let mut reading = Reading::default();
    reading.add_loads(values.iter().copied());
    let figures = |load: Load| {
        let pace = load.pace.map(Percent::ratio);
        (load.running, load.waiting, load.slots, pace)
    };
    assert_eq!(
        (reading.load.map(figures), reading.invalid),
        (expected, invalid)
    );
}
