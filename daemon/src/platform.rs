//! The adapter to the platform: table service, object store and host list.

use crate::{
    consts,
    control::Input,
    telemetry::{self, count_sent},
    Settings,
};
use crossbeam::channel::{self, Receiver, Sender};
use log::warn;
use pomelotide_core::{
    Config, Event, Host, ObjectReply, OpId, Query, SnapshotSlot, TableReply, Txn,
};
use pomelotide_wire::{
    decode_snapshot, encode_snapshot, HttpClient, HttpError, HttpReply, WireHosts, WireRead,
    WireRows, WireTxn, WireTxnReply,
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
    Hosts,
}

/// The threads that call the platform.
pub(crate) struct Platform {
    jobs: Sender<Job>,
    hosts: Sender<Job>,
}

impl Platform {
    pub(crate) fn start(settings: &Settings, inputs: &Sender<Input>) -> io::Result<Self> {
        let (jobs, work) = channel::unbounded();
        let (hosts, host_work) = channel::bounded(1);
        for number in 0..consts::PLATFORM_THREADS {
            spawn(
                format!("table-{number}"),
                settings,
                work.clone(),
                inputs.clone(),
            )?;
        }
        spawn("hosts".into(), settings, host_work, inputs.clone())?;
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
        let _ = self.hosts.try_send(Job::Hosts);
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
            let event = carry_out(&client, job);
            if event.is_some_and(|event| inputs.send(Input::Event(event)).is_err()) {
                return;
            }
        }
    };
    thread::Builder::new().name(name).spawn(work)?;
    Ok(())
}

fn carry_out(client: &HttpClient, job: Job) -> Option<Event> {
    match job {
        Job::Write(op, txn) => Some(Event::TableAnswered {
            op,
            reply: write(client, &txn),
        }),
        Job::Read(op, query) => Some(Event::TableAnswered {
            op,
            reply: read(client, &query),
        }),
        Job::PutObject(op, slot, config) => Some(Event::ObjectAnswered {
            op,
            reply: put_object(client, slot, &config),
        }),
        Job::GetObject(op, slot) => Some(Event::ObjectAnswered {
            op,
            reply: get_object(client, slot),
        }),
        Job::Hosts => hosts(client).map(|hosts| Event::HostsRead { hosts }),
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
        Err(HttpError::Broken(_)) => TableReply::Lost,
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

fn hosts(client: &HttpClient) -> Option<Vec<Host>> {
    count_sent(telemetry::Receiver::Platform, "hosts", 0);
    let reply = client.send("GET", "/hosts", &[], Vec::new()).ok()?;
    let wire = body_of::<WireHosts>(&reply)?;
    let read = wire.hosts.iter().map(Host::try_from).collect();
    match read {
        Ok(hosts) => Some(hosts),
        Err(error) => {
            warn!("event=host_list_malformed error={:?}", error.to_string());
            None
        }
    }
}

fn body_of<T: DeserializeOwned>(reply: &HttpReply) -> Option<T> {
    if reply.status != STATUS_OK {
        return None;
    }
    serde_json::from_slice(&reply.body).ok()
}
