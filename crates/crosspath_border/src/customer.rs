//! Customers, their API keys, and how much each may have running.
//!
//! Plain-text keys exist only in requests and in the record that operators write. Everywhere else a
//! key is a keyed hash under a secret that is generated anew for each [`Keys`]. A lookup compares
//! hashes, so neither its duration nor the data that a daemon stores or passes on reveals a key.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

use crosspath_job::spec::Resources;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Length in bytes of a hash and of the secret.
const HASH_BYTES: usize = 32;

/// Weight and limits of one customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Unique name, under which jobs of the customer are recorded.
    pub name: Arc<str>,
    /// Rate in jobs per second that the customer is entitled to when capacity is exhausted.
    pub weight: f64,
    /// Maximum resources of its running tasks over all workers; [`Resources::UNLIMITED`] if none is
    /// configured.
    pub maximum: Resources,
}

/// Customer with its plain-text keys, as written by operators.
#[derive(Clone, PartialEq)]
pub struct Registration {
    /// Customer that the keys identify.
    pub customer: Customer,
    /// Plain-text keys of the customer.
    pub keys: Vec<String>,
}

/// Inconsistent customer registrations. The messages contain no key.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The same customer is registered twice.
    #[snafu(display("customer {name} is registered twice; names must be unique"))]
    Duplicate {
        /// Name that occurs more than once.
        name: Arc<str>,
    },
    /// Two customers share a key.
    #[snafu(display("customers {one} and {other} share a key; remove it from one of them"))]
    SharedKey {
        /// Customer that was registered first.
        one: Arc<str>,
        /// Customer that was registered later.
        other: Arc<str>,
    },
}

/// Index from key hashes to customer names.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Keys {
    secret: [u8; HASH_BYTES],
    #[serde(with = "rows")]
    owners: HashMap<blake3::Hash, Arc<str>>,
}

impl Keys {
    /// Hashes the keys of all customers under a new random secret.
    ///
    /// # Errors
    ///
    /// [`Error`] if a customer is registered twice or two customers share a key.
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

    /// Name of the customer that `key` identifies; `None` if the key is unknown.
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

/// Serialises the index as rows of hash and customer name, for messages between daemons.
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
