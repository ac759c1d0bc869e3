//! Cost of a request's key and quota with ten thousand accounts.

use std::hint::black_box;

use bulrushusher_accounts::{
    Account, AccountTable, Credentials, Freshness, KeyDigest, QuotaBook, QuotaConfig, RawAccount,
    Unit, check_access,
};
use bulrushusher_time::Millis;
use criterion::{Criterion, criterion_group, criterion_main};

const ACCOUNTS: usize = 10_000;

fn account(nth: usize) -> Account {
    let keys = [format!("old-key-of-{nth}"), format!("new-key-of-{nth}")];
    let raw = RawAccount {
        name: &format!("studio-{nth}"),
        keys: &keys,
        unit: Unit::Tokens { plain: 200 },
        per_second: 1e9,
        burst: 1e9,
        ..RawAccount::default()
    };
    Account::try_from(raw).expect("it is valid")
}

fn admit(c: &mut Criterion) {
    let table = AccountTable::new((0..ACCOUNTS).map(account).collect()).expect("keys differ");
    let mut book = QuotaBook::new(QuotaConfig::default(), Millis(0));
    book.configure(table.accounts().map(|it| (&it.name, it.quota)), Millis(0));
    let mut nth = 0;
    c.bench_function("key_and_quota_of_10000_accounts", |b| {
        b.iter(|| {
            nth = (nth + 7_919) % ACCOUNTS;
            let key = Credentials::Key(KeyDigest::of(black_box(&format!("new-key-of-{nth}"))));
            let access = check_access(&table, false, key, Freshness::Fresh).expect("it is known");
            let bulrushusher_accounts::Access::Account(account) = access else { return };
            let cost = account.cost(Some(3_070));
            book.admit(&account.name, cost, Millis(20_000)).expect("there is enough");
        });
    });
}

criterion_group!(benches, admit);
criterion_main!(benches);
