//! Time to check the key and the quota of a request with 10,000 accounts.

use std::hint::black_box;

use bulrushusher_accounts::{
    Account, AccountTable, Credentials, Freshness, KeyDigest, QuotaConfig, QuotaLimiter,
    RawAccount, Unit, check_access,
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
    Account::try_from(raw).expect("the account is valid")
}

fn admit(c: &mut Criterion) {
    let table = AccountTable::new((0..ACCOUNTS).map(account).collect()).expect("keys differ");
    let mut limiter = QuotaLimiter::new(QuotaConfig::default(), Millis(0));
    limiter.set_quotas(table.accounts().map(|it| (&it.name, it.quota)), Millis(0));
    let mut nth = 0;
    c.bench_function("key_and_quota_of_10000_accounts", |b| {
        b.iter(|| {
            nth = (nth + 7_919) % ACCOUNTS;
            let key = Credentials::Key(KeyDigest::of(black_box(&format!("new-key-of-{nth}"))));
            let access =
                check_access(&table, false, key, Freshness::Fresh).expect("the key is known");
            let bulrushusher_accounts::Access::Account(account) = access else { return };
            let cost = account.cost(Some(3_070));
            limiter.admit(&account.name, cost, Millis(20_000)).expect("the quota is not used up");
        });
    });
}

criterion_group!(benches, admit);
criterion_main!(benches);
