//! A real agent that leads others: the leases and quota that it grants, the entries that it appends
//! to the log, and its removal of a member.

use std::time::Duration;

use merlinshelf_policy::{Bootstrap, Entry, HostLeaseResponse, Policy};
use merlinshelf_quota::CallKind;
use serde_json::{Value, json};

use crate::forms::{decode_entry, encode_entry};
use crate::installation::spec;
use crate::support::ResendTimer;
use crate::support::agent::{Agent, Folder, own_address};
use crate::support::golden;
use crate::support::peers::{PeerMessage, Peers};
use crate::support::samples::{LEASE_MS, claim, lease_request, proposal, quota_request};

/// The agent `a` and the other agents.
struct Leader {
    folder: Folder,
    /// Content of the fleet file.
    spec: Value,
    peers: Peers,
    agent: Agent,
    resend_timer: ResendTimer,
}

#[test]
fn leader_output_matches_golden_files() {
    let mut leader = Leader::start();
    leader.check_lease_response();
    leader.check_consensus_messages();
    leader.check_entries();
    leader.check_replies();
    leader.check_removal();
}

impl Leader {
    fn start() -> Leader {
        let folder = Folder::new("leader");
        let addresses = [
            ("a", own_address(7711)),
            ("b", own_address(7712)),
            ("c", own_address(7713)),
        ];
        let names = ["a", "b", "c"];
        // Their ticks are far longer than those of the agent under test, so that it is always the
        // first candidate.
        let mut peers = Peers::new("a", &addresses[0].1, Duration::from_millis(200), Vec::new());
        for (name, address) in &addresses[1..] {
            peers.start(name, &names, Vec::new());
            peers.listen(name, address);
        }
        let mut spec = spec(&folder, "a", &addresses);
        spec["groups"] = json!({});
        let agent = Agent::start(&folder, &spec);
        peers.run_until("the agent leads", |peers| {
            (peers.leader_of("b") == Some("a")).then_some(())
        });
        Leader {
            folder,
            spec,
            peers,
            agent,
            resend_timer: ResendTimer::new(),
        }
    }

    /// The agent bootstraps the installation, and grants a lease and quota on request.
    fn check_lease_response(&mut self) {
        let request = PeerMessage::Ask(lease_request());
        let resend_timer = &mut self.resend_timer;
        let response = self.peers.run_until("a lease", |peers| {
            if resend_timer.is_due() {
                peers.send("b", &request);
            }
            let received = std::mem::take(&mut peers.received);
            received.into_iter().find_map(|message| match message {
                PeerMessage::Word(response) if response.quota_grants.is_some() => Some(response),
                _ => None,
            })
        });
        check_quota_grants(&response);
        assert_eq!(
            (
                response.incarnation,
                response.request_id,
                response.granted_version
            ),
            (lease_request().incarnation, 102, 0)
        );
    }

    fn check_consensus_messages(&self) {
        let kinds = &self.peers.consensus_messages;
        assert!(kinds.iter().eq(&["hello", "raft", "welcome"]), "{kinds:?}");
    }

    /// A proposal is appended to the log and committed.
    fn check_entries(&mut self) {
        let resend_timer = &mut self.resend_timer;
        self.peers.run_until("a change that holds", |peers| {
            let entries = applied_entries(peers);
            if resend_timer.is_due() && !entries.contains(&proposal()) {
                peers.send("b", &PeerMessage::Propose(proposal()));
            }
            entries
                .contains(&Entry::Activate { version: 1 })
                .then_some(())
        });
        // A resent message may be appended to the log again, where it has no effect.
        let mut entries: Vec<Entry> = Vec::new();
        for entry in applied_entries(&self.peers) {
            if !entries.contains(&entry) {
                entries.push(entry);
            }
        }
        let base: Policy =
            serde_json::from_value(self.spec["council"]["base"].clone()).expect("a policy");
        let expected = [
            Entry::Bootstrap(Bootstrap {
                lease_ms: LEASE_MS,
                base_fingerprint: base.fingerprint(),
            }),
            proposal(),
            Entry::Decide {
                version: 1,
                accepted: true,
                rejections: Vec::new(),
            },
            Entry::Activate { version: 1 },
        ];
        assert_eq!(entries, expected);
    }

    fn check_replies(&mut self) {
        let agent = &self.agent;
        let replies = self
            .peers
            .run_until("the end of the change in the replies", |_| {
                let history = agent.request(&json!({ "op": "policy", "what": "history" }));
                (history.len() == 2).then(|| json!({ "policy history": history }))
            });
        golden::check_json("leader_replies.json", &replies);
    }

    /// After a restart without `c` in its file, the agent removes `c` from the membership when
    /// another agent requests it.
    fn check_removal(self) {
        let Leader {
            folder,
            mut spec,
            mut peers,
            agent,
            mut resend_timer,
        } = self;
        drop(agent);
        peers.stop("c");
        spec["council"]["agents"]
            .as_object_mut()
            .expect("agents by name")
            .remove("c");
        let _agent = Agent::start(&folder, &spec);
        peers.run_until("c is no member", |peers| {
            if resend_timer.is_due() {
                peers.send("b", &PeerMessage::Remove("c".into()));
            }
            (peers.membership("b").slot_of("c").is_none()).then_some(())
        });
        assert_eq!(peers.membership("b").members.len(), 2);
    }
}

fn check_quota_grants(response: &HostLeaseResponse) {
    let grants = response.quota_grants.as_ref().expect("quota");
    assert_eq!(
        (grants.incarnation, grants.request_id),
        (quota_request("").incarnation, 79)
    );
    assert_eq!(
        grants.dependencies.keys().collect::<Vec<_>>(),
        ["callers", "catalogue"]
    );
    let catalogue = &grants.dependencies["catalogue"].grants;
    assert!(catalogue.keys().eq(&CallKind::ALL));
    let retry = &catalogue[&CallKind::Retry];
    assert_eq!(
        (retry.incarnation, retry.request_id),
        (claim(100).incarnation, claim(100).request_id)
    );
}

/// The entries that `b` has applied; the agent's encoding must be the same as that of the type.
fn applied_entries(peers: &Peers) -> Vec<Entry> {
    let entries = peers.applied.get("b").into_iter().flatten();
    entries
        .map(|bytes| {
            let entry = decode_entry(bytes);
            assert_eq!(
                encode_entry(&entry),
                *bytes,
                "{entry:?} is encoded otherwise by the agent"
            );
            entry
        })
        .collect()
}
