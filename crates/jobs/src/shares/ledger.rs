//! Compares the service that parties have received with the service that was due to them. Both decay. Pure.

use std::collections::BTreeMap;

use sandshelf_model::Millis;

/// The time in which what was due and what was received decay by a factor of e. It covers a burst, and old imbalances fade.
const DECAY_MS: f64 = 15_000.0;
/// The smallest amount due from which a party can be behind, in jobs.
const MIN_DUE: f64 = 1.0;

/// The decayed service of one party.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ServiceAccount {
    due: f64,
    received: f64,
    at: Millis,
}

impl ServiceAccount {
    fn decay_to(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.at) as f64;
        let factor = (-passed / DECAY_MS).exp();
        self.due *= factor;
        self.received *= factor;
        self.at = self.at.max(now);
    }

    fn served_share(&self) -> f64 {
        self.received / self.due.max(f64::MIN_POSITIVE)
    }
}

/// The service of the parties of one kind, such as the queues of a priority.
#[derive(Clone, Debug)]
pub(crate) struct ServiceLedger<K> {
    accounts: BTreeMap<K, ServiceAccount>,
    all: ServiceAccount,
}

impl<K> Default for ServiceLedger<K> {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
            all: ServiceAccount::default(),
        }
    }
}

impl<K: Ord> ServiceLedger<K> {
    /// Records an amount that a party asks for.
    pub(crate) fn add_due(&mut self, now: Millis, party: K, amount: f64) {
        let account = self.accounts.entry(party).or_default();
        for account in [account, &mut self.all] {
            account.decay_to(now);
            account.due += amount;
        }
    }

    /// Records an amount that a party has received.
    pub(crate) fn add_received(&mut self, now: Millis, party: K, amount: f64) {
        let account = self.accounts.entry(party).or_default();
        for account in [account, &mut self.all] {
            account.decay_to(now);
            account.received += amount;
        }
    }

    /// Whether a party has received a smaller part of its due than this share of what all parties received of theirs.
    pub(crate) fn is_behind(&self, party: &K, share: f64) -> bool {
        let account = self.accounts.get(party);
        account.is_some_and(|account| {
            account.due >= MIN_DUE && account.served_share() < self.all.served_share() * share
        })
    }
}
