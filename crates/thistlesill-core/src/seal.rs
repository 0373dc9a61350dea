//! Proof of a shared key on messages between daemons and on orders.

use hmac::{Hmac, KeyInit, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use snafu::Snafu;

/// Bytes of the proof in front of a sealed message.
pub const TAG_LEN: usize = 16;

/// Bytes of the largest datagram that is read or written.
pub const MAX_DATAGRAM: usize = 8 * 1024;

/// Why a sealed message was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum SealError {
    /// Shorter than a proof, or longer than a datagram.
    #[snafu(display("message of wrong length"))]
    Length,
    /// The proof does not match the shared key.
    #[snafu(display("message without the shared key's proof"))]
    Proof,
    /// The content could not be decoded.
    #[snafu(display("message of unknown content"))]
    Content,
}

/// The key that the daemons of one fleet share.
#[derive(Clone)]
pub struct SharedKey(Vec<u8>);

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedKey(..)")
    }
}

impl SharedKey {
    /// Makes a key of its bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// The proof for a message.
    ///
    /// # Panics
    ///
    /// Never: a MAC takes keys of any length.
    pub fn tag(&self, message: &[u8]) -> [u8; TAG_LEN] {
        let full = self.mac(message).finalize().into_bytes();
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&full[..TAG_LEN]);
        tag
    }

    /// Whether `tag` proves `message`, compared in constant time.
    pub fn proves(&self, message: &[u8], tag: &[u8]) -> bool {
        tag.len() == TAG_LEN && self.mac(message).verify_truncated_left(tag).is_ok()
    }

    /// Encodes and seals a message.
    ///
    /// # Panics
    ///
    /// Never: the message types of this crate always encode.
    pub fn seal<T: Serialize>(&self, message: &T) -> Vec<u8> {
        let body = postcard::to_stdvec(message).expect("message types always encode");
        let mut bytes = self.tag(&body).to_vec();
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Checks and decodes a sealed message.
    ///
    /// # Errors
    ///
    /// A [`SealError`] for a wrong length, proof or content.
    pub fn open<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, SealError> {
        let (tag, body) = bytes.split_at_checked(TAG_LEN).ok_or(SealError::Length)?;
        if !self.proves(body, tag) {
            return Err(SealError::Proof);
        }
        postcard::from_bytes(body).map_err(|_| SealError::Content)
    }

    fn mac(&self, message: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("any key length is valid");
        mac.update(message);
        mac
    }
}

/// The SHA-256 of a text in hexadecimal, as the settings hold tokens.
pub fn sha256_hex(text: &[u8]) -> String {
    hex::encode(Sha256::digest(text))
}
