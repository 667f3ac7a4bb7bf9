//! Settings of a daemon that runs jobs on the users' platform.

use std::net::SocketAddr;

use sandshelf_model::{HallId, Millis};

use crate::fault::FaultList;
use crate::parse::parse_object;
use crate::reader::{ObjectReader, SourceFile};

/// Milliseconds in one second.
const SECOND_MS: u64 = 1_000;

/// The default share of a processor core, in thousandths of a core: what the users' current hosts have.
const DEFAULT_PROCESSOR_MILLIS: u64 = 250;
/// The default link capacity, in thousandths of a megabit per second (kbit/s): what the users' current hosts have.
const DEFAULT_LINK_KBIT_PER_S: u64 = 1_000_000;

/// How orders are sent to workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderWay {
    /// By calls to each worker (`call` in the settings).
    Call,
    /// In another way, which this version does not support: the daemon starts no task. Holds the text of the setting.
    Other(String),
}

/// Checked settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSettings {
    /// The name of this entry host; the daemon appends its incarnation.
    pub host: String,
    /// The hall in which the host is located.
    pub hall: HallId,
    /// The address to which callers connect.
    pub caller_address: SocketAddr,
    /// The address at which the load balancer asks whether the host accepts connections.
    pub ready_address: SocketAddr,
    /// The address at which metrics are served; none if they are not served.
    pub metrics_address: Option<SocketAddr>,
    /// The address to which other hosts connect that relay orders while this host owns the shard; none if this host calls all workers
    /// itself.
    pub relay_address: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The host's share of a processor, in thousandths of a core.
    pub processor_millicores: u64,
    /// The capacity of the host's link, in thousandths of a megabit per second (kbit/s).
    pub link_kbit_per_s: u64,
    /// How orders are sent to workers.
    pub worker_orders: OrderWay,
    /// The longest lease that a worker grants, in milliseconds.
    pub max_lease_ms: Millis,
    /// How long a planned stop of the daemon may take, in milliseconds.
    pub grace_ms: Millis,
    /// How long the state of a finished job is kept, in milliseconds.
    pub keep_finished_ms: Millis,
    /// The maximum number of log lines per second for each event.
    pub log_lines_per_s: u32,
}

/// Parses and checks a settings file.
///
/// # Errors
/// All faults of the file, each with line, column and remedy.
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
