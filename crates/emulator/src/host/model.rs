//! What a host is made of, and how fit that makes it to own the shard.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sandshelf_model::Millis;

// As in the daemon's `jobs/owner/strength.rs`.
const STRONG_PROCESSOR_MILLICORES: u64 = 400;
const WEAK_PROCESSOR_MILLICORES: u64 = 200;
const WEAK_LINK_KBIT_PER_S: u64 = 20_000;

/// How long a transfer may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferLimit {
    /// So long as a whole, in milliseconds.
    Whole(Millis),
    /// Any time, as long as bytes come at least this often, in milliseconds.
    Stalled(Millis),
}

/// What a host is made of and how it behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostModel {
    /// What it has of a core, in thousandths.
    pub processor_millis: u64,
    /// What its link carries, in thousandths of a megabit a second.
    pub link_kbit_per_s: u64,
    /// How long the transfer of a configuration may take.
    pub config_limit: TransferLimit,
    /// What is wrong with it.
    pub fault: HostFault,
}

/// What is wrong with a host, so that rules can be seen to be broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostFault {
    /// Nothing.
    #[default]
    None,
    /// What it reads as a successor never comes whole.
    EndlessTakeover,
    /// As a successor it knows nothing of what is done.
    BlindTakeover,
    /// It keeps calls to stop to itself.
    NoStops,
    /// It never takes into account that it may have been followed.
    NeverUnsure,
}

/// How fit a host is to own the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStrength {
    /// Claims first.
    Strong,
    /// Claims where no strong one does.
    Middling,
    /// Claims last.
    Weak,
}

impl HostStrength {
    /// By what a host is made of.
    pub fn of(model: &HostModel) -> Self {
        let thin = model.link_kbit_per_s < WEAK_LINK_KBIT_PER_S;
        match model.processor_millis {
            millis if thin || millis < WEAK_PROCESSOR_MILLICORES => HostStrength::Weak,
            millis if millis >= STRONG_PROCESSOR_MILLICORES => HostStrength::Strong,
            _ => HostStrength::Middling,
        }
    }

    pub(super) fn draw_rank(self, random: &mut ChaCha8Rng) -> u32 {
        random.random_range(match self {
            HostStrength::Strong => 0..3,
            HostStrength::Middling => 3..8,
            HostStrength::Weak => 12..17,
        })
    }
}
