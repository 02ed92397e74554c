//! Texts of large configurations.

/// Returns a configuration with `count` routes, which like its models all have unique names, and
/// a team with a key.
pub(crate) fn configuration(version: u64, count: u32, timeout_ms: u64, key: &str) -> Vec<u8> {
    let name = |number: u32| number.wrapping_mul(2_654_435_761);
    let routes = (0..count).map(|route| {
        let (name, fields) = (name(route), "\"kind\":\"stream\",\"most_sends\":2,\"open\":false");
        format!("{{\"name\":\"r-{name:x}\",\"start\":\"/p{route}/\",\"time_ms\":{timeout_ms},{fields}}},")
    });
    let models = (0..778).map(|model| {
        let (name, adapters) = (name(model), model % 20);
        format!("{{\"name\":\"m-{name:x}\",\"size\":72700.0,\"adapters\":{adapters}}},")
    });
    let (routes, models): (String, String) = (routes.collect(), models.collect());
    let teams = format!("\"teams\":[{{\"name\":\"red\",\"secrets\":[\"{key}\"]}}]");
    format!("{{\"version\":{version},\"routes\":[{routes}],\"models\":[{models}],{teams}}}")
        .into_bytes()
}
