//! Replies to tools that follow a plan to its end or watch the fleet.

use merlinshelf_fleet::{Plan, PlanState};
use merlinshelf_protocol::control::ControlMessage;
use serde_json::{Value, json};

use super::Agent;
use super::fleet_report::{StatusReport, plan_report, status_report};
use crate::reply::ReplySender;

/// A tool that follows a plan until it ends.
pub(super) struct PlanFollower {
    plan_number: u64,
    reply: ReplySender,
    /// The last progress sent.
    last_progress: String,
}

impl PlanFollower {
    /// A follower to which no progress has been sent yet.
    pub fn new(plan_number: u64, reply: ReplySender) -> PlanFollower {
        PlanFollower {
            plan_number,
            reply,
            last_progress: String::new(),
        }
    }

    /// Sends the plan's progress if it has changed; returns whether the tool keeps following.
    fn update(&mut self, plan: &Plan, report: &Value, progress: &str) -> bool {
        if self.plan_number != plan.number {
            self.reply
                .failed(json!({ "text": "another plan has taken its place" }));
            return false;
        }
        if plan.state.is_over() {
            let message = match plan.state {
                PlanState::Done => ControlMessage::Done,
                _ => ControlMessage::Failed,
            };
            self.reply.send(message, report.clone());
            return false;
        }
        if self.last_progress != progress {
            progress.clone_into(&mut self.last_progress);
            self.reply.more(report.clone());
        }
        !self.reply.is_closed()
    }
}

impl Agent {
    pub(super) fn send_progress(&mut self) {
        if let Some(plan) = self.fleet.plan() {
            let report = plan_report(plan);
            let progress = format!("{} {} {}", report["plan"], report["state"], report["done"]);
            self.plan_followers
                .retain_mut(|follower| follower.update(plan, &report, &progress));
        }
        if !self.status_watchers.is_empty() {
            let StatusReport { pages, summary } =
                status_report(&self.fleet, self.now(), &self.instance_names());
            for watcher in std::mem::take(&mut self.status_watchers) {
                for page in &pages {
                    watcher.more(page.clone());
                }
                watcher.done(summary.clone());
            }
        }
    }
}
