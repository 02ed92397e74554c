//! One change at one engine: what it loads and what it evicts.

use crate::orders::Order;
use trestle_core::names::{AdapterName, EndpointName, ModelName};

/// One change at one engine.
#[trestle_macros::plain]
pub struct Change {
    /// The engine.
    pub endpoint: EndpointName,
    /// Models to evict.
    pub evicted: Vec<ModelName>,
    /// The model to load, or the model whose adapter is loaded.
    pub model: ModelName,
    /// The adapter to load, if the change loads one.
    pub adapter: Option<AdapterName>,
    /// The adapter to evict, if any, with its model.
    pub evicted_adapter: Option<(ModelName, AdapterName)>,
    /// Whether the weights come from the weight store.
    pub is_remote: bool,
    /// Expected time of the load itself.
    pub load_ms: u64,
    /// When the change should be done.
    pub done_at_ms: u64,
}

/// Least remaining time reported for a change that is not done yet.
const MIN_REMAINING_MS: u64 = 50;
/// The remaining time of an overdue change grows by the time that it is overdue divided by this.
const OVERDUE_PART: u64 = 2;

impl Change {
    /// Returns the expected time until the change is done; never 0.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        let overdue_ms = now_ms.saturating_sub(self.done_at_ms);
        self.done_at_ms.saturating_sub(now_ms).max(MIN_REMAINING_MS + overdue_ms / OVERDUE_PART)
    }

    /// Returns the orders that carry out the change.
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
