//! Where the prompt of a generation is read.

use bulrushusher_time::Millis;

/// Who reads a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reader {
    /// The prefill runner that was looked at.
    Prefill,
    /// The decode runner that holds memory for the run.
    Decode,
}

/// What the choice looks at.
#[derive(Clone, Copy, Debug)]
pub struct ReadChoice {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens waiting at the prefill runner with the fewest; `None` when there is none.
    pub ahead: Option<u64>,
    /// Prompts that the decode runner reads itself now.
    pub read_by_decode: usize,
    /// Other runs at the decode runner.
    pub runs_at_decode: usize,
    /// Time between two events of a run.
    pub event_gap: Millis,
    /// The longest pause between events that is on time; zero for none.
    pub gap_target: Millis,
    /// Time left to the response-time target.
    pub left_on_time: Millis,
}

/// Bounds of the choice.
#[derive(Clone, Copy, Debug)]
pub struct ReadConfig {
    /// Prompts that a decode runner reads at the same time at most.
    pub most_by_decode: usize,
    /// How much longer a decode runner takes for a prompt than a prefill runner.
    pub decode_factor: f64,
    /// Share of the target for pauses that a reading may take up.
    pub pause_share: f64,
    /// Time from the end of the reading to the first event at the caller.
    pub first_event: Millis,
}

impl Default for ReadConfig {
    /// A decode runner reads at half the speed, in pieces between the tokens of its other runs,
    /// which all pause meanwhile. Without regard to that, readings at decode runners made 90 of
    /// 880 streams of a day late by a pause, against 10, to bring 60 first events in time.
    fn default() -> ReadConfig {
        ReadConfig {
            most_by_decode: 1,
            decode_factor: 2.0,
            pause_share: 0.6,
            first_event: Millis(80),
        }
    }
}

/// Prefill runners read, unless the line there makes the first event late, the decode runner would
/// read the prompt sooner, and its other runs would not pause for too long.
///
/// ```
/// use bulrushusher_forward::{ReadChoice, ReadConfig, Reader, choose_reader};
/// use bulrushusher_time::Millis;
/// let choice = ReadChoice {
///     tokens: 5_000,
///     ahead: Some(10_000),
///     read_by_decode: 0,
///     runs_at_decode: 7,
///     event_gap: Millis(50),
///     gap_target: Millis(450),
///     left_on_time: Millis(800),
/// };
/// let choose = |choice| choose_reader(choice, 0.02, ReadConfig::default());
/// assert_eq!(choose(choice), Reader::Prefill, "300 ms are soon enough");
/// assert_eq!(choose(ReadChoice { ahead: Some(40_000), ..choice }), Reader::Decode);
/// let longer = ReadChoice { tokens: 9_000, ahead: Some(40_000), ..choice };
/// assert_eq!(choose(longer), Reader::Prefill, "seven runs would pause for too long");
/// assert_eq!(choose(ReadChoice { runs_at_decode: 0, ..longer }), Reader::Decode);
/// assert_eq!(choose(ReadChoice { ahead: None, read_by_decode: 5, ..choice }), Reader::Decode);
/// ```
pub fn choose_reader(choice: ReadChoice, ms_per_token: f64, cfg: ReadConfig) -> Reader {
    let Some(at_prefill) = choice.at_prefill(ms_per_token) else { return Reader::Decode };
    let at_decode = choice.tokens as f64 * ms_per_token * cfg.decode_factor;
    let left = choice.left_on_time.since(cfg.first_event).0 as f64;
    let is_late = at_prefill > left && at_decode < at_prefill;
    match is_late && choice.decode_may_read(ms_per_token, cfg) {
        true => Reader::Decode,
        false => Reader::Prefill,
    }
}

/// True when somebody can read the prompt within `longest`. Memory held for one that nobody can
/// read in time is lost to others, and so is the part that was read.
///
/// ```
/// use bulrushusher_forward::{ReadChoice, ReadConfig, can_be_read};
/// use bulrushusher_time::Millis;
/// let choice = ReadChoice {
///     tokens: 9_000,
///     ahead: Some(90_000),
///     read_by_decode: 0,
///     runs_at_decode: 7,
///     event_gap: Millis(50),
///     gap_target: Millis(300),
///     left_on_time: Millis(800),
/// };
/// let can = |choice| can_be_read(choice, 0.02, Millis(1_200), ReadConfig::default());
/// assert!(!can(choice), "two seconds at the prefill runner, and too long a pause elsewhere");
/// assert!(can(ReadChoice { ahead: Some(20_000), ..choice }));
/// assert!(can(ReadChoice { tokens: 2_000, ..choice }), "the decode runner reads it");
/// ```
pub fn can_be_read(
    choice: ReadChoice,
    ms_per_token: f64,
    longest: Millis,
    cfg: ReadConfig,
) -> bool {
    let at_prefill = choice.at_prefill(ms_per_token);
    let in_time = at_prefill.is_none_or(|ms| ms <= longest.0 as f64);
    in_time || choice.decode_may_read(ms_per_token, cfg)
}

impl ReadChoice {
    /// Time until the prefill runner has read the prompt, in ms.
    fn at_prefill(&self, ms_per_token: f64) -> Option<f64> {
        self.ahead.map(|ahead| (ahead + self.tokens) as f64 * ms_per_token)
    }

    /// True when the decode runner may read the prompt without making its other runs late.
    fn decode_may_read(&self, ms_per_token: f64, cfg: ReadConfig) -> bool {
        let reading = self.tokens as f64 * ms_per_token * cfg.decode_factor;
        let pause = reading + self.event_gap.0 as f64;
        let is_short = pause <= self.gap_target.0 as f64 * cfg.pause_share;
        let disturbs_none = self.runs_at_decode == 0 || is_short;
        disturbs_none && self.read_by_decode < cfg.most_by_decode
    }
}
