//! A stand-in of the platform's store, as the platform's protocol describes it.

use crate::{
    http::{Answer, Call},
    json::Json,
    record::Record,
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

type Key = (String, String, String);

/// The texts that one daemon sees in place of others: each other end has an address of its own for it,
/// so that the paths can be cut one by one. Both texts have the same length.
pub type View = Vec<(String, String)>;

#[derive(Debug)]
struct Rows {
    rows: BTreeMap<Key, (u64, Vec<u8>)>,
    changes: Vec<(u64, Key, Option<Vec<u8>>)>,
    version: u64,
}

#[derive(Debug)]
pub struct Store {
    rows: Mutex<Rows>,
    started_at: Instant,
    /// While set, writes of this daemon are not answered, and are done this much later if their
    /// conditions still hold.
    late_writes: Mutex<Option<(String, Duration)>>,
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let three = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(three[0]) << 16 | u32::from(three[1]) << 8 | u32::from(three[2]);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

fn from_base64(text: &str) -> Vec<u8> {
    let digit = |c: u8| DIGITS.iter().position(|own| *own == c).map(|at| at as u32);
    let digits: Vec<u32> = text.bytes().filter_map(digit).collect();
    let mut bytes = Vec::new();
    for chunk in digits.chunks(4) {
        let bits = chunk.iter().fold(0, |bits, digit| bits << 6 | digit) << (6 * (4 - chunk.len()));
        let three = [(bits >> 16) as u8, (bits >> 8) as u8, bits as u8];
        bytes.extend(&three[..chunk.len().saturating_sub(1)]);
    }
    bytes
}

fn as_seen(value: &[u8], view: &View) -> Vec<u8> {
    let mut bytes = value.to_vec();
    for (own, shown) in view {
        for at in 0..(bytes.len() + 1).saturating_sub(own.len()) {
            if bytes[at..].starts_with(own.as_bytes()) {
                bytes[at..at + shown.len()].copy_from_slice(shown.as_bytes());
            }
        }
    }
    bytes
}

fn key_of(row: &Json) -> Key {
    let text = |name| row.get(name).str().to_string();
    (text("table"), text("part"), text("key"))
}

fn row(key: &Key, version: u64, value: Option<&[u8]>, view: &View) -> Json {
    let (table, part, name) = key;
    let last = match value {
        Some(value) => ("value", Json::Text(base64(&as_seen(value, view)))),
        None => ("deleted", Json::Bool(true)),
    };
    Json::map(vec![
        ("table", Json::text(table)),
        ("part", Json::text(part)),
        ("key", Json::text(name)),
        ("row-version", Json::number(version)),
        last,
    ])
}

impl Store {
    pub fn new() -> Arc<Self> {
        let rows = Rows {
            rows: BTreeMap::new(),
            changes: Vec::new(),
            version: 0,
        };
        Arc::new(Self {
            rows: Mutex::new(rows),
            started_at: Instant::now(),
            late_writes: Mutex::default(),
        })
    }

    /// Writes a row as the operator or a worker does, or removes it.
    pub fn put(&self, table: &str, name: &str, value: Option<&Json>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let key = (table.to_string(), String::new(), name.to_string());
        rows.set(key, value.map(|value| value.to_string().into_bytes()));
    }

    fn answer(&self, rows: Vec<Json>, version: u64, more: bool) -> Json {
        Json::map(vec![
            ("rows", Json::List(rows)),
            ("row-version", Json::number(version)),
            (
                "now-ms",
                Json::number(self.started_at.elapsed().as_millis() as u64),
            ),
            ("has-more", Json::Bool(more)),
        ])
    }

    pub fn set_late_writes(&self, late: Option<(&str, Duration)>) {
        *self.late_writes.lock().unwrap() = late.map(|(from, by)| (from.to_string(), by));
    }

    pub fn call(&self, from: &str, call: &Call, view: &View, record: &Record) -> Answer {
        thread::sleep(Duration::from_millis(4));
        let late = self.late_writes.lock().unwrap().clone();
        let late = late.filter(|(daemon, _)| daemon == from && call.path.ends_with("rows-tx"));
        if let Some((_, by)) = late {
            record.line(&format!(
                "store: a write of {from} gets no answer and is delayed"
            ));
            thread::sleep(by);
            let (status, _) = self.write(&call.body, view);
            record.line(&format!(
                "store: the delayed write of {from} ends with {status}"
            ));
            return None;
        }
        let param = |name: &str| call.query.get(name).cloned().unwrap_or_default();
        match call.path.as_str() {
            "/pomelotide/rows-tx" => Some(self.write(&call.body, view)),
            "/pomelotide/rows-get" => {
                let rows = self.rows.lock().unwrap();
                let (table, part, from) = (param("table"), param("part"), param("from"));
                let limit = param("limit").parse().unwrap_or(500);
                let matching = rows.rows.iter().filter(|((own, own_part, key), _)| {
                    *own == table && *own_part == part && *key >= from
                });
                let matching: Vec<Json> = matching
                    .map(|(key, (version, value))| row(key, *version, Some(value), view))
                    .collect();
                let more = matching.len() > limit;
                let shown = matching.into_iter().take(limit).collect();
                Some((200, self.answer(shown, rows.version, more)))
            }
            "/pomelotide/rows-feed" => {
                let wait_ms = param("wait-ms").parse().unwrap_or(0);
                let after = param("after").parse().unwrap_or(0);
                Some((200, self.feed(&param("table"), after, wait_ms, view)))
            }
            _ => Some((404, Json::Null)),
        }
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64, view: &View) -> Json {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let rows = self.rows.lock().unwrap();
            let changed = rows.changes.iter().rev();
            let changed = changed.take_while(|(version, ..)| *version > after);
            let mut found: Vec<Json> = changed
                .filter(|(_, key, _)| key.0 == table)
                .map(|(version, key, value)| row(key, *version, value.as_deref(), view))
                .collect();
            if !found.is_empty() || Instant::now() >= until {
                found.reverse();
                return self.answer(found, rows.version, false);
            }
            drop(rows);
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn write(&self, body: &Json, view: &View) -> (u16, Json) {
        let mut rows = self.rows.lock().unwrap();
        let expected = body.get("expected-rev").list();
        let is_current = |expected: &Json| {
            let version = rows
                .rows
                .get(&key_of(expected))
                .map_or(0, |(version, _)| *version);
            version == expected.get("row-version").u64()
        };
        if !expected.iter().all(is_current) {
            let found = expected.iter().map(key_of).filter_map(|key| {
                let (version, value) = rows.rows.get(&key)?;
                Some(row(&key, *version, Some(value), view))
            });
            return (412, self.answer(found.collect(), rows.version, false));
        }
        rows.version += 1;
        for put in body.get("set-keys").list() {
            rows.set(key_of(put), Some(from_base64(put.get("value").str())));
        }
        for removed in body.get("remove").list() {
            rows.set(key_of(removed), None);
        }
        (200, self.answer(Vec::new(), rows.version, false))
    }
}

impl Rows {
    fn set(&mut self, key: Key, value: Option<Vec<u8>>) {
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (self.version, value.clone()));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.changes.push((self.version, key, value));
    }
}
