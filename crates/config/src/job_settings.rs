//! Settings of a daemon that runs jobs on the users' platform.

use std::net::SocketAddr;

use jsonc_parser::common::Ranged;
use sandshelf_model::{HallId, LoadPolicies, LoadPolicy, Millis};

use crate::fault::FaultList;
use crate::parse::parse_object;
use crate::reader::{ObjectReader, SourceFile};

/// Milliseconds in one second.
const SECOND_MS: u64 = 1_000;

/// The default share of a processor core, in thousandths of a core: what the users' current hosts have.
const DEFAULT_PROCESSOR_MILLIS: u64 = 250;
/// The default link capacity, in thousandths of a megabit per second (kbit/s): what the users' current hosts have.
const DEFAULT_LINK_KBIT_PER_S: u64 = 1_000_000;

/// The default number of calls per second to the platform's interface to machines, in thousandths.
const DEFAULT_MACHINE_CALLS_MILLIS: u64 = 1_000;
/// The default time for which a machine is away for a move, in milliseconds.
const DEFAULT_MOVE_MS: u64 = 1_500;
/// The default time for which a machine is away for its upkeep, in milliseconds.
const DEFAULT_UPKEEP_MS: u64 = 2_000;

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
    /// The memory that the process may use, in MiB.
    pub memory_mib: u64,
    /// The number of descriptors that the process may open.
    pub max_descriptors: u64,
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
    /// How long a worker takes at most to stop a run, in milliseconds.
    pub stop_timeout_ms: Millis,
    /// How long a run takes to resume from a checkpoint, in milliseconds.
    pub restore_ms: Millis,
    /// How long a standing task may be not running, for whatever reason, before it counts as away, in milliseconds.
    pub away_after_ms: Millis,
    /// The decisions under load that are switched on.
    pub load_policies: LoadPolicies,
    /// The address of the service that advises on which workers a step may run; none if there is none.
    pub advice_address: Option<SocketAddr>,
    /// The platform's interface to machines; none if there is none.
    pub machine_api: Option<MachineApi>,
}

/// The platform's interface to machines: where it listens, and how much all hosts together may ask of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineApi {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The readings of lists per second that it answers, in thousandths.
    pub millireads_per_s: u64,
    /// The moves and upkeeps of machines per second that it accepts, in thousandths.
    pub milliorders_per_s: u64,
    /// How long a machine is away for a move, in milliseconds.
    pub move_ms: Millis,
    /// How long a machine is away for its upkeep, in milliseconds.
    pub upkeep_ms: Millis,
    /// How long a host must have done nothing to a machine before another host may, in milliseconds.
    pub holder_lease_ms: Millis,
    /// Whether the platform refuses orders with a lower fencing token than it has seen.
    pub fencing_checked: bool,
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
    let process_limits = reader.process_limits();
    let worker_orders = reader.text_or("worker_orders", "call");
    let max_lease_ms = reader.number_or("max_lease_ms", 500, 600_000, 6_000);
    let grace_s = reader.number_or("grace_s", 1, 3_600, 6);
    let keep_finished_s = reader.number_or("keep_finished_s", 1, 86_400, 120);
    let log_lines_per_s = reader.number_or("log_lines_per_s", 1, 1_000_000, 20);
    let stop_timeout_ms = reader.number_or("stop_timeout_ms", 1, 60_000, 900);
    let restore_ms = reader.number_or("restore_ms", 0, 60_000, 600);
    let away_after_ms = reader.number_or("away_after_ms", 1, 600_000, 4_500);
    let load_policies = read_policies(reader);
    let advice_address = reader.address_or_none("advice_address");
    let machine_api = read_machine_api(reader);
    let (memory_mib, max_descriptors) = process_limits?;
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
        memory_mib,
        max_descriptors,
        worker_orders: match worker_orders? {
            way if way == "call" => OrderWay::Call,
            way => OrderWay::Other(way),
        },
        max_lease_ms: max_lease_ms?,
        grace_ms: grace_s? * SECOND_MS,
        keep_finished_ms: keep_finished_s? * SECOND_MS,
        log_lines_per_s: log_lines_per_s? as u32,
        stop_timeout_ms: stop_timeout_ms?,
        restore_ms: restore_ms?,
        away_after_ms: away_after_ms?,
        load_policies: load_policies?,
        advice_address: advice_address?,
        machine_api: machine_api?,
    })
}

/// Reads the names of the decisions under load that are switched on.
fn read_policies(reader: &mut ObjectReader<'_>) -> Option<LoadPolicies> {
    let mut policies = Some(LoadPolicies::default());
    for element in reader.elements("load_policies") {
        let name = element.as_string_lit().map(|literal| &*literal.value);
        let policy = name.and_then(LoadPolicy::from_name);
        if policy.is_none() {
            let known = LoadPolicy::ALL.map(LoadPolicy::name).join(", ");
            let problem = format!("{} is no load policy", name.unwrap_or("the value"));
            reader.add_fault(
                element.range().start,
                problem,
                &format!("use one of: {known}"),
            );
        }
        policies = policies.zip(policy).map(|(known, more)| known.with(more));
    }
    policies
}

/// Reads the interface to machines, which is there if its address is.
fn read_machine_api(reader: &mut ObjectReader<'_>) -> Option<Option<MachineApi>> {
    let address = reader.address_or_none("machine_api_address");
    let millireads_per_s =
        reader.thousandths_or("machine_reads_per_s", DEFAULT_MACHINE_CALLS_MILLIS);
    let milliorders_per_s =
        reader.thousandths_or("machine_orders_per_s", DEFAULT_MACHINE_CALLS_MILLIS);
    let move_ms = reader.thousandths_or("machine_move_s", DEFAULT_MOVE_MS);
    let upkeep_ms = reader.thousandths_or("machine_upkeep_s", DEFAULT_UPKEEP_MS);
    let holder_lease_ms = reader.number_or("machine_holder_lease_ms", 1, 600_000, 3_000);
    let fencing_checked = reader.flag_or("machine_fencing_checked", false);
    let (millireads_per_s, milliorders_per_s) = (millireads_per_s?, milliorders_per_s?);
    let (move_ms, upkeep_ms) = (move_ms?, upkeep_ms?);
    let (holder_lease_ms, fencing_checked) = (holder_lease_ms?, fencing_checked?);
    let api = address?.map(|address| MachineApi {
        address,
        millireads_per_s,
        milliorders_per_s,
        move_ms,
        upkeep_ms,
        holder_lease_ms,
        fencing_checked,
    });
    Some(api)
}
