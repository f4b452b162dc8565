//! The platform's store: rows, transactions and the feed of changes, as the protocol's page says.

use crate::{
    http::{Reply, Request},
    json::{number, object, parse, text, Json},
};
use std::{
    collections::BTreeMap,
    sync::{Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

type Key = (String, String, String);

const MAX_ROWS: usize = 500;
/// How long a transaction takes.
const TXN: Duration = Duration::from_millis(3);

struct Rows {
    rows: BTreeMap<Key, (u64, String)>,
    changes: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

fn key_of(row: &Json) -> Key {
    let part = |name| row.get(name).text().to_string();
    (part("table"), part("part"), part("key"))
}

fn row(key: &Key, version: u64, value: Option<&String>) -> Json {
    let (table, part, name) = key;
    let mut fields = BTreeMap::from([
        ("table".to_string(), text(table.clone())),
        ("part".to_string(), text(part.clone())),
        ("key".to_string(), text(name.clone())),
        ("row-version".to_string(), number(version)),
    ]);
    match value {
        Some(value) => fields.insert("value".into(), text(value.clone())),
        None => fields.insert("deleted".into(), Json::Bool(true)),
    };
    Json::Object(fields)
}

impl Rows {
    fn set(&mut self, key: Key, value: Option<String>) {
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

impl Store {
    pub fn new() -> Self {
        Self {
            rows: Mutex::new(Rows {
                rows: BTreeMap::new(),
                changes: Vec::new(),
                version: 0,
            }),
            changed: Condvar::new(),
            started: Instant::now(),
        }
    }

    /// Writes or removes a row as the operator or a worker does.
    pub fn put(&self, table: &str, name: &str, value: Option<&Json>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let key = (table.to_string(), String::new(), name.to_string());
        rows.set(key, value.map(|value| base64(value.encoded().as_bytes())));
        self.changed.notify_all();
    }

    /// Returns the row versions and the decoded bytes of a table.
    pub fn table(&self, table: &str) -> Vec<(String, u64, Vec<u8>)> {
        let rows = self.rows.lock().unwrap();
        let of_table = rows.rows.iter().filter(|((own, ..), _)| own == table);
        of_table
            .map(|((_, _, key), (version, value))| (key.clone(), *version, unbase64(value)))
            .collect()
    }

    fn answer(&self, rows: &Rows, list: Vec<Json>, more: bool) -> String {
        object([
            ("rows", Json::List(list)),
            ("has-more", Json::Bool(more)),
            ("row-version", number(rows.version)),
            ("now-ms", number(self.started.elapsed().as_millis() as u64)),
        ])
        .encoded()
    }

    pub fn handle(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/pomelotide/rows-tx" => self.transact(request),
            "/pomelotide/rows-get" => self.read(request),
            "/pomelotide/rows-feed" => self.follow(request),
            _ => Reply::Answer(404, "{}".into()),
        }
    }

    fn transact(&self, request: &Request) -> Reply {
        thread::sleep(TXN);
        let Some(body) = parse(&request.body) else {
            return Reply::Answer(400, "{}".into());
        };
        let mut rows = self.rows.lock().unwrap();
        let expected = body.get("expected-rev").list();
        let current = |row: &Json| {
            rows.rows
                .get(&key_of(row))
                .map_or(0, |(version, _)| *version)
        };
        if !expected
            .iter()
            .all(|row| current(row) == row.get("row-version").number())
        {
            let found = expected.iter().filter_map(|expected| {
                let key = key_of(expected);
                let (version, value) = rows.rows.get(&key)?;
                Some(row(&key, *version, Some(value)))
            });
            let found = found.collect();
            return Reply::Answer(412, self.answer(&rows, found, false));
        }
        rows.version += 1;
        for put in body.get("set-keys").list() {
            rows.set(key_of(put), Some(put.get("value").text().to_string()));
        }
        for removed in body.get("remove").list() {
            rows.set(key_of(removed), None);
        }
        self.changed.notify_all();
        Reply::Answer(200, self.answer(&rows, Vec::new(), false))
    }

    fn read(&self, request: &Request) -> Reply {
        let rows = self.rows.lock().unwrap();
        let (table, part, from) = (
            request.param("table"),
            request.param("part"),
            request.param("from"),
        );
        let limit = request
            .param("limit")
            .parse()
            .unwrap_or(MAX_ROWS)
            .min(MAX_ROWS);
        let fits = |key: &Key| key.0 == table && key.1 == part && key.2.as_str() >= from;
        let mut list: Vec<Json> = Vec::new();
        let mut more = false;
        for (key, (version, value)) in rows.rows.iter().filter(|(key, _)| fits(key)) {
            if list.len() == limit {
                more = true;
                break;
            }
            list.push(row(key, *version, Some(value)));
        }
        Reply::Answer(200, self.answer(&rows, list, more))
    }

    fn follow(&self, request: &Request) -> Reply {
        let table = request.param("table");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait: u64 = request.param("wait-ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changes = rows
                .changes
                .iter()
                .filter(|(version, key, _)| *version > after && key.0 == table);
            let list: Vec<Json> = changes
                .map(|(version, key, value)| row(key, *version, value.as_ref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !list.is_empty() || left.is_zero() {
                return Reply::Answer(200, self.answer(&rows, list, false));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let sum = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for at in 0..4 {
            match at <= chunk.len() {
                true => out.push(DIGITS[(sum >> (18 - 6 * at) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn unbase64(text: &str) -> Vec<u8> {
    let (mut out, mut sum, mut bits) = (Vec::new(), 0u32, 0);
    for c in text.bytes().take_while(|c| *c != b'=') {
        let digit = DIGITS.iter().position(|own| *own == c).unwrap_or(0) as u32;
        sum = sum << 6 | digit;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((sum >> bits & 255) as u8);
        }
    }
    out
}
