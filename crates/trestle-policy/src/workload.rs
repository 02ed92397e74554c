//! Workloads of the two deployments, generated from a seed.

use trestle_core::window::{CivilTime, Window};

/// Length of a second in milliseconds.
pub const SECOND_MS: u64 = 1_000;
/// Length of a minute in milliseconds.
pub const MINUTE_MS: u64 = 60 * SECOND_MS;
/// Length of an hour in milliseconds.
pub const HOUR_MS: u64 = 60 * MINUTE_MS;
/// Length of a day in milliseconds.
pub const DAY_MS: u64 = 24 * HOUR_MS;

const WEEKDAYS: u8 = 0b001_1111;
const ALL_DAYS: u8 = 0x7f;
const ALL_MONTHS: u16 = 0xfff;
const JANUARY: u16 = 1;
const DAYS_A_MONTH: u64 = 30;
/// Memory of an accelerator, in GiB.
const ACCELERATOR_GIB: u64 = 80;

/// All requests of a deployment.
#[trestle_macros::plain]
pub struct Deployment {
    /// Models of the deployment, with their requests.
    pub models: Vec<ModelWorkload>,
    /// Start of the measured time; earlier requests only train the policies.
    pub measured_from_ms: u64,
    /// End of the workload.
    pub end_ms: u64,
}

/// One model with its requests.
#[trestle_macros::plain]
pub struct ModelWorkload {
    /// Time of a load when no other load runs.
    pub load_ms: u64,
    /// Share of an accelerator's memory, in percent.
    pub share_percent: u64,
    /// Urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Declared windows.
    pub windows: Vec<Window>,
    /// Times of the requests, in ascending order.
    pub requests_ms: Vec<u64>,
}

/// Pattern of the requests to a model.
#[derive(Clone, Copy)]
struct Pattern {
    /// Time in which sessions begin.
    window: Window,
    /// Average time between two sessions.
    session_gap_ms: u64,
    /// Maximum number of requests of a session.
    session_requests: u64,
    /// Longest time between two requests of a session.
    request_gap_ms: u64,
}

/// Returns the local time at a moment; every month has 30 days, and day 0 is a Monday in January.
pub fn civil(at_ms: u64) -> CivilTime {
    let day = at_ms / DAY_MS;
    CivilTime {
        month: ((day / DAYS_A_MONTH) % 12) as u8,
        weekday: (day % 7) as u8,
        minute: (at_ms % DAY_MS / MINUTE_MS) as u16,
    }
}

/// Returns the workload of the fleet: nine days, the last of which is measured.
pub fn fleet(seed: u64) -> Deployment {
    let mut rng = fastrand::Rng::with_seed(seed);
    let end_ms = 9 * DAY_MS;
    let rush = [window(WEEKDAYS, ALL_MONTHS, 7, 9), window(WEEKDAYS, ALL_MONTHS, 17, 19)];
    let night = window(ALL_DAYS, ALL_MONTHS, 22, 23);
    let day = window(ALL_DAYS, ALL_MONTHS, 6, 23);
    let mut models = Vec::new();
    for index in 0..50_u64 {
        let (size_gib, urgency, windows, patterns): (u64, u8, Vec<Window>, Vec<Pattern>) =
            match index % 10 {
                // Models for riders at the curb: two rushes a day, and few requests in between.
                0 | 1 => {
                    let rush_pattern = |window| pattern(window, 3 + index / 10, 6, 20);
                    let mut patterns: Vec<Pattern> =
                        rush.iter().map(|w| rush_pattern(*w)).collect();
                    patterns.push(pattern(day, 90, 3, 20));
                    (14, 0, rush.to_vec(), patterns)
                }
                // Models for receipts, batteries and tickets: all day, each at its own rate.
                2..=4 | 7 => {
                    let minutes = 4 << (index / 10);
                    (7, 1, Vec::new(), vec![pattern(day, minutes, 4, 30)])
                }
                // Models for planners: at night.
                5 | 6 => (28, 2, vec![night], vec![pattern(night, 12, 3, 60)]),
                // Models for photos: a few times a day.
                _ => (14, 1, Vec::new(), vec![pattern(day, 400, 5, 40)]),
            };
        let requests_ms = requests(&patterns, end_ms, &mut rng);
        models.push(model(size_gib, urgency, windows, requests_ms));
    }
    Deployment { models, measured_from_ms: 8 * DAY_MS, end_ms }
}

