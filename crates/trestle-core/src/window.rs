//! Times at which a model is expected to be needed.

/// Time before a window opens in which its models are loaded already.
pub const LEAD_MINUTES: u16 = 5;
const MINUTES_A_DAY: u16 = 24 * 60;

/// A time that comes again, on some days of some months.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct Window {
    /// Days of the week, bit 0 for Monday.
    pub weekdays: u8,
    /// Months, bit 0 for January.
    pub months: u16,
    /// Minute of the day at which it opens.
    pub from_minute: u16,
    /// Minute of the day at which it closes, after it opens.
    pub to_minute: u16,
}

/// A moment as the operators' clocks show it.
#[trestle_macros::plain]
#[derive(Copy)]
pub struct CivilTime {
    /// 0 for January.
    pub month: u8,
    /// 0 for Monday.
    pub weekday: u8,
    /// Minute of the day.
    pub minute: u16,
}

impl CivilTime {
    /// The moment some minutes later; less than a day.
    #[must_use]
    pub fn later(self, minutes: u16) -> Self {
        let minute = self.minute + minutes;
        if minute < MINUTES_A_DAY {
            return Self { minute, ..self };
        }
        // The month may be one too early for its first minutes, which only windows heed.
        Self { minute: minute - MINUTES_A_DAY, weekday: (self.weekday + 1) % 7, ..self }
    }
}

impl Window {
    /// Whether the window is open, or about to open.
    pub fn is_open(&self, time: CivilTime) -> bool {
        let is_day = self.weekdays & (1 << time.weekday) != 0;
        let is_month = self.months & (1 << time.month) != 0;
        let opens = self.from_minute.saturating_sub(LEAD_MINUTES);
        let closes = self.to_minute.min(MINUTES_A_DAY);
        is_day && is_month && (opens..closes).contains(&time.minute)
    }
}
