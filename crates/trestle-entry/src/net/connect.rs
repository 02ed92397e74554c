//! Opens TCP connections and sets their options.

use futures_lite::FutureExt;
use smol::{Timer, net::TcpStream};
use socket2::{SockRef, TcpKeepalive};
use std::{io, net::SocketAddr, time::Duration};

/// Idle time after which the system sends the first keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection counts as dead. With the times above, a
/// peer that vanished is detected within three seconds.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time for which sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Opens a connection that fails soon after its peer has vanished.
///
/// # Errors
///
/// Fails if the connection is refused, or not established within `timeout_ms`.
pub(crate) async fn open(address: SocketAddr, timeout_ms: u64) -> io::Result<TcpStream> {
    let timed_out = async {
        Timer::after(Duration::from_millis(timeout_ms)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = TcpStream::connect(address).or(timed_out).await?;
    set_options(&stream)?;
    // A request that was given up must not be delivered later. With a linger time of zero, the
    // system discards unsent bytes when the connection is dropped, instead of sending them once an
    // interrupted link works again.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Sets the options that every connection of the daemon has.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