/// Returns the workload of the herbarium: a year, of which all but the first month is measured.
pub fn herbarium(seed: u64) -> Deployment {
    let mut rng = fastrand::Rng::with_seed(seed);
    let end_ms = 360 * DAY_MS;
    let office = window(WEEKDAYS, ALL_MONTHS, 9, 17);
    let evening = window(WEEKDAYS, ALL_MONTHS, 20, 22);
    let january = window(WEEKDAYS, JANUARY, 8, 18);
    let mut models = Vec::new();
    for index in 0..50_u64 {
        let first_burst_day = (index * 37) % 330;
        let (size_gib, urgency, windows, patterns): (u64, u8, Vec<Window>, Vec<Pattern>) =
            match index {
                // Labels, for curators during the working day.
                0..=3 => (14, 1, vec![], vec![pattern(office, 25 + 10 * index, 5, 40)]),
                // Short tags, for visitors.
                4..=6 => (3, 0, vec![], vec![pattern(office, 45, 3, 20)]),
                // Determination reviews, overnight.
                7..=9 => (14, 2, vec![evening], vec![pattern(evening, 30, 4, 90)]),
                // The batch of loans in January.
                10..=19 => (14, 1, vec![january], vec![pattern(january, 8, 10, 30)]),
                // All other models: bursts of three days a few times a year.
                _ => {
                    let bursts = (0..3).map(|burst| (first_burst_day + burst * 110) % 355);
                    let patterns = bursts.flat_map(|day| burst_of(day, index)).collect();
                    (7, 1, vec![], patterns)
                }
            };
        let requests_ms = requests(&patterns, end_ms, &mut rng);
        models.push(model(size_gib, urgency, windows, requests_ms));
    }
    Deployment { models, measured_from_ms: DAYS_A_MONTH * DAY_MS, end_ms }
}

/// Returns the pattern of a burst: three days of work in the month that contains the day.
fn burst_of(day: u64, index: u64) -> Vec<Pattern> {
    let months = 1 << ((day / DAYS_A_MONTH) % 12);
    let weekday = 1 << (index % 5);
    vec![pattern(window(weekday, months, 10, 16), 15, 8, 40)]
}

fn window(weekdays: u8, months: u16, from_hour: u16, to_hour: u16) -> Window {
    Window { weekdays, months, from_minute: from_hour * 60, to_minute: to_hour * 60 }
}

fn pattern(
    window: Window,
    session_gap_minutes: u64,
    session_requests: u64,
    request_gap_s: u64,
) -> Pattern {
    Pattern {
        window,
        session_gap_ms: session_gap_minutes * MINUTE_MS,
        session_requests,
        request_gap_ms: request_gap_s * SECOND_MS,
    }
}

fn model(size_gib: u64, urgency: u8, windows: Vec<Window>, requests_ms: Vec<u64>) -> ModelWorkload {
    ModelWorkload {
        load_ms: 4_000 + size_gib * 250,
        share_percent: size_gib * 100 / ACCELERATOR_GIB,
        urgency,
        windows,
        requests_ms,
    }
}

fn requests(patterns: &[Pattern], end_ms: u64, rng: &mut fastrand::Rng) -> Vec<u64> {
    let mut requests_ms = Vec::new();
    for pattern in patterns {
        let mut at_ms = exponential(rng, pattern.session_gap_ms);
        while at_ms < end_ms {
            if !is_within(pattern.window, at_ms) {
                at_ms = next_minute(at_ms);
                continue;
            }
            let mut request_ms = at_ms;
            for _ in 0..1 + rng.u64(..pattern.session_requests) {
                requests_ms.push(request_ms);
                request_ms += 1 + rng.u64(..pattern.request_gap_ms);
            }
            at_ms = request_ms + exponential(rng, pattern.session_gap_ms);
        }
    }
    requests_ms.retain(|at_ms| *at_ms < end_ms);
    requests_ms.sort_unstable();
    requests_ms
}

/// Returns whether the window itself is open, without the lead time before it.
fn is_within(window: Window, at_ms: u64) -> bool {
    let time = civil(at_ms);
    window.is_open(time) && time.minute >= window.from_minute
}

fn next_minute(at_ms: u64) -> u64 {
    (at_ms / MINUTE_MS + 1) * MINUTE_MS
}

fn exponential(rng: &mut fastrand::Rng, mean_ms: u64) -> u64 {
    let uniform = rng.f64().max(f64::MIN_POSITIVE);
    (-uniform.ln() * mean_ms as f64) as u64
}
