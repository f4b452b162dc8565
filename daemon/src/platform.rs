//! The client of the platform: table service, object store and host list.

use crate::{
    consts,
    control::ControlInput,
    telemetry::{self, count_sent},
    Settings,
};
use crossbeam::channel::{self, Receiver, Sender};
use log::warn;
use pomelotide_core::{Config, Event, ObjectReply, OpId, Query, SnapshotSlot, TableReply, Txn};
use pomelotide_wire::{
    decode_snapshot, encode_snapshot, HostListClient, HostListResult, HttpClient, HttpError,
    HttpReply, WireRead, WireRows, WireTxn, WireTxnReply,
};
use serde::de::DeserializeOwned;
use std::{io, thread};

/// The HTTP status of an operation that was performed.
const STATUS_OK: u16 = 200;
/// The HTTP status of an operation that the table service rejected without performing it.
const STATUS_UNAVAILABLE: u16 = 503;

/// A call that a thread makes to the table service or object store.
enum PlatformCall {
    Write(OpId, Txn),
    Read(OpId, Query),
    PutObject(OpId, SnapshotSlot, Box<Config>),
    GetObject(OpId, SnapshotSlot),
}

/// The queues of the threads that call the platform.
pub(crate) struct Platform {
    calls: Sender<PlatformCall>,
    host_reads: Sender<()>,
}

impl Platform {
    pub(crate) fn start(settings: &Settings, inputs: &Sender<ControlInput>) -> io::Result<Self> {
        let (calls, work) = channel::unbounded();
        let (host_reads, requested) = channel::bounded(1);
        for number in 0..consts::PLATFORM_THREADS {
            spawn_call_thread(
                format!("table-{number}"),
                settings,
                work.clone(),
                inputs.clone(),
            )?;
        }
        spawn_host_reader(settings, requested, inputs.clone())?;
        Ok(Self { calls, host_reads })
    }

    pub(crate) fn write(&self, op: OpId, txn: Txn) {
        // The threads run until the daemon exits.
        let _ = self.calls.send(PlatformCall::Write(op, txn));
    }

    pub(crate) fn read(&self, op: OpId, query: Query) {
        let _ = self.calls.send(PlatformCall::Read(op, query));
    }

    pub(crate) fn put_object(&self, op: OpId, slot: SnapshotSlot, config: Box<Config>) {
        let _ = self.calls.send(PlatformCall::PutObject(op, slot, config));
    }

    pub(crate) fn get_object(&self, op: OpId, slot: SnapshotSlot) {
        let _ = self.calls.send(PlatformCall::GetObject(op, slot));
    }

    /// Requests the host list; ignored if a request is already queued.
    pub(crate) fn read_hosts(&self) {
        let _ = self.host_reads.try_send(());
    }
}

fn spawn_call_thread(
    name: String,
    settings: &Settings,
    calls: Receiver<PlatformCall>,
    inputs: Sender<ControlInput>,
) -> io::Result<()> {
    let client = HttpClient::new(&settings.platform.to_string(), consts::PLATFORM_TIMEOUT);
    let work = move || {
        for call in calls {
            if inputs
                .send(ControlInput::Event(perform(&client, call)))
                .is_err()
            {
                return;
            }
        }
    };
    thread::Builder::new().name(name).spawn(work)?;
    Ok(())
}

fn perform(client: &HttpClient, call: PlatformCall) -> Event {
    match call {
        PlatformCall::Write(op, txn) => Event::TableAnswered {
            op,
            reply: write(client, &txn),
        },
        PlatformCall::Read(op, query) => Event::TableAnswered {
            op,
            reply: read(client, &query),
        },
        PlatformCall::PutObject(op, slot, config) => Event::ObjectAnswered {
            op,
            reply: put_object(client, slot, &config),
        },
        PlatformCall::GetObject(op, slot) => Event::ObjectAnswered {
            op,
            reply: get_object(client, slot),
        },
    }
}

