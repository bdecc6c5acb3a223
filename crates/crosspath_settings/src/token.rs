//! Bearer tokens, stored as SHA-256 hashes and compared in constant time.

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

/// SHA-256 hash of a bearer token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hash([u8; 32]);

impl Hash {
    /// Parses a hash from 64 hexadecimal digits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = hex::decode(text).ok()?;
        bytes.try_into().ok().map(Self)
    }

    /// Returns the hash of `token`.
    #[must_use]
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Returns whether `token` has this hash, in a time that does not depend on the token's
    /// content.
    #[must_use]
    pub fn matches(&self, token: &str) -> bool {
        Self::of(token).0.ct_eq(&self.0).into()
    }

    /// Returns the hash as 64 hexadecimal digits.
    #[must_use]
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }
}
