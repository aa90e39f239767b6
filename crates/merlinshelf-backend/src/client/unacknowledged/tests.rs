use std::time::Duration;

use merlinshelf_protocol::CallId;
use tokio::time::Instant;

use super::{LOSS_WINDOW, SentCommand, UnacknowledgedCommands};
use crate::exchange::Command;

fn skip(need: u64) -> SentCommand {
    let id = CallId::parse(b"000000000000000a").expect("an id");
    SentCommand {
        command: Command::Skip { id, need },
        received_notifications: need,
    }
}

#[test]
fn a_command_is_acknowledged_once_the_connection_outlived_its_reading_by_the_loss_window() {
    let start = Instant::now();
    let mut commands = UnacknowledgedCommands::default();
    commands.push(skip(1), 1);
    commands.push(skip(2), 2);
    let millis = Duration::from_millis;
    assert_eq!(commands.request_answered(1, start, start + millis(5)), []);
    assert_eq!(
        commands.request_answered(2, start + millis(8), start + millis(9)),
        []
    );
    // The request was sent a moment too early for the first command.
    let early = start + millis(4) + LOSS_WINDOW;
    assert_eq!(commands.request_answered(3, early, early + millis(40)), []);
    let later = start + millis(5) + LOSS_WINDOW;
    assert_eq!(commands.request_answered(4, later, later), [skip(1)]);
    commands.push(skip(3), 5);
    assert_eq!(commands.take_all(), [skip(2), skip(3)]);
}
