//! Checks of the values in a configuration file.

use crate::{
    file::{ConfigFile, ModelEntry, ServiceEntry, TenantEntry},
    window,
};
use std::{collections::BTreeMap, net::SocketAddr};

/// Value that is not valid or contradicts another one, with the path of keys that leads to it.
pub(crate) struct Finding {
    pub(crate) path: Vec<String>,
    pub(crate) message: String,
}

const DIGEST_CHARS: usize = 64;
const MAX_OFFSET_MINUTES: i32 = 14 * 60;
const MAX_LOAD_MS: u64 = 3_600_000;

/// Returns all findings in the file.
pub(crate) fn findings(file: &ConfigFile) -> Vec<Finding> {
    let mut found = Findings(Vec::new());
    check_names(file, &mut found);
    check_classes(file, &mut found);
    for (name, tenant) in &file.tenants {
        check_tenant(file, name, tenant, &mut found);
    }
    check_tokens(file, &mut found);
    check_engines(file, &mut found);
    for (name, model) in &file.models {
        check_model(file, name, model, &mut found);
    }
    check_adapters(file, &mut found);
    let message = "must lie between -840 and 840";
    let is_offset = (-MAX_OFFSET_MINUTES..=MAX_OFFSET_MINUTES).contains(&file.utc_offset_minutes);
    found.check(is_offset, &["utc_offset_minutes"], message);
    for (name, service) in &file.services {
        check_service(name, service, &mut found);
    }
    found.0
}

struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, path: &[&str], message: impl Into<String>) {
        let path = path.iter().map(|part| (*part).to_owned()).collect();
        self.0.push(Finding { path, message: message.into() });
    }

    fn check(&mut self, holds: bool, path: &[&str], message: &str) {
        if !holds {
            self.add(path, message);
        }
    }
}

fn check_names(file: &ConfigFile, found: &mut Findings) {
    let sections: [(&str, Vec<&String>); 6] = [
        ("classes", file.classes.keys().collect()),
        ("tenants", file.tenants.keys().collect()),
        ("engines", file.engines.keys().collect()),
        ("models", file.models.keys().collect()),
        ("adapters", file.adapters.keys().collect()),
        ("services", file.services.keys().collect()),
    ];
    for (section, names) in sections {
        for name in names {
            let message = "a name has 1 to 64 letters, digits, `-`, `_` or `.`; rename it";
            found.check(is_name(name), &[section, name], message);
        }
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=64).contains(&name.len()) && name.chars().all(allowed)
}

fn check_classes(file: &ConfigFile, found: &mut Findings) {
    found.check(!file.classes.is_empty(), &["classes"], "declare at least one class");
    for (name, class) in &file.classes {
        let path = ["classes", name, "deadline_ms"];
        found.check(class.deadline_ms > 0, &path, "must be at least 1 ms");
    }
}

fn check_tenant(file: &ConfigFile, name: &str, tenant: &TenantEntry, found: &mut Findings) {
    let path = ["tenants", name, "classes"];
    found.check(!tenant.classes.is_empty(), &path, "name at least one class");
    for class in &tenant.classes {
        if !file.classes.contains_key(class) {
            found.add(&path, format!("class `{class}` is not declared; add it under `classes`"));
        }
    }
    let path = ["tenants", name, "max_concurrent"];
    found.check(tenant.max_concurrent > 0, &path, "must be at least 1");
    let is_digest = |token: &String| {
        token.len() == DIGEST_CHARS && token.chars().all(|c| c.is_ascii_hexdigit())
    };
    let path = ["tenants", name, "token_sha256"];
    let message = "each must be 64 hexadecimal digits; `trestlectl digest` prints one";
    found.check(tenant.token_sha256.iter().all(is_digest), &path, message);
}

fn check_tokens(file: &ConfigFile, found: &mut Findings) {
    let mut owners: BTreeMap<&String, &String> = BTreeMap::new();
    for (name, tenant) in &file.tenants {
        for token in &tenant.token_sha256 {
            if let Some(other) = owners.insert(token, name) {
                let message = format!("tenant `{other}` has the same token; give each its own");
                found.add(&["tenants", name, "token_sha256"], message);
            }
        }
    }
}

fn check_engines(file: &ConfigFile, found: &mut Findings) {
    let mut urls: BTreeMap<&String, &String> = BTreeMap::new();
    for (name, engine) in &file.engines {
        check_url(&["engines", name, "url"], &engine.url, found);
        found.check(!engine.domain.is_empty(), &["engines", name, "domain"], "must not be empty");
        found.check(engine.slots > 0, &["engines", name, "slots"], "must be at least 1");
        if let Some(other) = urls.insert(&engine.url, name) {
            let message = format!("engine `{other}` has the same url; declare each engine once");
            found.add(&["engines", name, "url"], message);
        }
    }
}

fn check_model(file: &ConfigFile, name: &str, model: &ModelEntry, found: &mut Findings) {
    let largest = file.engines.values().map(|engine| engine.memory_bytes).max().unwrap_or(0);
    let path = ["models", name, "memory_bytes"];
    found.check(model.memory_bytes > 0, &path, "must be at least 1");
    if model.memory_bytes > largest {
        found
            .add(&path, format!("no engine has that much memory; the largest has {largest} bytes"));
    }
    let path = ["models", name, "max_replicas"];
    found.check(model.max_replicas > 0, &path, "must be at least 1");
    let message = "must be 1 ms to one hour";
    found.check((1..=MAX_LOAD_MS).contains(&model.load_ms), &["models", name, "load_ms"], message);
    for window in &model.windows {
        if let Err(message) = window::parse(window) {
            found.add(&["models", name, "windows"], message);
        }
    }
    found.check(model.service_ms > 0, &["models", name, "service_ms"], "must be at least 1 ms");
}

fn check_adapters(file: &ConfigFile, found: &mut Findings) {
    for (name, adapter) in &file.adapters {
        if !file.models.contains_key(&adapter.base) {
            let message =
                format!("model `{}` is not declared; add it under `models`", adapter.base);
            found.add(&["adapters", name, "base"], message);
        }
        let message = "a model has the same name; rename one, so that callers can tell them apart";
        found.check(!file.models.contains_key(name), &["adapters", name], message);
    }
}

fn check_service(name: &str, service: &ServiceEntry, found: &mut Findings) {
    let path = ["services", name, "endpoints"];
    found.check(!service.endpoints.is_empty(), &path, "declare at least one endpoint");
    for (endpoint, entry) in &service.endpoints {
        check_url(&["services", name, "endpoints", endpoint, "url"], &entry.url, found);
    }
    let is_method = |method: &String| method.chars().all(|c| c.is_ascii_uppercase());
    let path = ["services", name, "repeatable_methods"];
    let message = "must be HTTP methods in capitals, such as `GET`";
    found.check(service.repeatable_methods.iter().all(is_method), &path, message);
    let path = ["services", name, "idempotency_header"];
    found.check(is_name(&service.idempotency_header), &path, "must be the name of an HTTP header");
    found.check(service.slots > 0, &["services", name, "slots"], "must be at least 1");
}

fn check_url(path: &[&str], url: &str, found: &mut Findings) {
    let address = url.strip_prefix("http://");
    let is_address = address.is_some_and(|address| address.parse::<SocketAddr>().is_ok());
    found.check(is_address, path, "must be `http://ip:port`");
}
