//! Rates how well a host is suited to own the shard: the owner is by far the busiest of the hosts.

use rand::RngExt;
use sandshelf_config::JobSettings;

/// The processor capacity from which a host is strong, in thousandths of a core: an owner of 490 workers uses 300.
const STRONG_PROCESSOR_MILLICORES: u64 = 400;
/// The processor capacity below which a host is weak, in thousandths of a core: an owner of 66 workers uses up to 100 at times.
const WEAK_PROCESSOR_MILLICORES: u64 = 200;
/// The link speed below which a host is weak, in kbit/s: an owner of 490 workers reads some 4 Mbit/s.
const WEAK_LINK_KBIT_PER_S: u64 = 20_000;

/// How well a host is suited to own the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostStrength {
    Strong,
    Medium,
    Weak,
}

impl HostStrength {
    /// Rates a host by its processor capacity and link speed in the settings.
    pub(super) fn of(settings: &JobSettings) -> Self {
        let slow_link = settings.link_kbit_per_s < WEAK_LINK_KBIT_PER_S;
        match settings.processor_millicores {
            millicores if slow_link || millicores < WEAK_PROCESSOR_MILLICORES => HostStrength::Weak,
            millicores if millicores >= STRONG_PROCESSOR_MILLICORES => HostStrength::Strong,
            _ => HostStrength::Medium,
        }
    }

    /// Draws a random rank in the order in which hosts claim a free shard; hosts of equal strength seldom get the same rank.
    pub(super) fn draw_rank(self) -> u32 {
        let ranks = match self {
            HostStrength::Strong => 0..30,
            HostStrength::Medium => 30..80,
            HostStrength::Weak => 120..170,
        };
        rand::rng().random_range(ranks)
    }
}
