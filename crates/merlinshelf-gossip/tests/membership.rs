//! Membership of many instances in virtual time: how fast a change reaches all, and how many
//! messages each sends, over a network that delays messages, partitions and heals.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use merlinshelf_gossip::membership::{Action, PollRate, Settings};
use merlinshelf_gossip::{Members, MembershipUpdate, State};

/// A xorshift generator.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Envelope {
    from: usize,
    to: usize,
    sender: MembershipUpdate,
    updates: Vec<MembershipUpdate>,
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    Timeout(usize),
    Poll(Envelope),
    Answer(Envelope),
    /// Replaces an event that was processed.
    Processed,
}

/// All instances and the network between them. The queue holds times in microseconds and indices
/// into `events`.
struct Simulation {
    now: f64,
    members: Vec<Option<Members>>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Vec<Event>,
    random: Random,
    /// The partition of the network that each instance is in.
    partitions: Vec<u8>,
    message_count: u64,
}

impl Simulation {
    fn new(count: usize, seed: u64) -> Simulation {
        let seeds: Vec<String> = (0..3).map(|seed| seed.to_string()).collect();
        let start = |number: usize| start_member(0.0, number, 1, &seeds);
        let mut simulation = Simulation {
            now: 0.0,
            members: (0..count).map(|number| Some(start(number))).collect(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            random: Random(seed | 1),
            partitions: vec![0; count],
            message_count: 0,
        };
        for number in 0..count {
            simulation.schedule(0.0, Event::Timeout(number));
        }
        simulation
    }

    fn schedule(&mut self, time: f64, event: Event) {
        let microseconds = (time * 1e6) as u64;
        self.queue
            .push(Reverse((microseconds, self.events.len() as u64)));
        self.events.push(event);
    }

    fn send(&mut self, from: usize, to: usize, message: Event) {
        self.message_count += 1;
        let delay = 0.001 + 0.004 * self.random.next();
        if to < self.partitions.len() && self.partitions[from] == self.partitions[to] {
            self.schedule(self.now + delay, message);
        }
    }

    fn run_until(&mut self, end: f64) {
        while let Some(Reverse((microseconds, index))) = self.queue.pop() {
            let time = microseconds as f64 / 1e6;
            if time > end {
                self.queue.push(Reverse((microseconds, index)));
                break;
            }
            self.now = time;
            match std::mem::replace(&mut self.events[index as usize], Event::Processed) {
                Event::Timeout(number) => self.handle_timeout(number),
                Event::Poll(poll) => self.handle_poll(&poll),
                Event::Answer(answer) => {
                    if let Some(member) = &mut self.members[answer.to] {
                        member.answer_received(self.now, &answer.sender, &answer.updates);
                    }
                }
                Event::Processed => {}
            }
        }
        self.now = end;
    }

    fn handle_timeout(&mut self, number: usize) {
        let Some(member) = &mut self.members[number] else {
            return;
        };
        let random = &mut self.random;
        member.timer_expired(self.now, PollRate::Normal, &mut || random.next());
        let sender = member.own().clone();
        let next_timeout = member.next_timeout();
        let mut polls = Vec::new();
        while let Some(Action::Poll { address, updates }) = member.poll_action() {
            polls.push(Envelope {
                from: number,
                to: address.parse().expect("a number"),
                sender: sender.clone(),
                updates,
            });
        }
        for poll in polls {
            self.send(number, poll.to, Event::Poll(poll));
        }
        self.schedule(next_timeout.max(self.now + 1e-4), Event::Timeout(number));
    }

    fn handle_poll(&mut self, poll: &Envelope) {
        let Some(member) = &mut self.members[poll.to] else {
            return;
        };
        let updates = member.poll_received(self.now, &poll.sender, &poll.updates);
        let answer = Envelope {
            from: poll.to,
            to: poll.from,
            sender: member.own().clone(),
            updates,
        };
        self.send(poll.to, poll.from, Event::Answer(answer));
    }

    /// Runs until the condition holds for all running instances, and returns the time.
    fn run_until_all(
        &mut self,
        max_seconds: f64,
        condition: impl Fn(&Members) -> bool,
    ) -> Option<f64> {
        let end = self.now + max_seconds;
        while self.now < end {
            self.run_until(self.now + 0.25);
            if self.all(&condition) {
                return Some(self.now);
            }
        }
        None
    }

    fn all(&self, condition: impl Fn(&Members) -> bool) -> bool {
        self.members.iter().flatten().all(condition)
    }
}

/// An instance whose address is its number.
fn start_member(now: f64, number: usize, incarnation: u64, seeds: &[String]) -> Members {
    let name = format!("n{number}");
    let address = number.to_string();
    Members::new(
        now,
        &name,
        &address,
        incarnation,
        seeds,
        Settings::default(),
    )
}

fn sees_alive(count: usize) -> impl Fn(&Members) -> bool {
    move |member| member.alive().count() == count
}

/// Whether a member is the instance `name` itself, sees it in this or a later state, or no longer
/// has it in its table.
fn has_seen(name: String, state: State) -> impl Fn(&Members) -> bool {
    move |member| {
        member.own().name == name || member.state_of(&name).is_none_or(|known| known >= state)
    }
}

#[test]
fn instances_started_together_discover_each_other_and_learn_of_changes() {
    let mut message_rates = Vec::new();
    for count in [16, 120] {
        let mut simulation = Simulation::new(count, 7);
        let met_at = simulation
            .run_until_all(120.0, sees_alive(count - 1))
            .expect("all meet");
        let messages_before = simulation.message_count;
        simulation.run_until(simulation.now + 20.0);
        let messages = simulation.message_count - messages_before;
        message_rates.push(messages as f64 / 20.0 / count as f64);
        // One instance crashes, another announces that it is leaving.
        simulation.members[count / 2] = None;
        let leaving = simulation.members[count / 3].as_mut();
        leaving.expect("it lives").leave();
        let changed_at = simulation.now;
        let knows_left = has_seen(format!("n{}", count / 3), State::Left);
        let left_after = simulation
            .run_until_all(60.0, knows_left)
            .expect("all know that it left")
            - changed_at;
        let knows_dead = has_seen(format!("n{}", count / 2), State::Dead);
        simulation
            .run_until_all(60.0, knows_dead)
            .expect("all know that it is dead");
        let dead_after = simulation.now - changed_at;
        assert!(
            met_at < 60.0 && left_after < 20.0 && dead_after < 40.0,
            "{count}: met at {met_at}, left after {left_after}, dead after {dead_after}"
        );
        // No other instance was removed.
        assert!(simulation.all(|member| member.alive().count() >= count - 3));
    }
    // Each instance sends one poll and one answer a second, at any cluster size.
    assert!(
        message_rates[0] < 2.5
            && message_rates[1] < 2.5
            && (message_rates[0] - message_rates[1]).abs() < 0.3,
        "{message_rates:?}"
    );
}

#[test]
fn partitions_merge_after_the_network_heals() {
    let count = 40;
    let mut simulation = Simulation::new(count, 11);
    simulation
        .run_until_all(60.0, sees_alive(count - 1))
        .expect("all meet");
    // All seeds are in the same partition.
    simulation.partitions[20..].fill(1);
    simulation.run_until(simulation.now + 90.0);
    assert!(
        simulation.all(sees_alive(19)),
        "each side knows its own members"
    );
    simulation.partitions.fill(0);
    simulation
        .run_until_all(60.0, sees_alive(count - 1))
        .expect("all meet again");
}

#[test]
fn a_short_outage_is_refuted_and_a_long_one_makes_a_peer_dead() {
    let count = 30;
    let mut simulation = Simulation::new(count, 13);
    simulation
        .run_until_all(60.0, sees_alive(count - 1))
        .expect("all meet");
    // The outage is shorter than the suspicion timeout.
    simulation.partitions[9] = 1;
    simulation.run_until(simulation.now + 3.0);
    simulation.partitions[9] = 0;
    simulation.run_until(simulation.now + 20.0);
    assert!(
        simulation.all(sees_alive(count - 1)),
        "it is alive for all again"
    );
    simulation.partitions[9] = 1;
    let knows_dead = |member: &Members| {
        let state = member.state_of("n9");
        member.own().name == "n9" || state.is_none_or(|state| state == State::Dead)
    };
    simulation
        .run_until_all(60.0, knows_dead)
        .expect("it is dead for all");
    // A later incarnation of the same name overrides the dead state.
    simulation.partitions[9] = 0;
    let seeds = ["0".to_owned()];
    simulation.members[9] = Some(start_member(simulation.now, 9, 2, &seeds));
    simulation
        .run_until_all(60.0, sees_alive(count - 1))
        .expect("it is alive in its next incarnation");
}

#[test]
fn the_table_is_bounded_and_invalid_names_are_ignored() {
    let settings = Settings {
        max_peers: 50,
        ..Settings::default()
    };
    let mut members = Members::new(0.0, "me", "0", 1, &[], settings);
    let update = |name: &str| MembershipUpdate {
        name: name.into(),
        address: "1".into(),
        incarnation: 1,
        refutations: 0,
        state: State::Alive,
    };
    for number in 0..1000 {
        let answer = members.poll_received(
            1.0,
            &update(&format!("n{number}")),
            &[update(""), update("@x"), update(&"y".repeat(65))],
        );
        assert!(answer.len() <= settings.max_updates);
    }
    assert_eq!(members.len(), 50);
    assert!(members.alive().all(|peer| peer.name.starts_with('n')));
}
