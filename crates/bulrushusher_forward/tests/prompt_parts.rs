//! Lists of prompt parts, valid and malformed.

use bulrushusher_forward::{MAX_PROMPT_PARTS, PromptParts};

fn parse(text: &str) -> Option<PromptParts> {
    PromptParts::try_from(text).ok()
}

#[test]
fn a_malformed_list_is_an_error_that_names_the_entry() {
    for bad in ["", ",", "1:2,", "1", "1:", ":2", "g1:2", "+1:2", "1:-2", "1:2:3", "1 2:3"] {
        assert!(parse(bad).is_none(), "`{bad}`");
    }
    let too_long = format!("{}:1", "1".repeat(33));
    assert!(parse(&too_long).is_none());
    let e = PromptParts::try_from("1:2,x:3").unwrap_err();
    assert!(e.to_string().contains("`x:3`"), "{e}");
}

#[test]
fn ids_are_numbers_whatever_their_spelling() {
    assert_eq!(parse("0A:1, 2:2"), parse("a:5,02:7"));
}

#[test]
fn the_last_part_is_not_shared() {
    assert!(parse("1:2").unwrap().shared().is_empty());
    assert_eq!(parse("1:2,2:3,3:4").unwrap().shared().len(), 2);
    assert!(PromptParts::default().shared().is_empty());
}

#[test]
fn a_long_list_keeps_its_first_and_its_last_parts() {
    let list: Vec<String> = (1..=1_000).map(|n| format!("{n}:1")).collect();
    let parts = parse(&list.join(",")).unwrap();
    assert_eq!(parts.shared().len(), MAX_PROMPT_PARTS - 1);
    assert!(parts.to_string().starts_with("1,2,3,"));
    assert!(parts.to_string().ends_with("999,1000"));
}
