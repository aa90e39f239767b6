//! Golden files of what this package's types are stored and read as: the record that outlives the
//! agent, the operators' `fleet.json5` and the names of states in the agent's replies. Where
//! the code encodes a form, its values encode to the golden bytes; each golden file that is decoded
//! decodes to the expected values.
//!
//! The files lie beside this one. `GOLDEN_WRITE=1 cargo test -p merlinshelf-fleet --test golden`
//! writes those that the code encodes as it stands: for a new form alone, since a changed file is a
//! broken upgrade. Operators write `fleet.json5`, so that its golden files are edited by hand.

mod fleet_spec;
mod golden_file;
mod record;
mod state_names;
