//! The settings of a daemon that serves jobs on the users' platform.

use std::net::SocketAddr;

use sandshelf_model::{HallId, Millis};

use crate::fault::FaultList;
use crate::parse::parse_object;
use crate::reader::{ObjectReader, SourceFile};

/// Milliseconds of a second.
const SECOND_MS: u64 = 1_000;

/// What a host is taken to have of a core where the settings don't say: the users' hosts of today.
const DEFAULT_PROCESSOR_MILLIS: u64 = 250;
/// What its link is taken to carry then.
const DEFAULT_LINK_KBIT_PER_S: u64 = 1_000_000;

/// How workers are told what to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderWay {
    /// By calls to each worker.
    Call,
    /// In some other way, which this version does not speak.
    Other(String),
}

/// Checked settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSettings {
    /// This entry host's name; the daemon adds its incarnation.
    pub host: String,
    /// The hall that it stands in.
    pub hall: HallId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether the host takes connections.
    pub ready_address: SocketAddr,
    /// Where the metrics are served; none for nowhere.
    pub metrics_address: Option<SocketAddr>,
    /// Where other hosts connect that carry orders while this one owns the shard; none where it calls all workers itself.
    pub relay_address: Option<SocketAddr>,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// What the host has of a processor core, in thousandths.
    pub processor_millicores: u64,
    /// What its link carries, in thousandths of a megabit a second.
    pub link_kbit_per_s: u64,
    /// How workers are told what to do.
    pub worker_orders: OrderWay,
    /// The longest lease that a worker grants.
    pub max_lease_ms: Millis,
    /// How long a planned stop of the daemon may take.
    pub grace_ms: Millis,
    /// How long the state of a finished job is kept.
    pub keep_finished_ms: Millis,
    /// The most lines of one event that are logged in each second.
    pub log_lines_per_s: u32,
}

/// Parses and checks a settings file.
///
/// # Errors
/// Every fault of the file, with line, column and remedy.
pub fn parse_job_settings(file: &SourceFile) -> Result<JobSettings, FaultList> {
    parse_object(file, read_settings)
}

fn read_settings(reader: &mut ObjectReader<'_>) -> Option<JobSettings> {
    let host = reader.name("host");
    let hall = reader.name("hall");
    let caller_address = reader.address("caller_address");
    let ready_address = reader.address("ready_address");
    let metrics_address = reader.address_or_none("metrics_address");
    let relay_address = reader.address_or_none("relay_address");
    let store_address = reader.address("store_address");
    let processor_millicores = reader.thousandths_or("processor_share", DEFAULT_PROCESSOR_MILLIS);
    let link_kbit_per_s = reader.thousandths_or("link_mbit_per_s", DEFAULT_LINK_KBIT_PER_S);
    let worker_orders = reader.text_or("worker_orders", "call");
    let max_lease_ms = reader.number_or("max_lease_ms", 500, 600_000, 6_000);
    let grace_s = reader.number_or("grace_s", 1, 3_600, 6);
    let keep_finished_s = reader.number_or("keep_finished_s", 1, 86_400, 120);
    let log_lines_per_s = reader.number_or("log_lines_per_s", 1, 1_000_000, 20);
    Some(JobSettings {
        host: host?,
        hall: HallId::from(hall?),
        caller_address: caller_address?,
        ready_address: ready_address?,
        metrics_address: metrics_address?,
        relay_address: relay_address?,
        store_address: store_address?,
        processor_millicores: processor_millicores?,
        link_kbit_per_s: link_kbit_per_s?,
        worker_orders: match worker_orders? {
            way if way == "call" => OrderWay::Call,
            way => OrderWay::Other(way),
        },
        max_lease_ms: max_lease_ms?,
        grace_ms: grace_s? * SECOND_MS,
        keep_finished_ms: keep_finished_s? * SECOND_MS,
        log_lines_per_s: log_lines_per_s? as u32,
    })
}
