//! Tests of the latency histogram. They guard against a report whose percentages of the calls do not add up
//! to 100, as a latency beside the limit of a bucket is counted in two buckets.

use fleet_bench::latency::LatencyHistogram;
use std::time::Duration;

/// Upper limits of buckets in microseconds. From 2,048 µs on, the histogram stores neighbouring latencies as
/// one, and each of the last four limits is stored as one with the latencies that follow it.
const LIMITS_US: [u64; 6] = [1_000, 2_000, 3_000, 5_000, 10_000, 50_000];

fn histogram_of(latencies_us: impl IntoIterator<Item = u64>) -> LatencyHistogram {
    let mut histogram = LatencyHistogram::with_max(Duration::from_secs(60)).unwrap();
    histogram.extend(latencies_us.into_iter().map(Duration::from_micros));
    histogram
}

#[test]
fn counts_each_latency_in_one_bucket_only() {
    for latency in 1..=LIMITS_US[5] {
        let counts = histogram_of([latency]).bucket_counts(&LIMITS_US);

        assert_eq!(counts.iter().sum::<u64>(), 1, "{latency} us: {counts:?}");
    }
}

#[test]
fn counts_a_latency_in_the_first_bucket_whose_limit_it_does_not_exceed() {
    let one_below_and_at_each_limit = LIMITS_US.iter().flat_map(|limit| [limit - 500, *limit]);

    let counts = histogram_of(one_below_and_at_each_limit).bucket_counts(&LIMITS_US);

    assert_eq!(counts, [2; LIMITS_US.len()]);
}

#[test]
fn leaves_out_a_latency_above_the_last_limit() {
    let counts = histogram_of([900, 70_000]).bucket_counts(&LIMITS_US);

    assert_eq!(counts, [1, 0, 0, 0, 0, 0]);
}
