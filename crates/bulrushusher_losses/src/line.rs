//! One line of a gateway's log.

use std::collections::HashMap;

use derive_more::{Display, Error};

/// Why a line cannot be parsed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum LineError {
    /// The line has no timestamp in brackets: it was not written by a gateway.
    #[display("the line has no timestamp in brackets; pass the standard output of a gateway")]
    Foreign,
    /// The line is truncated.
    #[display("the line is truncated; its last field is incomplete")]
    Truncated,
}

/// A parsed line: timestamp, gateway, event and fields.
///
/// ```
/// use bulrushusher_losses::LogLine;
/// let text = "[2026-04-26T01:23:28.244Z INFO ] front: accepted id=r1 route=gen left_ms=900";
/// let line = LogLine::parse(text).unwrap();
/// assert_eq!((line.event, line.text("id")), ("front: accepted", Some("r1")));
/// assert_eq!(line.number("left_ms"), Some(900));
/// ```
#[derive(Clone, Debug)]
pub struct LogLine<'a> {
    /// Timestamp in Unix ms, by the gateway's clock.
    pub at_ms: u64,
    /// Name of the gateway, where the line has one in front of the timestamp.
    pub source: Option<&'a str>,
    /// The text in front of the fields, such as `front: accepted`.
    pub event: &'a str,
    fields: HashMap<&'a str, &'a str>,
}

impl<'a> LogLine<'a> {
    /// Parses a line.
    ///
    /// # Errors
    /// [`LineError`] if the line is truncated or not a gateway's.
    pub fn parse(text: &'a str) -> Result<LogLine<'a>, LineError> {
        let (before, rest) = text.split_once('[').ok_or(LineError::Foreign)?;
        let (stamp, message) = rest.split_once("] ").ok_or(LineError::Foreign)?;
        let (time, _level) = stamp.split_once(' ').ok_or(LineError::Foreign)?;
        let at_ms = unix_ms(time).ok_or(LineError::Foreign)?;
        let (event, fields) = split_message(message)?;
        Ok(LogLine { at_ms, source: before.split_whitespace().last(), event, fields })
    }

    /// The value of a field.
    pub fn text(&self, field: &str) -> Option<&'a str> {
        self.fields.get(field).copied()
    }

    /// The value of a field, if it is an unsigned integer.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.text(field)?.parse().ok()
    }
}

/// Splits a message into the text in front of the first field, and the fields.
fn split_message(message: &str) -> Result<(&str, HashMap<&str, &str>), LineError> {
    let mut fields = HashMap::new();
    let Some(first) = first_field_start(message) else { return Ok((message.trim_end(), fields)) };
    let mut rest = &message[first..];
    while let Some((name, value)) = rest.split_once('=') {
        let (value, after) = match value.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').ok_or(LineError::Truncated)?,
            None => value.split_once(' ').unwrap_or((value, "")),
        };
        fields.insert(name.trim_start(), value);
        rest = after;
    }
    match rest.trim().is_empty() {
        true => Ok((message[..first].trim_end(), fields)),
        false => Err(LineError::Truncated),
    }
}

fn first_field_start(message: &str) -> Option<usize> {
    let equals = message.find('=')?;
    Some(message[..equals].rfind(' ').map_or(0, |space| space + 1))
}

/// Converts a timestamp such as `2026-04-26T01:23:28.244Z` to Unix ms.
fn unix_ms(time: &str) -> Option<u64> {
    let (date, clock) = time.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.splitn(3, '-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let (clock, ms) = clock.split_once('.').unwrap_or((clock, "0"));
    let mut clock = clock.splitn(3, ':').map(|part| part.parse::<u64>().ok());
    let (hour, minute, second) = (clock.next()??, clock.next()??, clock.next()??);
    let days = u64::try_from(days_since_1970(year, month, day)?).ok()?;
    let seconds = ((days * 24 + hour) * 60 + minute) * 60 + second;
    Some(seconds * 1_000 + ms.get(..3).unwrap_or(ms).parse::<u64>().ok()?)
}

/// Days from 1970-01-01 to a date of the Gregorian calendar. Years start in March here, so that the
/// leap day is the last day of a year.
fn days_since_1970(year: i64, month: i64, day: i64) -> Option<i64> {
    if !(1..=12).contains(&month) || !(1..=31).contains(&day) || !(1970..10_000).contains(&year) {
        return None;
    }
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let leap_days = year / 4 - year / 100 + year / 400;
    let day_of_year = (153 * month + 2) / 5 + day - 1;
    Some(year * 365 + leap_days + day_of_year - 719_468)
}
