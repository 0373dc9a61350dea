//! What makes two requests the same one for the targets that run them, and what daemons
//! tell each other of one that ends its targets.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Millis;

/// Bytes of a fingerprint: a caller cannot find another customer's request that has the
/// same one, and two of millions do not share one by chance.
const LENGTH: usize = 16;

/// The digest of a request's customer, method, host, path and body.
///
/// A caller that sends a request again gives it another id, so ids do not tell that it
/// came before; daemons that never spoke of it compute the same fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; LENGTH]);

impl Fingerprint {
    /// The fingerprint of a request whose parts come in a fixed order.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut digest = Sha256::new();
        for part in parts {
            // With its length in front, a part cannot take over bytes of the next one.
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&digest.finalize()[..LENGTH]);
        Self(bytes)
    }

    /// A number that is the same on all daemons.
    #[must_use]
    pub const fn number(self) -> u128 {
        u128::from_le_bytes(self.0)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

/// What daemons tell each other of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The request.
    pub print: Fingerprint,
    /// Counts the verdicts on it; a later one replaces earlier ones.
    pub round: u32,
    /// How often it was withheld in a row; 0 if it was cleared.
    pub level: u32,
    /// How long it is withheld yet.
    pub left: Millis,
    /// Whether that is since it is being tried.
    pub trial: bool,
}
