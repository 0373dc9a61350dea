//! Listeners whose connections hold a bounded number of bytes in the kernel.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// The receive buffer of a connection, in bytes. The kernel doubles it for its own bookkeeping.
///
/// Without a bound the kernel lets the queue of a connection that is read slowly grow to megabytes, which
/// count as memory of the process.
const RECEIVE_BYTES: u32 = 16 * 1024;
/// The number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens at an address, with `TCP_NODELAY` and a bound on the unread bytes of each connection, both of
/// which accepted connections inherit: the last event of a stream must not wait for an acknowledgement.
///
/// # Errors
///
/// Returns the error of the socket if the address cannot be bound.
pub fn listen_bounded(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
