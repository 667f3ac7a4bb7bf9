//! A stand-in for the platform: table service, object store and host list over HTTP, with fault injection.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use rocket::data::{Data, ToByteUnit};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{get, post, put, routes, State};
use sandshelf_fakes::FakeTable;
use sandshelf_platform::{HostEntry, HostList, ReadRange, TableRow, TableTxn, TxnOutcome};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::serve::{launch, quiet_rocket};

/// The faults that the stand-in injects; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultPlan {
    /// The stand-in is unavailable: every call is answered with status 503 and has no effect.
    pub down: bool,
    /// Transactions are committed, but their callers get status 504 instead of the answer; conflicts are still reported.
    pub lose_answers: bool,
    /// The delay that is added to each call to the table, the object store or the host list, in milliseconds.
    pub delay_ms: u64,
    /// The host list is served as it was last read before the fault; later changes don't appear.
    pub list_frozen: bool,
}

/// The numbers of calls to the table since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Committed transactions.
    pub commits: u64,
    /// Reads of the table.
    pub reads: u64,
}

#[derive(Default)]
struct PlatformState {
    table: FakeTable,
    objects: HashMap<String, Vec<u8>>,
    hosts: BTreeMap<String, HostEntry>,
    /// The version of the host list; increases with each change.
    as_of: u64,
    /// The host list as it was last read, which is served while the list is frozen.
    served: HostList,
    faults: FaultPlan,
    reads: u64,
}

type SharedState = Mutex<PlatformState>;

/// Starts the stand-in on this port of the loopback address, 0 for a free one; returns the address.
pub async fn start_platform(port: u16) -> SocketAddr {
    let rocket = quiet_rocket(port)
        .manage(SharedState::default())
        .mount("/", routes![read, transact, put_object, get_object, hosts])
        .mount("/standin", routes![set_host, set_faults, counts]);
    launch(rocket).await
}

/// Applies the delay of the current faults and returns the faults; fails with status 503 where the stand-in is down.
async fn apply_faults(state: &SharedState) -> Result<FaultPlan, Status> {
    let faults = state.lock().expect("no handler panics").faults.clone();
    if faults.delay_ms > 0 {
        sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.down {
        return Err(Status::ServiceUnavailable);
    }
    Ok(faults)
}

#[post("/table/read", data = "<range>")]
async fn read(
    state: &State<SharedState>,
    range: Json<ReadRange>,
) -> Result<Json<Vec<TableRow>>, Status> {
    apply_faults(state).await?;
    let mut state = state.lock().expect("no handler panics");
    state.reads += 1;
    Ok(Json(state.table.range(&range)))
}

#[post("/table/transact", data = "<txn>")]
async fn transact(
    state: &State<SharedState>,
    txn: Json<TableTxn>,
) -> Result<Json<TxnOutcome>, Status> {
    let faults = apply_faults(state).await?;
    let outcome = state
        .lock()
        .expect("no handler panics")
        .table
        .transact(&txn);
    if faults.lose_answers && matches!(outcome, TxnOutcome::Committed(_)) {
        return Err(Status::GatewayTimeout);
    }
    Ok(Json(outcome))
}

#[put("/objects/<digest>", data = "<data>")]
async fn put_object(
    state: &State<SharedState>,
    digest: &str,
    data: Data<'_>,
) -> Result<Status, Status> {
    apply_faults(state).await?;
    let bytes = data.open(256.mebibytes()).into_bytes().await;
    let bytes = bytes.map_err(|_| Status::BadRequest)?.into_inner();
    let mut state = state.lock().expect("no handler panics");
    state.objects.insert(digest.to_owned(), bytes);
    Ok(Status::Ok)
}

#[get("/objects/<digest>")]
async fn get_object(state: &State<SharedState>, digest: &str) -> Result<Vec<u8>, Status> {
    apply_faults(state).await?;
    let state = state.lock().expect("no handler panics");
    state.objects.get(digest).cloned().ok_or(Status::NotFound)
}

#[get("/hosts")]
async fn hosts(state: &State<SharedState>) -> Result<Json<HostList>, Status> {
    apply_faults(state).await?;
    let mut state = state.lock().expect("no handler panics");
    if !state.faults.list_frozen {
        state.served = HostList {
            as_of: state.as_of,
            hosts: state.hosts.values().cloned().collect(),
        };
    }
    Ok(Json(state.served.clone()))
}

#[post("/hosts", data = "<entry>")]
fn set_host(state: &State<SharedState>, entry: Json<HostEntry>) {
    let mut state = state.lock().expect("no handler panics");
    state.as_of += 1;
    state.hosts.insert(entry.name.clone(), entry.into_inner());
}

#[post("/faults", data = "<plan>")]
fn set_faults(state: &State<SharedState>, plan: Json<FaultPlan>) {
    state.lock().expect("no handler panics").faults = plan.into_inner();
}

#[get("/counts")]
fn counts(state: &State<SharedState>) -> Json<CallCounts> {
    let state = state.lock().expect("no handler panics");
    Json(CallCounts {
        commits: state.table.commits,
        reads: state.reads,
    })
}
