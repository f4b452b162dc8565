//! Guards against reading the whole host list again when it has not changed for the failure domain.
#![allow(clippy::unwrap_used)] // A test file.

use pomelotide_core::{DomainName, Resources};
use pomelotide_standins::serve_platform;
use pomelotide_wire::{HostListClient, HostListResult, HttpClient, WireHost, WireHosts};
use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    thread,
    time::Duration,
};

const HTTP_TIMEOUT: Duration = Duration::from_secs(5);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

fn register_host(platform: &str, domain: &str, worker: &str, leaving: bool) {
    let host = WireHost {
        worker: worker.into(),
        domain: domain.into(),
        rack: "rack".into(),
        address: "127.0.0.1:1".into(),
        capacity: Resources::default(),
        leaving,
    };
    let body = serde_json::to_vec(&WireHosts { hosts: vec![host] }).unwrap();
    let client = HttpClient::new(platform, HTTP_TIMEOUT);
    let reply = client.send("POST", "/hosts", &[], body).unwrap();
    assert_eq!(reply.status, 200);
}

fn listed_workers(result: HostListResult) -> Vec<(String, bool)> {
    let HostListResult::Listed(hosts, _) = result else {
        panic!("{result:?}");
    };
    let to_pair = |host: pomelotide_core::Host| (host.worker.to_string(), host.leaving);
    hosts.into_iter().map(to_pair).collect()
}

#[test]
fn a_list_is_read_again_only_after_a_change_of_the_own_failure_domain() {
    let address = free_address();
    let _server = serve_platform(address).unwrap();
    let platform = address.to_string();
    register_host(&platform, "saiss", "a", false);
    register_host(&platform, "ifrane", "b", false);
    let mut client = HostListClient::new(&platform, &DomainName::new("saiss"), HTTP_TIMEOUT);
    assert_eq!(listed_workers(client.fetch()), [("a".into(), false)]);
    assert_eq!(client.fetch(), HostListResult::Unchanged);
    register_host(&platform, "ifrane", "b", true);
    assert_eq!(client.fetch(), HostListResult::Unchanged);
    register_host(&platform, "saiss", "a", true);
    assert_eq!(listed_workers(client.fetch()), [("a".into(), true)]);
    assert_eq!(client.fetch(), HostListResult::Unchanged);
}

/// Guards against a malformed entry that makes the whole list unusable, so that later changes of the
/// hosts are not seen.
#[test]
fn a_malformed_host_does_not_make_the_list_unusable() {
    let good = r#"{"worker":"a","domain":"saiss","rack":"r","address":"127.0.0.1:1","leaving":false,
        "capacity":{"cpu_milli":1,"memory_mib":1,"accelerators":0,"slots":0}}"#;
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    let malformed = [
        good.replace("\"a\"", "\"\""),
        good.replace(":1,", ":1e400,"),
        good.replace(":1,", ":18446744073709551616,"),
        good.replace("false", &deep),
        deep,
    ];
    let body = format!("{{\"hosts\":[{},{good}]}}", malformed.join(","));
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let platform = listener.local_addr().unwrap().to_string();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
        )
        .unwrap();
    });
    let mut client = HostListClient::new(&platform, &DomainName::new("saiss"), HTTP_TIMEOUT);
    let result = client.fetch();
    let HostListResult::Listed(hosts, reasons) = result else {
        panic!("{:.200}", format!("{result:?}"));
    };
    assert_eq!((hosts.len(), reasons.len()), (1, 5), "{reasons:.80?}");
    server.join().unwrap();
}
