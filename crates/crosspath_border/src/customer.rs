//! Customers: who calls, by which key, and how much each may have running.
//!
//! Keys in the clear stand only in a request and in the record that operators write. Everywhere else a
//! key is a keyed hash under a secret that is drawn anew for each [`Keys`]: looking one up compares
//! hashes, so neither the time that takes nor what a daemon keeps or passes on tells of a key.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

use crosspath_job::spec::Resources;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Length of a hash and of the secret.
const HASH_BYTES: usize = 32;

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name.
    pub name: Arc<str>,
    /// Jobs a second that it is owed when all is full.
    pub weight: f64,
    /// What its tasks may use at one time, over all workers; [`Resources::UNLIMITED`] where nothing is said.
    pub maximum: Resources,
}

/// A customer and its keys as operators write them.
#[derive(Clone, PartialEq)]
pub struct Registration {
    /// The customer.
    pub customer: Customer,
    /// Its keys, in the clear.
    pub keys: Vec<String>,
}

/// Customers that contradict each other. Names no key.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A customer stands there twice.
    #[snafu(display("customer {name} stands there twice; give each a name of its own"))]
    Duplicate {
        /// Its name.
        name: Arc<str>,
    },
    /// Two customers have one key.
    #[snafu(display("customers {one} and {other} have the same key; take it from one of them"))]
    SharedKey {
        /// One of them.
        one: Arc<str>,
        /// The other.
        other: Arc<str>,
    },
}

/// Which customer a key belongs to.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Keys {
    secret: [u8; HASH_BYTES],
    #[serde(with = "rows")]
    owners: HashMap<blake3::Hash, Arc<str>>,
}

impl Keys {
    /// Hashes the keys of all customers under a new secret.
    ///
    /// # Errors
    ///
    /// [`Error`] when a customer stands there twice, or a key at two customers.
    pub fn new(registrations: &[Registration]) -> Result<Self, Error> {
        let mut keys = Self { secret: rand::random(), owners: HashMap::new() };
        let mut names = BTreeSet::new();
        for Registration { customer, keys: own } in registrations {
            let name = &customer.name;
            if !names.insert(name) {
                return DuplicateSnafu { name: Arc::clone(name) }.fail();
            }
            for key in own {
                let previous = keys.owners.insert(keys.hash(key), Arc::clone(name));
                if let Some(one) = previous.filter(|previous| previous != name) {
                    return SharedKeySnafu { one, other: Arc::clone(name) }.fail();
                }
            }
        }
        Ok(keys)
    }

    /// Name of the customer with a key.
    #[must_use]
    pub fn owner(&self, key: &str) -> Option<&Arc<str>> {
        self.owners.get(&self.hash(key))
    }

    fn hash(&self, key: &str) -> blake3::Hash {
        blake3::keyed_hash(&self.secret, key.as_bytes())
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({} hashes)", self.owners.len())
    }
}

impl fmt::Debug for Registration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Registration({:?}, {} keys)", self.customer, self.keys.len())
    }
}

/// Hashes and customers as rows, for texts between daemons.
mod rows {
    use std::collections::HashMap;
    use std::sync::Arc;

    use serde::{Deserialize as _, Deserializer, Serialize as _, Serializer};

    use super::HASH_BYTES;

    type Row = ([u8; HASH_BYTES], Arc<str>);

    pub(super) fn serialize<S: Serializer>(
        owners: &HashMap<blake3::Hash, Arc<str>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let row = |(hash, name): (&blake3::Hash, &Arc<str>)| (*hash.as_bytes(), Arc::clone(name));
        let rows: Vec<Row> = owners.iter().map(row).collect();
        rows.serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<HashMap<blake3::Hash, Arc<str>>, D::Error> {
        let rows = Vec::<Row>::deserialize(deserializer)?;
        Ok(rows.into_iter().map(|(hash, name)| (hash.into(), name)).collect())
    }
}
