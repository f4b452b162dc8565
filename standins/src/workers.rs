//! Serves stand-ins for the workers of one failure domain and registers them with the platform.

use crate::{link::SharedWorker, WorkerFaults, WorkerModel};
use log::info;
use pomelotide_core::{DomainName, Resources};
use pomelotide_wire::{HttpClient, WireHost, WireHosts};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::net::TcpListener;

/// How long the platform may take to answer the registration of the workers.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// The workers to serve.
#[derive(Clone, Debug)]
pub struct WorkersOptions {
    /// The failure domain.
    pub domain: DomainName,
    /// The number of workers.
    pub count: u32,
    /// The number of workers per rack.
    pub per_rack: u32,
    /// The capacity of each worker.
    pub capacity: Resources,
    /// The platform's address, as `host:port`.
    pub platform: String,
    /// The number of workers on which every task fails.
    pub failing: u32,
}

/// Starts the workers on free local ports, adds them to the host list and serves them forever.
pub async fn serve_workers(options: WorkersOptions) -> io::Result<()> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let incarnation = since_epoch.as_nanos() as u64;
    let mut hosts = Vec::new();
    for number in 0..options.count {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        hosts.push(host_entry(&options, number, listener.local_addr()?));
        let worker = SharedWorker::new(
            &hosts[number as usize].worker,
            WorkerModel::new(options.capacity, incarnation),
        );
        let fails_all = number < options.failing;
        worker.set_faults(WorkerFaults {
            fails_all,
            ..WorkerFaults::default()
        });
        tokio::spawn(worker.serve(listener));
    }
    register_hosts(&options.platform, hosts)?;
    info!(
        "event=workers_listed domain={} count={}",
        options.domain, options.count
    );
    std::future::pending().await
}

fn host_entry(options: &WorkersOptions, number: u32, address: SocketAddr) -> WireHost {
    let domain = &options.domain;
    WireHost {
        worker: format!("{domain}-w{number}"),
        domain: domain.to_string(),
        rack: format!("{domain}-r{}", number / options.per_rack.max(1)),
        address: address.to_string(),
        capacity: options.capacity,
        leaving: false,
    }
}

fn register_hosts(platform: &str, hosts: Vec<WireHost>) -> io::Result<()> {
    let body = serde_json::to_vec(&WireHosts { hosts })?;
    let client = HttpClient::new(platform, PLATFORM_TIMEOUT);
    let reply = client
        .send("POST", "/hosts", &[], body)
        .map_err(io::Error::other)?;
    match reply.status {
        200 => Ok(()),
        status => Err(io::Error::other(format!(
            "registration of the workers failed with HTTP status {status}"
        ))),
    }
}
