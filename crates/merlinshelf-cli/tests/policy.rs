//! Several real agents with real instances between fakes, one policy for all of them, and faults
//! between the processes. The policy in force is inferred from the answers that clients receive:
//! each policy admits one of three marker operations, the signs
//! (`merlinshelf_testbed::installation`).

use std::io;
use std::process::{Command, Output};
use std::time::Duration;

use merlinshelf_agent::control_client::ControlClient;
use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use merlinshelf_testbed::installation::{
    Installation, InstallationConfig, ProposedChange, check_load, collect_evidence,
    count_violations, policy_admitting,
};
use merlinshelf_testbed::instance::signal;
use merlinshelf_testbed::link::{ControlLink, ControlLinkMode, Fault};
use merlinshelf_testbed::runtime::run_installation_with_timeout;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_merlinshelf");
const THREE_HOSTS: InstallationConfig = InstallationConfig {
    hosts: 3,
    instances: 2,
    lease_ms: 1000,
    watch_ms: 0,
    with_consensus: true,
    budgets: Value::Null,
    zone_per_host: false,
    calls_required: false,
    catalogue_capacity: (Duration::from_millis(8), 16),
};
/// A lease and 2 s, and an allowance for a busy machine: a repeated election, a stalled disk.
const MAX_CHANGE_TIME: Duration = Duration::from_secs(10);

/// Runs a test on one thread, with a timeout.
fn run_test<T>(test: impl Future<Output = io::Result<T>>) -> T {
    run_installation_with_timeout(Duration::from_secs(100), test)
}

/// Proposes the policy that admits this sign, and waits for the outcome.
async fn propose(
    all: &Installation,
    host: usize,
    sign: usize,
    id: &str,
) -> io::Result<(ControlMessage, Value)> {
    all.hosts[host]
        .policy_request(
            "propose",
            json!({ "id": id, "policy": policy_admitting(sign), "wait": true }),
        )
        .await
}

