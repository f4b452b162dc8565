//! The adapter to the platform: table service and host list.

use crate::{
    consts,
    control::Input,
    telemetry::{self, count_sent},
    Settings,
};
use crossbeam::channel::{self, Receiver, Sender};
use log::warn;
use pomelotide_core::{Event, Host, OpId, Query, TableReply, Txn};
use pomelotide_wire::{
    HttpClient, HttpError, HttpReply, WireHosts, WireRead, WireRows, WireTxn, WireTxnReply,
};
use serde::de::DeserializeOwned;
use std::{io, thread};

/// The status by which the table service turns an operation away before it begins.
const STATUS_REFUSED: u16 = 503;

enum Job {
    Write(OpId, Txn),
    Read(OpId, Query),
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
            let event = match job {
                Job::Write(op, txn) => Some(Event::TableAnswered {
                    op,
                    reply: write(&client, &txn),
                }),
                Job::Read(op, query) => Some(Event::TableAnswered {
                    op,
                    reply: read(&client, &query),
                }),
                Job::Hosts => hosts(&client).map(|hosts| Event::HostsRead { hosts }),
            };
            if event.is_some_and(|event| inputs.send(Input::Event(event)).is_err()) {
                return;
            }
        }
    };
    thread::Builder::new().name(name).spawn(work)?;
    Ok(())
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
    if reply.status != 200 {
        return None;
    }
    serde_json::from_slice(&reply.body).ok()
}
