//! Opens detours.

use crate::{daemon::Daemon, net::connect};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, StreamExt};
use futures_util::stream::FuturesUnordered;
use smol::{Timer, net::TcpStream};
use snafu::{ResultExt, Snafu};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use trestle_dispatch::endpoint::Endpoint;
use trestle_wire::detours::{DetourAnswer, DetourError, WireDetourRequest};

/// Most helpers that are asked for one connection.
const MAX_ASKED: usize = 3;
/// Time after which another helper is asked while those before have not answered.
const NEXT_AFTER_MS: u64 = 80;
/// Longest time for connecting to a helper.
const CONNECT_TIMEOUT_MS: u64 = 200;
/// Longest time until a helper answers; it connects to the endpoint in that time.
const ANSWER_TIMEOUT_MS: u64 = 500;

/// An open detour.
#[derive(Debug)]
pub(crate) struct Detour {
    pub(crate) stream: TcpStream,
    /// The address of the daemon through which it passes.
    pub(crate) helper: SocketAddr,
}

/// Why no detour was opened. Nothing was sent to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoDetour {
    /// No helper is known, or none has answered.
    NoHelper,
    /// A helper did not reach the endpoint.
    NotReached,
    /// The endpoint refused the connection of a helper that reaches others.
    Refused,
}

/// Why a helper opened no detour.
#[derive(Debug, Snafu)]
enum AskError {
    #[snafu(display("it cannot be reached: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("it does not answer: {source}"))]
    Exchange { source: io::Error },
    #[snafu(display("{source}"))]
    Message { source: DetourError },
    #[snafu(display("it answers {answer:?}"))]
    Declined { answer: DetourAnswer },
}

/// Opens a detour to an endpoint.
///
/// # Errors
///
/// Fails if no helper that is asked reaches the endpoint.
pub(crate) async fn open(daemon: &Arc<Daemon>, endpoint: &Endpoint) -> Result<Detour, NoDetour> {
    let now_ms = daemon.shared_view.now_ms();
    let helpers = daemon
        .with_helpers(|known| known.pick(&endpoint.service, MAX_ASKED, fastrand::u64(..), now_ms));
    let mut helpers = helpers.into_iter();
    let mut asking = FuturesUnordered::new();
    let mut result = NoDetour::NoHelper;
    loop {
        if let Some(helper) = helpers.next() {
            asking.push(ask(daemon, helper, endpoint));
        }
        if asking.is_empty() {
            daemon.helpers_needed.notify(usize::MAX);
            return Err(result);
        }
        let has_more = helpers.len() > 0;
        let next_due = async {
            match has_more {
                true => _ = Timer::after(Duration::from_millis(NEXT_AFTER_MS)).await,
                false => futures_lite::future::pending().await,
            }
            None
        };
        let Some(answered) = asking.next().or(next_due).await else { continue };
        match answered {
            Ok(detour) => return Ok(detour),
            // The endpoint has terminated; another helper would find the same.
            Err((_, AskError::Declined { answer: DetourAnswer::Refused })) => {
                return Err(NoDetour::Refused);
            }
            Err((helper, error)) => {
                tracing::debug!(%helper, endpoint = %endpoint.name, %error, "detour: A helper opened no detour.");
                match error {
                    AskError::Declined {
                        answer: DetourAnswer::NotReached | DetourAnswer::NotListed,
                    } => result = NoDetour::NotReached,
                    AskError::Declined { answer: DetourAnswer::CutOff } => {
                        let now_ms = daemon.shared_view.now_ms();
                        daemon
                            .with_helpers(|known| known.cut_off(helper, &endpoint.service, now_ms));
                    }
                    _ => helper_failed(daemon, helper),
                }
            }
        }
    }
}

/// Records that a helper did not answer, or that a detour through it broke.
pub(crate) fn helper_failed(daemon: &Daemon, helper: SocketAddr) {
    let now_ms = daemon.shared_view.now_ms();
    daemon.with_helpers(|known| known.failed(helper, now_ms));
}

/// Asks a helper to open a detour.
async fn ask(
    daemon: &Daemon,
    helper: SocketAddr,
    endpoint: &Endpoint,
) -> Result<Detour, (SocketAddr, AskError)> {
    let asked = async {
        let request = WireDetourRequest::new(&daemon.settings.vm, endpoint).encode();
        let request = request.context(MessageSnafu)?;
        let mut stream = connect::open(helper, CONNECT_TIMEOUT_MS).await.context(ConnectSnafu)?;
        let answer = exchange(&mut stream, &request).or(timed_out()).await;
        let answer =
            DetourAnswer::try_from(answer.context(ExchangeSnafu)?).context(MessageSnafu)?;
        match answer {
            DetourAnswer::Opened => Ok(Detour { stream, helper }),
            answer => DeclinedSnafu { answer }.fail(),
        }
    };
    asked.await.map_err(|error| (helper, error))
}

async fn exchange(stream: &mut TcpStream, request: &[u8]) -> io::Result<u8> {
    stream.write_all(request).await?;
    let mut answer = [0];
    stream.read_exact(&mut answer).await?;
    Ok(answer[0])
}

async fn timed_out() -> io::Result<u8> {
    Timer::after(Duration::from_millis(ANSWER_TIMEOUT_MS)).await;
    Err(io::ErrorKind::TimedOut.into())
}
