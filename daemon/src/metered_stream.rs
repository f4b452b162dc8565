//! A connection that counts what it receives.

use crate::connection_gate::Entry;
use std::{
    io::{Error, ErrorKind, Result},
    pin::Pin,
    rc::Rc,
    task::{ready, Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The most bytes of one read. Less than the read buffer that the HTTP library begins with, which grows when
/// a read fills it and is then kept for as long as the connection.
const MAX_READ_BYTES: usize = 4 * 1_024;

/// A TCP connection whose received bytes count in a budget.
pub(crate) struct MeteredStream {
    stream: TcpStream,
    entry: Rc<Entry>,
}

impl MeteredStream {
    pub(crate) fn new(stream: TcpStream, entry: Rc<Entry>) -> Self {
        Self { stream, entry }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let most = buffer.remaining().min(MAX_READ_BYTES);
        if !self.entry.may_receive(most as u64) {
            // The connections that are being closed run before this one is polled again.
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(most));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let received = part.filled().len();
        buffer.advance(received);
        if received > 0 && !self.entry.receive(received as u64) {
            return Poll::Ready(Err(Error::from(ErrorKind::ConnectionAborted)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
