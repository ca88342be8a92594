//! Closing a listener without a reset of connections that its callers have already opened.
//!
//! The kernel completes connections before the process accepts them. Closing a listener resets
//! those in its accept queue: their callers see a connection that broke after a request was sent,
//! and can't tell whether the request has run. The caller of a connection that is refused knows
//! that nothing was sent.

use log::{debug, warn};
use socket2::{SockFilter, SockRef};
use std::io;
use tokio::net::{TcpListener, TcpStream};

/// Offset of the flags in a TCP header, in bytes.
const FLAGS_OFFSET: u32 = 13;

/// Flag of the first packet of a connection.
const SYN: u32 = 0x02;

/// Operation codes of the kernel's packet filter.
const LOAD_BYTE: u16 = 0x30;
const SKIP_IF_ANY_BIT: u16 = 0x45;
const RETURN: u16 = 0x06;

/// Results of the packet filter: the number of bytes of a packet to keep.
const KEEP: u32 = u32::MAX;
const DROP: u32 = 0;

/// Closes `listener` and returns the connections in its accept queue.
pub(crate) fn close(listener: TcpListener) -> Vec<TcpStream> {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            warn!(error:%; "accept_queue_lost");
            return Vec::new();
        }
    };
    // A connection that the kernel completes after the last accept would be reset. A caller whose
    // first packet is dropped repeats it after a second and is refused then. A handshake that the
    // kernel has answered and that its caller has not completed is still reset by the close.
    if let Err(error) = drop_new_connections(&listener) {
        debug!(error:%; "listener_not_filtered");
    }
    // Accepts by the runtime are not enough: it learns of a connection only when it polls for
    // events.
    let mut accepted = Vec::new();
    loop {
        match accept_now(&listener) {
            Ok(tcp) => accepted.push(tcp),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return accepted,
            // The caller has closed its connection.
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => {
                warn!(error:%; "accept_queue_lost");
                return accepted;
            }
        }
    }
}

fn accept_now(listener: &std::net::TcpListener) -> io::Result<TcpStream> {
    let (tcp, _) = listener.accept()?;
    tcp.set_nonblocking(true)?;
    TcpStream::from_std(tcp)
}

/// Makes the kernel drop the first packet of each further connection to `listener`.
fn drop_new_connections(listener: &std::net::TcpListener) -> io::Result<()> {
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(SKIP_IF_ANY_BIT, 1, 0, SYN),
        SockFilter::new(RETURN, 0, 0, KEEP),
        SockFilter::new(RETURN, 0, 0, DROP),
    ];
    SockRef::from(listener).attach_filter(&filter)
}
