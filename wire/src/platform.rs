//! HTTP bodies of the platform: transactions and reads of the table, and the host list.

use crate::{
    decode_key, decode_row, encode_key, encode_row, is_connectable,
    table_rows::{DELTA_PREFIX, JOB_PREFIX, MEMBER_PREFIX},
    WireError,
};
use pomelotide_core::{
    consts::MAX_READ_ROWS, Host, Insert, Key, Query, Resources, Row, TableReply, Txn,
};
use serde::{Deserialize, Serialize};

/// A row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireRow {
    /// The row's key.
    pub key: String,
    /// The row's content.
    pub value: String,
}

/// The content that a row is expected to have.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireCheck {
    /// The row's key.
    pub key: String,
    /// The expected content; `None` stands for an absent row in a check and a conflict, and for any
    /// content in a delete.
    pub value: Option<String>,
}

/// A row to insert if it is absent, with an optional second row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireInsert {
    /// The row that must be absent.
    pub row: WireRow,
    /// A second row, which is written only if the first one is inserted.
    #[serde(rename = "with")]
    pub second: Option<WireRow>,
}

/// A transaction. If all checks hold, its puts, deletes and those inserts whose rows are absent
/// take effect atomically.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireTxn {
    /// The conditions.
    pub checks: Vec<WireCheck>,
    /// Rows to write, whether or not they exist.
    pub puts: Vec<WireRow>,
    /// Rows to write if they are absent.
    pub inserts: Vec<WireInsert>,
    /// Rows to remove; if a content is given, only if the row has that content.
    pub deletes: Vec<WireCheck>,
}

/// The result of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WireTxnReply {
    /// The transaction took effect, except for the inserts whose rows existed.
    Committed {
        /// The existing rows.
        existed: Vec<WireRow>,
    },
    /// A check failed, so that nothing changed; contains the row as it was found.
    Conflict(WireCheck),
}

/// A read of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WireRead {
    /// Reads rows by key.
    Keys(Vec<String>),
    /// Reads the rows whose keys have a prefix, in the order of their keys.
    Prefix {
        /// The prefix.
        prefix: String,
        /// The key after which to start.
        after: String,
        /// The maximum number of rows to return.
        limit: u32,
    },
}

/// The result of a read.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireRows {
    /// The rows that exist.
    pub rows: Vec<WireRow>,
}

/// A worker on the host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireHost {
    /// The worker's name.
    pub worker: String,
    /// Its failure domain.
    pub domain: String,
    /// Its rack.
    pub rack: String,
    /// Its address, as `IP:port`.
    pub address: String,
    /// Its capacity.
    pub capacity: Resources,
    /// Whether it is about to leave the fleet and gets no new work.
    pub leaving: bool,
}

/// The host list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireHosts {
    /// The workers.
    pub hosts: Vec<WireHost>,
}

fn encode_wire_row(key: &Key, row: &Row) -> Result<WireRow, WireError> {
    Ok(WireRow {
        key: encode_key(key),
        value: encode_row(row)?,
    })
}

fn encode_check(key: &Key, row: Option<&Row>) -> Result<WireCheck, WireError> {
    Ok(WireCheck {
        key: encode_key(key),
        value: row.map(encode_row).transpose()?,
    })
}

impl TryFrom<&Txn> for WireTxn {
    type Error = WireError;

    fn try_from(txn: &Txn) -> Result<Self, WireError> {
        let checks = txn
            .checks
            .iter()
            .map(|c| encode_check(&c.key, c.row.as_ref()));
        let puts = txn.puts.iter().map(|(key, row)| encode_wire_row(key, row));
        let inserts = txn.inserts.iter().map(WireInsert::try_from);
        let deletes = txn
            .deletes
            .iter()
            .map(|(key, row)| encode_check(key, row.as_ref()));
        Ok(Self {
            checks: checks.collect::<Result<_, _>>()?,
            puts: puts.collect::<Result<_, _>>()?,
            inserts: inserts.collect::<Result<_, _>>()?,
            deletes: deletes.collect::<Result<_, _>>()?,
        })
    }
}

impl TryFrom<&Insert> for WireInsert {
    type Error = WireError;

    fn try_from(insert: &Insert) -> Result<Self, WireError> {
        let second = insert
            .second
            .as_ref()
            .map(|second| encode_wire_row(&second.0, &second.1))
            .transpose()?;
        Ok(Self {
            row: encode_wire_row(&insert.key, &insert.row)?,
            second,
        })
    }
}

impl From<&Query> for WireRead {
    fn from(query: &Query) -> Self {
        let prefix = |prefix: String, after: String| {
            let limit = MAX_READ_ROWS;
            WireRead::Prefix {
                prefix,
                after,
                limit,
            }
        };
        match query {
            Query::One(key) => WireRead::Keys(vec![encode_key(key)]),
            Query::Many(keys) => WireRead::Keys(keys.iter().map(encode_key).collect()),
            Query::DeltasAfter(revision) => {
                prefix(DELTA_PREFIX.into(), encode_key(&Key::Delta(*revision)))
            }
            Query::Members => prefix(MEMBER_PREFIX.into(), String::new()),
            Query::JobsAfter(domain, after) => {
                let after = after.clone().map(|job| encode_key(&Key::Job(job)));
                prefix(format!("{JOB_PREFIX}{domain}~"), after.unwrap_or_default())
            }
        }
    }
}

fn decode_wire_rows(rows: &[WireRow]) -> Result<Vec<(Key, Row)>, WireError> {
    let read = |row: &WireRow| Ok((decode_key(&row.key)?, decode_row(&row.value)?));
    rows.iter().map(read).collect()
}

impl TryFrom<&WireRows> for TableReply {
    type Error = WireError;

    fn try_from(rows: &WireRows) -> Result<Self, WireError> {
        decode_wire_rows(&rows.rows).map(TableReply::Rows)
    }
}

impl TryFrom<&WireTxnReply> for TableReply {
    type Error = WireError;

    fn try_from(reply: &WireTxnReply) -> Result<Self, WireError> {
        match reply {
            WireTxnReply::Committed { existed } => Ok(TableReply::Committed {
                existed: decode_wire_rows(existed)?,
            }),
            WireTxnReply::Conflict(check) => {
                let found = check
                    .value
                    .as_deref()
                    .map(decode_row)
                    .transpose()?
                    .map(Box::new);
                Ok(TableReply::Conflict {
                    key: decode_key(&check.key)?,
                    found,
                })
            }
        }
    }
}

impl TryFrom<&WireHost> for Host {
    type Error = WireError;

    fn try_from(host: &WireHost) -> Result<Self, WireError> {
        let invalid = |error: pomelotide_core::IdError| WireError::new(error.to_string());
        if !is_connectable(&host.address) {
            let text = format!("address: expected IP:port, got {:?}", host.address);
            return Err(WireError::new(text));
        }
        Ok(Self {
            worker: host.worker.parse().map_err(invalid)?,
            domain: host.domain.parse().map_err(invalid)?,
            rack: host.rack.parse().map_err(invalid)?,
            address: host.address.clone(),
            capacity: host.capacity,
            leaving: host.leaving,
        })
    }
}

impl From<&Host> for WireHost {
    fn from(host: &Host) -> Self {
        Self {
            worker: host.worker.to_string(),
            domain: host.domain.to_string(),
            rack: host.rack.to_string(),
            address: host.address.clone(),
            capacity: host.capacity,
            leaving: host.leaving,
        }
    }
}
