//! Checks two rules of hosts: configurations come into force in time, and requests are served again after an outage.

use std::collections::{BTreeMap, VecDeque};

use sandshelf_model::Millis;

use super::{BrokenRule, PlatformOracle, RuleBounds};

/// After a recovery at least one in this number of requests has to be served, if that held before the outage.
const SERVED_ONE_IN: usize = 4;
/// With fewer requests than this the share of served requests is not checked.
const MIN_REQUESTS: usize = 8;

/// The state of a host at one moment.
#[derive(Clone, Copy, Debug)]
pub struct HostObservation {
    /// The incarnation of its process.
    pub incarnation: u32,
    /// The version of the configuration in force; `None` before the first.
    pub version: Option<u64>,
    /// Since when there has been no disturbance of the host; `None` during one.
    pub calm_since: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Default)]
struct HostHistory {
    incarnation: u32,
    /// The newest version that has been in force in this incarnation.
    newest: Option<u64>,
    /// The newest version that has been reported as missing here.
    reported: u64,
}

/// One request of a caller.
#[derive(Clone, Copy, Debug)]
struct TrackedRequest {
    sent: Millis,
    served: bool,
}

/// Checks all hosts, and the requests that callers send to them.
#[derive(Debug, Default)]
pub struct HostOracle {
    bounds: RuleBounds,
    /// Acknowledged configuration versions, each with the time of its acknowledgement.
    acknowledged: VecDeque<(Millis, u64)>,
    hosts: BTreeMap<usize, HostHistory>,
    requests: Vec<TrackedRequest>,
    /// The longest time until a version was in force on a host in touch, in milliseconds.
    pub longest_config: Millis,
}

impl HostOracle {
    /// An oracle with the given bounds.
    pub fn new(bounds: RuleBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Records that the store has acknowledged a version of the configuration.
    pub fn configured(&mut self, now: Millis, version: u64) {
        self.acknowledged.push_back((now, version));
    }

    /// Checks the configuration of one host; `extra_ms` is added to the bound while the store is unstable.
    pub fn check_host(
        &mut self,
        now: Millis,
        host: usize,
        observation: &HostObservation,
        extra_ms: Millis,
        oracle: &mut PlatformOracle,
    ) {
        let history = self.hosts.entry(host).or_default();
        if history.incarnation != observation.incarnation {
            *history = HostHistory {
                incarnation: observation.incarnation,
                reported: history.reported,
                ..HostHistory::default()
            };
        }
        if observation.version < history.newest {
            let what = format!("host {host} went back to {:?}", observation.version);
            oracle.report(now, BrokenRule::Config, what);
        }
        history.newest = observation.version.max(history.newest);
        let in_touch = observation
            .calm_since
            .is_some_and(|since| now >= since + self.bounds.contact_ms);
        let Some(calm_since) = observation.calm_since.filter(|_| in_touch) else {
            return;
        };
        let missing = |version: u64| observation.version.is_none_or(|known| known < version);
        for (at, version) in &self.acknowledged {
            if !missing(*version) || *version <= history.reported {
                continue;
            }
            let waited = now - at;
            // A host that came back after the acknowledgement has been in touch only since then: `waited` is not its delay.
            if calm_since <= *at {
                self.longest_config = self.longest_config.max(waited);
            }
            if waited > self.bounds.config_ms + extra_ms {
                history.reported = history.reported.max(*version);
                let shown = observation.version;
                let what = format!("host {host} has {shown:?} {waited} ms after {version}");
                oracle.report(now, BrokenRule::Config, what);
            }
        }
    }

    /// Records that a request was sent; returns its index.
    pub fn requested(&mut self, now: Millis) -> usize {
        self.requests.push(TrackedRequest {
            sent: now,
            served: false,
        });
        self.requests.len() - 1
    }

    /// Records that a request was served.
    pub fn served(&mut self, request: usize) {
        self.requests[request].served = true;
    }

    /// How many of the requests sent in `from..to` were served, and how many were sent.
    fn served_and_sent(&self, from: Millis, to: Millis) -> (usize, usize) {
        let sent = self.requests.iter();
        let sent = sent.filter(|request| (from..to).contains(&request.sent));
        sent.fold((0, 0), |(served, sent), request| {
            (served + usize::from(request.served), sent + 1)
        })
    }

    /// The share of the requests sent in `from..to` that were served, in percent; 0 where none were sent.
    pub fn served_percent(&self, from: Millis, to: Millis) -> usize {
        let (served, sent) = self.served_and_sent(from, to);
        served * 100 / sent.max(1)
    }

    /// Checks, at the end, whether enough requests were served after an outage of all hosts.
    ///
    /// The last host went down at `lost`, and the last one was back at `back`.
    pub fn check_recovery(
        &self,
        now: Millis,
        lost: Millis,
        back: Millis,
        oracle: &mut PlatformOracle,
    ) {
        let enough = |(served, sent): (usize, usize)| served * SERVED_ONE_IN >= sent;
        let after = self.served_and_sent(back + self.bounds.recovery_ms, now);
        let before = self.served_and_sent(0, lost);
        if enough(before) && after.1 >= MIN_REQUESTS && !enough(after) {
            let what = format!("{} of {} requests served", after.0, after.1);
            oracle.report(now, BrokenRule::Recover, what);
        }
    }
}