fn object_path(slot: SnapshotSlot) -> String {
    format!("/objects/{slot}")
}

fn put_object(client: &HttpClient, slot: SnapshotSlot, config: &Config) -> ObjectReply {
    let Ok(body) = encode_snapshot(config) else {
        return ObjectReply::Unusable;
    };
    match client.send("PUT", &object_path(slot), &[], body) {
        Ok(reply) if reply.status == STATUS_OK => ObjectReply::Stored,
        _ => ObjectReply::Lost,
    }
}

fn get_object(client: &HttpClient, slot: SnapshotSlot) -> ObjectReply {
    let Ok(reply) = client.send("GET", &object_path(slot), &[], Vec::new()) else {
        return ObjectReply::Lost;
    };
    if reply.status != STATUS_OK {
        return ObjectReply::Unusable;
    }
    match decode_snapshot(&reply.body) {
        Ok(config) => ObjectReply::Found(Box::new(config)),
        Err(error) => {
            warn!(
                "event=snapshot_malformed slot={slot} error={:?}",
                error.to_string()
            );
            ObjectReply::Unusable
        }
    }
}

fn write(client: &HttpClient, txn: &Txn) -> TableReply {
    let body = WireTxn::try_from(txn)
        .ok()
        .and_then(|wire| serde_json::to_vec(&wire).ok());
    let Some(body) = body else {
        return TableReply::Refused;
    };
    count_sent(telemetry::Destination::Platform, "write", body.len());
    match client.send("POST", "/table/txn", &[], body) {
        Err(HttpError::NotSent(_)) => TableReply::Refused,
        Err(HttpError::NoResponse(_)) => TableReply::Lost,
        Ok(reply) if reply.status == STATUS_UNAVAILABLE => TableReply::Refused,
        Ok(reply) => {
            let wire = parse_body::<WireTxnReply>(&reply);
            wire.and_then(|wire| TableReply::try_from(&wire).ok())
                .unwrap_or(TableReply::Lost)
        }
    }
}

fn read(client: &HttpClient, query: &Query) -> TableReply {
    let Ok(body) = serde_json::to_vec(&WireRead::from(query)) else {
        return TableReply::Refused;
    };
    count_sent(telemetry::Destination::Platform, "read", body.len());
    let reply = client.send("POST", "/table/read", &[], body).ok();
    let wire = reply.and_then(|reply| parse_body::<WireRows>(&reply));
    wire.and_then(|wire| TableReply::try_from(&wire).ok())
        .unwrap_or(TableReply::Lost)
}

fn spawn_host_reader(
    settings: &Settings,
    requested: Receiver<()>,
    inputs: Sender<ControlInput>,
) -> io::Result<()> {
    let platform = settings.platform.to_string();
    let mut client = HostListClient::new(&platform, &settings.domain, consts::PLATFORM_TIMEOUT);
    let work = move || {
        for () in requested {
            count_sent(telemetry::Destination::Platform, "hosts", 0);
            let event = match client.fetch() {
                HostListResult::Listed(hosts, reasons) => {
                    if let Some(reason) = reasons.first() {
                        let count = reasons.len();
                        warn!("event=hosts_unusable count={count} reason={reason:?}");
                    }
                    Event::HostsRead { hosts }
                }
                HostListResult::Unchanged => Event::HostsUnchanged,
                HostListResult::Unavailable => continue,
                HostListResult::Malformed(error) => {
                    warn!("event=host_list_malformed error={error:?}");
                    continue;
                }
            };
            if inputs.send(ControlInput::Event(event)).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name("hosts".into()).spawn(work)?;
    Ok(())
}

fn parse_body<T: DeserializeOwned>(reply: &HttpReply) -> Option<T> {
    if reply.status != STATUS_OK {
        return None;
    }
    serde_json::from_slice(&reply.body).ok()
}
