//! Names of states in the agent's replies.

use merlinshelf_fleet::plan::PlanKind;
use merlinshelf_fleet::{PlanState, State};
use serde_json::{Value, json};

use crate::golden_file::{read_golden, write_golden_on_request};

/// Operators' tools compare the names of states in replies on the agent's control socket.
#[test]
fn state_names_in_replies() {
    let states = [
        State::Absent,
        State::Starting,
        State::Warming,
        State::Serving,
        State::Upgrading,
        State::Draining,
        State::Stopping,
        State::Failed,
        State::Adopted,
        State::Lost,
    ];
    let kinds = [
        PlanKind::Start,
        PlanKind::Drain {
            timeout_seconds: None,
        },
        PlanKind::Drain {
            timeout_seconds: Some(1.5),
        },
        PlanKind::Restart,
        PlanKind::Upgrade {
            program: "/programs/1".into(),
        },
    ];
    let plan_states = [
        PlanState::Running,
        PlanState::Waiting("capacity".into()),
        PlanState::Paused,
        PlanState::RollingBack("worse".into()),
        PlanState::Done,
        PlanState::Stopped("abandoned".into()),
    ];
    let names = json!({
        "instance states": states.map(State::name),
        "plan kinds": kinds.each_ref().map(PlanKind::name),
        "plan states": plan_states.each_ref().map(PlanState::text),
        "plan states that are over": plan_states.each_ref().map(PlanState::is_over),
    });
    let file = "reply_words.json";
    write_golden_on_request(file, &format!("{names:#}\n"));
    let golden: Value = serde_json::from_str(&read_golden(file)).expect("JSON");
    assert_eq!(names, golden);
    // The serialized name of an instance's state is the same.
    let serialized = serde_json::to_value(states).expect("states can be encoded");
    assert_eq!(serialized, golden["instance states"]);
    let read: Vec<State> = serde_json::from_value(serialized).expect("states");
    assert_eq!(read, states);
}
