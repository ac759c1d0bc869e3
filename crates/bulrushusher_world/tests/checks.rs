//! Validation of raw input, and the serde round trip of validated values.

use bulrushusher_world::{Closing, Endpoint, RawClosing, RawDeliverableClass, RawEndpoint};

type Corruption = fn(&mut RawClosing);

fn class(name: &str) -> RawDeliverableClass {
    RawDeliverableClass {
        name: name.into(),
        patience: "patient".into(),
        repeat: "non_idempotent".into(),
        ttft_ms: 600,
        per_token_ms: 71,
        deadline_ms: 60_000,
    }
}

fn closing() -> RawClosing {
    RawClosing {
        name: "november".into(),
        starts_unix_ms: 1,
        ends_unix_ms: 2,
        services: vec!["rationale-llm".into()],
        classes: vec![class("rationale")],
        goodput_weight: 2.0,
        waste_weight: 1.0,
    }
}

#[test]
fn closing_round_trips_through_json() {
    let closing = Closing::try_from(closing()).unwrap();
    let text = serde_json::to_string(&closing).unwrap();
    assert_eq!(serde_json::from_str::<Closing>(&text).unwrap(), closing);
}

#[test]
fn errors_of_invalid_closings_name_the_field() {
    let cases: [(&str, Corruption); 6] = [
        ("ends_unix_ms", |c| c.ends_unix_ms = 1),
        ("services", |c| c.services.clear()),
        ("classes", |c| c.classes.push(class("rationale"))),
        ("weights", |c| c.waste_weight = -1.0),
        ("ttft_ms", |c| c.classes[0].ttft_ms = 0),
        ("patience", |c| c.classes[0].patience = "idle".into()),
    ];
    for (field, corrupt) in cases {
        let mut raw = closing();
        corrupt(&mut raw);
        let message = Closing::try_from(raw).unwrap_err().to_string();
        assert!(message.contains(field), "{message} does not name {field}");
    }
}

#[test]
fn invalid_endpoint_address_is_rejected() {
    let raw = RawEndpoint {
        name: "d1".into(),
        service: "rationale-llm".into(),
        role: "decode".into(),
        data_centre: "ba-ruzinov".into(),
        control: "127.0.0.1:7101".into(),
        stream: "not an address".into(),
        ..RawEndpoint::default()
    };
    let message = Endpoint::try_from(raw).unwrap_err().to_string();
    assert_eq!(message, "stream is not an address; give IP:port, such as 127.0.0.1:7101");
}
