//! Fingerprints that identify requests by content, and daemons' verdicts on requests that crash
//! their targets.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Millis;

/// Length of a fingerprint: enough that a caller cannot construct a request that collides with
/// another customer's, and that no two of millions of requests collide by chance.
const FINGERPRINT_BYTES: usize = 16;

/// A digest of a request's customer, method, host, path and body.
///
/// A caller that repeats a request gives it a new id, so ids do not identify repetitions. All
/// daemons compute the same fingerprint of a request without communication.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request from its parts, which must be in a fixed order.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut digest = Sha256::new();
        for part in parts {
            // The length prefix keeps parts distinct: bytes that move from one part to the next
            // change the digest.
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// Returns the fingerprint as a number, which is the same on all daemons.
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

/// A daemon's decision to withhold a request or to clear it, as sent to other daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Fingerprint of the request.
    pub print: Fingerprint,
    /// Number of the verdict on this request; a higher round replaces lower ones.
    pub round: u32,
    /// How many times in a row the request was withheld; 0 if it is cleared.
    pub level: u32,
    /// Remaining time for which the request is withheld.
    pub left: Millis,
    /// Whether the request is withheld because one copy of it is being tried.
    pub trial: bool,
}
