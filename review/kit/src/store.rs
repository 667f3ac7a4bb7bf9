//! A stand-in of the platform's store in its `table` form, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Server};
use crate::json::{base64, quoted, Json};
use crate::record::{note, now_ms};

/// How long a transaction takes (`txn_ms`), and an answer to a read.
const TXN: Duration = Duration::from_millis(5);
const READ: Duration = Duration::from_millis(4);
/// The most entries and bytes of a transaction.
const MAX_ENTRIES: usize = 100;
const MAX_BYTES: usize = 1_000_000;
/// The most rows and bytes of a page.
const MAX_ROWS: usize = 500;
/// The longest value of a row, in base64.
const MAX_VALUE: usize = 65_536 * 4 / 3 + 4;

/// How the store is disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// It works.
    None,
    /// It is down: each call gets 503, and nothing is done.
    Busy,
    /// It is down: each connection is closed without an answer, and nothing is done.
    Reset,
    /// Each third transaction is not answered and carried out this many milliseconds later, if its condition still holds.
    LostLate(u64),
}

type RowName = (String, String, String);

#[derive(Clone, Debug)]
struct Row {
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<RowName, Row>,
    version: u64,
    fault: Option<StoreFault>,
    transactions: u64,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub server: Server,
}

/// An address of the store for one host.
#[derive(Clone)]
pub struct Door {
    pub server: Server,
    fault: Arc<Mutex<StoreFault>>,
}

impl Door {
    /// Sets how the host behind this address is turned away; only [`StoreFault::Busy`] and [`StoreFault::Reset`] apply.
    pub fn set_fault(&self, fault: StoreFault) {
        note(format!("store at {}: {fault:?}", self.server.address));
        *self.fault.lock().unwrap() = fault;
    }
}

impl Store {
    pub fn start() -> Self {
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let handler = shared.clone();
        let server = Server::start(move |request| handle(&handler, request));
        Self { shared, server }
    }

    /// Opens another address of the store, at which it can turn callers away while it serves the others.
    pub fn open_door(&self) -> Door {
        let fault = Arc::new(Mutex::new(StoreFault::None));
        let (shared, known) = (self.shared.clone(), fault.clone());
        let server = Server::start(move |request| {
            let fault = *known.lock().unwrap();
            match fault {
                StoreFault::Busy => Reply::Answer(503, "{}".into()),
                StoreFault::Reset => Reply::Close,
                StoreFault::None | StoreFault::LostLate(_) => {
                    let parked = request.path == "/rows-feed";
                    let reply = handle(&shared, request);
                    let turned_away = *known.lock().unwrap() != StoreFault::None;
                    // A feed that was parked before the caller was turned away ends with it. What was done is answered.
                    match parked && turned_away {
                        true => Reply::Answer(503, "{}".into()),
                        false => reply,
                    }
                }
            }
        });
        Door { server, fault }
    }

    /// Sets the disturbance from now on. Parked feeds end with it.
    pub fn set_fault(&self, fault: StoreFault) {
        note(format!("store fault {fault:?}"));
        self.shared.0.lock().unwrap().fault = Some(fault);
        self.shared.1.notify_all();
    }

    /// Writes a row as the operator and the executors do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write_row(table, key, Some(base64(value.as_bytes())));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write_row(table, key, None);
    }

    fn write_row(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.shared.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let name = (table.to_owned(), String::new(), key.to_owned());
        state.rows.insert(name, Row { value, version });
        self.shared.1.notify_all();
    }
}

fn fault_of(state: &State) -> StoreFault {
    state.fault.unwrap_or(StoreFault::None)
}

fn handle(shared: &Arc<(Mutex<State>, Condvar)>, request: Request) -> Reply {
    let fault = fault_of(&shared.0.lock().unwrap());
    match fault {
        StoreFault::Busy => return Reply::Answer(503, "{}".into()),
        StoreFault::Reset => return Reply::Close,
        StoreFault::None | StoreFault::LostLate(_) => {}
    }
    match request.path.as_str() {
        "/rows-tx" => transact(shared, &request.body),
        "/rows-get" => read(shared, &request),
        "/rows-feed" => feed(shared, &request),
        _ => Reply::Answer(404, "{}".into()),
    }
}

fn name_of(entry: &Json) -> RowName {
    let field = |name: &str| entry.get(name).text().to_owned();
    (field("table"), field("part"), field("key"))
}

fn row_json(name: &RowName, row: &Row) -> String {
    let (table, part, key) = name;
    let content = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"schema_version\":{},{content}}}",
        quoted(table),
        quoted(part),
        quoted(key),
        row.version
    )
}

