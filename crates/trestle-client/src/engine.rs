//! Client of model engines.

use crate::http;
use trestle_core::{
    fence::Fence,
    order::{Order, OrderOutcome},
};
use trestle_wire::order::{WireOrder, WireOrderAnswer};
use trillium_client::Client;

/// Time limit for the answer to an order.
const ORDER_TIMEOUT_MS: u64 = 1_000;

/// Client that sends orders to engines.
#[derive(Debug, Clone)]
pub struct Engine {
    client: Client,
}

impl Default for Engine {
    fn default() -> Self {
        Self { client: http::pooled_client() }
    }
}

impl Engine {
    /// Sends an order to the engine at a URL and returns its outcome, which is `Unknown` if no
    /// valid answer arrives in time.
    pub async fn order(&self, url: &str, order: &Order) -> OrderOutcome {
        let url = format!("{url}/orders");
        let body = WireOrder::from(order);
        match http::post_json(&self.client, &url, &body, ORDER_TIMEOUT_MS).await {
            Ok(WireOrderAnswer::Accepted { report }) => OrderOutcome::Accepted(report.into()),
            Ok(WireOrderAnswer::Refused { fence }) => OrderOutcome::Refused(Fence::from(fence)),
            Ok(WireOrderAnswer::Impossible { report, .. }) => {
                OrderOutcome::Impossible(report.into())
            }
            Err(_) => OrderOutcome::Unknown,
        }
    }
}
