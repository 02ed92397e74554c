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

impl Change {
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
