//! A stand-in for the platform's store: rows, transactions, the feed of changes, and the operator's and the
//! workers' own writes.

use crate::{
    base64,
    http::{Answer, Request},
    json::Json,
};
use std::{
    collections::BTreeMap,
    sync::{Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

type Key = (String, String, String);

/// How the store treats the calls of daemons and the reports of workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    Up,
    /// Calls get no answer and do nothing.
    Silent,
}

struct State {
    rows: BTreeMap<Key, (u64, String)>,
    changes: Vec<(u64, Key, Option<String>)>,
    version: u64,
    mode: Mode,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started_at: Instant,
    tx_time: Duration,
}

fn key_of(value: &Json) -> Key {
    let text = |name| value.get(name).text().to_string();
    (text("table"), text("part"), text("key"))
}

fn row(key: &Key, version: u64, value: Option<&String>) -> String {
    let (table, part, name) = key;
    let [table, part, name] = [table, part, name].map(|text| Json::Text(text.clone()));
    match value {
        Some(value) => format!(
            r#"{{"table":{table},"part":{part},"key":{name},"value":"{value}","row-version":{version}}}"#
        ),
        None => format!(
            r#"{{"table":{table},"part":{part},"key":{name},"deleted":true,"row-version":{version}}}"#
        ),
    }
}

impl State {
    fn set(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => self.rows.insert(key.clone(), (self.version, value.clone())),
            None => self.rows.remove(&key),
        };
        self.changes.push((self.version, key, value));
    }
}

impl Store {
    pub fn new(tx_time: Duration) -> Self {
        let state = State {
            rows: BTreeMap::new(),
            changes: Vec::new(),
            version: 0,
            mode: Mode::Up,
        };
        Self { state: Mutex::new(state), changed: Condvar::new(), started_at: Instant::now(), tx_time }
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
        self.changed.notify_all();
    }

    /// Writes a row as the operator or a worker does, or removes it; returns whether the store did.
    pub fn put(&self, table: &str, name: &str, value: Option<&str>) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.mode != Mode::Up {
            return false;
        }
        state.version += 1;
        let key = (table.to_string(), String::new(), name.to_string());
        state.set(key, value.map(|value| base64::encode(value.as_bytes())));
        self.changed.notify_all();
        true
    }

    fn tail(&self, version: u64) -> String {
        let now_ms = self.started_at.elapsed().as_millis();
        format!(r#""row-version":{version},"now-ms":{now_ms}"#)
    }

    /// Handles a call of a daemon.
    pub fn handle(&self, call: &Request) -> Answer {
        if self.state.lock().unwrap().mode == Mode::Silent {
            return None;
        }
        match call.path.rsplit('/').next() {
            Some("rows-tx") => {
                thread::sleep(self.tx_time);
                self.write(&Json::parse(&call.body))
            }
            Some("rows-get") => self.read(call),
            Some("rows-feed") => self.feed(call),
            _ => Some((404, "{}".into())),
        }
    }

    fn write(&self, body: &Json) -> Answer {
        let mut state = self.state.lock().unwrap();
        if state.mode == Mode::Silent {
            return None;
        }
        let expected = body.get("expected-rev").list();
        let is_current = |wanted: &Json| {
            let version = state.rows.get(&key_of(wanted)).map_or(0, |(version, _)| *version);
            version == wanted.get("row-version").number()
        };
        if !expected.iter().all(is_current) {
            let keys = expected.iter().map(key_of);
            let rows: Vec<String> = keys
                .filter_map(|key| {
                    let (version, value) = state.rows.get(&key)?;
                    Some(row(&key, *version, Some(value)))
                })
                .collect();
            let tail = self.tail(state.version);
            return Some((412, format!(r#"{{"rows":[{}],{tail}}}"#, rows.join(","))));
        }
        state.version += 1;
        for put in body.get("set-keys").list() {
            state.set(key_of(put), Some(put.get("value").text().to_string()));
        }
        for removed in body.get("remove").list() {
            state.set(key_of(removed), None);
        }
        self.changed.notify_all();
        Some((200, format!("{{{}}}", self.tail(state.version))))
    }

    fn read(&self, call: &Request) -> Answer {
        let (table, part, from) = (call.param("table"), call.param("part"), call.param("from"));
        let limit = call.param("limit").parse().unwrap_or(500).min(500);
        let state = self.state.lock().unwrap();
        let matches = |key: &Key| key.0 == table && key.1 == part && key.2 >= from;
        let matching: Vec<_> = state.rows.iter().filter(|(key, _)| matches(key)).collect();
        let rows = matching.iter().take(limit);
        let rows: Vec<String> =
            rows.map(|(key, (version, value))| row(key, *version, Some(value))).collect();
        let more = matching.len() > limit;
        let tail = self.tail(state.version);
        Some((200, format!(r#"{{"rows":[{}],"has-more":{more},{tail}}}"#, rows.join(","))))
    }

    fn feed(&self, call: &Request) -> Answer {
        let (table, after) = (call.param("table"), call.param("after").parse().unwrap_or(0));
        let wait_ms = call.param("wait-ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            if state.mode == Mode::Silent {
                return None;
            }
            let changes = state.changes.iter();
            let changes = changes.filter(|(version, key, _)| *version > after && key.0 == table);
            let rows: Vec<String> =
                changes.map(|(version, key, value)| row(key, *version, value.as_ref())).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let tail = self.tail(state.version);
                let rows = rows.join(",");
                return Some((200, format!(r#"{{"rows":[{rows}],"has-more":false,{tail}}}"#)));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