fn transact(shared: &Arc<(Mutex<State>, Condvar)>, body: &str) -> Reply {
    let parsed = Json::parse(body);
    let entries =
        ["expected_revision", "puts", "remove"].map(|part| parsed.get(part).items().len());
    let long = |put: &Json| put.get("value").text().len() > MAX_VALUE;
    let too_long = parsed.get("puts").items().iter().any(long);
    if entries.iter().sum::<usize>() > MAX_ENTRIES || body.len() > MAX_BYTES || too_long {
        note("store refused a transaction that is too large");
        return Reply::Answer(400, "{}".into());
    }
    let late = {
        let mut state = shared.0.lock().unwrap();
        state.transactions += 1;
        match fault_of(&state) {
            StoreFault::LostLate(delay) if state.transactions.is_multiple_of(3) => Some(delay),
            _ => None,
        }
    };
    if let Some(delay) = late {
        let shared = shared.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(delay));
            let keys: Vec<String> = parsed
                .get("puts")
                .items()
                .iter()
                .map(|put| name_of(put).2)
                .collect();
            let done = commit(&shared, &parsed);
            let done = if done.is_ok() {
                "carried out"
            } else {
                "not carried out: its condition does not hold"
            };
            note(format!(
                "store: late transaction with {} {done}",
                keys.join(",")
            ));
        });
        return Reply::Silence;
    }
    thread::sleep(TXN);
    match commit(shared, &parsed) {
        Ok(version) => Reply::Answer(
            200,
            format!("{{\"schema_version\":{version},\"now_ms\":{}}}", now_ms()),
        ),
        Err(rows) => Reply::Answer(412, rows),
    }
}

/// Carries out a transaction; returns its version, or the answer of one whose condition does not hold.
fn commit(shared: &Arc<(Mutex<State>, Condvar)>, body: &Json) -> Result<u64, String> {
    let mut state = shared.0.lock().unwrap();
    let checks = body.get("expected_revision").items();
    let current = |check: &Json| {
        let row = state.rows.get(&name_of(check));
        row.filter(|row| row.value.is_some())
            .map_or(0, |row| row.version)
    };
    let is_met = |check: &Json| check.get("schema_version").number() == Some(current(check));
    if !checks.iter().all(is_met) {
        let rows: Vec<String> = checks
            .iter()
            .filter_map(|check| {
                let name = name_of(check);
                let row = state.rows.get(&name).filter(|row| row.value.is_some())?;
                Some(row_json(&name, row))
            })
            .collect();
        return Err(format!(
            "{{\"rows\":[{}],\"schema_version\":{},\"now_ms\":{}}}",
            rows.join(","),
            state.version,
            now_ms()
        ));
    }
    state.version += 1;
    let version = state.version;
    for put in body.get("puts").items() {
        let value = Some(put.get("value").text().to_owned());
        state.rows.insert(name_of(put), Row { value, version });
    }
    for gone in body.get("remove").items() {
        let value = None;
        state.rows.insert(name_of(gone), Row { value, version });
    }
    drop(state);
    shared.1.notify_all();
    Ok(version)
}

fn read(shared: &Arc<(Mutex<State>, Condvar)>, request: &Request) -> Reply {
    thread::sleep(READ);
    let argument = |name: &str| request.query.get(name).cloned().unwrap_or_default();
    let (table, part, from) = (argument("table"), argument("part"), argument("from"));
    let to = request.query.get("target_version");
    let limit = argument("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
    let state = shared.0.lock().unwrap();
    let (mut rows, mut bytes, mut has_more) = (Vec::new(), 0, false);
    for (name, row) in &state.rows {
        let before_end = to.is_none_or(|to| name.2 < *to);
        if name.0 != table || name.1 != part || name.2 < from || !before_end || row.value.is_none()
        {
            continue;
        }
        let row = row_json(name, row);
        if rows.len() >= limit || bytes + row.len() > MAX_BYTES {
            has_more = true;
            break;
        }
        bytes += row.len();
        rows.push(row);
    }
    Reply::Answer(
        200,
        format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"schema_version\":{},\"now_ms\":{}}}",
            rows.join(","),
            state.version,
            now_ms()
        ),
    )
}

fn feed(shared: &Arc<(Mutex<State>, Condvar)>, request: &Request) -> Reply {
    let argument = |name: &str| request.query.get(name).cloned().unwrap_or_default();
    let table = argument("table");
    let after: u64 = argument("after").parse().unwrap_or(0);
    let wait: u64 = argument("wait_ms").parse().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait.min(30_000));
    let mut state = shared.0.lock().unwrap();
    loop {
        match fault_of(&state) {
            StoreFault::Busy => return Reply::Answer(503, "{}".into()),
            StoreFault::Reset => return Reply::Close,
            StoreFault::None | StoreFault::LostLate(_) => {}
        }
        let newer = state.rows.iter();
        let newer = newer.filter(|((of, ..), row)| *of == table && row.version > after);
        let mut newer: Vec<_> = newer.collect();
        newer.sort_by_key(|(_, row)| row.version);
        let left = until.saturating_duration_since(Instant::now());
        if !newer.is_empty() || left.is_zero() {
            let rows: Vec<String> = newer
                .iter()
                .map(|(name, row)| row_json(name, row))
                .collect();
            return Reply::Answer(
                200,
                format!(
                    "{{\"rows\":[{}],\"schema_version\":{},\"now_ms\":{}}}",
                    rows.join(","),
                    state.version,
                    now_ms()
                ),
            );
        }
        state = shared.1.wait_timeout(state, left).unwrap().0;
    }
}
