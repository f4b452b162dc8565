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

const GOOD_HOST: &str = r#"{"worker":"a","domain":"saiss","rack":"r","address":"127.0.0.1:1","leaving":false,
    "capacity":{"cpu_milli":1,"memory_mib":1,"accelerators":0,"slots":0}}"#;

/// Requests a list with the given entries and a valid one after them; returns the workers and the
/// reasons for the entries that were left out.
fn fetch_with(malformed: &[Vec<u8>]) -> (Vec<(String, bool)>, Vec<String>) {
    let entries = malformed.iter().map(|entry| [entry, &b","[..]].concat());
    let entries: Vec<u8> = entries.flatten().collect();
    let body = [b"{\"hosts\":[", &entries[..], GOOD_HOST.as_bytes(), b"]}"].concat();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let platform = listener.local_addr().unwrap().to_string();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
        )
        .unwrap();
        stream.write_all(&body).unwrap();
    });
    let mut client = HostListClient::new(&platform, &DomainName::new("saiss"), HTTP_TIMEOUT);
    let result = client.fetch();
    server.join().unwrap();
    let HostListResult::Listed(hosts, reasons) = result else {
        panic!("{:.200}", format!("{result:?}"));
    };
    let reasons = reasons.iter().map(ToString::to_string).collect();
    (
        listed_workers(HostListResult::Listed(hosts, Vec::new())),
        reasons,
    )
}

fn with(from: &str, to: &str) -> Vec<u8> {
    GOOD_HOST
        .replace("\"a\"", "\"m\"")
        .replace(from, to)
        .into_bytes()
}

/// Guards against a malformed entry that makes the whole list unusable, so that later changes of the
/// hosts are not seen.
#[test]
fn a_malformed_host_does_not_make_the_list_unusable() {
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    let malformed = [
        with("\"m\"", "\"\""),
        with(":1,", ":1e400,"),
        with(":1,", ":18446744073709551616,"),
        with(":1,", ":-1,"),
        with(":1,", ":1.5,"),
        with(":1,", ":\"1\","),
        with("false", &deep),
        with("\"rack\":\"r\",", ""),
        with("\"rack\":\"r\"", "\"rack\":\"r\",\"rack\":\"q\""),
        with("\"m\"", "\"\\ud800\""),
        b"null".to_vec(),
        b"{}".to_vec(),
        deep.into_bytes(),
    ];
    let (workers, reasons) = fetch_with(&malformed);
    assert_eq!(workers, [("a".into(), false)]);
    assert_eq!(reasons.len(), malformed.len(), "{reasons:.80?}");
}

/// Guards against a host with bytes that are not UTF-8 that makes the whole list unusable, and against
/// using such a host.
#[test]
fn a_host_that_is_not_utf_8_does_not_make_the_list_unusable() {
    let fields = ["m", "saiss", "r", "127.0.0.1:1"];
    let malformed = fields.map(|field| {
        let entry = with(&format!("\"{field}\""), "\"?\"");
        let replace = |byte: u8| if byte == b'?' { 0xff } else { byte };
        entry.into_iter().map(replace).collect()
    });
    let (workers, reasons) = fetch_with(&malformed);
    assert_eq!(workers, [("a".into(), false)]);
    assert_eq!(reasons.len(), malformed.len(), "{reasons:.80?}");
}

/// Guards against a host without a usable port, to which a connection is opened again and again.
#[test]
fn a_host_whose_address_cant_be_called_is_left_out() {
    let addresses = "|127.0.0.1|127.0.0.1:|127.0.0.1:0|127.0.0.1:65536|127.0.0.1:-1|:1|0.0.0.0:1";
    let malformed: Vec<Vec<u8>> = addresses
        .split('|')
        .map(|address| with("127.0.0.1:1", address))
        .collect();
    let (workers, reasons) = fetch_with(&malformed);
    assert_eq!(workers, [("a".into(), false)]);
    assert_eq!(reasons.len(), malformed.len(), "{reasons:.80?}");
}

/// Guards against a log line as long as the field that it quotes.
#[test]
fn the_reason_for_an_unusable_host_is_bounded() {
    let long = "x".repeat(100_000);
    let malformed = [
        with("false", &format!("\"{long}\"")),
        with("127.0.0.1:1", &long),
        with("\"m\"", &format!("\"{long}\"")),
    ];
    let (workers, reasons) = fetch_with(&malformed);
    assert_eq!(workers, [("a".into(), false)]);
    let longest = reasons.iter().map(String::len).max();
    assert!(
        longest.is_some_and(|bytes| bytes < 300),
        "{longest:?} bytes"
    );
}
