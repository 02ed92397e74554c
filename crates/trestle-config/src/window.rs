//! Parses the time windows of models.

use crate::file::WindowEntry;
use trestle_core::window::Window;

const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];
const ALL_DAYS: u8 = 0x7f;
const ALL_MONTHS: u16 = 0xfff;
const MINUTES_A_DAY: u16 = 24 * 60;

/// Parses a window.
///
/// # Errors
///
/// Returns the description of the problem if the entry is not valid.
pub(crate) fn parse(entry: &WindowEntry) -> Result<Window, String> {
    let from_minute = minute(&entry.from)?;
    let to_minute = minute(&entry.to)?;
    if from_minute >= to_minute {
        let (from, to) = (&entry.from, &entry.to);
        return Err(format!(
            "a window must close after it opens: {from} to {to}; split it at 24:00"
        ));
    }
    let weekdays = weekdays(&entry.weekdays)?;
    Ok(Window { weekdays, months: months(&entry.months)?, from_minute, to_minute })
}

fn weekdays(names: &[String]) -> Result<u8, String> {
    let mut days = 0;
    for name in names {
        let Some(index) = DAYS.iter().position(|day| day == name) else {
            return Err(format!("`{name}` must be one of: {}", DAYS.join(", ")));
        };
        days |= 1 << index;
    }
    Ok(if names.is_empty() { ALL_DAYS } else { days })
}

fn months(numbers: &[u8]) -> Result<u16, String> {
    let mut months = 0;
    for number in numbers {
        if !(1..=12).contains(number) {
            return Err(format!("month {number} must be 1 to 12"));
        }
        months |= 1 << (number - 1);
    }
    Ok(if numbers.is_empty() { ALL_MONTHS } else { months })
}

fn minute(text: &str) -> Result<u16, String> {
    let wrong = || format!("`{text}` must be a time of day, as `06:30`");
    let (hours, minutes) = text.split_once(':').ok_or_else(wrong)?;
    let hours: u16 = hours.parse().map_err(|_| wrong())?;
    let minutes: u16 = minutes.parse().map_err(|_| wrong())?;
    let minute = hours * 60 + minutes;
    if minutes >= 60 || minute > MINUTES_A_DAY { Err(wrong()) } else { Ok(minute) }
}
