//! Checks what callers and operators see of hosts: configurations in force in time, and requests served again.

use std::collections::{BTreeMap, VecDeque};

use sandshelf_model::Millis;

use super::{BrokenRule, PlatformOracle, RuleBounds};

/// Of the requests after a recovery at least one in so many has to be served, where that was so before.
const SERVED_ONE_IN: usize = 4;
/// With fewer requests than this nothing can be said of a share.
const LEAST_REQUESTS: usize = 8;

/// What is seen of a host at one moment.
#[derive(Clone, Copy, Debug)]
pub struct HostObservation {
    /// Which life of its process it is.
    pub life: u32,
    /// The version of the configuration in force; none before the first.
    pub version: Option<u64>,
    /// Since when nothing has disturbed it; none while something does.
    pub calm_since: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Default)]
struct HostPast {
    life: u32,
    /// The newest version seen in force in this life.
    newest: Option<u64>,
    /// The newest version of which it was told that it is missing here.
    told: u64,
}

/// One request of a caller.
#[derive(Clone, Copy, Debug)]
struct SeenRequest {
    sent: Millis,
    served: bool,
}

/// What is seen of all hosts.
#[derive(Debug, Default)]
pub struct HostOracle {
    bounds: RuleBounds,
    /// Acknowledged versions that may be late somewhere, with when they were acknowledged.
    acknowledged: VecDeque<(Millis, u64)>,
    hosts: BTreeMap<usize, HostPast>,
    requests: Vec<SeenRequest>,
    /// The longest that a version took to be in force on a host in touch, in milliseconds.
    pub longest_config: Millis,
}

impl HostOracle {
    /// An oracle with some bounds.
    pub fn new(bounds: RuleBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// The store has acknowledged a version of the configuration.
    pub fn configured(&mut self, now: Millis, version: u64) {
        self.acknowledged.push_back((now, version));
    }

    /// Looks at one host; `stretch` is added to the bound while the store is unstable.
    pub fn look(
        &mut self,
        now: Millis,
        host: usize,
        sight: &HostObservation,
        stretch: Millis,
        oracle: &mut PlatformOracle,
    ) {
        let past = self.hosts.entry(host).or_default();
        if past.life != sight.life {
            *past = HostPast {
                life: sight.life,
                told: past.told,
                ..HostPast::default()
            };
        }
        if sight.version < past.newest {
            let what = format!("host {host} went back to {:?}", sight.version);
            oracle.report(now, BrokenRule::Config, what);
        }
        past.newest = sight.version.max(past.newest);
        let in_touch = sight
            .calm_since
            .is_some_and(|since| now >= since + self.bounds.contact_ms);
        let Some(calm_since) = sight.calm_since.filter(|_| in_touch) else {
            return;
        };
        let missing = |version: u64| sight.version.is_none_or(|known| known < version);
        for (at, version) in &self.acknowledged {
            if !missing(*version) || *version <= past.told {
                continue;
            }
            let waited = now - at;
            // Where the host came back after the acknowledgement, it is in touch only now.
            if calm_since <= *at {
                self.longest_config = self.longest_config.max(waited);
            }
            if waited > self.bounds.config_ms + stretch {
                past.told = past.told.max(*version);
                let shown = sight.version;
                let what = format!("host {host} has {shown:?} {waited} ms after {version}");
                oracle.report(now, BrokenRule::Config, what);
            }
        }
    }

    /// A request was sent; returns its number.
    pub fn requested(&mut self, now: Millis) -> usize {
        self.requests.push(SeenRequest {
            sent: now,
            served: false,
        });
        self.requests.len() - 1
    }

    /// A request was served.
    pub fn served(&mut self, request: usize) {
        self.requests[request].served = true;
    }

    fn share(&self, from: Millis, to: Millis) -> (usize, usize) {
        let sent = self.requests.iter();
        let sent = sent.filter(|request| (from..to).contains(&request.sent));
        sent.fold((0, 0), |(served, sent), request| {
            (served + usize::from(request.served), sent + 1)
        })
    }

    /// How many of the requests sent in a time were served, in percent.
    pub fn served_percent(&self, from: Millis, to: Millis) -> usize {
        let (served, sent) = self.share(from, to);
        served * 100 / sent.max(1)
    }

    /// Looks, at the end, whether enough requests were served after the last time that all hosts were lost and came back.
    pub fn check_recovery(
        &self,
        now: Millis,
        lost: Millis,
        back: Millis,
        oracle: &mut PlatformOracle,
    ) {
        let enough = |(served, sent): (usize, usize)| served * SERVED_ONE_IN >= sent;
        let after = self.share(back + self.bounds.recovery_ms, now);
        let before = self.share(0, lost);
        if enough(before) && after.1 >= LEAST_REQUESTS && !enough(after) {
            let what = format!("{} of {} requests served", after.0, after.1);
            oracle.report(now, BrokenRule::Recover, what);
        }
    }
}
