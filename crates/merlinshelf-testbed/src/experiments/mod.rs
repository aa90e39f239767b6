//! Experiments: the real program between stand-ins, played by seed, with a table and one JSON object as its last line.

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

/// The middle of these, the upper one of two; none of none.
fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
