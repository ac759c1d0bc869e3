//! Lookup of client accounts by API key and by name.

use std::collections::HashMap;
use std::sync::Arc;

use bulrushusher_world::ClientAccountName;
use derive_more::{Display, Error};

use crate::{Account, KeyDigest};

/// Conflict between two accounts. No variant contains a key, so that errors can be logged.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TableError {
    /// Two accounts have the same name.
    #[display("account {account} is configured twice; give each account a unique name")]
    DuplicateName {
        /// The name of both accounts.
        account: ClientAccountName,
    },
    /// Two accounts have the same key.
    #[display("accounts {first} and {second} have the same key; keep it in only one of them")]
    DuplicateKey {
        /// The account that is listed first.
        first: ClientAccountName,
        /// The account that is listed later.
        second: ClientAccountName,
    },
}

/// The client accounts of a configuration, indexed by key and by name.
///
/// ```
/// use bulrushusher_accounts::{Account, AccountTable, KeyDigest, RawAccount};
/// let keys = ["old-key".to_owned(), "new-key".to_owned()];
/// let raw = RawAccount { name: "studio-7", keys: &keys, ..RawAccount::default() };
/// let table = AccountTable::new(vec![Account::try_from(raw).unwrap()]).unwrap();
/// assert_eq!(table.find_by_key(KeyDigest::of("new-key")).unwrap().name.as_str(), "studio-7");
/// assert!(table.find_by_key(KeyDigest::of("no-key")).is_none());
/// assert!(table.find_by_name(&"studio-7".try_into().unwrap()).is_some());
/// assert!(table.find_by_name(&"studio-8".try_into().unwrap()).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    accounts: Vec<Arc<Account>>,
    /// Indexed by a prefix of the digest; lookups compare the whole digest in constant time.
    by_prefix: HashMap<u64, Vec<(KeyDigest, Arc<Account>)>>,
    by_name: HashMap<ClientAccountName, Arc<Account>>,
}

impl AccountTable {
    /// Checks and indexes accounts.
    ///
    /// # Errors
    /// [`TableError`] names the first two accounts in conflict.
    pub fn new(accounts: Vec<Account>) -> Result<AccountTable, TableError> {
        let mut table = AccountTable::default();
        for account in accounts {
            if table.by_name.contains_key(&account.name) {
                return Err(TableError::DuplicateName { account: account.name });
            }
            table.insert(Arc::new(account))?;
        }
        Ok(table)
    }

    fn insert(&mut self, account: Arc<Account>) -> Result<(), TableError> {
        for key in &account.keys {
            if let Some(owner) = self.find_by_key(*key) {
                if owner.name == account.name {
                    continue;
                }
                let (first, second) = (owner.name.clone(), account.name.clone());
                return Err(TableError::DuplicateKey { first, second });
            }
            self.by_prefix.entry(key.prefix()).or_default().push((*key, account.clone()));
        }
        self.by_name.insert(account.name.clone(), account.clone());
        self.accounts.push(account);
        Ok(())
    }

    /// The account that an API key belongs to.
    pub fn find_by_key(&self, key: KeyDigest) -> Option<&Arc<Account>> {
        let candidates = self.by_prefix.get(&key.prefix())?;
        candidates.iter().find(|(digest, _)| *digest == key).map(|(_, account)| account)
    }

    /// The account with that name.
    pub fn find_by_name(&self, name: &ClientAccountName) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// All accounts, in the order of the configuration.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.accounts.iter()
    }

    /// Number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// True when there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
