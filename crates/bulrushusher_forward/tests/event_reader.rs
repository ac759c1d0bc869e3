//! What a run sends, sound or not, in pieces of any size.

use bulrushusher_forward::{EventReader, InvalidEvent};
use proptest::prelude::*;

/// What came out of a reader.
#[derive(Debug, Default, PartialEq, Eq)]
struct Read {
    bytes: Vec<u8>,
    ids: Vec<u64>,
    error: Option<InvalidEvent>,
    is_inside_event: bool,
}

fn read(after: Option<u64>, bytes: &[u8], cuts: &[usize]) -> Read {
    let mut reader = EventReader::after(after);
    let (mut read, mut rest) = (Read::default(), bytes);
    for cut in cuts.iter().cycle() {
        let (part, next) = rest.split_at((*cut).min(rest.len()));
        let (events, error) = reader.push(part);
        read.bytes.extend_from_slice(&events.bytes);
        read.ids.extend(events.last_id);
        read.error = error;
        rest = next;
        if rest.is_empty() {
            break;
        }
    }
    read.is_inside_event = reader.is_inside_event();
    read
}

fn whole(after: Option<u64>, text: &str) -> Read {
    read(after, text.as_bytes(), &[usize::MAX])
}

/// Guards against events that are taken although their ids do not say which they are.
#[test]
fn an_event_has_exactly_one_id_that_is_a_number() {
    let no_id = |text: &str| {
        let error = whole(Some(4), text).error;
        assert!(matches!(error, Some(InvalidEvent::NoId { due: 5, .. })), "{text:?}: {error:?}");
    };
    no_id("data: x\n\n");
    no_id("id\ndata: x\n\n");
    no_id("id:\ndata: x\n\n");
    no_id("id: \ndata: x\n\n");
    no_id("id:  5\ndata: x\n\n");
    no_id("id: +5\ndata: x\n\n");
    no_id("id: -5\ndata: x\n\n");
    no_id("id: 5 \ndata: x\n\n");
    no_id("id: 5.0\ndata: x\n\n");
    no_id("id: 99999999999999999999999\ndata: x\n\n");
    no_id("id: 5\nid: 5\ndata: x\n\n");
    no_id("event: token\n\n");
    let wrong = Some(InvalidEvent::WrongId { found: 6, due: 5, bytes: 15 });
    assert_eq!(whole(Some(4), "id: 6\ndata: x\n\n").error, wrong);
    assert_eq!(whole(Some(4), "id:5\ndata: x\n\n").error, None);
}

/// Guards against text of another kind that is taken for an event.
#[test]
fn lines_that_are_no_fields_make_no_event() {
    let malformed = |text: &[u8]| {
        let error = read(Some(4), text, &[usize::MAX]).error;
        let is_malformed = matches!(error, Some(InvalidEvent::Malformed { due: 5, .. }));
        assert!(is_malformed, "{text:?}: {error:?}");
    };
    malformed(b"HTTP/1.1 200 OK\r\nid: 5\r\ndata: x\r\n\r\n");
    malformed(b"id: 5\nda\n\n");
    malformed(b"id: 5\n\n");
    malformed(b"id: 5\ndata: x\nGARBAGE: y\n\n");
    malformed(b"id: 5\ndata: \xff\xfe\n\n");
    malformed(b"\0\0\n\n");
}

/// Guards against an id that overflows.
#[test]
fn nothing_follows_the_largest_id() {
    let last = format!("id: {}\ndata: x\n\n", u64::MAX);
    assert_eq!(whole(Some(u64::MAX - 1), &last).ids, [u64::MAX]);
    assert!(whole(Some(u64::MAX), &last).error.is_some());
    assert!(whole(Some(u64::MAX), "id: 0\ndata: x\n\n").error.is_some());
}

/// Guards against a line end that is cut between its two bytes and taken for a blank line.
#[test]
fn line_ends_are_read_across_parts() {
    for end in ["\n", "\r", "\r\n"] {
        let text: String = (1..=3).map(|id| format!("id: {id}{end}data: {id}{end}{end}")).collect();
        for cut in 1..=text.len() {
            let read = read(None, text.as_bytes(), &[cut]);
            assert_eq!(read.error, None, "{end:?} cut every {cut}");
            assert_eq!(String::from_utf8_lossy(&read.bytes), text, "cut every {cut}");
            assert!(!read.is_inside_event);
        }
    }
}

/// Bytes of event streams, sound and not.
fn any_piece() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        4 => (0_u64..8).prop_map(|id| format!("id: {id}\ndata: {id}\n\n").into_bytes()),
        2 => prop::sample::select(vec![
            "\n", "\r", "\r\n", ":\n", ": c\n\n", "id: ", "id:3\r", "data\n", "data: x\n\n", "\u{feff}",
            "retry: 5\n\n", "event: e\n", "HTTP/1.1 200 OK\r\n\r\n", "id: 2\rdata: y\r\r",
        ])
        .prop_map(|text| text.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..6),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against bytes that are forwarded or rejected depending on how they arrive, and against
    /// anything but the events that are due, each once and in order.
    #[test]
    fn only_the_events_that_are_due_come_out_of_any_bytes(
        pieces in prop::collection::vec(any_piece(), 0..24),
        cuts in prop::collection::vec(1_usize..12, 1..12),
        after in prop::option::of(0_u64..3),
    ) {
        let bytes = pieces.concat();
        let at_once = read(after, &bytes, &[usize::MAX]);
        let mut cut = read(after, &bytes, &cuts);
        prop_assert_eq!(&cut.bytes, &at_once.bytes);
        prop_assert_eq!(cut.error, at_once.error);
        prop_assert_eq!(cut.is_inside_event, at_once.is_inside_event);
        cut.ids.dedup();
        prop_assert!(cut.ids.is_sorted());

        // A reader of the standard's rules finds the same events in what came out.
        let text = String::from_utf8(at_once.bytes).unwrap().replace("\r\n", "\n").replace('\r', "\n");
        let blocks: Vec<&str> = text.split("\n\n").filter(|it| !it.trim().is_empty()).collect();
        let first = after.unwrap_or(0) + 1;
        for (due, block) in (first..).zip(&blocks) {
            let ids: Vec<&str> = block.lines().filter_map(|line| line.strip_prefix("id:")).collect();
            prop_assert_eq!(ids.len(), 1, "{:?}", block);
            prop_assert_eq!(ids[0].trim_start().parse::<u64>().ok(), Some(due));
        }
        let last = (!blocks.is_empty()).then(|| first + blocks.len() as u64 - 1);
        prop_assert_eq!(cut.ids.last().copied(), last);
    }
}
