//! Time of working out what has changed in a large configuration.

use std::{fmt::Write, time::Instant};
use trestle_dispatch::text_delta::text_delta;

fn text(version: u32, routes: u32, key: &str) -> String {
    let mut text = format!("{{\"version\":{version},\"routes\":[");
    for route in 0..routes {
        let _ = write!(
            text,
            "{{\"name\":\"r-{:x}\",\"host\":\"ficu95.example\",\"prefix\":\"/lohu{route}/\",\"route_kind\":\"streaming\",\"timeout_ms\":12000,\"goal_ms\":500,\"priority\":1,\"service\":\"huvo11a\",\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":300}},",
            route * 2_654_435_761u32
        );
    }
    text.push_str("],\"models\":[");
    for model in 0..778u32 {
        let _ = write!(
            text,
            "{{\"name\":\"daka{:x}\",\"weights_mb\":72700.0,\"load_s\":10.2,\"adapters\":{},\"adapter_size_mb\":66.0,\"warm_s\":0.47,\"disk_s\":0.64}},",
            model * 2_654_435_761u32,
            model % 20
        );
    }
    let _ = write!(text, "],\"tenants\":[{{\"name\":\"hule930\",\"keys\":[\"{key}\"]}}]}}");
    text
}

fn main() {
    let small = text(32, 50, "a");
    for (name, old, new) in [
        ("one key changed", small.clone(), text(33, 50, "b")),
        ("1,288 routes more, one key changed", small, text(35, 1_338, "b")),
    ] {
        let begun = Instant::now();
        let delta = text_delta(old.as_bytes(), new.as_bytes());
        let ms = begun.elapsed().as_secs_f64() * 1e3;
        println!(
            "{name}: {} to {} bytes, {ms:.1} ms, a delta: {}",
            old.len(),
            new.len(),
            delta.is_some()
        );
    }
}
