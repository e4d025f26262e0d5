//! Tests of failure detection by heartbeats: failed peers, frozen detectors and partitions.

use std::time::Duration;

use membership::{Detector, DetectorTiming};
use yare::parameterized;

/// Time between two ticks of the detector, in milliseconds.
const TICK_INTERVAL: u64 = 100;
const TIMING: DetectorTiming = DetectorTiming {
    heartbeat_interval: Duration::from_millis(300),
    max_missed_heartbeats: 4,
    max_tick_gap: Duration::from_millis(900),
};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Peers that send heartbeats at different phases, and a detector that ticks. Times are in milliseconds.
struct Simulation {
    now: u64,
    detector: Detector,
    names: Vec<String>,
    /// Whether each peer sends heartbeats, by its index in `names`.
    responsive: Vec<bool>,
}

impl Simulation {
    fn new(peers: usize) -> Self {
        let names: Vec<String> = (0..peers).map(|index| format!("peer-{index}")).collect();
        let mut detector = Detector::new(TIMING);
        detector.set_peers(ms(0), &names);
        Self { now: 0, detector, responsive: vec![true; peers], names }
    }

    /// Advances the time. Returns the peers that become suspected, each with the time.
    fn run(&mut self, milliseconds: u64) -> Vec<(u64, String)> {
        let end = self.now + milliseconds;
        let mut suspected = Vec::new();
        while self.now < end {
            self.now += TICK_INTERVAL;
            self.send_heartbeats();
            let new = self.detector.tick(ms(self.now));
            suspected.extend(new.into_iter().map(|name| (self.now, name)));
        }
        suspected
    }

    /// Freezes the process of the detector: time advances without heartbeats and ticks.
    fn freeze(&mut self, milliseconds: u64) {
        self.now += milliseconds;
    }

    /// Records the heartbeats that responsive peers send now.
    fn send_heartbeats(&mut self) {
        for (index, name) in self.names.iter().enumerate() {
            let phase = index as u64 % 3 * TICK_INTERVAL;
            if self.responsive[index] && (self.now + phase).is_multiple_of(300) {
                self.detector.record_heartbeat(ms(self.now), name);
            }
        }
    }
}

#[test]
fn given_all_peers_responsive_when_time_passes_then_none_is_suspected() {
    assert_eq!(Simulation::new(5).run(60_000), []);
}

#[parameterized(one = { 1 }, three = { 3 }, many = { 8 })]
fn given_a_failed_peer_when_it_misses_several_heartbeats_then_only_it_is_suspected(peers: usize) {
    let mut simulation = Simulation::new(peers);
    simulation.run(3000);
    simulation.responsive[0] = false;
    assert_eq!(simulation.run(1200), [], "a few missed heartbeats are tolerated");
    let suspected = simulation.run(1200);
    assert_eq!(suspected.len(), 1);
    assert_eq!(suspected[0].1, "peer-0");
    assert!(simulation.detector.is_suspected("peer-0"));
    assert_eq!(simulation.run(20_000), [], "a suspected peer is returned only once");
}

#[test]
fn given_a_suspected_peer_when_its_heartbeats_resume_then_it_is_no_longer_suspected() {
    let mut simulation = Simulation::new(4);
    simulation.responsive[1] = false;
    simulation.run(5000);
    assert_eq!(simulation.detector.suspected().collect::<Vec<_>>(), ["peer-1"]);
    simulation.responsive[1] = true;
    assert_eq!(simulation.run(1000), []);
    assert_eq!(simulation.detector.suspected().count(), 0);
}

#[parameterized(short = { 1500 }, middle = { 3500 }, long = { 60_000 })]
fn given_a_frozen_detector_when_it_resumes_then_no_responsive_peer_is_suspected(milliseconds: u64) {
    let mut simulation = Simulation::new(5);
    simulation.run(3000);
    simulation.freeze(milliseconds);
    assert_eq!(simulation.run(10_000), []);
}

#[test]
fn given_a_peer_that_fails_while_the_detector_is_frozen_when_it_resumes_then_the_full_timeout_applies() {
    let mut simulation = Simulation::new(5);
    simulation.run(3000);
    simulation.responsive[2] = false;
    simulation.freeze(5000);
    let resumed_at = simulation.now;
    let suspected = simulation.run(10_000);
    assert_eq!(suspected.len(), 1);
    assert!(suspected[0].0 >= resumed_at + 1500, "the timers restart when the detector resumes");
}

#[parameterized(two = { 2 }, three = { 3 }, eight = { 8 })]
fn given_all_peers_unresponsive_at_once_when_time_passes_then_none_is_suspected(peers: usize) {
    let mut simulation = Simulation::new(peers);
    simulation.run(3000);
    simulation.responsive.fill(false);
    assert_eq!(simulation.run(60_000), []);
}

#[test]
fn given_most_peers_unresponsive_when_time_passes_then_no_more_than_half_are_suspected_at_once() {
    let mut simulation = Simulation::new(6);
    simulation.run(3000);
    simulation.responsive[..4].fill(false);
    let suspected = simulation.run(20_000);
    assert_eq!(suspected.len(), 4, "all four failed peers are suspected in the end");
    assert!(suspected[0].0 >= 3000 + 3000 - 300, "the timeout is doubled");
    let first = suspected.iter().filter(|(at, _)| *at == suspected[0].0).count();
    assert!(first <= 3);
}

#[test]
fn given_peers_that_fail_one_after_another_when_time_passes_then_each_is_suspected() {
    let mut simulation = Simulation::new(3);
    for index in 0..3 {
        simulation.responsive[index] = false;
        let suspected = simulation.run(10_000);
        assert_eq!(suspected.len(), 1);
        assert_eq!(suspected[0].1, simulation.names[index]);
    }
}

#[test]
fn given_new_peers_when_set_then_their_timers_start_and_other_peers_keep_their_state() {
    let mut simulation = Simulation::new(4);
    simulation.responsive[0] = false;
    simulation.run(5000);
    simulation.names.push("peer-new".to_owned());
    simulation.responsive.push(true);
    simulation.detector.set_peers(ms(simulation.now), &simulation.names);
    assert!(simulation.detector.is_suspected("peer-0"));
    assert_eq!(simulation.run(10_000), []);
    simulation.detector.set_peers(ms(simulation.now), &simulation.names[1..]);
    assert!(!simulation.detector.is_suspected("peer-0"), "a peer that is not watched is not suspected");
}
