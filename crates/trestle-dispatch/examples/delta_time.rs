//! Measures the time of computing the changes of a large configuration.

#[path = "../tests/common/large_configuration.rs"]
mod large_configuration;

use large_configuration::configuration;
use std::time::Instant;
use trestle_dispatch::text_delta::text_delta;

fn main() {
    let old = configuration(7, 50, 4_000, "a");
    for (name, new) in [
        ("one key changed", configuration(8, 50, 4_000, "b")),
        ("1,288 more routes, one key changed", configuration(8, 1_338, 4_000, "b")),
    ] {
        let started = Instant::now();
        let delta = text_delta(&old, &new);
        let ms = started.elapsed().as_secs_f64() * 1e3;
        let (from, to, is_delta) = (old.len(), new.len(), delta.is_some());
        println!("{name}: {from} to {to} bytes, {ms:.1} ms, a delta: {is_delta}");
    }
}
