//! Stories of failure detection.

use std::time::Duration;

use membership::{Detector, Timing};
use yare::parameterized;

const TICK: u64 = 100;
const TIMING: Timing =
    Timing { beat: Duration::from_millis(300), missed_most: 4, tick_gap_most: Duration::from_millis(900) };

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Peers that beat, each with its own phase, and a detector that ticks.
struct Story {
    now: u64,
    detector: Detector,
    names: Vec<String>,
    alive: Vec<bool>,
}

impl Story {
    fn new(peers: usize) -> Self {
        let names: Vec<String> = (0..peers).map(|index| format!("peer-{index}")).collect();
        let mut detector = Detector::new(TIMING);
        detector.set_peers(ms(0), &names);
        Self { now: 0, detector, alive: vec![true; peers], names }
    }

    /// Lets time pass; tells who is newly suspected, and when.
    fn run(&mut self, milliseconds: u64) -> Vec<(u64, String)> {
        let end = self.now + milliseconds;
        let mut suspected = Vec::new();
        while self.now < end {
            self.now += TICK;
            self.beat();
            let new = self.detector.tick(ms(self.now));
            suspected.extend(new.into_iter().map(|name| (self.now, name)));
        }
        suspected
    }

    /// The process of the detector stands still: no heartbeat is read, no tick comes.
    fn freeze(&mut self, milliseconds: u64) {
        self.now += milliseconds;
    }

    fn beat(&mut self) {
        for (index, name) in self.names.iter().enumerate() {
            let phase = index as u64 % 3 * TICK;
            if self.alive[index] && (self.now + phase).is_multiple_of(300) {
                self.detector.record_heartbeat(ms(self.now), name);
            }
        }
    }
}

#[test]
fn given_all_beat_when_time_passes_then_nobody_is_suspected() {
    assert_eq!(Story::new(5).run(60_000), []);
}

#[parameterized(one = { 1 }, three = { 3 }, many = { 8 })]
fn given_a_peer_falls_silent_when_it_missed_several_beats_then_it_alone_is_suspected(peers: usize) {
    let mut story = Story::new(peers);
    story.run(3000);
    story.alive[0] = false;
    assert_eq!(story.run(1200), [], "a few missed beats are nothing");
    let suspected = story.run(1200);
    assert_eq!(suspected.len(), 1);
    assert_eq!(suspected[0].1, "peer-0");
    assert!(story.detector.is_suspected("peer-0"));
    assert_eq!(story.run(20_000), [], "it is told once");
}

#[test]
fn given_a_suspected_peer_when_it_beats_again_then_it_is_trusted() {
    let mut story = Story::new(4);
    story.alive[1] = false;
    story.run(5000);
    assert_eq!(story.detector.suspected().collect::<Vec<_>>(), ["peer-1"]);
    story.alive[1] = true;
    assert_eq!(story.run(1000), []);
    assert_eq!(story.detector.suspected().count(), 0);
}

#[parameterized(short = { 1500 }, middle = { 3500 }, long = { 60_000 })]
fn given_the_observer_is_frozen_when_it_wakes_then_it_gives_no_false_alarm(milliseconds: u64) {
    let mut story = Story::new(5);
    story.run(3000);
    story.freeze(milliseconds);
    assert_eq!(story.run(10_000), []);
}

#[test]
fn given_a_peer_fails_while_the_observer_is_frozen_when_it_wakes_then_the_peer_is_suspected_later() {
    let mut story = Story::new(5);
    story.run(3000);
    story.alive[2] = false;
    story.freeze(5000);
    let woken = story.now;
    let suspected = story.run(10_000);
    assert_eq!(suspected.len(), 1);
    assert!(suspected[0].0 >= woken + 1500, "the timers start anew");
}

#[parameterized(two = { 2 }, three = { 3 }, eight = { 8 })]
fn given_all_peers_fall_silent_at_once_when_time_passes_then_nobody_is_suspected(peers: usize) {
    let mut story = Story::new(peers);
    story.run(3000);
    story.alive.fill(false);
    assert_eq!(story.run(60_000), []);
}

#[test]
fn given_most_peers_fall_silent_when_time_passes_then_no_more_than_half_are_suspected_at_once() {
    let mut story = Story::new(6);
    story.run(3000);
    story.alive[..4].fill(false);
    let suspected = story.run(20_000);
    assert_eq!(suspected.len(), 4, "in the end all are found");
    assert!(suspected[0].0 >= 3000 + 3000 - 300, "after twice the time");
    let first = suspected.iter().filter(|(at, _)| *at == suspected[0].0).count();
    assert!(first <= 3);
}

#[test]
fn given_peers_fail_one_after_the_other_when_time_passes_then_each_is_found() {
    let mut story = Story::new(3);
    for index in 0..3 {
        story.alive[index] = false;
        let suspected = story.run(10_000);
        assert_eq!(suspected.len(), 1);
        assert_eq!(suspected[0].1, story.names[index]);
    }
}

#[test]
fn given_new_peers_when_set_then_they_start_as_heard_and_others_keep_their_state() {
    let mut story = Story::new(4);
    story.alive[0] = false;
    story.run(5000);
    story.names.push("peer-new".to_owned());
    story.alive.push(true);
    story.detector.set_peers(ms(story.now), &story.names);
    assert!(story.detector.is_suspected("peer-0"));
    assert_eq!(story.run(10_000), []);
    story.detector.set_peers(ms(story.now), &story.names[1..]);
    assert!(!story.detector.is_suspected("peer-0"), "who isn't watched isn't suspected");
}