/// Proposes the policy with the same id until its outcome is known. Returns the change for the
/// checker.
async fn complete_change(
    all: &Installation,
    host: usize,
    sign: usize,
    id: &str,
) -> io::Result<ProposedChange> {
    let proposed = Instant::now();
    loop {
        // An agent that has just been started may not listen yet.
        let reply = propose(all, host, sign, id).await;
        if let Ok((kind, report)) = &reply
            && report["number"].is_u64()
        {
            return Ok(ProposedChange {
                proposed_at: proposed,
                marker: sign,
                committed: *kind == ControlMessage::Done,
            });
        }
        assert!(proposed.elapsed() < Duration::from_secs(20), "{reply:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Stops the load and checks that policies were used in order and no invocation was lost or run
/// twice.
async fn stop_and_check(
    all: &Installation,
    playing: Vec<(
        usize,
        u16,
        merlinshelf_testbed::load::Load,
        merlinshelf_testbed::load::RunningLoad,
    )>,
    changes: &[ProposedChange],
) {
    sleep(Duration::from_millis(500)).await;
    let evidence = collect_evidence(&playing);
    assert_eq!(count_violations(changes, &evidence), (0, 0), "{changes:?}");
    let last = changes
        .iter()
        .rev()
        .find(|change| change.committed)
        .expect("a committed change");
    assert!(
        evidence.iter().any(|(_, _, sign)| *sign == last.marker),
        "no answer shows the last policy"
    );
    let verdict = check_load(all, playing).await;
    assert_eq!(
        verdict.lost + verdict.doubled + verdict.spoilt + verdict.run_twice,
        0,
        "{verdict:?}"
    );
}

/// The policy version that each instance of a host uses.
fn versions_in_use(show: &Value) -> Vec<Option<u64>> {
    show["instances"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|instance| instance["acts"].as_u64())
        .collect()
}

/// Waits until every instance of every host uses this policy.
async fn wait_until_all_use(all: &Installation, number: u64) -> io::Result<()> {
    let expected = vec![Some(number); all.config.instances.into()];
    let what = format!("all use policy {number}");
    all.wait_until(&what, |shows| {
        shows.iter().all(|show| versions_in_use(show) == expected)
    })
    .await
    .map(|_| ())
}

/// Restarts all agents with a fault that applies to this start only, and waits until all have a
/// leader and a lease.
async fn restart_agents_with_fault(all: &mut Installation, fault: &str) -> io::Result<()> {
    for host in &mut all.hosts {
        host.kill_agent().await;
        host.fault = Some(fault.to_owned());
        host.start_agent(PROGRAM.as_ref())?;
        host.fault = None;
    }
    let has_lease = |show: &Value| show["leader"].is_string() && show["lease"].is_object();
    all.wait_until("all agents have a leader and a lease", |shows| {
        shows.iter().all(has_lease)
    })
    .await
    .map(|_| ())
}

/// Restarts the agents that have died, and returns how many there were.
fn restart_dead_agents(all: &mut Installation) -> io::Result<u32> {
    let mut died = 0;
    for host in all
        .hosts
        .iter_mut()
        .filter_map(|host| host.agent_exited().then_some(host))
    {
        host.start_agent(PROGRAM.as_ref())?;
        died += 1;
    }
    Ok(died)
}

#[test]
fn an_instance_paused_during_a_change_resumes_with_the_new_or_the_base_policy() {
    run_test(async {
        let all = Installation::start(PROGRAM.as_ref(), 10, &THREE_HOSTS).await?;
        let playing = all.start_load(60.0, 1).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "one").await?];
        sleep(Duration::from_millis(500)).await;
        let paused = all.hosts[1].processes_of(0);
        assert_eq!(paused.len(), 1);
        paused.iter().for_each(|pid| signal(*pid, Signal::STOP));
        // What is sent to the instance during the pause stays unread in its sockets.
        sleep(Duration::from_millis(300)).await;
        let start = Instant::now();
        changes.push(complete_change(&all, 2, 1, "two").await?);
        assert!(
            changes[1].committed && start.elapsed() < MAX_CHANGE_TIME,
            "{:?}",
            start.elapsed()
        );
        assert!(
            start.elapsed() > Duration::from_millis(400),
            "the change does not wait for the lease of the paused instance: {:?}",
            start.elapsed()
        );
        sleep(Duration::from_millis(500)).await;
        paused.iter().for_each(|pid| signal(*pid, Signal::CONT));
        wait_until_all_use(&all, 2).await?;
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

#[test]
fn instances_killed_before_or_stopped_during_a_change_start_with_the_new_policy() {
    run_test(async {
        let all = Installation::start(PROGRAM.as_ref(), 13, &THREE_HOSTS).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "one").await?];
        all.hosts[0]
            .ask(&json!({ "op": "stop", "names": ["web.1"], "within_s": 2, "wait": true }))
            .await?;
        all.hosts[2]
            .processes_of(0)
            .iter()
            .for_each(|pid| signal(*pid, Signal::KILL));
        changes.push(complete_change(&all, 1, 1, "two").await?);
        all.hosts[0]
            .ask(&json!({ "op": "start", "names": ["web.1"] }))
            .await?;
        // Callers connect before the instances listen again: even their first invocations are
        // decided by the new policy.
        let playing = all.start_load(40.0, 2).await?;
        wait_until_all_use(&all, 2).await?;
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

#[test]
fn changes_succeed_after_agents_are_killed_and_lose_or_roll_back_their_logs() {
    run_test(async {
        let mut all = Installation::start(PROGRAM.as_ref(), 16, &THREE_HOSTS).await?;
        let playing = all.start_load(40.0, 3).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "one").await?];
        let old_log = std::fs::read(all.hosts[2].consensus_folder())?;
        let leader = all.leader().await.expect("a leader");
        all.hosts[leader].kill_agent().await;
        let start = Instant::now();
        changes.push(complete_change(&all, (leader + 1) % 3, 1, "two").await?);
        assert!(
            changes[1].committed && start.elapsed() < MAX_CHANGE_TIME,
            "{:?}",
            start.elapsed()
        );
        all.hosts[leader].start_agent(PROGRAM.as_ref())?;
        all.wait_until("the restarted agent has the change and a lease", |shows| {
            shows
                .iter()
                .all(|show| show["current"] == 2 && show["lease"].is_object())
        })
        .await?;
        // One agent loses its log, another gets an old copy of it: each rejoins in a new voter
        // slot.
        for (host, sign, log) in [(1, 2, None), (2, 0, Some(old_log))] {
            all.hosts[host].kill_agent().await;
            match log {
                None => std::fs::remove_file(all.hosts[host].consensus_folder())?,
                Some(bytes) => std::fs::write(all.hosts[host].consensus_folder(), bytes)?,
            }
            all.hosts[host].start_agent(PROGRAM.as_ref())?;
            changes.push(complete_change(&all, 0, sign, &format!("after {host}")).await?);
            let name = all.hosts[host].name.clone();
            all.wait_until("the agent has a new voter slot", |shows| {
                let slot = shows[0]["members"][&name].as_u64();
                slot.is_some_and(|slot| slot > 3)
                    && shows[host]["council"] == "sits"
                    && shows[host]["lease"].is_object()
            })
            .await?;
        }
        for host in &mut all.hosts {
            host.kill_agent().await;
        }
        // Without agents nothing is decided; the instances keep serving, by the base policy once
        // their leases have ended.
        sleep(Duration::from_millis(1500)).await;
        for host in &mut all.hosts {
            host.start_agent(PROGRAM.as_ref())?;
        }
        changes.push(complete_change(&all, 1, 1, "after all").await?);
        assert!(changes.iter().all(|change| change.committed), "{changes:?}");
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

#[test]
fn without_a_majority_no_change_commits_and_its_outcome_is_known_later() {
    run_test(async {
        let all = Installation::start(PROGRAM.as_ref(), 19, &THREE_HOSTS).await?;
        let playing = all.start_load(40.0, 4).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "one").await?];
        // The leader is isolated in the minority. Both it and the majority receive a proposal.
        let leader = all.leader().await.expect("a leader");
        let other = (leader + 1) % 3;
        all.set_link_fault(leader, true, true, Fault::Stalled);
        let reply = propose(&all, leader, 1, "alone").await?;
        assert_eq!(reply.0, ControlMessage::Failed);
        assert!(
            reply.1["text"]
                .as_str()
                .is_some_and(|text| text.contains("--id alone")),
            "{reply:?}"
        );
        changes.push(complete_change(&all, other, 1, "by two").await?);
        // Then all links are cut.
        all.clear_link_faults();
        all.wait_until("all agents have the change", |shows| {
            shows.iter().all(|show| show["current"] == 2)
        })
        .await?;
        (0..3).for_each(|host| all.set_link_fault(host, true, true, Fault::Cut));
        let reply = propose(&all, 0, 2, "nobody").await?;
        assert_eq!(
            (reply.0, &reply.1["state"]),
            (ControlMessage::Failed, &json!("unknown")),
            "{reply:?}"
        );
        all.clear_link_faults();
        // Proposed again with the same id it is the same change, whichever agent receives it.
        changes.push(complete_change(&all, 1, 2, "nobody").await?);
        assert!(!propose(&all, 2, 2, "nobody").await?.1["number"].is_null());
        let (_, outcome) = all.hosts[0]
            .policy_request("outcome", json!({ "id": "nobody", "wait": true }))
            .await?;
        assert_eq!(outcome["state"], "held", "{outcome}");
        let history = all.hosts[2]
            .ask(&json!({ "op": "policy", "what": "history" }))
            .await?;
        let ids: Vec<&str> = history
            .iter()
            .filter_map(|(_, change)| change["id"].as_str())
            .collect();
        assert_eq!(
            ids.iter().filter(|id| **id == "nobody").count(),
            1,
            "{ids:?}"
        );
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

#[test]
fn a_change_that_one_instance_rejects_fails_everywhere_and_concurrent_changes_are_serialized() {
    run_test(async {
        let all = Installation::start(PROGRAM.as_ref(), 22, &THREE_HOSTS).await?;
        let playing = all.start_load(40.0, 5).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "one").await?];
        let mut document = policy_admitting(1);
        document["operations"]["unheard-of"] = json!({ "worth": 2.0 });
        let reply = all.hosts[1]
            .policy_request(
                "propose",
                json!({ "id": "bad", "policy": document, "wait": true }),
            )
            .await?;
        let reason = reply.1["why"].as_str().unwrap_or_default();
        assert_eq!(
            (reply.0, &reply.1["state"]),
            (ControlMessage::Failed, &json!("refused"))
        );
        assert!(
            reason.contains("web.") && reason.contains("unheard-of: there is no such operation"),
            "{reason}"
        );
        // Two concurrent proposals at two agents: one is first, and the other is rejected because
        // of it or follows it.
        let proposed = Instant::now();
        let (first, second) =
            tokio::join!(propose(&all, 0, 2, "first"), propose(&all, 2, 2, "second"));
        for reply in [first?, second?] {
            let held = reply.0 == ControlMessage::Done;
            let reason = reply.1["why"].as_str().unwrap_or_default();
            assert!(held || reason.contains("is under way"), "{reply:?}");
            changes.push(ProposedChange {
                proposed_at: proposed,
                marker: 2,
                committed: held,
            });
        }
        assert!(changes.iter().skip(1).any(|change| change.committed));
        // Each agent reports the instances of all.
        let socket = all.hosts[0].socket();
        let socket = socket.to_str().unwrap_or_default();
        sleep(Duration::from_millis(1200)).await;
        let shown = String::from_utf8_lossy(&run(&["fleet", "--agent", socket, "status"]).stdout)
            .into_owned();
        assert!(
            shown.contains("h1/web.0") && shown.contains("h2/web.1"),
            "{shown}"
        );
        let shown =
            String::from_utf8_lossy(&run(&["fleet", "--agent", socket, "policy", "show"]).stdout)
                .into_owned();
        assert!(
            shown.contains("members h0, h1, h2")
                && (shown.contains("uses policy ") || shown.contains("uses the base policy")),
            "{shown}"
        );
        // Undo restores the previous policy by a further change.
        let undone_at = Instant::now();
        let (kind, report) = all.hosts[1]
            .policy_request("undo", json!({ "id": "back", "wait": true }))
            .await?;
        assert_eq!(
            (kind, &report["state"]),
            (ControlMessage::Done, &json!("held")),
            "{report}"
        );
        let both_committed = changes
            .iter()
            .filter(|change| change.committed && change.marker == 2)
            .count()
            == 2;
        changes.push(ProposedChange {
            proposed_at: undone_at,
            marker: if both_committed { 2 } else { 0 },
            committed: true,
        });
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

#[test]
fn changes_during_a_fleet_upgrade_commit_and_lose_no_invocation() {
    run_test(async {
        let all = Installation::start(PROGRAM.as_ref(), 25, &THREE_HOSTS).await?;
        let playing = all.start_load(40.0, 6).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "one").await?];
        let program = all.hosts[0].folder.join("merlinshelf-2");
        std::fs::copy(PROGRAM, &program)?;
        for host in &all.hosts {
            host.ask(&json!({ "op": "upgrade", "program": program }))
                .await?;
        }
        for (index, sign) in [1, 2, 0, 1, 2].into_iter().enumerate() {
            sleep(Duration::from_millis(350)).await;
            changes.push(complete_change(&all, index % 3, sign, &format!("in {index}")).await?);
        }
        assert!(changes.iter().all(|change| change.committed), "{changes:?}");
        for host in &all.hosts {
            let plan = host.wait_for_plan_end().await?;
            assert_eq!(plan["state"], "done", "{plan}");
        }
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

#[test]
fn an_instance_starting_without_a_majority_rejects_at_once_until_it_uses_the_base_policy() {
    run_test(async {
        let made = InstallationConfig {
            lease_ms: 1500,
            ..THREE_HOSTS
        };
        let mut all = Installation::start(PROGRAM.as_ref(), 34, &made).await?;
        let playing = all.start_load(40.0, 9).await?;
        let changes = vec![complete_change(&all, 0, 0, "one").await?];
        sleep(Duration::from_millis(500)).await;
        for host in [1, 2] {
            all.hosts[host].kill_agent().await;
        }
        all.wait_until("host 0 has no lease", |shows| {
            shows[0]["leader"].is_null() && shows[0]["lease"].is_null()
        })
        .await?;
        let killed = Instant::now();
        all.hosts[0]
            .processes_of(0)
            .iter()
            .for_each(|pid| signal(*pid, Signal::KILL));
        playing[0].3.record.borrow_mut().killed_at.push(killed);
        sleep(Duration::from_millis(4500)).await; // the instance waits for two leases, then serves by the base policy
        for host in [1, 2] {
            all.hosts[host].start_agent(PROGRAM.as_ref())?;
        }
        wait_until_all_use(&all, 1).await?;
        let seen = playing[0].3.record.clone();
        stop_and_check(&all, playing, &changes).await;
        let seen = seen.borrow();
        let sent_after_kill = seen
            .sent
            .values()
            .filter(|sent| sent.sent_at > killed + Duration::from_millis(50));
        let (sent_at, answers): (Vec<Instant>, Vec<_>) = sent_after_kill
            .filter_map(|sent| Some((sent.sent_at, sent.answers.first().copied()?)))
            .unzip();
        let longest = sent_at
            .iter()
            .zip(&answers)
            .map(|(sent, (answered, _))| *answered - *sent)
            .max();
        // Invocations that arrived while the instance waited were rejected at once, so that edge
        // nodes could go elsewhere.
        assert!(
            longest.is_some_and(|longest| longest < Duration::from_secs(1)),
            "{longest:?}"
        );
        let rejected_while_waiting = |(sent, (_, status)): &(&Instant, &(Instant, u16))| {
            **sent > killed + Duration::from_secs(1)
                && **sent < killed + Duration::from_millis(2500)
                && *status == 599
        };
        assert!(
            sent_at
                .iter()
                .zip(&answers)
                .filter(rejected_while_waiting)
                .count()
                > 10
        );
        Ok(())
    });
}

/// Makes a change with a fault in the agents and restarts those that die of it, without the fault.
/// Returns the change and the number of agents that died.
async fn change_with_fault(
    all: &mut Installation,
    sign: usize,
    fault: &str,
) -> io::Result<(ProposedChange, u32)> {
    restart_agents_with_fault(all, &format!("{fault}:1:abort")).await?;
    let (proposed, id) = (Instant::now(), fault.to_owned());
    let mut died = 0;
    loop {
        died += restart_dead_agents(all)?;
        for host in 0..all.hosts.len() {
            let body = json!({ "id": id, "policy": policy_admitting(sign), "wait": false });
            let _ = timeout(
                Duration::from_millis(100),
                all.hosts[host].policy_request("propose", body),
            )
            .await;
            let outcome = all.hosts[host].policy_request("outcome", json!({ "id": id }));
            if let Ok(Ok((kind, report))) = timeout(Duration::from_millis(100), outcome).await
                && matches!(report["state"].as_str(), Some("held" | "refused"))
            {
                return Ok((
                    ProposedChange {
                        proposed_at: proposed,
                        marker: sign,
                        committed: kind == ControlMessage::Done,
                    },
                    died,
                ));
            }
        }
        assert!(
            proposed.elapsed() < Duration::from_secs(20),
            "{fault}: the change does not end"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn a_change_completes_when_agents_die_in_any_of_its_states() {
    run_test(async {
        let mut all = Installation::start(PROGRAM.as_ref(), 37, &THREE_HOSTS).await?;
        let playing = all.start_load(30.0, 10).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "one").await?];
        // Faults in the leader before it takes a step, and in every agent when it learns of a step.
        let leader_faults = [("decides", 1..=3), ("opens", 1..=3), ("grants", 1..=3)];
        let replica_faults = [("proposed", 3..=3), ("decided", 3..=3), ("held", 3..=3)];
        for (index, (state, deaths)) in leader_faults.into_iter().chain(replica_faults).enumerate()
        {
            let fault = format!("agent.{state}.{}", index + 2);
            let (change, died) = change_with_fault(&mut all, (index + 1) % 3, &fault).await?;
            println!(
                "{fault}: committed {} after {:.2?}, {died} died",
                change.committed,
                change.proposed_at.elapsed()
            );
            changes.push(change);
            // An agent that learns of the step late dies late.
            let until = Instant::now() + Duration::from_secs(5);
            let mut died = died;
            while !deaths.contains(&died) && Instant::now() < until {
                died += restart_dead_agents(&mut all)?;
                sleep(Duration::from_millis(20)).await;
            }
            assert!(deaths.contains(&died), "{fault}: {died} died");
        }
        assert!(changes.iter().all(|change| change.committed), "{changes:?}");
        wait_until_all_use(&all, 7).await?;
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

#[test]
fn an_instance_without_support_for_policies_causes_rejection_and_is_named() {
    run_test(async {
        let all = Installation::start(PROGRAM.as_ref(), 40, &THREE_HOSTS).await?;
        let playing = all.start_load(40.0, 11).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "one").await?];
        let link = ControlLink::replace_socket(&all.hosts[2].control_socket(1))?;
        link.set(ControlLinkMode::WithoutPolicies);
        let (proposed, reply) = (Instant::now(), propose(&all, 1, 1, "too new").await?);
        assert_eq!(
            (reply.0, &reply.1["state"]),
            (ControlMessage::Failed, &json!("refused")),
            "{reply:?}"
        );
        let reason = reply.1["why"].as_str().unwrap_or_default();
        assert!(
            reason.contains("web.1") && reason.contains("knows no policies"),
            "{reason}"
        );
        changes.push(ProposedChange {
            proposed_at: proposed,
            marker: 1,
            committed: false,
        });
        sleep(Duration::from_millis(1500)).await; // longer than a lease: this instance now uses the base policy, and all others the previous one
        link.set(ControlLinkMode::Forwarding);
        sleep(Duration::from_millis(300)).await; // time for a heartbeat
        changes.push(complete_change(&all, 1, 2, "now").await?);
        assert!(changes[2].committed);
        drop(link);
        wait_until_all_use(&all, 3).await?;
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

/// A counter of an instance.
async fn counter(all: &Installation, host: usize, instance: u16, name: &str) -> io::Result<u64> {
    let reply = ControlClient::request_once(
        &all.hosts[host].control_socket(instance),
        ControlRequest::Status,
        Duration::from_secs(2),
    )
    .await?;
    Ok(reply.1["counters"][name].as_u64().unwrap_or_default())
}

#[test]
fn changes_during_rolled_back_upgrades_keep_the_order_of_policies() {
    run_test(async {
        let all = Installation::start(PROGRAM.as_ref(), 43, &THREE_HOSTS).await?;
        let playing = all.start_load(40.0, 12).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "one").await?];
        let program = all.hosts[0].folder.join("fails");
        // The successor takes over and dies during probation: the predecessor that takes back may
        // still have a policy from several changes ago.
        std::fs::write(
            &program,
            format!(
                "#!/bin/sh\nexport MERLINSHELF_FAULT=successor.heartbeat:9:abort\nexec '{PROGRAM}' \"$@\"\n"
            ),
        )?;
        std::fs::set_permissions(
            &program,
            std::os::unix::fs::PermissionsExt::from_mode(0o755),
        )?;
        for host in &all.hosts {
            host.ask(&json!({ "op": "upgrade", "program": program }))
                .await?;
        }
        for (index, sign) in [1, 2, 0, 1, 2, 0, 1].into_iter().enumerate() {
            sleep(Duration::from_millis(250)).await;
            changes.push(complete_change(&all, index % 3, sign, &format!("in {index}")).await?);
        }
        assert!(changes.iter().all(|change| change.committed), "{changes:?}");
        let mut taken_back = 0;
        for host in 0..3 {
            for instance in 0..2 {
                taken_back += counter(&all, host, instance, "taken_back").await?;
            }
        }
        assert!(taken_back > 0, "nothing was taken back");
        wait_until_all_use(&all, 8).await?;
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

#[test]
fn changes_during_a_drain_and_with_an_unwritable_log_lose_no_invocation() {
    run_test(async {
        let all = Installation::start(PROGRAM.as_ref(), 46, &THREE_HOSTS).await?;
        let playing = all.start_load(40.0, 13).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "one").await?];
        // From its next start on, this instance cannot write its log.
        let log = all.hosts[1].control_socket(0).with_file_name("log");
        std::fs::remove_file(&log)?;
        std::os::unix::fs::symlink("/dev/full", &log)?;
        // The drain starts as the change is proposed, with invocations in flight, shortly before
        // its end, and after it.
        for (index, pause) in [0, 5, 60, 250, 900].into_iter().enumerate() {
            all.hosts[1]
                .ask(&json!({ "op": "stop", "names": ["web.0"], "within_s": 10 }))
                .await?;
            sleep(Duration::from_millis(pause)).await;
            changes.push(
                complete_change(&all, index % 3, (index + 1) % 3, &format!("at {pause}")).await?,
            );
            while all.hosts[1]
                .ask(&json!({ "op": "plan" }))
                .await?
                .pop()
                .is_some_and(|(_, plan)| plan["over"] != true)
            {
                sleep(Duration::from_millis(10)).await;
            }
            all.hosts[1]
                .ask(&json!({ "op": "start", "names": ["web.0"] }))
                .await?;
            let version = Some(index as u64 + 2);
            all.wait_until("the instance uses the new policy", |shows| {
                versions_in_use(&shows[1]) == [version, version]
            })
            .await?;
        }
        assert!(changes.iter().all(|change| change.committed), "{changes:?}");
        assert!(
            std::fs::symlink_metadata(&log)?.is_symlink(),
            "the log is no longer the full device"
        );
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

#[test]
fn a_change_that_makes_service_worse_is_rolled_back_everywhere() {
    run_test(async {
        let made = InstallationConfig {
            watch_ms: 2000,
            ..THREE_HOSTS
        };
        let all = Installation::start(PROGRAM.as_ref(), 49, &made).await?;
        let playing = all.start_load(60.0, 14).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "good").await?];
        sleep(Duration::from_secs(4)).await;
        let mut document = policy_admitting(1);
        for operation in ["thumbnail", "transcript-search"] {
            document["operations"][operation] = json!({ "admit": false });
        }
        let proposed = Instant::now();
        let reply = all.hosts[1]
            .policy_request(
                "propose",
                json!({ "id": "worse", "policy": document, "wait": true }),
            )
            .await?;
        assert_eq!(
            (reply.0, &reply.1["state"]),
            (ControlMessage::Done, &json!("held")),
            "{reply:?}"
        );
        changes.push(ProposedChange {
            proposed_at: proposed,
            marker: 1,
            committed: true,
        });
        let committed = Instant::now();
        wait_until_all_use(&all, 3).await?;
        assert!(
            committed.elapsed() < Duration::from_millis(2000) + MAX_CHANGE_TIME,
            "{:?}",
            committed.elapsed()
        );
        let (_, outcome) = all.hosts[2]
            .policy_request("outcome", json!({ "id": "back-from-2" }))
            .await?;
        assert_eq!(
            (&outcome["state"], &outcome["by"]),
            (&json!("held"), &json!("the watch after a change"))
        );
        let note = outcome["note"].as_str().unwrap_or_default();
        assert!(
            note.starts_with("back from 2: served 0.") && note.contains(", before it 0."),
            "{note}"
        );
        changes.push(ProposedChange {
            proposed_at: committed,
            marker: 0,
            committed: true,
        });
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

/// Configures these agents in the file of this host's agent, which reads it at its next start.
fn configure_agents(all: &Installation, host: usize, agents: &[usize]) -> io::Result<()> {
    let path = all.hosts[host].folder.join("fleet.json5");
    let mut file: Value = serde_json::from_str(&std::fs::read_to_string(&path)?)?;
    let original_path = path.with_extension("whole");
    if !original_path.exists() {
        std::fs::copy(&path, &original_path)?;
    }
    let original: Value = serde_json::from_str(&std::fs::read_to_string(&original_path)?)?;
    let names = agents.iter().map(|agent| &all.hosts[*agent].name);
    let configured = names.map(|name| (name.clone(), original["council"]["agents"][name].clone()));
    file["council"]["agents"] = configured.collect::<serde_json::Map<_, _>>().into();
    std::fs::write(path, file.to_string())
}

#[test]
fn a_lost_agent_is_removed_and_a_new_one_added_under_load() {
    run_test(async {
        let made = InstallationConfig {
            hosts: 4,
            instances: 1,
            ..THREE_HOSTS
        };
        let mut all = Installation::start(PROGRAM.as_ref(), 52, &made).await?;
        let playing = all.start_load(40.0, 15).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "four").await?];
        let socket = all.hosts[1].socket().to_string_lossy().into_owned();
        let remove = || run(&["fleet", "--agent", &socket, "policy", "remove", "h3"]);
        let rejected = remove();
        let reason = String::from_utf8_lossy(&rejected.stderr).into_owned();
        assert!(
            rejected.status.code() == Some(1) && reason.contains("stands in this agent's file"),
            "{reason}"
        );
        all.hosts[3].kill_agent().await;
        for host in 0..3 {
            configure_agents(&all, host, &[0, 1, 2])?;
            all.hosts[host].kill_agent().await;
            all.hosts[host].start_agent(PROGRAM.as_ref())?;
            all.wait_until("the agents have a lease", |shows| {
                shows[..3].iter().all(|show| show["lease"].is_object())
            })
            .await?;
        }
        // Not through the command line: this thread forwards the links between the agents and must
        // not wait for a process.
        let (kind, removed) = all.hosts[1]
            .policy_request("remove", json!({ "name": "h3" }))
            .await?;
        assert_eq!(
            (kind, &removed["removed"]),
            (ControlMessage::Done, &json!("h3")),
            "{removed}"
        );
        let members = |show: &Value| show["members"].as_object().map_or(0, serde_json::Map::len);
        all.wait_until("there are three members", |shows| {
            shows[..3].iter().all(|show| members(show) == 3)
        })
        .await?;
        assert!(String::from_utf8_lossy(&remove().stderr).contains("h3 is no member"));
        // Two of three agents are a majority; of four they were not.
        all.hosts[2].kill_agent().await;
        changes.push(complete_change(&all, 0, 1, "two of three").await?);
        all.hosts[2].start_agent(PROGRAM.as_ref())?;
        // The agent is added again: through the fleet files, and with a voter slot from the log.
        for host in 0..3 {
            configure_agents(&all, host, &[0, 1, 2, 3])?;
            all.hosts[host].kill_agent().await;
            all.hosts[host].start_agent(PROGRAM.as_ref())?;
            all.wait_until("the agents have a lease", |shows| {
                shows[..3].iter().all(|show| show["lease"].is_object())
            })
            .await?;
        }
        all.hosts[3].start_agent(PROGRAM.as_ref())?;
        all.wait_until("there are four members", |shows| {
            shows
                .iter()
                .all(|show| members(show) == 4 && show["lease"].is_object())
                && shows[0]["members"]["h3"].as_u64() > Some(4)
        })
        .await?;
        changes.push(complete_change(&all, 3, 2, "four again").await?);
        assert!(changes.iter().all(|change| change.committed), "{changes:?}");
        wait_until_all_use(&all, 3).await?;
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

#[test]
fn an_instance_starting_in_any_state_of_a_change_uses_the_new_or_the_base_policy() {
    run_test(async {
        let mut all = Installation::start(PROGRAM.as_ref(), 56, &THREE_HOSTS).await?;
        let playing = all.start_load(40.0, 16).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "one").await?];
        for (index, state) in ["proposed", "decides", "opens", "grants", "held"]
            .into_iter()
            .enumerate()
        {
            let version = index as u64 + 2;
            // The agent pauses for half a second in this state, while the instance starts.
            restart_agents_with_fault(&mut all, &format!("agent.{state}.{version}:1:pause"))
                .await?;
            let host = (all.leader().await.expect("a leader") + 1) % 3;
            all.hosts[host]
                .processes_of(1)
                .iter()
                .for_each(|pid| signal(*pid, Signal::KILL));
            let load = playing
                .iter()
                .find(|(load_host, instance, ..)| (*load_host, *instance) == (host, 1))
                .expect("the load of the instance");
            load.3.record.borrow_mut().killed_at.push(Instant::now());
            sleep(Duration::from_millis(120)).await; // it is restarted 0.2 s after its death
            changes.push(complete_change(&all, index % 3, (index + 1) % 3, state).await?);
            wait_until_all_use(&all, version).await?;
        }
        assert!(changes.iter().all(|change| change.committed), "{changes:?}");
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

#[test]
fn changes_commit_with_agents_in_a_chain_and_with_flapping_links() {
    run_test(async {
        let all = Installation::start(PROGRAM.as_ref(), 59, &THREE_HOSTS).await?;
        let playing = all.start_load(40.0, 17).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "one").await?];
        let set_fault = |one: usize, other: usize, fault: Fault| {
            for direction in [(one, other), (other, one)] {
                all.links[&direction].set(fault);
            }
        };
        // An agent at an end of the chain reaches only the middle one. If it leads, the other end
        // is cut off from the leader and reports that to clients.
        for (index, middle) in [0, 1, 2].into_iter().enumerate() {
            let (one, other) = ((middle + 1) % 3, (middle + 2) % 3);
            set_fault(
                one,
                other,
                if index == 1 {
                    Fault::Stalled
                } else {
                    Fault::Cut
                },
            );
            changes.push(
                complete_change(&all, middle, (index + 1) % 3, &format!("chain {middle}")).await?,
            );
            set_fault(one, other, Fault::None);
        }
        // While changes are made, a different link is cut and restored every 0.3 s.
        let end = Instant::now() + Duration::from_secs(4);
        let flapping = async {
            let mut round = 0;
            while Instant::now() < end {
                let (one, other) = (round % 3, (round + 1) % 3);
                set_fault(
                    one,
                    other,
                    if round % 2 == 0 {
                        Fault::Cut
                    } else {
                        Fault::Stalled
                    },
                );
                sleep(Duration::from_millis(300)).await;
                set_fault(one, other, Fault::None);
                round += 1;
            }
            Ok::<_, io::Error>(())
        };
        let changing = async {
            let mut changes = Vec::new();
            while Instant::now() < end {
                let number = changes.len();
                changes.push(
                    complete_change(
                        &all,
                        number % 3,
                        (number + 1) % 3,
                        &format!("restless {number}"),
                    )
                    .await?,
                );
                sleep(Duration::from_millis(250)).await; // time for answers that show the policy
            }
            Ok::<_, io::Error>(changes)
        };
        let ((), more) = tokio::try_join!(flapping, changing)?;
        changes.extend(more);
        all.clear_link_faults();
        assert!(
            changes.len() > 5 && changes.iter().all(|change| change.committed),
            "{changes:?}"
        );
        wait_until_all_use(&all, changes.len() as u64).await?;
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

#[test]
fn a_half_open_control_link_ends_the_lease_on_both_sides_in_order() {
    run_test(async {
        let all = Installation::start(PROGRAM.as_ref(), 31, &THREE_HOSTS).await?;
        let playing = all.start_load(60.0, 8).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "one").await?];
        let link = ControlLink::replace_socket(&all.hosts[1].control_socket(0))?;
        sleep(Duration::from_millis(400)).await; // heartbeats pass through the link
        link.set(ControlLinkMode::Stalled);
        let start = Instant::now();
        changes.push(complete_change(&all, 0, 1, "two").await?);
        assert!(
            changes[1].committed && start.elapsed() < MAX_CHANGE_TIME,
            "{:?}",
            start.elapsed()
        );
        // Held data now arrives all at once, including grants of the previous policy.
        link.set(ControlLinkMode::Forwarding);
        changes.push(complete_change(&all, 2, 2, "three").await?);
        drop(link);
        wait_until_all_use(&all, 3).await?;
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

#[test]
fn clock_drift_and_an_unwritable_disk_keep_the_order_of_policies() {
    run_test(async {
        let mut all = Installation::start(PROGRAM.as_ref(), 28, &THREE_HOSTS).await?;
        let playing = all.start_load(40.0, 7).await?;
        let mut changes = vec![complete_change(&all, 0, 0, "one").await?];
        for (host, rate) in [(0, 1.01), (1, 0.99)] {
            all.hosts[host].kill_agent().await;
            all.hosts[host].clock_rate = Some(rate);
            all.hosts[host].start_agent(PROGRAM.as_ref())?;
            all.wait_until("the agents have a lease", |shows| {
                shows.iter().all(|show| show["lease"].is_object())
            })
            .await?;
        }
        // A host is cut off as the change is made: its lease ends on both sides in the right order.
        all.set_link_fault(0, true, true, Fault::Stalled);
        changes.push(complete_change(&all, 1, 1, "apart").await?);
        all.clear_link_faults();
        wait_until_all_use(&all, 2).await?;
        // One agent can no longer write its log: it leaves the consensus group, and the others
        // decide.
        let file = all.hosts[2].consensus_folder();
        let moved = file.with_extension("kept");
        std::fs::rename(&file, &moved)?;
        std::fs::create_dir(&file)?; // a folder in place of the file cannot be written or read
        changes.push(complete_change(&all, 1, 2, "full").await?);
        all.wait_until("the agent reports its disk", |shows| {
            shows[2]["council"] == "without its disk"
        })
        .await?;
        std::fs::remove_dir(&file)?;
        std::fs::rename(&moved, &file)?;
        wait_until_all_use(&all, 3).await?;
        assert!(changes.iter().all(|change| change.committed), "{changes:?}");
        stop_and_check(&all, playing, &changes).await;
        Ok(())
    });
}

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(arguments)
        .output()
        .expect("the output")
}

#[test]
fn an_invalid_policy_file_is_reported_with_its_line_without_contacting_an_agent() {
    let folder = std::env::temp_dir().join(format!("merlinshelf-policies-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let large = format!("{{note: '{}'}}", "x".repeat(10 * 1024 * 1024));
    let texts = [
        (
            "{\n  operations: {\n    page: { aim_ms: NaN },\n  },\n}",
            "3: operations.page.aim_ms: NaN is no number above 0",
        ),
        (
            "{tenants: {a: 0.6, b: 0.6}}",
            "shares are 1.200 together, over 1",
        ),
        ("{\n  operatoins: {}}", ":2:"),
        ("not a policy", "1:"),
        (
            large.as_str(),
            "the document is longer than the maximum of 16384 bytes",
        ),
    ];
    for (text, reason) in texts {
        let file = folder.join("policy.json5");
        std::fs::write(&file, text).expect("a file");
        for command in ["check", "propose"] {
            let output = run(&[
                "fleet",
                "--agent",
                "/nowhere",
                "policy",
                command,
                file.to_str().unwrap_or_default(),
            ]);
            let error = String::from_utf8_lossy(&output.stderr).into_owned();
            assert_eq!(output.status.code(), Some(1), "{error}");
            assert!(
                error.contains(reason) && error.contains("policy.json5:"),
                "{error}"
            );
        }
    }
    let _ = std::fs::remove_dir_all(&folder);
    let output = run(&[
        "fleet",
        "policy",
        "check",
        concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/policy.json5"),
    ]);
    assert!(output.status.success());
    let schema = run(&["fleet", "policy", "check", "--schema"]);
    let stored = include_str!("../../../deploy/policy.schema.json");
    assert_eq!(
        String::from_utf8_lossy(&schema.stdout),
        stored,
        "`fleet policy check --schema` prints the current schema"
    );
}

#[test]
fn the_checker_detects_stale_and_rejected_policies() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let changed = |ms, sign, held| ProposedChange {
        proposed_at: at(ms),
        marker: sign,
        committed: held,
    };
    let changes = [
        changed(0, 0, true),
        changed(100, 1, true),
        changed(200, 2, false),
        changed(300, 0, true),
    ];
    let in_order = [
        (at(10), at(20), 0),
        (at(110), at(150), 0),
        (at(120), at(140), 1),
        (at(310), at(320), 0),
    ];
    assert_eq!(count_violations(&changes, &in_order), (0, 0));
    // Sent after an answer at 140 ms had shown the next policy.
    assert_eq!(
        count_violations(
            &changes,
            &[&in_order[..], &[(at(141), at(160), 0)]].concat()
        ),
        (1, 0)
    );
    // Admitted by a policy that was rejected.
    assert_eq!(
        count_violations(
            &changes,
            &[&in_order[..], &[(at(210), at(220), 2)]].concat()
        ),
        (0, 1)
    );
}
