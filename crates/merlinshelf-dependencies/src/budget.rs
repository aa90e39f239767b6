//! What a call may take of its caller's time: what is left is divided among all that is still to come, as long as it was measured
//! to take. What one part saves the next ones may spend, since each divides what is left by then.

/// How long a part may take of what is `left` (seconds), where `to_come` are the measured durations of this and all later parts of
/// its run, this one first; `lowest` is the least that such a call ever took. None: it can't come in its time, and is not made.
pub fn allowance(left: f64, to_come: &[f64], lowest: f64) -> Option<f64> {
    let own = to_come.first().copied().unwrap_or(0.0).max(1e-6);
    let whole: f64 = to_come
        .iter()
        .map(|part| part.max(0.0))
        .sum::<f64>()
        .max(own);
    let share = left * own / whole;
    (left.is_finite() && share > 0.0 && share >= lowest).then_some(share)
}
