//! Processor time by kind of work.

use std::time::{Duration, Instant};
use wisteriahead::util::work::{self, Work, WorkTime};

/// Keeps the processor busy until the thread has used some time of it.
fn spin() {
    let started = Instant::now();
    let mut n = 0_u64;
    while started.elapsed() < Duration::from_millis(5) {
        n = std::hint::black_box(n.wrapping_mul(31).wrapping_add(7));
    }
}

// One test, since the counters belong to the process.
#[test]
fn work_is_counted_by_kind_and_time_on_the_processor_only() {
    work::measure(Work::Merge, spin);
    assert_eq!(work::take(Work::Merge), WorkTime::default(), "it is not measured by default");
    work::set_enabled(true);
    assert_eq!(work::measure(Work::Merge, || 7), 7);
    work::measure(Work::Merge, spin);
    work::measure(Work::Merge, || std::thread::sleep(Duration::from_millis(200)));
    let merge = work::take(Work::Merge);
    assert_eq!(merge.count, 3);
    assert!(merge.longest.0 > 0 && merge.longest <= merge.total, "{merge:?}");
    assert!(merge.total.as_millis() < 100, "sleep counts: {merge:?}");
    assert_eq!(work::take(Work::Merge), WorkTime::default(), "a report starts anew");
    work::set_enabled(false);
}
