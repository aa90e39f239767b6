//! Experiments that run the real program between fakes, reproducible by seed. Each prints a table and, as its last line,
//! one JSON object.

pub mod compatibility;
pub mod cost;
pub mod dependencies;
pub mod fleet;
pub mod learning;
pub mod policy;
pub mod policy_size;
pub mod policy_switch;
pub mod restart;
pub mod shares;
pub mod shares_loop;
pub mod shares_size;
pub mod upgrade;
pub mod uwsgi;

/// The median; the upper of the two middle values for an even count, and none for an empty slice.
fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
