//! Authentication of messages between daemons and of orders with a shared key.

use hmac::{Hmac, KeyInit, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use snafu::Snafu;

/// Length in bytes of the authentication tag that precedes the body of a sealed message.
pub const TAG_LEN: usize = 16;

/// Size in bytes of the largest datagram that is sent or received.
pub const MAX_DATAGRAM: usize = 8 * 1024;

/// The error for a sealed message that was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum SealError {
    /// The message is shorter than an authentication tag, or longer than a datagram.
    #[snafu(display("message has an invalid length"))]
    Length,
    /// The authentication tag does not match the message and the shared key.
    #[snafu(display("message is not authenticated with the shared key"))]
    Proof,
    /// The message body could not be decoded.
    #[snafu(display("message content cannot be decoded"))]
    Content,
}

/// The secret key shared by the daemons of one fleet.
///
/// The `Debug` output does not contain the key.
#[derive(Clone)]
pub struct SharedKey(Vec<u8>);

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedKey(..)")
    }
}

impl SharedKey {
    /// Creates a key from its bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Returns the authentication tag of a message: its truncated HMAC-SHA-256.
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

    /// Returns whether `tag` is the authentication tag of `message`, compared in constant time.
    pub fn verify(&self, message: &[u8], tag: &[u8]) -> bool {
        tag.len() == TAG_LEN && self.mac(message).verify_truncated_left(tag).is_ok()
    }

    /// Encodes a message and prepends its authentication tag.
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

    /// Verifies and decodes a sealed message.
    ///
    /// # Errors
    ///
    /// Returns a [`SealError`] if the length, the authentication tag or the content is invalid.
    pub fn open<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, SealError> {
        let (tag, body) = bytes.split_at_checked(TAG_LEN).ok_or(SealError::Length)?;
        if !self.verify(body, tag) {
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

/// Returns the SHA-256 of a text in hexadecimal, the form in which the settings hold tokens.
pub fn sha256_hex(text: &[u8]) -> String {
    hex::encode(Sha256::digest(text))
}
