//! Where the prompt of a generation is read.

use bulrushusher_time::Millis;

use crate::{PauseModel, ReadPace};

/// Who reads a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reader {
    /// The prefill runner that was looked at.
    Prefill,
    /// The decode runner that holds memory for the run.
    Decode,
}

/// A prompt to be read, and how fast that goes.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    /// Its tokens.
    pub tokens: u64,
    /// Tokens waiting at the prefill runner with the fewest; `None` when there is none.
    pub ahead: Option<u64>,
    /// How fast an idle prefill runner reads.
    pub at_prefill: ReadPace,
    /// How fast a decode runner reads between the tokens of its runs.
    pub at_decode: ReadPace,
    /// Time between two events of a run.
    pub event_gap: Millis,
    /// The longest pause between events that is on time; zero for none.
    pub gap_target: Millis,
    /// What readings did to runs so far.
    pub pauses: PauseModel,
    /// How long generations take.
    pub generation: Millis,
    /// Time left to the response-time target.
    pub left_on_time: Millis,
}

/// A decode runner that may read a prompt itself.
#[derive(Clone, Copy, Debug)]
pub struct DecodeLoad {
    /// Tokens that it reads itself now.
    pub reading: u64,
    /// Other runs there.
    pub runs: usize,
    /// Share of its memory that the runs there will need, as far as can be forecast: where all is
    /// needed, what holds them up costs other callers their place.
    pub fullness: f64,
}

/// Bounds of the choice.
#[derive(Clone, Copy, Debug)]
pub struct ReadConfig {
    /// Time from the end of the reading to the first event at the caller.
    pub first_event: Millis,
    /// Share of the time left up to which the line at a prefill runner is used by prompts that a
    /// decode runner may read too; the rest is left to those that it may not.
    pub shared_line: f64,
}

impl Default for ReadConfig {
    /// A first event takes some 80 ms after its prompt was read. Prompts that are too long for a
    /// decode runner's pauses are a fifth of all.
    fn default() -> ReadConfig {
        ReadConfig { first_event: Millis(80), shared_line: 0.5 }
    }
}

/// Most that a reading at a decode runner may cost, in generations: those that a pause makes late,
/// and those whose time the runner spends on it while its memory is asked for. One more on time is
/// worth one made late; the rest is room for what is not known.
const MOST_COST: f64 = 0.4;

/// The same where a prefill runner would read the prompt in time, and is only spared for longer ones:
/// next to nothing. With more, a pool of 27 gateways lost 0.015 to 0.02 of its worth to pauses.
const MOST_COST_TO_SPARE: f64 = 0.02;

impl Prompt {
    /// Time until the prefill runner has read the prompt, in ms.
    fn ms_at_prefill(&self) -> Option<f64> {
        self.ahead.map(|ahead| self.at_prefill.likely((ahead + self.tokens) as f64))
    }

    /// True when a prefill runner reads it within `longest`.
    pub fn prefill_is_in_time(&self, longest: Millis) -> bool {
        self.ms_at_prefill().is_some_and(|ms| ms <= longest.0 as f64)
    }

    /// True when the decode runner may read the prompt: what that costs its other runs and those
    /// that wait for their memory is less than the one that is served.
    pub fn decode_may_read(&self, decode: DecodeLoad) -> bool {
        self.cost_at_decode(decode) <= MOST_COST
    }

    /// What a reading at the decode runner costs, in generations.
    fn cost_at_decode(&self, decode: DecodeLoad) -> f64 {
        let reading = (decode.reading + self.tokens) as f64 * self.at_decode.ms_per_token();
        let pause = reading + self.event_gap.0 as f64;
        let late_share = self.pauses.late_share(pause, self.gap_target.0 as f64);
        let held_up = decode.fullness.powi(4) * reading / self.generation.0.max(1) as f64;
        decode.runs as f64 * (late_share + held_up)
    }

    /// Who reads the prompt of a run at that decode runner: a prefill runner, unless the line there
    /// makes the first event late, the decode runner would read the prompt sooner, and its other
    /// runs would not pause for too long.
    ///
    /// ```
    /// use bulrushusher_forward::{DecodeLoad, PauseModel, Prompt, ReadConfig, ReadPace, Reader};
    /// use bulrushusher_time::Millis;
    /// let prompt = Prompt {
    ///     tokens: 5_000,
    ///     ahead: Some(10_000),
    ///     at_prefill: ReadPace::new(0.02),
    ///     at_decode: ReadPace::new(0.04),
    ///     event_gap: Millis(50),
    ///     gap_target: Millis(300),
    ///     pauses: PauseModel::default(),
    ///     generation: Millis(4_000),
    ///     left_on_time: Millis(800),
    /// };
    /// let busy = DecodeLoad { reading: 0, runs: 7, fullness: 0.5 };
    /// let cfg = ReadConfig::default();
    /// assert_eq!(prompt.reader(busy, cfg), Reader::Prefill, "300 ms are soon enough");
    /// let late = Prompt { ahead: Some(40_000), ..prompt };
    /// assert_eq!(late.reader(busy, cfg), Reader::Decode);
    /// assert_eq!(late.reader(DecodeLoad { reading: 5_000, ..busy }, cfg), Reader::Prefill);
    /// let longer = Prompt { tokens: 9_000, ..late };
    /// assert_eq!(longer.reader(busy, cfg), Reader::Prefill, "seven runs would pause too long");
    /// assert_eq!(longer.reader(DecodeLoad { runs: 0, ..busy }, cfg), Reader::Decode);
    /// assert_eq!(Prompt { ahead: None, ..longer }.reader(busy, cfg), Reader::Decode);
    /// ```
    pub fn reader(&self, decode: DecodeLoad, cfg: ReadConfig) -> Reader {
        let Some(at_prefill) = self.ms_at_prefill() else { return Reader::Decode };
        let at_decode = self.at_decode.expected((decode.reading + self.tokens) as f64);
        let left = self.left_on_time.since(cfg.first_event).0 as f64;
        // Where the line at the prefill runner is long but soon enough, others' runs go first.
        let most = if at_prefill > left { MOST_COST } else { MOST_COST_TO_SPARE };
        let is_long = at_prefill > left * cfg.shared_line && at_decode < at_prefill;
        match is_long && self.cost_at_decode(decode) <= most {
            true => Reader::Decode,
            false => Reader::Prefill,
        }
    }
}
