//! Listeners whose connections hold a bounded amount of data in the kernel.

use std::{io, net::SocketAddr};
use tokio::net::{TcpListener, TcpSocket};

/// What the kernel holds for the connections of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct KernelBounds {
    /// The size of each of a connection's buffers. The kernel's own choice grows to megabytes.
    pub(crate) buffer_bytes: u32,
    /// The number of connections that wait to be accepted; the kernel holds what they send.
    pub(crate) backlog: u32,
}

impl KernelBounds {
    /// The bounds of HTTP listeners, whose requests and answers are small.
    pub(crate) const HTTP: Self = Self {
        buffer_bytes: 16 * 1_024,
        backlog: 256,
    };
    /// The bounds of the listener for other daemons, of which a cell has about 30; desired states of up to 1 MB
    /// pass through it.
    pub(crate) const PEERS: Self = Self {
        buffer_bytes: 64 * 1_024,
        backlog: 64,
    };
}

/// Binds a listener with these bounds.
pub(crate) fn listen(address: SocketAddr, bounds: KernelBounds) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(bounds.buffer_bytes)?;
    socket.set_send_buffer_size(bounds.buffer_bytes)?;
    socket.bind(address)?;
    socket.listen(bounds.backlog)
}
