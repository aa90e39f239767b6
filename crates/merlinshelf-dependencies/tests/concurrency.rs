//! Concurrency limits, and the queue of calls that wait for capacity.

use merlinshelf_dependencies::wait_queue::DequeuedCall;
use merlinshelf_dependencies::{ConcurrencyLimit, WaitQueue};

/// Lowest and highest limit of a run.
#[derive(Clone, Copy, Debug)]
struct LimitRange {
    lowest: f64,
    highest: f64,
}

struct CallInFlight {
    ends_at: f64,
    duration_seconds: f64,
}

/// Keeps as many calls in flight as the limit allows, at a dependency that serves `capacity` calls
/// concurrently: with more in flight, all take proportionally longer.
fn run_at_limit(limit: &mut ConcurrencyLimit, capacity: f64, seconds: f64) -> LimitRange {
    let mut range = LimitRange {
        lowest: f64::MAX,
        highest: 0.0,
    };
    let mut now = 0.0;
    let mut in_flight: Vec<CallInFlight> = Vec::new();
    while now < seconds {
        now += 0.001;
        let (ended, remaining): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|call| call.ends_at <= now);
        in_flight = remaining;
        // Calls that end together were all in flight when the first of them ended.
        let others = in_flight.len() + ended.len().saturating_sub(1);
        for call in ended {
            limit.record_success(call.duration_seconds, others);
            range.lowest = range.lowest.min(limit.get());
            range.highest = range.highest.max(limit.get());
        }
        while limit.has_capacity(in_flight.len()) {
            let load = (in_flight.len() + 1) as f64 / capacity;
            let duration_seconds = 0.010 * load.max(1.0);
            in_flight.push(CallInFlight {
                ends_at: now + duration_seconds,
                duration_seconds,
            });
        }
    }
    range
}

#[test]
fn limit_converges_to_the_capacity_of_a_dependency_with_small_oscillation() {
    let mut limit = ConcurrencyLimit::new(2.0, 200.0);
    run_at_limit(&mut limit, 20.0, 20.0);
    // Between the capacity and about three times that, from which queueing is distinguishable from
    // noise.
    assert!((20.0..65.0).contains(&limit.get()), "{}", limit.get());
    // The range includes probes, which reduce the limit to a quarter.
    let range = run_at_limit(&mut limit, 20.0, 10.0);
    assert!(range.highest / range.lowest < 5.5, "{range:?}");
    // The limit follows a capacity that falls to a quarter.
    run_at_limit(&mut limit, 5.0, 10.0);
    assert!(limit.get() < 20.0, "{}", limit.get());
    // An unused limit is not raised, and one call is always possible.
    let mut unused = ConcurrencyLimit::new(4.0, 1000.0);
    for _ in 0..5000 {
        unused.record_success(0.01, 0);
    }
    assert_eq!(unused.get(), 4.0);
    for call in 0..5000 {
        unused.record_success(if call < 8 { 0.001 } else { 0.5 }, 3);
    }
    assert!(unused.has_capacity(0));
}

#[test]
fn queue_is_fair_between_operations_and_calls_expire() {
    let mut queue = WaitQueue::default();
    for call_id in 0..50 {
        queue.enqueue(0, call_id, 1.0);
    }
    for call_id in 50..53 {
        queue.enqueue(1, call_id, 1.0);
    }
    let order: Vec<usize> = (0..8)
        .filter_map(|_| queue.dequeue())
        .map(|call| call.operation)
        .collect();
    assert_eq!(
        order,
        [0, 1, 0, 1, 0, 1, 0, 0],
        "the busy operation does not starve the other"
    );
    queue.call_ended(1);
    queue.enqueue(1, 60, 5.0);
    assert_eq!(queue.take_expired(2.0).len(), 45);
    assert_eq!(queue.len(), 1);
    let expected = DequeuedCall {
        operation: 1,
        call_id: 60,
    };
    assert_eq!(queue.dequeue(), Some(expected));
    assert!(queue.is_empty() && queue.dequeue().is_none());
}
