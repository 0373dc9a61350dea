//! A consumer that reads slowly over a path with the segment size of an Ethernet.
//!
//! Loopback's segments of 64 KB would let the kernel keep 2.6 MB of an answer for the daemon; on
//! the way to another machine it keeps some tens of KB.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Payload of a segment on an Ethernet.
const SEGMENT: i32 = 1_460;

#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const Address, length: u32) -> i32;
}

/// Connects with small segments and a receive buffer of about `buffer` bytes.
pub fn connect_small(address: SocketAddr, buffer: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::Error::other("not an IPv4 address"));
    };
    // SAFETY: the calls take numbers and pointers to values that live until they return; the
    // descriptor is owned by the stream from its creation on.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        for (level, name, value) in [
            (IPPROTO_TCP, TCP_MAXSEG, SEGMENT),
            (SOL_SOCKET, SO_RCVBUF, buffer),
        ] {
            check(setsockopt(fd, level, name, &raw const value, 4))?;
        }
        let to = encode(address);
        check(connect(fd, &raw const to, 16))?;
        Ok(stream)
    }
}

fn encode(address: SocketAddrV4) -> Address {
    Address {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    }
}

fn check(result: i32) -> io::Result<()> {
    if result == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}
