//! Opens TCP connections and sets their options.

use futures_lite::FutureExt;
use rustix::io::Errno;
use smol::{Async, Timer, net::TcpStream};
use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};
use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

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
    open_from(None, address, timeout_ms).await
}

/// Opens a connection as [`open`] does, from a source address if one is given.
///
/// # Errors
///
/// Fails as [`open`] does, or if the source address cannot be used.
pub(crate) async fn open_from(
    source: Option<IpAddr>,
    address: SocketAddr,
    timeout_ms: u64,
) -> io::Result<TcpStream> {
    let timed_out = async {
        Timer::after(Duration::from_millis(timeout_ms)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let connect = async {
        match source {
            Some(source) => connect_from(source, address).await,
            None => TcpStream::connect(address).await,
        }
    };
    let stream = connect.or(timed_out).await?;
    set_options(&stream)?;
    // A request that was given up must not be delivered later. With a linger time of zero, the
    // system discards unsent bytes when the connection is dropped, instead of sending them once an
    // interrupted link works again.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Opens a connection from a source address.
async fn connect_from(source: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::new(source, 0).into())?;
    // A connection that is not established at once makes the socket writable once it is.
    if let Err(error) = socket.connect(&address.into())
        && error.raw_os_error() != Some(Errno::INPROGRESS.raw_os_error())
    {
        return Err(error);
    }
    let stream = Async::try_from(std::net::TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(stream.into()),
    }
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
