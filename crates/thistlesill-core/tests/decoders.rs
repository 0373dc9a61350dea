//! Decoders of untrusted input, which must never panic and always return a value or an error.

use thistlesill_core::event_id::EventId;
use thistlesill_core::message::{Datagram, PeerBody, StreamReply, StreamRequest};
use thistlesill_core::report::{Order, Report};
use thistlesill_core::seal::{SealError, SharedKey, TAG_LEN};
use thistlesill_core::table::{Rows, TxnReply};
use thistlesill_core::{RequestId, Stamp};
use thistlesill_fakes::seeded;

fn key() -> SharedKey {
    SharedKey::new(b"0123456789abcdef".as_slice())
}

fn datagram() -> Datagram {
    Datagram {
        from: "p0".into(),
        stamp: Stamp { wall: 7, count: 1 },
        body: PeerBody::Head { revision: 9 },
    }
}

#[test]
fn sealed_message_opens_with_its_key_only() {
    let sealed = key().seal(&datagram());
    assert_eq!(key().open::<Datagram>(&sealed), Ok(datagram()));
    let other = SharedKey::new(b"another key here".as_slice());
    assert_eq!(other.open::<Datagram>(&sealed), Err(SealError::Proof));
}

#[test]
fn every_truncation_is_refused() {
    let sealed = key().seal(&datagram());
    for length in 0..sealed.len() {
        assert!(
            key().open::<Datagram>(&sealed[..length]).is_err(),
            "{length} bytes"
        );
    }
}

#[test]
fn every_flipped_bit_is_refused() {
    let sealed = key().seal(&datagram());
    for bit in 0..sealed.len() * 8 {
        let mut bytes = sealed.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(key().open::<Datagram>(&bytes).is_err(), "bit {bit}");
    }
}

seeded! {
    fn any_bytes_are_refused(bytes: Vec<u8>) -> bool {
        key().open::<Datagram>(&bytes).is_err()
    }

    fn proved_garbage_is_refused_or_read(body: Vec<u8>) -> bool {
        // A sender that has the key may still send a malformed body.
        let mut bytes = key().tag(&body).to_vec();
        bytes.extend_from_slice(&body);
        assert_eq!(bytes.len(), body.len() + TAG_LEN);
        let datagram = key().open::<Datagram>(&bytes);
        let ask = key().open::<StreamRequest>(&bytes);
        let reply = key().open::<StreamReply>(&bytes);
        datagram != Err(SealError::Proof)
            && ask != Err(SealError::Proof)
            && reply != Err(SealError::Proof)
    }

    fn text_that_is_read_as_an_event_id_means_the_same_again(text: String) -> bool {
        let read = text.parse::<EventId>();
        read.is_err() || read.as_ref().map(|id| id.to_string().parse()) == Ok(read.clone())
    }

    fn event_ids_survive(request: u128, epoch: u64, offset: u32) -> bool {
        let id = EventId { request: RequestId::new(request), group: "concord-1.2".into(), epoch, offset };
        id.to_string().parse() == Ok(id)
    }

    fn any_text_is_no_message(text: String) -> bool {
        serde_json::from_str::<Report>(&text).is_err()
            && serde_json::from_str::<Order>(&text).is_err()
            && serde_json::from_str::<Rows>(&text).is_err()
            && serde_json::from_str::<TxnReply>(&text).is_err()
    }
}
