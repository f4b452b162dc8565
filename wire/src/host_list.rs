//! HTTP client for the host list of one failure domain; the list is sent only if it changed.

use crate::{bounded_reason, HttpClient, HttpReply, WireHost};
use compact_str::CompactString;
use pomelotide_core::{DomainName, Host};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::time::Duration;

/// The HTTP status `Not Modified`.
const STATUS_UNCHANGED: u16 = 304;

/// The result of a request for the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostListResult {
    /// The list is the same as in the latest successful request.
    Unchanged,
    /// The list changed, or the platform does not support ETags; holds the valid hosts and, for each
    /// malformed entry, why it can't be used.
    Listed(Vec<Host>, Vec<CompactString>),
    /// The platform did not answer with a list.
    Unavailable,
    /// The list can't be parsed, for the given reason.
    Malformed(CompactString),
}

/// The host list with its entries as raw text; each is decoded separately, so that a malformed one does
/// not affect others.
#[derive(Debug, Deserialize)]
struct RawHosts<'a> {
    #[serde(borrow)]
    hosts: Vec<&'a RawValue>,
}

/// Parses one entry; returns the reason as the error if it is malformed.
fn parse_host(entry: &RawValue) -> Result<Host, CompactString> {
    let wire: WireHost = serde_json::from_str(entry.get()).map_err(bounded_reason)?;
    Host::try_from(&wire).map_err(bounded_reason)
}

/// Requests the host list and sends the ETag of the latest list, so that an unchanged list is not
/// transferred again.
///
/// A platform without ETags sends the whole list each time, and one that does not filter by failure
/// domain sends the hosts of all failure domains.
#[derive(Debug)]
pub struct HostListClient {
    client: HttpClient,
    path: String,
    etag: Option<String>,
}

impl HostListClient {
    /// Creates a client for the hosts of a failure domain; a request is aborted after `timeout`.
    pub fn new(platform: &str, domain: &DomainName, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(platform, timeout),
            path: format!("/hosts?domain={domain}"),
            etag: None,
        }
    }

    /// Requests the list.
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
        // A replaced byte makes only its own entry unusable: no field allows the replacement character.
        let body = String::from_utf8_lossy(&reply.body);
        let wire: RawHosts<'_> = match serde_json::from_str(&body) {
            Ok(wire) => wire,
            Err(error) => return HostListResult::Malformed(bounded_reason(error)),
        };
        let (mut hosts, mut reasons) = (Vec::new(), Vec::new());
        for entry in wire.hosts {
            match parse_host(entry) {
                Ok(host) => hosts.push(host),
                Err(reason) => reasons.push(reason),
            }
        }
        self.etag = reply.etag;
        HostListResult::Listed(hosts, reasons)
    }
}
