//! One line of a gateway's log.

use std::collections::HashMap;

use derive_more::{Display, Error};

/// Why a line says nothing.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum LineError {
    /// It is not a gateway's; it has no time in brackets.
    #[display("the line has no time in brackets; give the standard output of a gateway")]
    Foreign,
    /// It ends in the middle.
    #[display("the line is cut; its last field has no end")]
    Cut,
}

/// A line: when, by whom, what, and the fields.
///
/// ```
/// use bulrushusher_losses::Line;
/// let text = "[2026-04-26T01:23:28.244Z INFO ] front: accepted id=r1 route=gen left_ms=900";
/// let line = Line::read(text).unwrap();
/// assert_eq!((line.what, line.text("id")), ("front: accepted", Some("r1")));
/// assert_eq!(line.number("left_ms"), Some(900));
/// ```
#[derive(Clone, Debug)]
pub struct Line<'a> {
    /// When it was written, in Unix ms by the gateway's clock.
    pub at_ms: u64,
    /// The gateway, where something in front of the time names it.
    pub source: Option<&'a str>,
    /// The words in front of the fields.
    pub what: &'a str,
    fields: HashMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    /// Reads a line.
    ///
    /// # Errors
    /// [`LineError`] for a line that says nothing.
    pub fn read(text: &'a str) -> Result<Line<'a>, LineError> {
        let (before, rest) = text.split_once('[').ok_or(LineError::Foreign)?;
        let (stamp, message) = rest.split_once("] ").ok_or(LineError::Foreign)?;
        let (time, _level) = stamp.split_once(' ').ok_or(LineError::Foreign)?;
        let at_ms = unix_ms(time).ok_or(LineError::Foreign)?;
        let (what, fields) = split_message(message)?;
        Ok(Line { at_ms, source: before.split_whitespace().last(), what, fields })
    }

    /// A field as text.
    pub fn text(&self, field: &str) -> Option<&'a str> {
        self.fields.get(field).copied()
    }

    /// A field as a whole number.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.text(field)?.parse().ok()
    }
}

/// The words in front of the first field, and the fields.
fn split_message(message: &str) -> Result<(&str, HashMap<&str, &str>), LineError> {
    let mut fields = HashMap::new();
    let Some(first) = first_field(message) else { return Ok((message.trim_end(), fields)) };
    let mut rest = &message[first..];
    while let Some((name, value)) = rest.split_once('=') {
        let (value, behind) = match value.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').ok_or(LineError::Cut)?,
            None => value.split_once(' ').unwrap_or((value, "")),
        };
        fields.insert(name.trim_start(), value);
        rest = behind;
    }
    match rest.trim().is_empty() {
        true => Ok((message[..first].trim_end(), fields)),
        false => Err(LineError::Cut),
    }
}

fn first_field(message: &str) -> Option<usize> {
    let equals = message.find('=')?;
    Some(message[..equals].rfind(' ').map_or(0, |space| space + 1))
}

/// Unix ms of a time like `2026-04-26T01:23:28.244Z`.
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

/// Days from 1970-01-01 to a date of the Gregorian calendar. Years are counted from March, so that
/// the leap day is a year's last.
fn days_since_1970(year: i64, month: i64, day: i64) -> Option<i64> {
    if !(1..=12).contains(&month) || !(1..=31).contains(&day) || !(1970..10_000).contains(&year) {
        return None;
    }
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let leap_days = year / 4 - year / 100 + year / 400;
    let day_of_year = (153 * month + 2) / 5 + day - 1;
    Some(year * 365 + leap_days + day_of_year - 719_468)
}
