//! Validation of accounts, access checks, and keys kept out of error messages and debug output.

use bulrushusher_accounts::{
    Access, Account, AccountError, AccountTable, Credentials, Denial, Freshness, KeyDigest,
    RawAccount, TableError, Unit, check_access,
};

const SECRET: &str = "a-very-secret-key";

fn account(name: &str, keys: &[&str]) -> Account {
    let keys: Vec<String> = keys.iter().map(|key| (*key).to_owned()).collect();
    Account::try_from(RawAccount { name, keys: &keys, ..RawAccount::default() }).unwrap()
}

#[test]
fn an_invalid_value_is_rejected_with_the_name_of_its_field() {
    let error = |raw: RawAccount<'_>| Account::try_from(raw).unwrap_err();
    assert!(matches!(error(RawAccount::default()), AccountError::InvalidName { .. }));
    let raw = RawAccount { name: "studio-7", ..RawAccount::default() };
    for (field, raw) in [
        ("rate", RawAccount { per_second: -1.0, ..raw.clone() }),
        ("rate", RawAccount { per_second: f64::NAN, ..raw.clone() }),
        ("burst", RawAccount { burst: f64::INFINITY, ..raw.clone() }),
    ] {
        let text = error(raw).to_string();
        assert!(text.contains("studio-7") && text.contains(field), "{text}");
    }
    let keys = [SECRET.to_owned(), String::new()];
    let error = error(RawAccount { keys: &keys, ..raw.clone() });
    assert!(matches!(error, AccountError::EmptyKey { nth: 2, .. }), "{error}");
}

#[test]
fn a_rate_of_zero_means_no_limit() {
    let raw = RawAccount { name: "studio-7", burst: 50.0, ..RawAccount::default() };
    assert_eq!(Account::try_from(raw).unwrap().quota, None);
}

#[test]
fn a_request_costs_one_and_a_generation_its_tokens() {
    let cost = |unit, tokens| {
        let raw = RawAccount { name: "studio-7", unit, ..RawAccount::default() };
        Account::try_from(raw).unwrap().cost(tokens)
    };
    assert_eq!(cost(Unit::Requests, Some(3_070)), 1);
    assert_eq!(cost(Unit::Tokens { plain: 200 }, Some(3_070)), 3_070);
    assert_eq!(cost(Unit::Tokens { plain: 200 }, None), 200);
}

#[test]
fn duplicate_names_and_keys_are_rejected() {
    let duplicate = AccountTable::new(vec![account("a", &["1"]), account("a", &["2"])]);
    assert!(matches!(duplicate, Err(TableError::DuplicateName { .. })));
    let shared = AccountTable::new(vec![account("a", &[SECRET]), account("b", &["2", SECRET])]);
    let error = shared.unwrap_err();
    assert!(matches!(error, TableError::DuplicateKey { .. }));
    assert!(!error.to_string().contains(SECRET));
    // An account may list the same key twice.
    assert!(AccountTable::new(vec![account("a", &[SECRET, SECRET])]).is_ok());
}

#[test]
fn an_account_with_two_keys_accepts_both_and_one_without_keys_accepts_none() {
    let check = |keys: &[&str], key| {
        let table = AccountTable::new(vec![account("a", keys)]).unwrap();
        let key = Credentials::Key(KeyDigest::of(key));
        check_access(&table, false, key, Freshness::Fresh).is_ok()
    };
    assert!(check(&["old"], "old") && !check(&["old"], "new"));
    assert!(check(&["old", "new"], "old") && check(&["old", "new"], "new"));
    assert!(!check(&["new"], "old") && check(&["new"], "new"));
    assert!(!check(&[], "new"));
}

#[test]
fn only_a_fresh_configuration_rejects_a_key_for_good() {
    let table = AccountTable::new(vec![account("a", &["known"])]).unwrap();
    let (known, other) = (KeyDigest::of("known"), KeyDigest::of("other"));
    let check = |credentials, freshness| check_access(&table, false, credentials, freshness);
    for (credentials, denial) in [
        (Credentials::Key(other), Denial::UnknownKey),
        (Credentials::None, Denial::NoKey),
        (Credentials::Malformed, Denial::Malformed),
    ] {
        assert_eq!(check(credentials, Freshness::Fresh), Err(denial));
        assert_eq!(check(credentials, Freshness::Leased), Err(Denial::StaleConfiguration));
        assert_eq!(check(credentials, Freshness::Lapsed), Err(Denial::StaleConfiguration));
    }
    let account = table.find_by_key(known).unwrap().clone();
    for freshness in [Freshness::Fresh, Freshness::Leased] {
        let access = check(Credentials::Key(known), freshness);
        assert_eq!(access, Ok(Access::Account(account.clone())));
    }
    assert_eq!(check(Credentials::Key(known), Freshness::Lapsed), Err(Denial::StaleConfiguration));
    assert_eq!(
        check_access(&table, true, Credentials::Malformed, Freshness::Lapsed),
        Ok(Access::Anonymous)
    );
}

#[test]
fn debug_output_contains_no_key() {
    let account = account("studio-7", &[SECRET]);
    let table = AccountTable::new(vec![account.clone()]).unwrap();
    let credentials = Credentials::Key(KeyDigest::of(SECRET));
    for text in [format!("{account:?}"), format!("{table:?}"), format!("{credentials:?}")] {
        assert!(!text.contains(SECRET), "{text}");
    }
}

#[test]
fn each_of_10000_accounts_is_found_by_its_key() {
    let all = (0..10_000).map(|n| account(&format!("studio-{n}"), &[&format!("key-{n}")]));
    let table = AccountTable::new(all.collect()).unwrap();
    assert_eq!(table.len(), 10_000);
    for n in [0, 1, 4_999, 9_999] {
        let found = table.find_by_key(KeyDigest::of(&format!("key-{n}"))).unwrap();
        assert_eq!(found.name.as_str(), format!("studio-{n}"));
    }
}
