//! Opening a connection.

use futures_lite::FutureExt;
use smol::{Timer, net::TcpStream};
use socket2::{SockRef, TcpKeepalive};
use std::{io, net::SocketAddr, time::Duration};

/// Idle time after which the system asks whether the other side still lives.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time between two such questions.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Questions without an answer after which the connection is dead. With the times
/// above a peer that vanished is noticed within three seconds.
const PROBES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// Opens a connection that notices when its other side has vanished.
///
/// # Errors
///
/// Fails if it is refused, or not open within the time.
pub(crate) async fn open(address: SocketAddr, timeout_ms: u64) -> io::Result<TcpStream> {
    let timed_out = async {
        Timer::after(Duration::from_millis(timeout_ms)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = TcpStream::connect(address).or(timed_out).await?;
    prepare(&stream)?;
    // What is given up on must not be delivered later: bytes that a cut link holds back
    // are dropped when the connection is, not sent when the link is whole again.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Sets the options that every connection of the daemon has.
pub(crate) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_EVERY).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
