//! Reading one failure domain's host list, whole only where it changed.

use crate::{HttpClient, HttpReply, WireHosts};
use pomelotide_core::{DomainName, Host};
use std::time::Duration;

/// The status of a list that did not change.
const STATUS_UNCHANGED: u16 = 304;

/// What came of a reading of the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostReading {
    /// The list is the one read last.
    Unchanged,
    /// The list is this one.
    Listed(Vec<Host>),
    /// The list could not be read.
    Unread,
    /// The list was read and can't be understood, for the given reason.
    Malformed(String),
}

/// Reads the host list, and remembers by which tag the platform knows the latest reading.
///
/// A platform that knows no tags sends the whole list each time, and one that knows no failure
/// domains sends the hosts of all.
#[derive(Debug)]
pub struct HostReader {
    client: HttpClient,
    path: String,
    tag: Option<String>,
}

impl HostReader {
    /// Makes a reader of a failure domain's hosts; a reading ends after `limit`.
    pub fn new(platform: &str, domain: &DomainName, limit: Duration) -> Self {
        Self {
            client: HttpClient::new(platform, limit),
            path: format!("/hosts?domain={domain}"),
            tag: None,
        }
    }

    /// Reads the list.
    pub fn read(&mut self) -> HostReading {
        let known = self.tag.as_deref().map(|tag| ("if-none-match", tag));
        let headers: Vec<_> = known.into_iter().collect();
        match self.client.send("GET", &self.path, &headers, Vec::new()) {
            Ok(reply) if reply.status == STATUS_UNCHANGED => HostReading::Unchanged,
            Ok(reply) if reply.status == 200 => self.take_in(reply),
            Ok(_) | Err(_) => HostReading::Unread,
        }
    }

    fn take_in(&mut self, reply: HttpReply) -> HostReading {
        let wire: WireHosts = match serde_json::from_slice(&reply.body) {
            Ok(wire) => wire,
            Err(error) => return HostReading::Malformed(error.to_string()),
        };
        match wire.hosts.iter().map(Host::try_from).collect() {
            Ok(hosts) => {
                self.tag = reply.tag;
                HostReading::Listed(hosts)
            }
            Err(error) => HostReading::Malformed(error.to_string()),
        }
    }
}
