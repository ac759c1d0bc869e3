//! docs/SETTINGS.md matches the settings declared in the code.
//!
//! To update the page:
//! `BULRUSH_WRITE_SETTINGS=1 cargo test -p bulrushusher_testbed --test settings`.

use bulrushusher_config::{Program, settings_reference};

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/SETTINGS.md");
const HEAD: &str = "# Settings\n\nEvery program reads an INI file (`--config FILE.ini`) and checks \
every key at start, with its unit and\nrange; an unknown key is refused too. `--check-config` only \
checks. This page is written from the\ndeclarations in the code, and a test compares the two.\n";

fn page() -> String {
    let ctl = Program {
        name: "bulrushctl",
        about: "The operators' command; its command line goes before its settings",
        settings: bulrushusher_ctl::SETTINGS,
    };
    let programs: [Program; 5] = [
        bulrushusher_entry::PROGRAM,
        bulrushusher_agent::PROGRAM,
        bulrushusher_gateway::PROGRAM,
        bulrushusher_standin::settings::PROGRAM,
        ctl,
    ];
    let section = |p: Program| {
        format!("\n## {}\n\n{}\n\n{}", p.name, p.about, settings_reference(p.settings))
    };
    HEAD.to_owned() + &programs.into_iter().map(section).collect::<String>()
}

#[test]
fn the_settings_page_matches_the_code() {
    if std::env::var_os("BULRUSH_WRITE_SETTINGS").is_some() {
        std::fs::write(PAGE, page()).expect("the page can be written");
    }
    let written = std::fs::read_to_string(PAGE).expect("the page can be read");
    assert!(
        written == page(),
        "docs/SETTINGS.md is outdated; run this test with BULRUSH_WRITE_SETTINGS=1"
    );
}
