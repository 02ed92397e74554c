//! Recurring times at which a model is expected to be needed.

/// Time before the opening of a window from which on its models are loaded.
pub const LEAD_MINUTES: u16 = 5;
const MINUTES_PER_DAY: u16 = 24 * 60;

/// A time of day that recurs on some days of the week in some months.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Window {
    /// Days of the week, one bit each; bit 0 is Monday.
    pub weekdays: u8,
    /// Months, one bit each; bit 0 is January.
    pub months: u16,
    /// Minute of the day at which the window opens.
    pub from_minute: u16,
    /// Minute of the day at which the window closes; it is larger than `from_minute`.
    pub to_minute: u16,
}

/// Local date and time, as operators use them.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct CivilTime {
    /// Month; 0 is January.
    pub month: u8,
    /// Day of the week; 0 is Monday.
    pub weekday: u8,
    /// Minute of the day.
    pub minute: u16,
}

impl CivilTime {
    /// Returns the moment a number of minutes later; the number must be less than a day.
    #[must_use]
    pub fn later(self, minutes: u16) -> Self {
        let minute = self.minute + minutes;
        if minute < MINUTES_PER_DAY {
            return Self { minute, ..self };
        }
        // The month is not advanced at the end of a month. Only windows use it, and only for the
        // first minutes of the next month.
        Self { minute: minute - MINUTES_PER_DAY, weekday: (self.weekday + 1) % 7, ..self }
    }
}

impl Window {
    /// Returns whether the window is open or about to open.
    pub fn is_open(&self, time: CivilTime) -> bool {
        let is_day = self.weekdays & (1 << time.weekday) != 0;
        let is_month = self.months & (1 << time.month) != 0;
        let opens = self.from_minute.saturating_sub(LEAD_MINUTES);
        let closes = self.to_minute.min(MINUTES_PER_DAY);
        is_day && is_month && (opens..closes).contains(&time.minute)
    }
}
