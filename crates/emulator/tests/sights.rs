//! Tests which observations of hosts and of running tasks the oracles report as broken rules.

use sandshelf_emulator::oracle::{
    BrokenRule, HostObservation, HostOracle, PlatformOracle, RuleBounds,
};
use sandshelf_jobs::{JobNumber, JobSpec, QueueRules, RunKey, StepSpec, TaskKey};
use sandshelf_model::{ResourceSize, WorkerId};

/// The time at which version 7 of the configuration is acknowledged, in milliseconds.
const CONFIGURED_AT_MS: u64 = 10_000;

fn sight(version: Option<u64>, calm_since: Option<u64>) -> HostObservation {
    HostObservation {
        incarnation: 1,
        version,
        calm_since,
    }
}

/// Returns the rules that are reported for a host with these successive observations.
fn broken_by(sights: &[(u64, HostObservation)]) -> Vec<BrokenRule> {
    let mut oracle = PlatformOracle::default();
    let mut hosts = HostOracle::new(RuleBounds::LARGE);
    hosts.configured(CONFIGURED_AT_MS, 7);
    for (at, sight) in sights {
        hosts.check_host(*at, 0, sight, 0, &mut oracle);
    }
    oracle.broken.iter().map(|(_, rule, _)| *rule).collect()
}

fn breaks_config(sights: &[(u64, HostObservation)]) {
    assert_eq!(broken_by(sights), [BrokenRule::Config]);
}

fn keeps_config(sights: &[(u64, HostObservation)]) {
    assert_eq!(broken_by(sights), []);
}

/// One request every 100 ms, with all hosts lost from 10 to 11 s. Of ten requests, `before` are served before the loss and `after`
/// from then on.
fn recovery(before: u64, after: u64) -> Vec<BrokenRule> {
    let mut oracle = PlatformOracle::default();
    let mut hosts = HostOracle::new(RuleBounds::LARGE);
    for number in 0..400 {
        let at = number * 100;
        let request = hosts.requested(at);
        let served = if at < 10_000 { before } else { after };
        if number % 10 < served {
            hosts.served(request);
        }
    }
    hosts.check_recovery(40_000, 10_000, 11_000, &mut oracle);
    oracle.broken.iter().map(|(_, rule, _)| *rule).collect()
}

/// A task of a job that was cancelled at 1 s is still running at `now`; nothing has been disturbed since `calm_since`.
fn stopped_at(now: u64, calm_since: u64) -> Vec<BrokenRule> {
    let mut oracle = PlatformOracle::with_bounds(RuleBounds::LARGE);
    let rules = QueueRules {
        service: "desk".to_owned(),
        priority: 0,
        max_attempts: 1,
        stretch: 1.0,
        target_latency_ms: 100,
        guarded: true,
    };
    let step = StepSpec {
        count: 1,
        size: ResourceSize::new(100, 100, 0),
        ..StepSpec::default()
    };
    let spec = JobSpec {
        address: None,
        queue: "lots".to_owned(),
        rules,
        payload: String::new(),
        steps: vec![step],
        handed_in_ms: 0,
        repeat: None,
    };
    let task = TaskKey {
        job: JobNumber(1),
        time: 0,
        step: 0,
        index: 0,
    };
    oracle.accepted(JobNumber(1), &spec);
    oracle.started(500, &WorkerId::from("w-1"), RunKey { task, run: 1 }, true);
    oracle.cancelled(1_000, JobNumber(1));
    oracle.check_late_stops(now, calm_since);
    oracle.broken.iter().map(|(_, rule, _)| *rule).collect()
}

sandshelf_cases::cases! {
    config_late => breaks_config(&[(13_100, sight(Some(6), Some(0)))]);
    config_late_is_reported_once => breaks_config(&[
        (13_100, sight(Some(6), Some(0))), (13_200, sight(Some(6), Some(0)))]);
    config_never_there => breaks_config(&[(13_100, sight(None, Some(0)))]);
    config_version_goes_back => breaks_config(&[
        (12_000, sight(Some(7), Some(0))), (12_100, sight(Some(4), Some(0)))]);
    config_in_time => keeps_config(&[
        (12_900, sight(Some(6), Some(0))), (13_000, sight(Some(7), Some(0)))]);
    config_of_a_host_just_back => keeps_config(&[(14_000, sight(None, Some(10_100)))]);
    config_of_a_disturbed_host => keeps_config(&[(20_000, sight(None, None))]);
    recovery_missed => assert_eq!(recovery(9, 2), [BrokenRule::Recover]);
    recovery_of_a_quarter => assert_eq!(recovery(9, 3), []);
    recovery_of_what_was_never_served => assert_eq!(recovery(2, 0), []);
    stop_too_late => assert_eq!(stopped_at(6_000, 0), [BrokenRule::Stop]);
    stop_in_time => assert_eq!(stopped_at(5_800, 0), []);
    stop_after_a_disturbance => assert_eq!(stopped_at(6_000, 1_500), []);
}
