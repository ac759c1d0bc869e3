//! All client accounts of a configuration, found by key.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use bulrushusher_world::ClientAccountName;
use derive_more::{Display, Error};

use crate::{Account, KeyDigest};

/// Why accounts cannot stand together. No variant holds a key.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TableError {
    /// Two have one name.
    #[display("account {account} is there twice; give each account a name of its own")]
    Twice {
        /// The name.
        account: ClientAccountName,
    },
    /// Two have one key.
    #[display("accounts {first} and {second} have the same key; give it to one of them")]
    SharedKey {
        /// One of them.
        first: ClientAccountName,
        /// The other one.
        second: ClientAccountName,
    },
}

/// The client accounts in force.
///
/// ```
/// use bulrushusher_accounts::{Account, AccountTable, KeyDigest, RawAccount};
/// let keys = ["old-key".to_owned(), "new-key".to_owned()];
/// let raw = RawAccount { name: "studio-7", keys: &keys, ..RawAccount::default() };
/// let table = AccountTable::new(vec![Account::try_from(raw).unwrap()]).unwrap();
/// assert_eq!(table.find(KeyDigest::of("new-key")).unwrap().name.as_str(), "studio-7");
/// assert!(table.find(KeyDigest::of("no-key")).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    accounts: Vec<Arc<Account>>,
    /// By a part of the digest; the whole one is compared.
    by_key: HashMap<u64, Vec<(KeyDigest, Arc<Account>)>>,
}

impl AccountTable {
    /// Checks and indexes accounts.
    ///
    /// # Errors
    /// [`TableError`] names the first ones that cannot stand together.
    pub fn new(accounts: Vec<Account>) -> Result<AccountTable, TableError> {
        let mut table = AccountTable::default();
        let mut names = HashSet::new();
        for account in accounts {
            if !names.insert(account.name.clone()) {
                return Err(TableError::Twice { account: account.name });
            }
            table.put(Arc::new(account))?;
        }
        Ok(table)
    }

    fn put(&mut self, account: Arc<Account>) -> Result<(), TableError> {
        for key in &account.keys {
            if let Some(holder) = self.find(*key) {
                if holder.name == account.name {
                    continue;
                }
                let (first, second) = (holder.name.clone(), account.name.clone());
                return Err(TableError::SharedKey { first, second });
            }
            self.by_key.entry(key.slot()).or_default().push((*key, account.clone()));
        }
        self.accounts.push(account);
        Ok(())
    }

    /// The account that holds a key.
    pub fn find(&self, key: KeyDigest) -> Option<&Arc<Account>> {
        let slot = self.by_key.get(&key.slot())?;
        slot.iter().find(|(held, _)| *held == key).map(|(_, account)| account)
    }

    /// All accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.accounts.iter()
    }

    /// How many accounts there are.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// True when there are none.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
