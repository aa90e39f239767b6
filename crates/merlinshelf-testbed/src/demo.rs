//! The `demo` subcommand: runs the program between fakes for a few seconds, with an upgrade under load.

use std::io;
use std::time::Duration;

use merlinshelf_protocol::control::{ControlMessage, ControlRequest};
use tokio::time::sleep;

use crate::instance::{Instance, Setup};
use crate::load::Load;

/// Runs the demonstration and prints the results. Returns false if a guarantee was violated.
pub async fn run(setup: &Setup) -> io::Result<bool> {
    let mut instance = Instance::start(setup, 2).await?;
    println!(
        "the program is listening on {}, process {}",
        instance.address,
        instance.status().await?["process"]
    );
    let load = Load {
        body_bytes: 60,
        ..Load::with_example_operations(&instance.address, 20, 300.0, 1)
    };
    let running_load = load.start().await?;
    println!("20 connections send {} invocations per second", load.rate);
    sleep(Duration::from_secs(1)).await;
    println!("\nupgrade");
    let mut client = instance.ask(ControlRequest::Upgrade).await?;
    let done = loop {
        let (message, report) = client.next_reply().await?;
        println!("  {}", report["text"].as_str().unwrap_or(""));
        if message != ControlMessage::More {
            break message == ControlMessage::Done;
        }
    };
    let status = instance.status().await?;
    println!(
        "  process {} is serving now, {} connections",
        status["process"], status["connections"]
    );
    sleep(Duration::from_secs(1)).await;
    let record = running_load.stop().await;
    let verdict = record
        .borrow()
        .check(&instance.records.borrow(), load.patience);
    instance.drain().await?;
    let _ = instance.wait_for_first_exit().await;
    println!(
        "\nof {} invocations, {} were served, {} were refused with a retry delay, {} failed",
        verdict.sent, verdict.served, verdict.refused, verdict.failed
    );
    println!(
        "lost: {}, answered twice: {}, run twice: {}, broken connections: {}",
        verdict.lost, verdict.doubled, verdict.run_twice, verdict.broken
    );
    Ok(done && verdict.is_clean())
}
