//! One change at one engine: what comes and what makes way.

use crate::orders::Order;
use trestle_core::names::{AdapterName, EndpointName, ModelName};

/// One change at one engine.
#[trestle_macros::plain]
pub struct Change {
    /// The engine.
    pub endpoint: EndpointName,
    /// Models that go.
    pub evicted: Vec<ModelName>,
    /// The model that comes, or whose adapter comes.
    pub model: ModelName,
    /// The adapter that comes.
    pub adapter: Option<AdapterName>,
    /// The adapter that goes.
    pub evicted_adapter: Option<(ModelName, AdapterName)>,
    /// Whether the weights come from the weight store.
    pub is_remote: bool,
    /// Time that the load itself should take.
    pub load_ms: u64,
    /// When it should be done.
    pub done_at_ms: u64,
}

/// Least time that a change which is not done yet is said to take.
const LEAST_LEFT_MS: u64 = 50;
/// Part of the time by which it is overdue that it is said to take longer.
const OVERDUE_PART: u64 = 2;

impl Change {
    /// Time until it should be done; never 0, since it is not done yet.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        let overdue_ms = now_ms.saturating_sub(self.done_at_ms);
        self.done_at_ms.saturating_sub(now_ms).max(LEAST_LEFT_MS + overdue_ms / OVERDUE_PART)
    }

    /// The orders that make the change.
    pub fn orders(&self) -> Vec<Order> {
        let mut orders: Vec<Order> =
            self.evicted.iter().map(|model| Order::UnloadModel(model.clone())).collect();
        if let Some((model, adapter)) = &self.evicted_adapter {
            orders.push(Order::UnloadAdapter(model.clone(), adapter.clone()));
        }
        orders.push(match &self.adapter {
            Some(adapter) => Order::LoadAdapter(self.model.clone(), adapter.clone()),
            None => Order::LoadModel(self.model.clone()),
        });
        orders
    }
}
