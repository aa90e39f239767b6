//! Membership changes, proposed by the leader: one voter at a time, so that any two majorities
//! overlap (thesis, 4.1).

use protobuf::Message as _;
use raft::prelude::{ConfChange, ConfChangeType, Entry};

use super::Replica;
use crate::action::Action;
use crate::encoding::{DecodeError, encode_messagepack};
use crate::membership::Member;

/// A change of one slot.
enum MembershipChange {
    Add { slot: u64, member: Member },
    Remove { slot: u64 },
}

impl MembershipChange {
    fn to_conf_change(&self) -> ConfChange {
        let mut conf_change = ConfChange::default();
        match self {
            MembershipChange::Add { slot, member } => {
                conf_change.node_id = *slot;
                conf_change.set_change_type(ConfChangeType::AddNode);
                conf_change.set_context(encode_messagepack(member).into());
            }
            MembershipChange::Remove { slot } => {
                conf_change.node_id = *slot;
                conf_change.set_change_type(ConfChangeType::RemoveNode);
            }
        }
        conf_change
    }
}

impl Replica {
    /// Requests the removal of an agent's slot, which is proposed while this replica leads.
    pub fn remove_member(&mut self, name: &str) {
        self.removal_requests.insert(name.to_owned());
    }

    /// Proposes the next change if none is pending.
    pub(super) fn propose_membership_change(&mut self) {
        if self
            .node
            .as_ref()
            .is_none_or(|node| node.raft.has_pending_conf())
        {
            return;
        }
        self.discard_settled_requests();
        let Some(change) = self.next_membership_change() else {
            return;
        };
        if let Some(node) = &mut self.node {
            // If raft drops the proposal, the next tick proposes it again.
            let _ = node.propose_conf_change(Vec::new(), change.to_conf_change());
        }
    }

    fn discard_settled_requests(&mut self) {
        let membership = &self.membership;
        self.removal_requests
            .retain(|name| membership.slot_of(name).is_some());
        let configured_agents = &self.configured_agents;
        self.join_requests.retain(|name, boot_id| {
            let member = membership
                .slot_of(name)
                .and_then(|slot| membership.members.get(&slot));
            let has_slot = member.is_some_and(|member| member.boot_id == *boot_id);
            !has_slot && configured_agents.contains(name)
        });
    }

    /// Removals come first: an agent that rejoins loses its former slot before it gets a new one.
    fn next_membership_change(&self) -> Option<MembershipChange> {
        let slot_of = |name: &String| self.membership.slot_of(name);
        let obsolete = self
            .removal_requests
            .iter()
            .find_map(slot_of)
            .or_else(|| self.join_requests.keys().find_map(slot_of));
        if let Some(slot) = obsolete {
            // The leader's own slot is removed by its successor.
            let is_own = self.slot() == Some(slot);
            return (!is_own).then_some(MembershipChange::Remove { slot });
        }
        let (name, boot_id) = self.join_requests.first_key_value()?;
        Some(MembershipChange::Add {
            slot: self.membership.highest_slot + 1,
            member: Member {
                name: name.clone(),
                boot_id: *boot_id,
            },
        })
    }

    /// Applies a committed change to raft's voters and to the membership.
    pub(super) fn apply_membership_change(&mut self, entry: &Entry) {
        let change = match ConfChange::parse_from_bytes(&entry.data) {
            Ok(change) => change,
            Err(error) => {
                return self.report_membership_change(entry.index, error.to_string());
            }
        };
        let Some(node) = &mut self.node else { return };
        if let Ok(conf_state) = node.apply_conf_change(&change) {
            node.mut_store().conf_state = conf_state;
        }
        if change.get_change_type() == ConfChangeType::AddNode {
            self.add_member(entry.index, &change);
            return;
        }
        self.membership.members.remove(&change.node_id);
        if self.slot() == Some(change.node_id) {
            self.abandon_slot();
        }
    }

    fn add_member(&mut self, index: u64, change: &ConfChange) {
        let member = rmp_serde::from_slice(&change.context).unwrap_or_else(|error| {
            // The voter is added even without its name, so that raft's voters and the membership do
            // not diverge.
            self.report_membership_change(index, error.to_string());
            Member::default()
        });
        let slot = change.node_id;
        self.membership.members.insert(slot, member);
        self.membership.highest_slot = self.membership.highest_slot.max(slot);
        self.snapshot_lacks_member = true;
    }

    fn report_membership_change(&mut self, index: u64, reason: String) {
        let error = DecodeError::MembershipChange { index, reason };
        self.actions.push_back(Action::ReportDecodeError(error));
    }
}
