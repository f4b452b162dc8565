//! The adapter to the platform: table service, object store and host list.

use crate::{
    consts,
    control::Input,
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

/// The status of an operation that was carried out.
const STATUS_OK: u16 = 200;
/// The status by which the table service turns an operation away before it begins.
const STATUS_REFUSED: u16 = 503;

enum Job {
    Write(OpId, Txn),
    Read(OpId, Query),
    PutObject(OpId, SnapshotSlot, Box<Config>),
    GetObject(OpId, SnapshotSlot),
}

/// The threads that call the platform.
pub(crate) struct Platform {
    jobs: Sender<Job>,
    hosts: Sender<()>,
}

impl Platform {
    pub(crate) fn start(settings: &Settings, inputs: &Sender<Input>) -> io::Result<Self> {
        let (jobs, work) = channel::unbounded();
        let (hosts, wanted) = channel::bounded(1);
        for number in 0..consts::PLATFORM_THREADS {
            spawn(
                format!("table-{number}"),
                settings,
                work.clone(),
                inputs.clone(),
            )?;
        }
        spawn_hosts(settings, wanted, inputs.clone())?;
        Ok(Self { jobs, hosts })
    }

    pub(crate) fn write(&self, op: OpId, txn: Txn) {
        // The threads live as long as the daemon.
        let _ = self.jobs.send(Job::Write(op, txn));
    }

    pub(crate) fn read(&self, op: OpId, query: Query) {
        let _ = self.jobs.send(Job::Read(op, query));
    }

    pub(crate) fn put_object(&self, op: OpId, slot: SnapshotSlot, config: Box<Config>) {
        let _ = self.jobs.send(Job::PutObject(op, slot, config));
    }

    pub(crate) fn get_object(&self, op: OpId, slot: SnapshotSlot) {
        let _ = self.jobs.send(Job::GetObject(op, slot));
    }

    /// Reads the host list, unless a reading is under way.
    pub(crate) fn read_hosts(&self) {
        let _ = self.hosts.try_send(());
    }
}

fn spawn(
    name: String,
    settings: &Settings,
    jobs: Receiver<Job>,
    inputs: Sender<Input>,
) -> io::Result<()> {
    let client = HttpClient::new(&settings.platform.to_string(), consts::PLATFORM_LIMIT);
    let work = move || {
        for job in jobs {
            if inputs.send(Input::Event(carry_out(&client, job))).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name(name).spawn(work)?;
    Ok(())
}

fn carry_out(client: &HttpClient, job: Job) -> Event {
    match job {
        Job::Write(op, txn) => Event::TableAnswered {
            op,
            reply: write(client, &txn),
        },
        Job::Read(op, query) => Event::TableAnswered {
            op,
            reply: read(client, &query),
        },
        Job::PutObject(op, slot, config) => Event::ObjectAnswered {
            op,
            reply: put_object(client, slot, &config),
        },
        Job::GetObject(op, slot) => Event::ObjectAnswered {
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
    count_sent(telemetry::Receiver::Platform, "write", body.len());
    match client.send("POST", "/table/txn", &[], body) {
        Err(HttpError::NotSent(_)) => TableReply::Refused,
        Err(HttpError::NoResponse(_)) => TableReply::Lost,
        Ok(reply) if reply.status == STATUS_REFUSED => TableReply::Refused,
        Ok(reply) => {
            let wire = body_of::<WireTxnReply>(&reply);
            wire.and_then(|wire| TableReply::try_from(&wire).ok())
                .unwrap_or(TableReply::Lost)
        }
    }
}

fn read(client: &HttpClient, query: &Query) -> TableReply {
    let Ok(body) = serde_json::to_vec(&WireRead::from(query)) else {
        return TableReply::Refused;
    };
    count_sent(telemetry::Receiver::Platform, "read", body.len());
    let reply = client.send("POST", "/table/read", &[], body).ok();
    let wire = reply.and_then(|reply| body_of::<WireRows>(&reply));
    wire.and_then(|wire| TableReply::try_from(&wire).ok())
        .unwrap_or(TableReply::Lost)
}

fn spawn_hosts(settings: &Settings, wanted: Receiver<()>, inputs: Sender<Input>) -> io::Result<()> {
    let platform = settings.platform.to_string();
    let mut client = HostListClient::new(&platform, &settings.domain, consts::PLATFORM_LIMIT);
    let work = move || {
        for () in wanted {
            count_sent(telemetry::Receiver::Platform, "hosts", 0);
            let event = match client.fetch() {
                HostListResult::Listed(hosts) => Event::HostsRead { hosts },
                HostListResult::Unchanged => Event::HostsUnchanged,
                HostListResult::Unavailable => continue,
                HostListResult::Malformed(error) => {
                    warn!("event=host_list_malformed error={error:?}");
                    continue;
                }
            };
            if inputs.send(Input::Event(event)).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name("hosts".into()).spawn(work)?;
    Ok(())
}

fn body_of<T: DeserializeOwned>(reply: &HttpReply) -> Option<T> {
    if reply.status != STATUS_OK {
        return None;
    }
    serde_json::from_slice(&reply.body).ok()
}
