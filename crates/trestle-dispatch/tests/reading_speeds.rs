//! Speeds that the leader infers from responses, in simulated services of eight engines.

use std::collections::VecDeque;
use trestle_core::names::ModelName;
use trestle_dispatch::{endpoint::Incarnation, load::reading_speeds::ReadingSpeeds};

macro_rules! cases {
    ($($name:ident => $body:block)+) => { $(#[test] fn $name() $body)+ };
}

/// The engine whose backlog is five times as long as that of others.
const FULL: usize = 3;

fn engine(number: usize, started_unix_ms: u64) -> Incarnation {
    Incarnation { name: format!("engine-{number}").into(), started_unix_ms }
}

/// A service whose observations arrive 500 ms after the assignment.
struct Service {
    speeds: ReadingSpeeds,
    random: fastrand::Rng,
    now_ms: u64,
    sample_ms: u64,
    started_unix_ms: u64,
    /// Part of the observations that are off by a factor of up to 20.
    outliers: f64,
    sent: VecDeque<(u64, ModelName, Incarnation, f64, f64)>,
}

impl Service {
    fn new() -> Self {
        let (speeds, random) = (ReadingSpeeds::default(), fastrand::Rng::with_seed(7));
        let (now_ms, sample_ms, started_unix_ms) = (1_000, 100, 1);
        let sent = VecDeque::new();
        Self { speeds, random, now_ms, sample_ms, started_unix_ms, outliers: 0.0, sent }
    }

    /// Lets requests run whose tokens take `ms_per_token`, of a model and an engine in turn.
    fn run(&mut self, samples: usize, ms_per_token: impl Fn(&str, usize) -> f64) {
        for sample in 0..samples {
            self.now_ms += self.sample_ms;
            let model = ["m", "n"][sample / 8 % 2];
            let incarnation = engine(sample % 8, self.started_unix_ms);
            let prompt_tokens = self.random.f64() * 8_400.0 + 800.0;
            let max_backlog_tokens = if sample % 8 == FULL { 40_000.0 } else { 8_000.0 };
            let noise = (0..4).map(|_| self.random.f64() - 0.5).sum::<f64>() * 0.35;
            let is_outlier = self.random.f64() < self.outliers;
            let outlier = if is_outlier { 20f64.powf(self.random.f64() * 2.0 - 1.0) } else { 1.0 };
            let tokens = prompt_tokens + self.random.f64() * max_backlog_tokens;
            let expected_ms = tokens * self.speeds.ms_per_token(&model.into(), &incarnation);
            let observed_ms = tokens * ms_per_token(model, sample % 8) * noise.exp() * outlier;
            let due_ms = self.now_ms + 500;
            self.sent.push_back((due_ms, model.into(), incarnation, expected_ms, observed_ms));
            while let Some((_, model, engine, expected_ms, observed_ms)) =
                self.sent.pop_front_if(|sent| sent.0 <= self.now_ms)
            {
                self.speeds.record(&model, &engine, expected_ms, observed_ms, self.now_ms);
            }
        }
    }

    fn ms_per_token(&self, model: &str, number: usize) -> f64 {
        self.speeds.ms_per_token(&model.into(), &engine(number, self.started_unix_ms))
    }

    fn factor(&self, number: usize) -> f64 {
        self.speeds.engine_factor(&engine(number, self.started_unix_ms), self.now_ms)
    }
}

/// Asserts that a value is within a part of what is expected.
#[track_caller]
fn assert_near(value: f64, expected: f64, part: f64) {
    assert!((value / expected).ln().abs() < part, "{value} is not near {expected}");
}

/// Returns the time per token at engines of which two have under half the speed of the others.
fn mixed(_: &str, number: usize) -> f64 {
    1.0 / 38.0 / [0.55, 1.2, 1.2, 1.2][number % 4]
}

cases! {
    slow_engines_are_told_from_fast_ones_also_among_outliers => {
        for (outliers, most, most_on_average) in [(0.0, 0.3, 0.08), (0.1, 0.45, 0.11)] {
            let mut squares = 0.0;
            for seed in 0..50 {
                let random = fastrand::Rng::with_seed(seed);
                let mut service = Service { outliers, random, ..Service::new() };
                service.run(300, mixed);
                for number in 0..8 {
                    let factor = if number % 4 == 0 { 1.2 / 0.55 } else { 1.0 };
                    assert_near(service.factor(number), factor, most);
                    let ms_per_token = service.ms_per_token("m", number);
                    assert_near(ms_per_token, mixed("m", number), most);
                    squares += (ms_per_token / mixed("m", number)).ln().powi(2) / 400.0;
                }
            }
            assert!(squares.sqrt() < most_on_average, "{} among {outliers}", squares.sqrt());
        }
    }
    a_model_has_its_own_pace => {
        let mut service = Service::new();
        let pace = |model: &str, _| if model == "n" { 0.08 } else { 0.03 };
        service.run(300, pace);
        for number in 0..8 {
            assert_near(service.ms_per_token("n", number), 0.08, 0.2);
            assert_near(service.factor(number), 1.0, 0.15);
        }
    }
    a_service_that_slows_down_moves_the_base_and_does_not_oscillate => {
        for sample_ms in [2, 10, 100] {
            let mut service = Service { sample_ms, ..Service::new() };
            service.run(30_000 / sample_ms as usize, |_, _| 0.1);
            for _ in 0..20 {
                service.run(500 / sample_ms as usize, |_, _| 0.1);
                assert_near(service.speeds.ms_per_token(&"o".into(), &engine(9, 1)), 0.1, 0.2);
                assert_near(service.factor(3), 1.0, 0.15);
            }
        }
    }
    a_slow_phase_is_forgotten_with_and_without_samples => {
        let mut service = Service::new();
        service.run(200, |_, _| 0.03);
        service.run(50, |_, number| if number == 2 { 0.12 } else { 0.03 });
        assert!(service.factor(2) > 1.4, "{}", service.factor(2));
        assert_near(service.speeds.engine_factor(&engine(2, 1), service.now_ms + 20_000), 1.0, 0.15);
        service.run(150, |_, _| 0.03);
        assert_near(service.factor(2), 1.0, 0.15);
    }
    a_restart_under_the_same_name_starts_at_the_base => {
        let mut service = Service::new();
        service.run(300, mixed);
        service.started_unix_ms = 2;
        assert_near(service.factor(0), 1.0, 1e-9);
        service.speeds.retain(|engine| engine.started_unix_ms == 2);
        assert_near(service.speeds.engine_factor(&engine(0, 1), service.now_ms), 1.0, 1e-9);
    }
    one_outlier_moves_little_and_invalid_or_short_samples_nothing => {
        let (mut speeds, at) = (ReadingSpeeds::default(), engine(0, 1));
        for (expected_ms, observed_ms) in [(49.0, 900.0), (f64::NAN, 9.0), (90.0, f64::INFINITY)] {
            speeds.record(&"m".into(), &at, expected_ms, observed_ms, 1_000);
        }
        assert_near(speeds.ms_per_token(&"m".into(), &at), 1.0 / 30.0, 1e-9);
        speeds.record(&"m".into(), &at, 60.0, 60_000.0, 1_000);
        assert_near(speeds.ms_per_token(&"m".into(), &at), 1.0 / 30.0, 0.25);
    }
    however_many_models_come_only_the_latest_are_remembered => {
        let mut speeds = ReadingSpeeds::default();
        for number in 0..2_000 {
            let model = ModelName::from(format!("m-{number}"));
            let observed_ms = if number % 2 == 0 { 100.0 } else { 200.0 };
            speeds.record(&model, &engine(0, 1), 100.0, observed_ms, number);
        }
        let of = |name: &str| speeds.ms_per_token(&name.into(), &engine(0, 1));
        assert_near(of("m-1"), of("unknown"), 1e-9);
        assert!(of("m-1999") > of("m-1998"));
    }
    no_factor_leaves_its_bounds => {
        for ms_per_token in [1e-6, 100.0] {
            let mut service = Service::new();
            service.run(8_000, |_, number| if number == 0 { ms_per_token } else { 0.03 });
            assert!((0.124..8.001).contains(&service.factor(0)), "{}", service.factor(0));
            assert_near(service.factor(1), 1.0, 0.2);
        }
    }
}
