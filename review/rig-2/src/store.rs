//! A sound store of the platform: rows in tables, conditional transactions, ranges and a feed. One test may have it lose answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{serve, Reply, Request};
use crate::json::{int, map, parse, text, Json};
use crate::record::now_ms;

/// How long a transaction takes, in milliseconds.
const TXN_MS: u64 = 5;
/// The most rows of a page.
const MAX_PAGE_ROWS: usize = 500;
/// The most bytes of a page.
const MAX_PAGE_BYTES: usize = 1_000_000;
/// The most entries and bytes of a transaction.
const MAX_TX_ENTRIES: usize = 100;
const MAX_TX_BYTES: usize = 1_000_000;

type Name = (String, String, String);

#[derive(Default)]
struct State {
    /// The value in base64, none for a removed row, and the version.
    rows: BTreeMap<Name, (Option<String>, u64)>,
    version: u64,
}

/// Decides for a transaction, by its puts as (table, key), whether its answer is lost and after how many milliseconds it is done.
pub type LateRule = Box<dyn Fn(&[(String, String)]) -> Option<u64> + Send + Sync>;

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    late: Mutex<Option<LateRule>>,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store::default());
        let served = store.clone();
        let (_, address) = serve(move |request| served.clone().handle(request));
        (store, address)
    }

    /// From now on, this rule says which answers are lost.
    pub fn set_late(&self, rule: Option<LateRule>) {
        *self.late.lock().unwrap() = rule;
    }

    /// Writes a row as the operator or an executor does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let value = Some(base64(value.to_string().as_bytes()));
        state.rows.insert(name, (value, version));
        drop(state);
        self.changed.notify_all();
    }

    /// Removes a row as the platform does.
    pub fn remove(&self, table: &str, key: &str) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert(name, (None, version));
        drop(state);
        self.changed.notify_all();
    }

    fn handle(self: Arc<Self>, request: Request) -> Reply {
        match request.path.as_str() {
            "/rows-tx" => self.transact(&request),
            "/rows-get" => self.read(&request),
            "/rows-feed" => self.feed(&request),
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }

    fn transact(self: Arc<Self>, request: &Request) -> Reply {
        let Some(body) = parse(&request.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let entries = ["expected_revision", "puts", "remove"];
        let entries: usize = entries.iter().map(|name| body.get(name).list().len()).sum();
        if entries > MAX_TX_ENTRIES || request.body.len() > MAX_TX_BYTES {
            return Reply::Answer(400, "{}".to_owned());
        }
        thread::sleep(Duration::from_millis(TXN_MS));
        let puts = body.get("puts").list().iter();
        let puts: Vec<(String, String)> = puts
            .map(|put| {
                (
                    put.get("table").text().to_owned(),
                    put.get("key").text().to_owned(),
                )
            })
            .collect();
        let late = self
            .late
            .lock()
            .unwrap()
            .as_ref()
            .and_then(|rule| rule(&puts));
        let Some(late_ms) = late else {
            return self.execute(&body);
        };
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(late_ms));
            let done = matches!(self.execute(&body), Reply::Answer(200, _));
            crate::record::note(format!("store: the late write is done: {done} {puts:?}"));
        });
        Reply::Silence
    }

    fn execute(&self, body: &Json) -> Reply {
        let mut state = self.state.lock().unwrap();
        let checks = body.get("expected_revision").list();
        let holds = checks.iter().all(|check| {
            let version = match state.rows.get(&name_of(check)) {
                Some((Some(_), version)) => *version,
                _ => 0,
            };
            Some(version as i64) == check.get("schema_version").int()
        });
        if !holds {
            let rows = checks
                .iter()
                .filter_map(|check| state.shown(&name_of(check)));
            let rows = Json::List(rows.collect());
            return answer(412, &state, vec![("rows", rows)]);
        }
        state.version += 1;
        let version = state.version;
        for put in body.get("puts").list() {
            let value = Some(put.get("value").text().to_owned());
            state.rows.insert(name_of(put), (value, version));
        }
        for removed in body.get("remove").list() {
            state.rows.insert(name_of(removed), (None, version));
        }
        let reply = answer(200, &state, Vec::new());
        drop(state);
        self.changed.notify_all();
        reply
    }

    fn read(&self, request: &Request) -> Reply {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let limit = field("limit")
            .parse()
            .unwrap_or(MAX_PAGE_ROWS)
            .min(MAX_PAGE_ROWS);
        let to = request.query.get("target_version");
        let from = (field("table"), field("part"), field("from"));
        let state = self.state.lock().unwrap();
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (name, (value, _)) in state.rows.range(from.clone()..) {
            let inside = name.0 == from.0 && name.1 == from.1 && to.is_none_or(|to| name.2 < *to);
            if !inside {
                break;
            }
            let Some(value) = value else { continue };
            if rows.len() >= limit || bytes + value.len() > MAX_PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += value.len();
            rows.extend(state.shown(name));
        }
        let fields = vec![
            ("rows", Json::List(rows)),
            ("has_more", Json::Bool(has_more)),
        ];
        answer(200, &state, fields)
    }

    fn feed(&self, request: &Request) -> Reply {
        let number = |name: &str| request.query.get(name).and_then(|value| value.parse().ok());
        let table = request.query.get("table").cloned().unwrap_or_default();
        let after: u64 = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let rows = state.rows.iter();
            let changed = rows.filter(|(name, (_, version))| name.0 == table && *version > after);
            let mut changed: Vec<(u64, Name)> = changed
                .map(|(name, (_, version))| (*version, name.clone()))
                .collect();
            let now = Instant::now();
            if !changed.is_empty() || now >= until {
                changed.sort();
                let rows = changed.iter().filter_map(|(_, name)| state.shown(name));
                let rows = Json::List(rows.collect());
                return answer(200, &state, vec![("rows", rows)]);
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

impl State {
    /// A row as answers show it.
    fn shown(&self, name: &Name) -> Option<Json> {
        let (value, version) = self.rows.get(name)?;
        let mut row = map([
            ("table", text(&name.0)),
            ("part", text(&name.1)),
            ("key", text(&name.2)),
            ("schema_version", int(*version)),
        ]);
        if let Json::Map(fields) = &mut row {
            match value {
                Some(value) => fields.insert("value".to_owned(), text(value)),
                None => fields.insert("deleted".to_owned(), Json::Bool(true)),
            };
        }
        Some(row)
    }
}

fn name_of(entry: &Json) -> Name {
    let field = |name: &str| entry.get(name).text().to_owned();
    (field("table"), field("part"), field("key"))
}

fn answer(status: u16, state: &State, fields: Vec<(&str, Json)>) -> Reply {
    let mut body = map([
        ("schema_version", int(state.version)),
        ("now_ms", int(now_ms() + 1)),
    ]);
    if let Json::Map(all) = &mut body {
        all.extend(
            fields
                .into_iter()
                .map(|(name, value)| (name.to_owned(), value)),
        );
    }
    Reply::Answer(status, body.to_string())
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * place) & 63) as usize];
            encoded.push(if place <= chunk.len() {
                sign as char
            } else {
                '='
            });
        }
    }
    encoded
}
