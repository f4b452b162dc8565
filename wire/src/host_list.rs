//! Reading one failure domain's host list, whole only where it changed.

use crate::{HttpClient, HttpReply, WireHosts};
use pomelotide_core::{DomainName, Host};
use std::time::Duration;

/// The status of a list that did not change.
const STATUS_UNCHANGED: u16 = 304;

/// What came of a reading of the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostListResult {
    /// The list is the one read last.
    Unchanged,
    /// The list is this one.
    Listed(Vec<Host>),
    /// The list could not be read.
    Unavailable,
    /// The list was read and can't be understood, for the given reason.
    Malformed(String),
}

/// Reads the host list, and remembers by which tag the platform knows the latest reading.
///
/// A platform that knows no tags sends the whole list each time, and one that knows no failure
/// domains sends the hosts of all.
#[derive(Debug)]
pub struct HostListClient {
    client: HttpClient,
    path: String,
    etag: Option<String>,
}

impl HostListClient {
    /// Makes a reader of a failure domain's hosts; a reading ends after `timeout`.
    pub fn new(platform: &str, domain: &DomainName, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(platform, timeout),
            path: format!("/hosts?domain={domain}"),
            etag: None,
        }
    }

    /// Reads the list.
    pub fn fetch(&mut self) -> HostListResult {
        let validator = self.etag.as_deref().map(|etag| ("if-none-match", etag));
        let headers: Vec<_> = validator.into_iter().collect();
        match self.client.send("GET", &self.path, &headers, Vec::new()) {
            Ok(reply) if reply.status == STATUS_UNCHANGED => HostListResult::Unchanged,
            Ok(reply) if reply.status == 200 => self.parse_reply(reply),
            Ok(_) | Err(_) => HostListResult::Unavailable,
        }
    }

    fn parse_reply(&mut self, reply: HttpReply) -> HostListResult {
        let wire: WireHosts = match serde_json::from_slice(&reply.body) {
            Ok(wire) => wire,
            Err(error) => return HostListResult::Malformed(error.to_string()),
        };
        match wire.hosts.iter().map(Host::try_from).collect() {
            Ok(hosts) => {
                self.etag = reply.etag;
                HostListResult::Listed(hosts)
            }
            Err(error) => HostListResult::Malformed(error.to_string()),
        }
    }
}
