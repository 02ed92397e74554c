//! Metrics: counters and latency histograms, by route and outcome.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::{error::OTelSdkError, metrics::SdkMeterProvider};
use prometheus::{Encoder, Registry, TextEncoder};
use std::collections::BTreeMap;
use trestle_core::names::ServiceName;
use trestle_dispatch::retry_share::RetryUsage;

/// Upper bounds of the histogram buckets, in milliseconds.
const BOUNDS_MS: [f64; 13] =
    [5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1.6e3, 3.2e3, 6.4e3, 1.28e4, 2.56e4];

/// Metrics of the daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    first_ms: Histogram<f64>,
    whole_ms: Histogram<f64>,
    change_ms: Histogram<f64>,
    sends: Counter<u64>,
    prompts: Counter<u64>,
    unread_entries: Counter<u64>,
    config_version: Gauge<u64>,
    store_calls: Gauge<u64>,
    store_era: Gauge<u64>,
    outdated_entries: Counter<u64>,
    passed_bounds: Counter<u64>,
    broken_streams: Counter<u64>,
    log_drops: Gauge<u64>,
    asking_endpoints: Gauge<u64>,
    unreached_endpoints: Gauge<u64>,
    open_detours: Gauge<u64>,
    held_bytes: Gauge<u64>,
    retries: Gauge<u64>,
    retries_available: Gauge<f64>,
    retries_capacity: Gauge<f64>,
    retry_daemons: Gauge<u64>,
}

/// Values that are counted elsewhere, as of the time when metrics are requested.
#[derive(Debug, Clone)]
pub(crate) struct ExternalCounts {
    /// Calls to the store since the start.
    pub(crate) store_calls: u64,
    /// The store's era; 0 if it reports none.
    pub(crate) store_era: u64,
    /// Log lines dropped since the start.
    pub(crate) log_drops: usize,
    /// Endpoints that have reported a limit.
    pub(crate) limited: usize,
    /// Endpoints that have requested a backoff.
    pub(crate) backing_off: usize,
    /// Listed endpoints that are draining.
    pub(crate) draining: usize,
    /// Endpoints whose last connection attempt failed.
    pub(crate) unreached: usize,
    /// Detours that are open through this daemon.
    pub(crate) open_detours: usize,
    /// Bytes that are held for request bodies and answers.
    pub(crate) held_bytes: usize,
    /// What of this daemon's shares of the retry budgets is used, by service.
    pub(crate) retries: BTreeMap<ServiceName, RetryUsage>,
    /// Number of daemons that share budgets; 0 while it is not known.
    pub(crate) daemons: usize,
}

impl Metrics {
    /// Returns metrics that can be scraped.
    ///
    /// # Errors
    ///
    /// Fails if the registry rejects the metrics.
    pub(crate) fn new() -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("trestled");
        let histogram = |name: &'static str, text: &'static str| {
            let builder = meter.f64_histogram(name).with_description(text);
            builder.with_boundaries(BOUNDS_MS.to_vec()).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        let share = |name: &'static str, text: &'static str| {
            meter.f64_gauge(name).with_description(text).build()
        };
        let sends = meter.u64_counter("trestle_sends").with_description("Sends to endpoints");
        Ok(Self {
            first_ms: histogram("trestle_first_ms", "Time from request to the answer's first part"),
            whole_ms: histogram("trestle_whole_ms", "Time from request to the answer's end"),
            change_ms: histogram("trestle_change_ms", "Time of changes at engines"),
            sends: sends.build(),
            prompts: meter
                .u64_counter("trestle_prompts")
                .with_description("Decisions of leaders on prompts, by outcome")
                .build(),
            unread_entries: meter
                .u64_counter("trestle_unread_entries")
                .with_description("Entries of endpoints that were not understood")
                .build(),
            config_version: gauge("trestle_config_version", "Configuration in force"),
            store_calls: gauge("trestle_store_calls", "Calls to the store since the start"),
            store_era: gauge(
                "trestle_store_era",
                "Era of the store, which rises when it is restored",
            ),
            passed_bounds: meter
                .u64_counter("trestle_passed_bounds")
                .with_description("Answers of endpoints that passed a bound, by endpoint and bound")
                .build(),
            broken_streams: meter
                .u64_counter("trestle_broken_streams")
                .with_description(
                    "Streams that ended early, by what ended them and why they were not resumed",
                )
                .build(),
            outdated_entries: meter
                .u64_counter("trestle_outdated_entries")
                .with_description("Entries of endpoints that were older than the known ones")
                .build(),
            log_drops: gauge("trestle_log_drops", "Log lines dropped since the start"),
            asking_endpoints: gauge(
                "trestle_asking_endpoints",
                "Endpoints that this daemon knows to limit requests, to rest or to leave",
            ),
            unreached_endpoints: gauge(
                "trestle_unreached_endpoints",
                "Endpoints that did not accept this daemon's last connection",
            ),
            open_detours: gauge(
                "trestle_open_detours",
                "Connections to endpoints that this daemon has open for other daemons",
            ),
            held_bytes: gauge(
                "trestle_held_bytes",
                "Bytes held for request bodies and answers that were not passed on yet",
            ),
            retries: gauge("trestle_retries", "Further sends since this daemon started"),
            retries_available: share(
                "trestle_retries_available",
                "Further sends that this daemon's share of the budget allows now",
            ),
            retries_capacity: share(
                "trestle_retries_capacity",
                "Most further sends that this daemon may save up",
            ),
            retry_daemons: gauge(
                "trestle_retry_daemons",
                "Daemons that share budgets, as this one knows; 0 while it does not",
            ),
            registry,
            _provider: provider,
        })
    }

