//! The fingerprint that distinguishes policy documents.
//!
//! It is stored in the agents' replicated log and compared between program versions, so the text
//! that it is computed over is a stored format. The first version used its `Debug` output as that
//! text; the type and variant names of that version are therefore spelled out here and must not
//! follow a renaming.

use std::collections::BTreeMap;
use std::fmt::{self, Debug, Formatter};

use merlinshelf_quota::{Budgets, CallKind};

use crate::document::{DependencyPolicy, OperationPolicy, Policy};

impl Policy {
    /// A hash of all fields except the note.
    pub fn fingerprint(&self) -> u64 {
        let Policy {
            note: _,
            operations,
            tenants,
            call_share,
            dependencies,
            budgets,
        } = self;
        let operations = map_values(operations, OperationText);
        let dependencies = map_values(dependencies, DependencyText);
        let mut text = format!("{operations:?}{tenants:?}{call_share:?}{dependencies:?}");
        if !budgets.is_empty() {
            // Without budgets the fingerprint must equal that of program versions before budgets.
            text += &format!("{:?}", budgets_text(budgets));
        }
        let reversed: Vec<u8> = text.bytes().rev().collect();
        u64::from(crc32fast::hash(text.as_bytes())) << 32 | u64::from(crc32fast::hash(&reversed))
    }
}

fn map_values<'a, V, T>(
    map: &'a BTreeMap<String, V>,
    text: impl Fn(&'a V) -> T,
) -> BTreeMap<&'a str, T> {
    map.iter()
        .map(|(name, value)| (name.as_str(), text(value)))
        .collect()
}

fn budgets_text(budgets: &Budgets) -> BTreeMap<&str, BTreeMap<KindText, u32>> {
    map_values(budgets, |kinds| {
        kinds
            .iter()
            .map(|(kind, calls)| (KindText(*kind), *calls))
            .collect()
    })
}

struct OperationText<'a>(&'a OperationPolicy);

impl Debug for OperationText<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let OperationPolicy {
            admit,
            aim_ms,
            worth,
            late,
            calls,
        } = self.0;
        formatter
            .debug_struct("OperationOf")
            .field("admit", admit)
            .field("aim_ms", aim_ms)
            .field("worth", worth)
            .field("late", late)
            .field("calls", calls)
            .finish()
    }
}

struct DependencyText<'a>(&'a DependencyPolicy);

impl Debug for DependencyText<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let DependencyPolicy { out_most, subset } = self.0;
        formatter
            .debug_struct("DependencyOf")
            .field("out_most", out_most)
            .field("subset", subset)
            .finish()
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct KindText(CallKind);

impl Debug for KindText {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self.0 {
            CallKind::Retry => "Again",
            CallKind::Probe => "Probes",
            CallKind::FirstCall => "First",
            CallKind::NewConnection => "Opened",
        })
    }
}
