//! Describes a host's resources and faults, and how suitable it is as shard owner.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sandshelf_model::Millis;

// As in the daemon's `jobs/owner/strength.rs`.
const STRONG_PROCESSOR_MILLICORES: u64 = 400;
const WEAK_PROCESSOR_MILLICORES: u64 = 200;
const WEAK_LINK_KBIT_PER_S: u64 = 20_000;

/// The time limit of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferLimit {
    /// Limit for the whole transfer, in milliseconds.
    Whole(Millis),
    /// Limit for the time between two arrivals of bytes, in milliseconds; the whole transfer may take any time.
    Stalled(Millis),
}

/// Resources and behaviour of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostModel {
    /// Its processor share, in thousandths of a core.
    pub processor_millis: u64,
    /// Bandwidth of its link in each direction, in kilobits per second.
    pub link_kbit_per_s: u64,
    /// Time limit for the transfer of a configuration.
    pub config_limit: TransferLimit,
    /// The fault that it is emulated with.
    pub fault: HostFault,
}

/// A deliberate fault of a host, with which tests check that the oracle reports broken rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostFault {
    /// No fault.
    #[default]
    None,
    /// After a takeover it never finishes reading the stored state.
    EndlessTakeover,
    /// After a takeover it ignores the stored progress of jobs.
    BlindTakeover,
    /// It does not send orders to stop runs.
    NoStops,
    /// It ignores that another host may have become the owner.
    NeverUnsure,
}

/// How suitable a host is as shard owner, which decides the order in which hosts claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStrength {
    /// Claims first.
    Strong,
    /// Claims if no strong host does.
    Medium,
    /// Claims last.
    Weak,
}

impl HostStrength {
    /// Derives the strength from the host's processor share and link.
    pub fn of(model: &HostModel) -> Self {
        let thin = model.link_kbit_per_s < WEAK_LINK_KBIT_PER_S;
        match model.processor_millis {
            millis if thin || millis < WEAK_PROCESSOR_MILLICORES => HostStrength::Weak,
            millis if millis >= STRONG_PROCESSOR_MILLICORES => HostStrength::Strong,
            _ => HostStrength::Medium,
        }
    }

    /// Draws a rank; hosts with lower ranks claim earlier.
    pub(super) fn draw_rank(self, random: &mut ChaCha8Rng) -> u32 {
        random.random_range(match self {
            HostStrength::Strong => 0..30,
            HostStrength::Medium => 30..80,
            HostStrength::Weak => 120..170,
        })
    }
}
