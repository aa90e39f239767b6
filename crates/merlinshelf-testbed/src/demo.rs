//! `demo`: the program between stand-ins for a few seconds, with an upgrade in the middle of its work.

use std::io;
use std::time::Duration;

use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use tokio::time::sleep;

use crate::instance::{Instance, Setup};
use crate::load::Load;

/// Plays it and shows what was answered. False where a rule broke.
pub async fn run(setup: &Setup) -> io::Result<bool> {
    let mut instance = Instance::start(setup, 2).await?;
    println!(
        "the program serves at {}, process {}",
        instance.address,
        instance.status().await?["process"]
    );
    let load = Load {
        body_bytes: 60,
        ..Load::with_example_operations(&instance.address, 20, 300.0, 1)
    };
    let playing = load.start().await?;
    println!("20 connections send {} invocations a second", load.rate);
    sleep(Duration::from_secs(1)).await;
    println!("\nupgrade");
    let mut talk = instance.ask(ControlRequest::Upgrade).await?;
    let done = loop {
        let (word, report) = talk.next_reply().await?;
        println!("  {}", report["text"].as_str().unwrap_or(""));
        if word != ControlMessage::More {
            break word == ControlMessage::Done;
        }
    };
    let status = instance.status().await?;
    println!(
        "  process {} serves now, {} connections",
        status["process"], status["connections"]
    );
    sleep(Duration::from_secs(1)).await;
    let seen = playing.stop().await;
    let verdict = seen
        .borrow()
        .check(&instance.records.borrow(), load.patience);
    instance.drain().await?;
    let _ = instance.wait_for_first_exit().await;
    println!(
        "\nof {} invocations {} were served, {} refused and told when to come back, {} failed",
        verdict.sent, verdict.served, verdict.refused, verdict.failed
    );
    println!(
        "lost {}, answered twice {}, run twice {}, connections broken {}",
        verdict.lost, verdict.doubled, verdict.run_twice, verdict.broken
    );
    Ok(done && verdict.is_clean())
}
