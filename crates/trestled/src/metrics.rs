//! Metrics of the daemon.

use crate::error::{MetricsSnafu, Result};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::ResultExt;

/// Upper bounds of the histogram buckets, in milliseconds.
const BOUNDS_MS: [f64; 16] =
    [1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1e3, 2e3, 5e3, 1e4, 2e4, 6e4, 3e5];

/// The metrics of the daemon.
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    request_ms: Histogram<f64>,
    wait_ms: Histogram<f64>,
    cold_wait_ms: Histogram<f64>,
    refused: Counter<u64>,
    retries: Counter<u64>,
    table_reads: Counter<u64>,
    table_writes: Counter<u64>,
    config_version: Gauge<u64>,
    epoch: Gauge<u64>,
}

impl Metrics {
    /// Creates the metrics. Fails if the exporter cannot be set up.
    pub(crate) fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .context(MetricsSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("trestled");
        let histogram = |name: &'static str, text: &'static str| {
            let builder = meter.f64_histogram(name).with_description(text);
            builder.with_boundaries(BOUNDS_MS.to_vec()).build()
        };
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Ok(Self {
            request_ms: histogram("trestle_request_ms", "Time from request to end of answer"),
            wait_ms: histogram("trestle_wait_ms", "Time a request waited for its permit"),
            cold_wait_ms: histogram("trestle_cold_wait_ms", "The same where the model was cold"),
            refused: counter("trestle_refused", "Requests refused"),
            retries: counter("trestle_retries", "Requests sent to an endpoint again"),
            table_reads: counter("trestle_table_reads", "Reads of the platform's table"),
            table_writes: counter("trestle_table_writes", "Writes to the platform's table"),
            config_version: gauge("trestle_config_version", "Configuration in force"),
            epoch: gauge("trestle_epoch", "Epoch of the failure domain"),
            registry,
            _provider: provider,
        })
    }

    /// Records the end of a request.
    pub(crate) fn record_request(
        &self,
        tenant: &str,
        class: &str,
        outcome: &'static str,
        time_ms: f64,
    ) {
        let labels = [
            KeyValue::new("tenant", tenant.to_owned()),
            KeyValue::new("class", class.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.request_ms.record(time_ms, &labels);
    }

    /// Records the time that a request waited for its permit.
    pub(crate) fn record_wait(&self, tenant: &str, class: &str, is_cold: bool, time_ms: f64) {
        let labels =
            [KeyValue::new("tenant", tenant.to_owned()), KeyValue::new("class", class.to_owned())];
        self.wait_ms.record(time_ms, &labels);
        if is_cold {
            self.cold_wait_ms.record(time_ms, &labels);
        }
    }

    /// Records a failure that was returned to a caller.
    pub(crate) fn record_refusal(&self, tenant: &str, code: &'static str) {
        let labels = [KeyValue::new("tenant", tenant.to_owned()), KeyValue::new("code", code)];
        self.refused.add(1, &labels);
    }

    /// Records that a request was retried.
    pub(crate) fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Records a read of the platform's table.
    pub(crate) fn record_table_read(&self) {
        self.table_reads.add(1, &[]);
    }

    /// Records a write to the platform's table.
    pub(crate) fn record_table_write(&self) {
        self.table_writes.add(1, &[]);
    }

    /// Records the version of the configuration in force.
    pub(crate) fn record_config_version(&self, version: u64) {
        self.config_version.record(version, &[]);
    }

    /// Records the epoch of a failure domain.
    pub(crate) fn record_epoch(&self, domain: &str, epoch: u64) {
        self.epoch.record(epoch, &[KeyValue::new("domain", domain.to_owned())]);
    }

    /// Returns all metrics in the Prometheus text format; empty if they cannot be encoded.
    pub(crate) fn to_text(&self) -> String {
        let mut text = Vec::new();
        if TextEncoder::new().encode(&self.registry.gather(), &mut text).is_err() {
            text.clear();
        }
        String::from_utf8(text).unwrap_or_default()
    }
}
