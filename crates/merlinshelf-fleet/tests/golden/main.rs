//! Golden files for the stored and external formats of this package: the agent's stored record, the
//! operators' `fleet.json5`, and the names of states in the agent's replies. Values must be encoded
//! to the golden bytes where the code encodes the format, and golden files must be decoded to the
//! expected values.
//!
//! The files are in this directory. `GOLDEN_WRITE=1 cargo test -p merlinshelf-fleet --test golden`
//! writes those that the code encodes. Use it for new formats only: a changed file means that
//! upgrades break. The golden files of `fleet.json5` are edited by hand, like operators do.

mod fleet_spec;
mod golden_file;
mod record;
mod state_names;