    /// Records the time until the first part of an answer.
    pub(crate) fn record_first_part(&self, route: &str, time_ms: u64) {
        self.first_ms.record(time_ms as f64, &[KeyValue::new("route", route.to_owned())]);
    }

    /// Records the outcome and the duration of a request.
    pub(crate) fn record_request(&self, route: &str, outcome: &'static str, time_ms: u64) {
        let labels = [KeyValue::new("route", route.to_owned()), KeyValue::new("outcome", outcome)];
        self.whole_ms.record(time_ms as f64, &labels);
    }

    /// Records a send to an endpoint, and whether it was the first of its request.
    pub(crate) fn record_send(&self, is_first: bool) {
        self.sends.add(1, &[KeyValue::new("first", is_first)]);
    }

    /// Records the outcome of a request for a leader's decision on a prompt.
    pub(crate) fn record_schedule(&self, outcome: &'static str) {
        self.prompts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records an entry of an endpoint that could not be parsed.
    pub(crate) fn record_unreadable_entry(&self) {
        self.unread_entries.add(1, &[]);
    }

    /// Records entries of endpoints that were ignored because newer ones are known.
    pub(crate) fn record_outdated_entries(&self, count: usize) {
        self.outdated_entries.add(count as u64, &[]);
    }

    /// Records an answer of an endpoint that passed a bound.
    pub(crate) fn record_passed_bound(&self, endpoint: &str, bound: &'static str) {
        let attributes =
            [KeyValue::new("endpoint", endpoint.to_owned()), KeyValue::new("bound", bound)];
        self.passed_bounds.add(1, &attributes);
    }

    /// Records a stream that ended early.
    pub(crate) fn record_broken_stream(&self, broken_by: &'static str, not_resumed: &'static str) {
        let labels =
            [KeyValue::new("broken_by", broken_by), KeyValue::new("not_resumed", not_resumed)];
        self.broken_streams.add(1, &labels);
    }

    /// Records a change at an engine.
    pub(crate) fn record_change(&self, is_done: bool, is_remote: bool, time_ms: u64) {
        let labels = [KeyValue::new("done", is_done), KeyValue::new("remote", is_remote)];
        self.change_ms.record(time_ms as f64, &labels);
    }

    /// Records the version of the configuration in force.
    pub(crate) fn record_config_version(&self, version: u64) {
        self.config_version.record(version, &[]);
    }

    /// Returns all metrics as text, including the values that are counted elsewhere; an empty text
    /// if the encoding fails.
    pub(crate) fn to_text(&self, external: ExternalCounts) -> String {
        self.store_calls.record(external.store_calls, &[]);
        self.store_era.record(external.store_era, &[]);
        self.log_drops.record(external.log_drops as u64, &[]);
        let by_signal = [
            ("limit", external.limited),
            ("rest", external.backing_off),
            ("leaving", external.draining),
        ];
        self.unreached_endpoints.record(external.unreached as u64, &[]);
        self.open_detours.record(external.open_detours as u64, &[]);
        self.held_bytes.record(external.held_bytes as u64, &[]);
        self.retry_daemons.record(external.daemons as u64, &[]);
        for (service, usage) in &external.retries {
            let labels = [KeyValue::new("service", service.to_string())];
            self.retries.record(usage.sent, &labels);
            self.retries_available.record(usage.available, &labels);
            self.retries_capacity.record(usage.capacity, &labels);
        }
        for (what, count) in by_signal {
            self.asking_endpoints.record(count as u64, &[KeyValue::new("asks", what)]);
        }
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            tracing::warn!(%error, "metrics: The metrics cannot be encoded as text.");
            text.clear();
        }
        String::from_utf8(text).unwrap_or_default()
    }
}
