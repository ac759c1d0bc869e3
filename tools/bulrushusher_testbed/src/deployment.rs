//! The two deployments that the router is made for, as the stand-ins play them.

use bulrushusher_standin::load::{Flow, FlowKind};
use bulrushusher_standin::{EngineConfig, ServiceConfig};
use bulrushusher_time::Millis;
use bulrushusher_world::{Patience, Repeat};

/// The agents' orphan bound: longer than the longest pause that a run is put under.
const ORPHAN: Millis = Millis(8_000);

/// A class with its flow of requests.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    /// Its name.
    pub name: &'static str,
    /// Whether somebody waits for it.
    pub patience: Patience,
    /// Whether it may run again.
    pub repeat: Repeat,
    /// Target for the time to the first token.
    pub ttft: Millis,
    /// Target for the time between tokens.
    pub per_token: Millis,
    /// The longest time to the whole answer.
    pub deadline: Millis,
    /// What its requests ask for.
    pub kind: FlowKind,
}

/// A deployment: its runners and its classes.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of its closing.
    pub closing: &'static str,
    /// Its data centres.
    pub data_centres: &'static [&'static str],
    /// The model's service.
    pub model: &'static str,
    /// The plain service.
    pub service: &'static str,
    /// Prefill runners.
    pub prefills: usize,
    /// Decode runners.
    pub decodes: usize,
    /// Plain service runners.
    pub services: usize,
    /// Entries.
    pub entries: usize,
    /// How its engines behave.
    pub engine: EngineConfig,
    /// How its plain service behaves.
    pub plain: ServiceConfig,
    /// The class of prompts.
    pub prompts: ClassPlan,
    /// The class of plain calls.
    pub calls: ClassPlan,
    /// Weight of goodput in its closing.
    pub goodput_weight: f64,
    /// Weight of not wasting prefill in its closing.
    pub waste_weight: f64,
    /// Client accounts that send.
    pub accounts: usize,
    /// How long an agent lets a run go on with no entry known to read it.
    pub orphan: Millis,
}

impl Deployment {
    /// Náladník s.r.o.: billed rationales, and swatch cards for the board app.
    pub fn naladnik() -> Deployment {
        Deployment {
            closing: "naladnik-month-end",
            data_centres: &["ba-petrzalka", "ba-ruzinov", "tt-trnava", "nr-nitra"],
            model: "rationale-llm",
            service: "board-app",
            prefills: 5,
            decodes: 7,
            services: 4,
            entries: 2,
            engine: EngineConfig::default(),
            plain: ServiceConfig { call_duration: Millis(20), slots: 8 },
            prompts: ClassPlan {
                name: "rationale",
                patience: Patience::Patient,
                repeat: Repeat::NonIdempotent,
                ttft: Millis(3_000),
                per_token: Millis(71),
                deadline: Millis(120_000),
                kind: FlowKind::Prompts {
                    model: "rationale-llm".to_owned(),
                    prompt_tokens: (1_500, 6_000),
                    answer_tokens: (60, 180),
                    shared_blocks: 4,
                },
            },
            calls: ClassPlan {
                name: "swatch-card",
                patience: Patience::Interactive,
                repeat: Repeat::Idempotent,
                ttft: Millis(250),
                per_token: Millis(71),
                deadline: Millis(10_000),
                kind: FlowKind::Calls {
                    service: "board-app".to_owned(),
                    path: "swatch".to_owned(),
                },
            },
            goodput_weight: 2.0,
            waste_weight: 1.0,
            accounts: 30,
            orphan: ORPHAN,
        }
    }

    /// The Trinidad Tourism Transit Authority: itinerary summaries, and pass lookups.
    pub fn authority() -> Deployment {
        Deployment {
            closing: "authority-cruise-days",
            data_centres: &["chag", "qpark", "piarco"],
            model: "guide-llm",
            service: "pass-desk",
            prefills: 6,
            decodes: 6,
            services: 3,
            entries: 2,
            engine: EngineConfig::default(),
            plain: ServiceConfig { call_duration: Millis(30), slots: 6 },
            prompts: ClassPlan {
                name: "summary",
                patience: Patience::Patient,
                repeat: Repeat::Idempotent,
                ttft: Millis(3_000),
                per_token: Millis(71),
                deadline: Millis(120_000),
                kind: FlowKind::Prompts {
                    model: "guide-llm".to_owned(),
                    prompt_tokens: (4_000, 9_000),
                    answer_tokens: (40, 120),
                    shared_blocks: 4,
                },
            },
            calls: ClassPlan {
                name: "pass-lookup",
                patience: Patience::Interactive,
                repeat: Repeat::NonIdempotent,
                ttft: Millis(300),
                per_token: Millis(71),
                deadline: Millis(10_000),
                kind: FlowKind::Calls {
                    service: "pass-desk".to_owned(),
                    path: "lookup".to_owned(),
                },
            },
            goodput_weight: 1.0,
            waste_weight: 2.0,
            accounts: 12,
            orphan: ORPHAN,
        }
    }

    /// Prompts a second that the engines can serve, from their own settings, and what bounds it.
    pub fn prompt_capacity(&self) -> (f64, &'static str) {
        let FlowKind::Prompts { prompt_tokens, answer_tokens, shared_blocks, .. } =
            &self.prompts.kind
        else {
            return (0.0, "nothing");
        };
        let mean = |range: &(usize, usize)| (range.0 + range.1) as f64 / 2.0;
        let cached = (shared_blocks * bulrushusher_standin::prompt::BLOCK_TOKENS) as f64;
        let computed = (mean(prompt_tokens) - cached).max(0.0) as usize;
        let prefill_ms = self.engine.prefill_time(computed).0 as f64;
        let transfer_ms = self.engine.transfer_time(mean(prompt_tokens) as usize).0 as f64;
        let decode_ms =
            mean(answer_tokens) * self.engine.step_us(self.engine.slots) as f64 / 1000.0;
        let prefill = self.prefills as f64 * 1000.0 / prefill_ms;
        let link = self.prefills as f64 * 1000.0 / transfer_ms.max(1.0);
        let places = (self.decodes * self.engine.slots) as f64;
        let decode = places * 1000.0 / (decode_ms + transfer_ms);
        let bounds = [(prefill, "prefill"), (link, "links"), (decode, "decode places")];
        bounds.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, "nothing"))
    }

    /// Calls a second that the plain service can serve, from its own settings.
    pub fn call_capacity(&self) -> f64 {
        (self.services * self.plain.slots) as f64 * 1000.0 / self.plain.call_duration.0 as f64
    }

    /// Calls a second at load 1.0: a part of the capacity, as the interactive traffic is not what
    /// fills the closing.
    pub fn call_rate(&self) -> f64 {
        const SHARE: f64 = 0.25;
        self.call_capacity() * SHARE
    }

    /// The flows of requests at a load factor; 1.0 is the estimated capacity.
    pub fn flows(&self, load: f64) -> Vec<Flow> {
        let flow = |class: &ClassPlan, rate: f64| Flow {
            class: class.name.to_owned(),
            kind: class.kind.clone(),
            idempotent: class.repeat == Repeat::Idempotent,
            rate,
            accounts: self.accounts,
        };
        vec![
            flow(&self.prompts, self.prompt_capacity().0 * load),
            flow(&self.calls, self.call_rate() * load),
        ]
    }
}
