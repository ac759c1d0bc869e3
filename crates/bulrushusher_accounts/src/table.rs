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

impl TableError {
    /// The account that is listed later.
    pub fn account(&self) -> &ClientAccountName {
        match self {
            TableError::DuplicateName { account } => account,
            TableError::DuplicateKey { second, .. } => second,
        }
    }
}

/// An account that cannot be used because its configuration cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableAccount {
    /// Digests of its keys; `None` if they cannot be read either, so that it may have any key.
    pub keys: Option<Vec<KeyDigest>>,
}

/// To whom a key belongs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyHolder<'a> {
    /// To this account.
    Account(&'a Arc<Account>),
    /// Perhaps to an account that cannot be read.
    Unreadable,
    /// To nobody.
    Nobody,
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
    /// Keys of accounts that cannot be read, and keys of more than one account.
    withheld: HashMap<u64, Vec<KeyDigest>>,
    /// True if the keys of some account cannot be read.
    has_hidden_keys: bool,
    by_name: HashMap<ClientAccountName, Arc<Account>>,
}

impl AccountTable {
    /// Checks and indexes accounts.
    ///
    /// # Errors
    /// [`TableError`] names the first two accounts in conflict.
    pub fn new(accounts: Vec<Account>) -> Result<AccountTable, TableError> {
        let (table, conflicts) = AccountTable::with_unreadable(accounts, &[]);
        match conflicts.into_iter().next() {
            Some(first) => Err(first),
            None => Ok(table),
        }
    }

    /// Indexes accounts next to others that cannot be read. Accounts in conflict count as
    /// unreadable as far as they are: the second one of a name as a whole, and a key of two accounts
    /// for both. Returns the conflicts.
    ///
    /// ```
    /// use bulrushusher_accounts::{
    ///     Account, AccountTable, KeyDigest, KeyHolder, RawAccount, UnreadableAccount,
    /// };
    /// let keys = ["a-key".to_owned()];
    /// let raw = RawAccount { name: "studio-7", keys: &keys, ..RawAccount::default() };
    /// let account = Account::try_from(raw).unwrap();
    /// let rest = UnreadableAccount { keys: Some(vec![KeyDigest::of("another")]) };
    /// let (table, conflicts) = AccountTable::with_unreadable(vec![account], &[rest]);
    /// assert!(conflicts.is_empty());
    /// assert!(matches!(table.holder_of(KeyDigest::of("a-key")), KeyHolder::Account(_)));
    /// assert_eq!(table.holder_of(KeyDigest::of("another")), KeyHolder::Unreadable);
    /// assert_eq!(table.holder_of(KeyDigest::of("no-key")), KeyHolder::Nobody);
    /// ```
    pub fn with_unreadable(
        accounts: Vec<Account>,
        unreadable: &[UnreadableAccount],
    ) -> (AccountTable, Vec<TableError>) {
        let has_hidden_keys = unreadable.iter().any(|account| account.keys.is_none());
        let mut table = AccountTable { has_hidden_keys, ..AccountTable::default() };
        for key in unreadable.iter().filter_map(|account| account.keys.as_ref()).flatten() {
            table.withhold(*key);
        }
        let mut conflicts = Vec::new();
        for account in accounts {
            if table.by_name.contains_key(&account.name) {
                account.keys.iter().for_each(|key| table.withhold(*key));
                conflicts.push(TableError::DuplicateName { account: account.name });
                continue;
            }
            for key in &account.keys {
                if let Some(first) = table.find_by_key(*key).map(|owner| owner.name.clone())
                    && first != account.name
                {
                    table.withhold(*key);
                    let second = account.name.clone();
                    conflicts.push(TableError::DuplicateKey { first, second });
                }
            }
            table.add(Arc::new(account));
        }
        (table, conflicts)
    }

    fn withhold(&mut self, key: KeyDigest) {
        self.withheld.entry(key.prefix()).or_default().push(key);
    }

    fn is_withheld(&self, key: KeyDigest) -> bool {
        self.withheld.get(&key.prefix()).is_some_and(|keys| keys.contains(&key))
    }

    fn add(&mut self, account: Arc<Account>) {
        for key in &account.keys {
            if self.find_by_key(*key).is_none() {
                self.by_prefix.entry(key.prefix()).or_default().push((*key, account.clone()));
            }
        }
        self.by_name.insert(account.name.clone(), account.clone());
        self.accounts.push(account);
    }

    /// To whom an API key belongs.
    pub fn holder_of(&self, key: KeyDigest) -> KeyHolder<'_> {
        match self.find_by_key(key) {
            Some(account) => KeyHolder::Account(account),
            None if self.has_hidden_keys || self.is_withheld(key) => KeyHolder::Unreadable,
            None => KeyHolder::Nobody,
        }
    }

    /// The account that an API key belongs to.
    pub fn find_by_key(&self, key: KeyDigest) -> Option<&Arc<Account>> {
        if self.is_withheld(key) {
            return None;
        }
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
