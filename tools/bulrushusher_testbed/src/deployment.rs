//! The two deployments that the router is designed for, modelled with stand-ins.

use bulrushusher_standin::load::{Flow, FlowKind};
use bulrushusher_standin::{EngineConfig, ServiceConfig};
use bulrushusher_time::Millis;
use bulrushusher_world::{Patience, Repeat};

/// The agents' orphan timeout: longer than the longest pause that a fault causes.
const ORPHAN_TIMEOUT: Millis = Millis(8_000);

/// A deliverable class and the requests that are sent for it.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    /// Name of the class.
    pub name: &'static str,
    /// Whether a user waits for the answer.
    pub patience: Patience,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Target for the time to the first token.
    pub ttft: Millis,
    /// Target for the time between tokens.
    pub per_token: Millis,
    /// Deadline for the complete answer.
    pub deadline: Millis,
    /// Kind of its requests.
    pub kind: FlowKind,
}

/// A deployment: its entries, runners and deliverable classes.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the closing.
    pub closing: &'static str,
    /// Data centres, to which runners and entries are assigned round-robin.
    pub data_centres: &'static [&'static str],
    /// Service name of the model.
    pub model: &'static str,
    /// Name of the plain service.
    pub service: &'static str,
    /// Number of prefill runners.
    pub prefill_runners: usize,
    /// Number of decode runners.
    pub decode_runners: usize,
    /// Number of runners of the plain service.
    pub service_runners: usize,
    /// Number of entries.
    pub entries: usize,
    /// Configuration of the engines.
    pub engine_config: EngineConfig,
    /// Configuration of the plain service.
    pub service_config: ServiceConfig,
    /// Class of the prompts.
    pub prompt_class: ClassPlan,
    /// Class of the plain service calls.
    pub call_class: ClassPlan,
    /// The closing's weight of goodput.
    pub goodput_weight: f64,
    /// The closing's weight of wasted prefill.
    pub waste_weight: f64,
    /// Number of client accounts that send requests.
    pub accounts: usize,
    /// How long an agent continues a run that no entry reads.
    pub orphan_timeout: Millis,
}

impl Deployment {
    /// Náladník s.r.o.: billed rationales, and swatch cards for the board app.
    pub fn naladnik() -> Deployment {
        Deployment {
            closing: "naladnik-month-end",
            data_centres: &["ba-petrzalka", "ba-ruzinov", "tt-trnava", "nr-nitra"],
            model: "rationale-llm",
            service: "board-app",
            prefill_runners: 5,
            decode_runners: 7,
            service_runners: 4,
            entries: 2,
            engine_config: EngineConfig::default(),
            service_config: ServiceConfig { call_duration: Millis(20), slots: 8 },
            prompt_class: ClassPlan {
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
            call_class: ClassPlan {
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
            orphan_timeout: ORPHAN_TIMEOUT,
        }
    }

    /// The Trinidad Tourism Transit Authority: itinerary summaries, and pass lookups.
    pub fn authority() -> Deployment {
        Deployment {
            closing: "authority-cruise-days",
            data_centres: &["chag", "qpark", "piarco"],
            model: "guide-llm",
            service: "pass-desk",
            prefill_runners: 6,
            decode_runners: 6,
            service_runners: 3,
            entries: 2,
            engine_config: EngineConfig::default(),
            service_config: ServiceConfig { call_duration: Millis(30), slots: 6 },
            prompt_class: ClassPlan {
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
            call_class: ClassPlan {
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
            orphan_timeout: ORPHAN_TIMEOUT,
        }
    }

    /// Capacity in prompts per second, estimated from the engines' configuration, and the
    /// bottleneck.
    pub fn prompt_capacity(&self) -> (f64, &'static str) {
        let FlowKind::Prompts { prompt_tokens, answer_tokens, shared_blocks, .. } =
            &self.prompt_class.kind
        else {
            return (0.0, "nothing");
        };
        let mean = |range: &(usize, usize)| (range.0 + range.1) as f64 / 2.0;
        let cached = (shared_blocks * bulrushusher_standin::prompt::BLOCK_TOKENS) as f64;
        let computed = (mean(prompt_tokens) - cached).max(0.0) as usize;
        let prefill_ms = self.engine_config.prefill_time(computed).0 as f64;
        let transfer_ms = self.engine_config.transfer_time(mean(prompt_tokens) as usize).0 as f64;
        let decode_ms = mean(answer_tokens)
            * self.engine_config.step_us(self.engine_config.slots) as f64
            / 1000.0;
        let prefill = self.prefill_runners as f64 * 1000.0 / prefill_ms;
        let link = self.prefill_runners as f64 * 1000.0 / transfer_ms.max(1.0);
        let slots = (self.decode_runners * self.engine_config.slots) as f64;
        let decode = slots * 1000.0 / (decode_ms + transfer_ms);
        let bounds = [(prefill, "prefill"), (link, "links"), (decode, "decode slots")];
        bounds.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, "nothing"))
    }

    /// Capacity of the plain service in calls per second, estimated from its configuration.
    pub fn call_capacity(&self) -> f64 {
        (self.service_runners * self.service_config.slots) as f64 * 1000.0
            / self.service_config.call_duration.0 as f64
    }

    /// Calls per second at load 1.0. A fraction of the capacity, as interactive traffic isn't the
    /// bulk of a closing's load.
    pub fn call_rate(&self) -> f64 {
        const SHARE: f64 = 0.25;
        self.call_capacity() * SHARE
    }

    /// Flows of requests at a load factor, where 1.0 is the estimated capacity.
    pub fn flows(&self, load: f64) -> Vec<Flow> {
        let flow = |class: &ClassPlan, rate: f64| Flow {
            class: class.name.to_owned(),
            kind: class.kind.clone(),
            idempotent: class.repeat == Repeat::Idempotent,
            rate,
            accounts: self.accounts,
        };
        vec![
            flow(&self.prompt_class, self.prompt_capacity().0 * load),
            flow(&self.call_class, self.call_rate() * load),
        ]
    }
}
