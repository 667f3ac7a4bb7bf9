//! How fit a host is to own the shard: its owner is by far the busiest of the hosts.

use rand::RngExt;
use sandshelf_config::JobSettings;

/// From this share of a core on a host is strong, in thousandths: an owner of 490 workers uses 300.
const STRONG_PROCESSOR_MILLIS: u64 = 400;
/// Below this share it is weak, in thousandths: an owner of 66 workers uses up to 100 for a while.
const WEAK_PROCESSOR_MILLIS: u64 = 200;
/// Below this its link makes it weak, in thousandths of a megabit a second: an owner of 490 workers reads some 4 megabits.
const WEAK_LINK_KBIT_PER_S: u64 = 20_000;

/// How fit a host is to own the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostStrength {
    Strong,
    Middling,
    Weak,
}

impl HostStrength {
    /// By what the settings say of the host.
    pub(super) fn of(settings: &JobSettings) -> Self {
        let thin = settings.link_kbit_per_s < WEAK_LINK_KBIT_PER_S;
        match settings.processor_millicores {
            millis if thin || millis < WEAK_PROCESSOR_MILLIS => HostStrength::Weak,
            millis if millis >= STRONG_PROCESSOR_MILLIS => HostStrength::Strong,
            _ => HostStrength::Middling,
        }
    }

    /// Draws a place in the order in which hosts claim a free shard; equally fit hosts seldom get the same.
    pub(super) fn draw_rank(self) -> u32 {
        let ranks = match self {
            HostStrength::Strong => 0..3,
            HostStrength::Middling => 3..8,
            HostStrength::Weak => 12..17,
        };
        rand::rng().random_range(ranks)
    }
}
