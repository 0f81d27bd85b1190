//! JSON wire types of the shard objects and segment objects.
//!
//! 128-bit numbers and bodies are written as hexadecimal strings.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::ProcessId;
use crate::ids::Term;
use crate::ledger::ClaimId;
use crate::ledger::KeyDigest;
use crate::ledger::Owner;
use crate::ledger::Record;
use crate::ledger::RecordState;
use crate::ledger::RecordedResponse;
use crate::ledger::SegmentRef;
use crate::ledger::ShardSnapshot;

/// A field of a stored object that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("ledger object: {field} is {value:?}; restore it or remove it once its keys have expired")]
pub struct WireError {
    field: &'static str,
    value: String,
}

fn parse_hex(field: &'static str, value: &str) -> Result<u128, WireError> {
    u128::from_str_radix(value, 16).map_err(|_| WireError {
        field,
        value: value.into(),
    })
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct RecordedResponseWire {
    status: u16,
    content_type: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    body: Option<String>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct RecordWire {
    key: String,
    body: String,
    claim: String,
    expires_s: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answer: Option<RecordedResponseWire>,
}

impl From<(&KeyDigest, &Record)> for RecordWire {
    fn from((key, record): (&KeyDigest, &Record)) -> Self {
        Self {
            key: format!("{:x}", key.0),
            body: format!("{:x}", record.fingerprint.0),
            claim: format!("{:x}", record.claim.0),
            expires_s: record.expires_s,
            answer: match &record.state {
                RecordState::Claimed => None,
                RecordState::Done(response) => Some(RecordedResponseWire {
                    status: response.status,
                    content_type: response.content_type.clone(),
                    body: response.body.as_deref().map(to_hex),
                }),
            },
        }
    }
}

impl TryFrom<RecordWire> for (KeyDigest, Record) {
    type Error = WireError;

    fn try_from(wire: RecordWire) -> Result<Self, WireError> {
        let state = match wire.answer {
            None => RecordState::Claimed,
            Some(response) => RecordState::Done(RecordedResponse {
                status: response.status,
                content_type: response.content_type,
                body: response.body.as_deref().map(from_hex).transpose()?,
            }),
        };
        let record = Record {
            fingerprint: Fingerprint(parse_hex("body", &wire.body)?),
            claim: ClaimId(parse_hex("claim", &wire.claim)?),
            expires_s: wire.expires_s,
            state,
        };
        Ok((KeyDigest(parse_hex("key", &wire.key)?), record))
    }
}

fn to_hex(body: &[u8]) -> String {
    use std::fmt::Write;
    let mut hex = String::with_capacity(body.len() * 2);
    for byte in body {
        write!(hex, "{byte:02x}").expect("writing to a string cannot fail");
    }
    hex
}

fn from_hex(hex: &str) -> Result<Bytes, WireError> {
    let error = || WireError {
        field: "answer.body",
        value: hex.chars().take(32).collect(),
    };
    if !hex.len().is_multiple_of(2) || !hex.is_ascii() {
        return Err(error());
    }
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).map_err(|_| error()))
        .collect::<Result<Vec<u8>, _>>()
        .map(Bytes::from)
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct OwnerWire {
    process: String,
    incarnation: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct SegmentRefWire {
    number: u64,
    version: u64,
    expires_s: u64,
}

/// The JSON form of a [`ShardSnapshot`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ShardSnapshotWire {
    term: u64,
    owner: Option<OwnerWire>,
    write_id: String,
    open: Vec<RecordWire>,
    segments: Vec<SegmentRefWire>,
    next_segment: u64,
}

impl From<&ShardSnapshot> for ShardSnapshotWire {
    fn from(snapshot: &ShardSnapshot) -> Self {
        Self {
            term: snapshot.term.0,
            owner: snapshot.owner.as_ref().map(|owner| OwnerWire {
                process: owner.process.to_string(),
                incarnation: owner.incarnation.0,
            }),
            write_id: format!("{:x}", snapshot.write_id),
            open: snapshot.open.iter().map(RecordWire::from).collect(),
            segments: snapshot
                .segments
                .iter()
                .map(|segment| SegmentRefWire {
                    number: segment.number,
                    version: segment.version,
                    expires_s: segment.expires_s,
                })
                .collect(),
            next_segment: snapshot.next_segment,
        }
    }
}

impl TryFrom<ShardSnapshotWire> for ShardSnapshot {
    type Error = WireError;

    fn try_from(wire: ShardSnapshotWire) -> Result<Self, WireError> {
        Ok(Self {
            term: Term(wire.term),
            owner: wire.owner.map(|owner| Owner {
                process: ProcessId::new(owner.process),
                incarnation: Incarnation(owner.incarnation),
            }),
            write_id: parse_hex("write_id", &wire.write_id)?,
            open: wire
                .open
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()?,
            segments: wire
                .segments
                .into_iter()
                .map(|segment| SegmentRef {
                    number: segment.number,
                    version: segment.version,
                    expires_s: segment.expires_s,
                })
                .collect(),
            next_segment: wire.next_segment,
        })
    }
}

/// The JSON form of a segment's records.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SegmentWire {
    records: Vec<RecordWire>,
}

impl SegmentWire {
    /// Encodes the records of a segment.
    pub fn new<'a>(records: impl Iterator<Item = (&'a KeyDigest, &'a Record)>) -> Self {
        Self {
            records: records.map(RecordWire::from).collect(),
        }
    }

    /// Decodes the records.
    ///
    /// # Errors
    ///
    /// Returns the field that cannot be decoded.
    pub fn try_into_records(self) -> Result<Vec<(KeyDigest, Record)>, WireError> {
        self.records.into_iter().map(TryInto::try_into).collect()
    }
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;

    use super::ShardSnapshotWire;
    use crate::ids::Fingerprint;
    use crate::ledger::ClaimId;
    use crate::ledger::KeyDigest;
    use crate::ledger::Record;
    use crate::ledger::RecordState;
    use crate::ledger::RecordedResponse;
    use crate::ledger::ShardSnapshot;

    #[test]
    fn snapshot_survives_a_json_round_trip() {
        let mut snapshot = ShardSnapshot::empty();
        let record = Record {
            fingerprint: Fingerprint(u128::MAX),
            claim: ClaimId(2),
            expires_s: 3,
            state: RecordState::Done(RecordedResponse::new(
                200,
                "text/plain",
                Bytes::from_static(b"\0\xff"),
            )),
        };
        snapshot.open.insert(KeyDigest(4), record);
        let json =
            serde_json::to_string(&ShardSnapshotWire::from(&snapshot)).expect("serializable");
        let wire: ShardSnapshotWire = serde_json::from_str(&json).expect("valid JSON");
        assert_eq!(ShardSnapshot::try_from(wire), Ok(snapshot));
    }

    #[test]
    fn malformed_objects_are_rejected_without_a_panic() {
        for json in [
            r#"{"term":1,"owner":null,"write_id":"x","open":[],"segments":[],"next_segment":0}"#,
            r#"{"term":1,"owner":null,"write_id":"1","open":[{"key":"1","body":"1","claim":"1",
               "expires_s":1,"answer":{"status":200,"content_type":"","body":"0é"}}],
               "segments":[],"next_segment":0}"#,
        ] {
            let wire: ShardSnapshotWire = serde_json::from_str(json).expect("valid JSON");
            assert!(ShardSnapshot::try_from(wire).is_err());
        }
    }
}
