//! Simulates model engines, plain services and the platform for tests.
//!
//! One process simulates all endpoints that a configuration file names, and the
//! platform. It counts orders, requests and table accesses, and records a breach
//! whenever an invariant is violated, such as a call that runs twice. Faults are
//! set at run time over its control address.

mod args;
mod control;
mod engine;
mod engine_http;
mod error;
mod faults;
mod http;
mod platform;
mod platform_http;
mod service_http;
mod simulation;
mod weight_store;

use crate::{args::Args, error::Result, simulation::Simulation};
use std::{process::ExitCode, sync::Arc};

fn main() -> ExitCode {
    match smol::block_on(run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<()> {
    let Some(args) = Args::from_env()? else { return Ok(()) };
    let config = args.config()?;
    let simulation = Arc::new(Simulation::new(&config, &args));
    for address in &args.platform_addresses {
        let simulation = Arc::clone(&simulation);
        let address = *address;
        http::serve(address, move |conn| {
            platform_http::handle(Arc::clone(&simulation), address, conn)
        });
    }
    for (name, url) in &config.engine_urls {
        let (simulation, name) = (Arc::clone(&simulation), name.clone());
        let handle = move |conn| engine_http::handle(Arc::clone(&simulation), name.clone(), conn);
        http::serve(http::parse_address(url)?, handle);
    }
    for (service, spec) in &config.services {
        for endpoint in spec.endpoints.values() {
            let (simulation, service) = (Arc::clone(&simulation), service.clone());
            let header = spec.idempotency_header.clone();
            let handle = move |conn| {
                service_http::handle(Arc::clone(&simulation), service.clone(), header.clone(), conn)
            };
            http::serve(http::parse_address(&endpoint.url)?, handle);
        }
    }
    let control = Arc::clone(&simulation);
    http::serve(args.control_address, move |conn| control::handle(Arc::clone(&control), conn));
    println!("standin: serving {} engines", config.engine_urls.len());
    std::future::pending::<()>().await;
    Ok(())
}
