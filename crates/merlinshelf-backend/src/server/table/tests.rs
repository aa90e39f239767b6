//! Tests of the table of connections.

use tokio::time::advance;

use super::*;

#[tokio::test(start_paused = true)]
async fn the_least_important_idle_connection_makes_room_first() {
    let table = Rc::new(Table::default());
    let slots: Vec<Slot> = (0..6).map(|_| table.add()).collect();
    let update = |slot: usize, is_busy: bool, received: ReceivedKind| {
        slots[slot].update(is_busy, received);
    };
    update(0, false, ReceivedKind::Invocations);
    update(1, true, ReceivedKind::Invocations);
    advance(Duration::from_millis(10)).await;
    update(2, false, ReceivedKind::Invocations);
    update(3, false, ReceivedKind::HealthChecks);
    advance(SILENCE_TIMEOUT).await;
    let new_slot = table.add();
    new_slot.update(false, ReceivedKind::Nothing);
    let mut order = Vec::new();
    while table.make_room() {
        let asked = slots
            .iter()
            .chain([&new_slot])
            .position(Slot::must_close)
            .expect("one is asked to close");
        order.push(asked);
        // It becomes busy and stays; the next one is asked.
        if let Some(slot) = slots.get(asked) {
            slot.update(true, slot.state.received.get());
        } else {
            new_slot.update(true, ReceivedKind::Nothing);
        }
        assert!(!slots.iter().chain([&new_slot]).any(Slot::must_close));
    }
    // Two silent ones, the one with health checks only, the new one, then the longest idle.
    assert_eq!(order, [4, 5, 3, 6, 0, 2]);
    drop(slots);
    assert_eq!(table.len(), 1);
}
