//! Small stand-ins for model engines, plain services and the platform.
//!
//! One process takes the place of everything that a configuration file names.
//! It counts what happens at the far side and notes every breach of what must
//! always hold. Faults are switched at run time over its control address.

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
mod weights;
mod world;

use crate::{args::Args, error::Result, world::World};
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
    let world = Arc::new(World::new(&config, &args));
    for address in &args.platform_addresses {
        let world = Arc::clone(&world);
        let address = *address;
        http::serve(address, move |conn| platform_http::handle(Arc::clone(&world), address, conn));
    }
    for (name, url) in &config.engine_urls {
        let (world, name) = (Arc::clone(&world), name.clone());
        let handle = move |conn| engine_http::handle(Arc::clone(&world), name.clone(), conn);
        http::serve(http::address_of(url)?, handle);
    }
    for (service, spec) in &config.services {
        for endpoint in spec.endpoints.values() {
            let (world, service) = (Arc::clone(&world), service.clone());
            let header = spec.idempotency_header.clone();
            let handle = move |conn| {
                service_http::handle(Arc::clone(&world), service.clone(), header.clone(), conn)
            };
            http::serve(http::address_of(&endpoint.url)?, handle);
        }
    }
    let control = Arc::clone(&world);
    http::serve(args.control_address, move |conn| control::handle(Arc::clone(&control), conn));
    println!("standin: serving {} engines", config.engine_urls.len());
    std::future::pending::<()>().await;
    Ok(())
}
