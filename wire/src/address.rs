//! Checks of addresses that other writers list.

use std::net::SocketAddr;

/// Returns whether `address` is an IP address and port to which a connection can be made.
pub fn is_connectable(address: &str) -> bool {
    let address: Result<SocketAddr, _> = address.parse();
    address.is_ok_and(|address| {
        let ip = address.ip();
        address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
    })
}
