//! The wire formats of the store, the endpoints and the callers of the users' platform.

use trestle_entry::wire::{EndpointWire, HeadWire, StoreWire, Wire};
use trestle_platform::{READINESS_PATH, configuration, endpoint, head, order, signals, store};

/// Returns the wire formats of the users' platform.
pub(crate) fn wire() -> Wire {
    Wire {
        store: StoreWire {
            config_row: (configuration::TABLE, configuration::KEY),
            endpoint_table: endpoint::TABLE,
            read_era: |headers| Ok(store::read_era(headers)?),
            read_call: |table, partition, after| Ok(store::read_call(table, partition, after)?),
            read_answer: |era, status, body| Ok(store::read_answer(era, status, body)?),
            follow_call: |table, after, wait_ms| Ok(store::follow_call(table, after, wait_ms)?),
            follow_answer: |era, status, body| Ok(store::follow_answer(era, status, body)?),
            write_call: store::write_call,
            write_answer: store::write_answer,
            read_config: |text| Ok(configuration::read(text)?),
            read_endpoint: |name, text| Ok(endpoint::read_entry(name, text)?),
        },
        endpoint: EndpointWire {
            report_call: endpoint::report_call,
            report_answer: |status, body| Ok(endpoint::report_answer(status, body)?),
            identity_call: endpoint::identity_call,
            identity_answer: endpoint::identity_answer,
            order_call: order::call,
            order_answer: order::answer,
        },
        head: HeadWire {
            read_request: head::read_request,
            forward_request: head::forward_request,
            read_answer: head::read_answer,
            read_signals: signals::read,
            forward_answer: head::forward_answer,
            own_answer: head::set_request_id,
        },
        readiness_path: READINESS_PATH,
    }
}
