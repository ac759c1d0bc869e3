//! Late prefills: what shows that a runner works, and how long it is waited for.

use bulrushusher_forward::{
    GatewayReport, LatePrefill, OtherRunner, PatienceConfig, PeerPrefills, PrefillEnds,
    PrefillEndsConfig, PrefillEvidence as Evidence, PrefillPatience as Patience, PrefillProgress,
    PrefillTiming, SentPrefill,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

fn id(name: &str) -> RunnerId {
    name.try_into().expect("valid name")
}

/// A prompt of 100 ms behind another one, at its timeout; another runner needs 150 ms.
fn late() -> LatePrefill {
    let timing = PrefillTiming::new(0.02);
    LatePrefill {
        sent: Some(SentPrefill { tokens: 5_000, queued: 5_000, elapsed: Millis(700), timing }),
        late_for: Millis(0),
        progress: PrefillProgress::default(),
        single_timeout: Millis(450),
        has_answered: false,
        hold_left: Millis(1_200),
        target_left: Millis(100),
        other: Some(OtherRunner::Prefill(Millis(150))),
    }
}

fn ended(ago: u64) -> PrefillProgress {
    PrefillProgress { ended: 1, last_end_ago: Some(Millis(ago)), passed_ago: None }
}

/// Guards against abandoning a prompt that a slow runner is about to finish, and against waiting
/// for one that a runner has lost.
#[test]
fn a_late_prefill_is_waited_for_while_its_runner_works() {
    let cfg = PatienceConfig::default();
    let wait = |evidence| Patience::Wait(evidence, cfg.recheck);
    let passed = |ago| PrefillProgress { passed_ago: Some(Millis(ago)), ..ended(ago) };
    let queued = |queued| late().sent.map(|sent| SentPrefill { queued, ..sent });
    let working = LatePrefill { progress: ended(100), ..late() };
    let much_left = LatePrefill { sent: queued(20_000), ..working };
    let answers = LatePrefill { has_answered: true, ..late() };
    let alone = LatePrefill { other: None, ..late() };
    let decode = Some(OtherRunner::Decode(Millis(300)));
    let table = [
        ("nothing is known", late(), Patience::GiveUp(Evidence::None)),
        ("another prefill ended", working, wait(Evidence::PrefillEnded)),
        (
            "none ended for too long",
            LatePrefill { progress: ended(450), ..late() },
            Patience::GiveUp(Evidence::None),
        ),
        ("it answers", answers, wait(Evidence::Answers)),
        (
            "it only answers for too long",
            LatePrefill { late_for: Millis(600), ..answers },
            Patience::GiveUp(Evidence::None),
        ),
        (
            "the connection is not open",
            LatePrefill { sent: None, ..answers },
            Patience::GiveUp(Evidence::None),
        ),
        ("no other runner", alone, wait(Evidence::NoOtherRunner)),
        (
            "a later prompt ended just now",
            LatePrefill { progress: passed(30), ..late() },
            Patience::Wait(Evidence::LaterPrefillEnded, Millis(70)),
        ),
        (
            "the response to it is missing",
            LatePrefill { progress: passed(100), ..alone },
            Patience::GiveUp(Evidence::LaterPrefillEnded),
        ),
        (
            "the hold ends before it, but not before the other",
            LatePrefill { hold_left: Millis(180), ..much_left },
            Patience::GiveUp(Evidence::HoldEnds),
        ),
        (
            "neither ends within the hold",
            LatePrefill { hold_left: Millis(140), ..much_left },
            wait(Evidence::PrefillEnded),
        ),
        (
            "it may end within the hold",
            LatePrefill { hold_left: Millis(180), ..working },
            wait(Evidence::PrefillEnded),
        ),
        (
            "a decode runner needs no time of the hold",
            LatePrefill { hold_left: Millis(180), other: decode, ..much_left },
            wait(Evidence::PrefillEnded),
        ),
        (
            "the last moment to let the decode runner do it",
            LatePrefill { hold_left: Millis(40), other: decode, ..much_left },
            Patience::GiveUp(Evidence::HoldEnds),
        ),
        (
            "only the other runner meets the target",
            LatePrefill { target_left: Millis(160), ..much_left },
            Patience::GiveUp(Evidence::TargetPasses),
        ),
        (
            "both may meet the target",
            LatePrefill { target_left: Millis(160), ..working },
            wait(Evidence::PrefillEnded),
        ),
        (
            "the hold is over",
            LatePrefill { hold_left: Millis(0), ..alone },
            Patience::GiveUp(Evidence::HoldEnds),
        ),
    ];
    for (what, late, expected) in table {
        assert_eq!(late.decide(cfg), expected, "{what}");
    }
}

/// Reports of one peer, as its counter and prompts in flight at `p0`.
fn hear(ends: &mut PrefillEnds, incarnation: u64, counter: u64, in_flight: u64, at: u64) {
    let some = |value| if value > 0 { vec![(id("p0"), value)] } else { Vec::new() };
    let mut report = GatewayReport {
        incarnation,
        prefill_ends: some(counter),
        prefill_tokens: some(in_flight),
        ..GatewayReport::default()
    };
    ends.merge("g1", PeerPrefills::take(&mut report), Millis(at));
}

/// Guards against prefills that ended before the prompt was sent: a dead runner would be waited for.
#[test]
fn only_ends_after_the_send_are_progress() {
    let mut ends = PrefillEnds::new(PrefillEndsConfig::default());
    let sent = Millis(1_000);
    ends.record_end(&id("p0"), Millis(800), Millis(990));
    hear(&mut ends, 1, 7, 5_000, 950);
    hear(&mut ends, 1, 8, 5_000, 1_050);
    let progress = ends.progress(&id("p0"), sent, Millis(1_100));
    assert_eq!(progress, PrefillProgress::default(), "the peer's may have ended at 970");
    hear(&mut ends, 1, 10, 5_000, 1_150);
    let progress = ends.progress(&id("p0"), sent, Millis(1_200));
    assert_eq!((progress.ended, progress.last_end_ago), (2, Some(Millis(50))));
    assert_eq!(progress.passed_ago, None, "the peer had a prompt there before");
    hear(&mut ends, 2, 90, 0, 1_250);
    assert_eq!(ends.progress(&id("p0"), sent, Millis(1_300)).ended, 2, "a new start of the peer");
    hear(&mut ends, 2, 5, 0, 1_350);
    assert_eq!(ends.progress(&id("p0"), sent, Millis(1_400)).ended, 2, "a counter that went back");
    ends.forget(&id("p0"));
    assert_eq!(ends.progress(&id("p0"), sent, Millis(1_400)), PrefillProgress::default());
}

/// Guards against waiting for a prompt that its runner has lost: the queue is in order.
#[test]
fn the_end_of_a_later_prompt_is_recognised() {
    let mut ends = PrefillEnds::new(PrefillEndsConfig::default());
    let passed = |ends: &PrefillEnds, now| ends.progress(&id("p0"), Millis(1_000), now).passed_ago;
    ends.record_end(&id("p0"), Millis(1_190), Millis(1_200));
    assert_eq!(passed(&ends, Millis(1_200)), None, "the order of arrival is unknown");
    hear(&mut ends, 1, 0, 0, 1_210);
    hear(&mut ends, 1, 1, 5_000, 1_300);
    assert_eq!(passed(&ends, Millis(1_350)), Some(Millis(50)), "the peer had none there at 1,210");
    ends.record_end(&id("p0"), Millis(1_250), Millis(1_320));
    assert_eq!(passed(&ends, Millis(1_350)), Some(Millis(50)), "known since 1,300");
}

/// Guards against a later prompt that is not recognised because a report came while it was in flight.
#[test]
fn the_end_of_a_later_prompt_is_recognised_after_reports_of_it_in_flight() {
    let mut ends = PrefillEnds::new(PrefillEndsConfig::default());
    let passed = |ends: &PrefillEnds, now| ends.progress(&id("p0"), Millis(1_000), now).passed_ago;
    hear(&mut ends, 1, 0, 5_000, 1_100);
    hear(&mut ends, 1, 1, 0, 1_210);
    assert_eq!(passed(&ends, Millis(1_210)), None, "it may have been sent before this one");
    hear(&mut ends, 1, 1, 5_000, 1_300);
    hear(&mut ends, 1, 1, 5_000, 1_400);
    hear(&mut ends, 1, 2, 0, 1_500);
    assert_eq!(passed(&ends, Millis(1_550)), Some(Millis(50)), "the peer had none there at 1,210");
}

#[test]
fn reports_list_runners_with_recent_prefills_only() {
    let mut ends = PrefillEnds::new(PrefillEndsConfig::default());
    ends.record_end(&id("p0"), Millis(0), Millis(100));
    ends.record_end(&id("p1"), Millis(0), Millis(2_000));
    ends.record_end(&id("p1"), Millis(0), Millis(2_100));
    assert_eq!(ends.report(Millis(3_500)), [(id("p1"), 2)]);
}
