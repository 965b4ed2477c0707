//! Metrics in the Prometheus text format.

use eyre::{Result, WrapErr};
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Upper bounds of the histogram buckets for latencies, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 16] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 440.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
    20_000.0, 60_000.0, 300_000.0,
];

/// Creates instruments and renders their values.
#[derive(Debug)]
pub struct Exporter {
    registry: Registry,
    meter: Meter,
    _provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates an exporter without instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered.
    pub fn open() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .wrap_err("can't register the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self {
            meter: provider.meter("basilramp"),
            registry,
            _provider: provider,
        })
    }

    /// Returns the meter, to create other kinds of instruments.
    #[must_use]
    pub const fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Creates a counter.
    #[must_use]
    pub fn counter(&self, name: &'static str, description: &'static str) -> Counter<u64> {
        self.meter
            .u64_counter(name)
            .with_description(description)
            .build()
    }

    /// Creates a histogram of latencies in milliseconds.
    #[must_use]
    pub fn latency_histogram(
        &self,
        name: &'static str,
        description: &'static str,
    ) -> Histogram<u64> {
        self.meter
            .u64_histogram(name)
            .with_unit("ms")
            .with_description(description)
            .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
            .build()
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn render(&self) -> Result<String> {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .wrap_err("can't encode the metrics")
    }
}
