//! Deadlines of calls: the remaining time of a run is divided among this call and all later ones in
//! proportion to their measured durations. Time that a call saves is available to later calls,
//! since each call divides the time that remains at its start.

/// Shortest duration that a call is assumed to take, in seconds; avoids division by zero.
const MIN_DURATION_SECONDS: f64 = 1e-6;

/// Seconds that a call may take of the `remaining_seconds` of its run.
///
/// `durations_seconds` are the measured durations of this call (the first element) and of all later
/// calls of the run; `lowest_seconds` is the shortest duration of this call so far. Returns `None`
/// if the call can't finish in time and should not be made.
pub fn deadline_share(
    remaining_seconds: f64,
    durations_seconds: &[f64],
    lowest_seconds: f64,
) -> Option<f64> {
    let own = durations_seconds
        .first()
        .copied()
        .unwrap_or(0.0)
        .max(MIN_DURATION_SECONDS);
    let total: f64 = durations_seconds
        .iter()
        .map(|duration| duration.max(0.0))
        .sum::<f64>()
        .max(own);
    let share = remaining_seconds * own / total;
    let suffices = remaining_seconds.is_finite() && share > 0.0 && share >= lowest_seconds;
    suffices.then_some(share)
}
