//! The task that runs the ledger shards that this entry owns.
//!
//! The ledger records the claims and responses of keyed calls, and stores them as
//! objects on the platform. A [`Shard`] makes the decisions; this task passes it
//! requests and the results of store operations, and executes its outputs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use wisteriawick_core::event::EventKind;
use wisteriawick_core::ledger::CallerId;
use wisteriawick_core::ledger::Claim;
use wisteriawick_core::ledger::ClaimId;
use wisteriawick_core::ledger::KeyDigest;
use wisteriawick_core::ledger::LedgerReply;
use wisteriawick_core::ledger::ObjectName;
use wisteriawick_core::ledger::OpId;
use wisteriawick_core::ledger::Owner;
use wisteriawick_core::ledger::ReadResult;
use wisteriawick_core::ledger::RecordedResponse;
use wisteriawick_core::ledger::SegmentWire;
use wisteriawick_core::ledger::Shard;
use wisteriawick_core::ledger::ShardIndex;
use wisteriawick_core::ledger::ShardInput;
use wisteriawick_core::ledger::ShardOutput;
use wisteriawick_core::ledger::ShardSnapshot;
use wisteriawick_core::ledger::ShardSnapshotWire;
use wisteriawick_core::ledger::StoredObject;
use wisteriawick_core::ledger::WriteResult;
use wisteriawick_core::time::Moment;

use crate::node::Node;
use crate::platform::Object;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// Capacity of the task's message queue.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum wait for a message while no shard has a deadline.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(3_600);

/// A request to the ledger.
#[derive(Clone, Debug)]
pub(crate) enum LedgerRequest {
    /// Claim a call.
    Claim(Claim),
    /// Record the response of a call under a claim.
    Settle {
        key: KeyDigest,
        claim: ClaimId,
        response: RecordedResponse,
    },
    /// Release a claim.
    Release { key: KeyDigest, claim: ClaimId },
    /// Return the state of a call.
    Lookup { key: KeyDigest, deadline: Instant },
}

impl LedgerRequest {
    fn key(&self) -> KeyDigest {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Settle { key, .. } | Self::Release { key, .. } | Self::Lookup { key, .. } => *key,
        }
    }

    fn into_input(self, caller: CallerId) -> ShardInput {
        match self {
            Self::Claim(claim) => ShardInput::Claim(caller, claim),
            Self::Settle {
                key,
                claim,
                response,
            } => ShardInput::Settle {
                caller,
                key,
                claim,
                response,
            },
            Self::Release { key, claim } => ShardInput::Release { caller, key, claim },
            Self::Lookup { key, deadline } => ShardInput::Lookup {
                caller,
                key,
                deadline,
            },
        }
    }
}

enum Message {
    /// A request, and where to send the reply.
    Request(LedgerRequest, oneshot::Sender<LedgerReply>),
    /// The result of a store operation.
    StoreResult(ShardIndex, ShardInput),
}

/// A handle to the task.
#[derive(Clone, Debug)]
pub(crate) struct LedgerHandle {
    tx: mpsc::Sender<Message>,
}

impl LedgerHandle {
    pub(crate) fn spawn(node: Arc<Node>, platform: PlatformClient, cx: CancellationToken) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        let task = LedgerTask {
            node,
            platform,
            shards: BTreeMap::new(),
            reply_senders: BTreeMap::new(),
            last_caller_id: 0,
            tx: tx.clone(),
        };
        tokio::spawn(task.run(rx, cx));
        Self { tx }
    }

    /// Sends a request to the shards in this process; replies `NotOwner` when the task has
    /// ended.
    pub(crate) async fn request(&self, request: LedgerRequest) -> LedgerReply {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.send(Message::Request(request, tx)).await;
        match (sent, rx.await) {
            (Ok(()), Ok(reply)) => reply,
            _ => LedgerReply::NotOwner,
        }
    }
}

struct LedgerTask {
    node: Arc<Node>,
    platform: PlatformClient,
    shards: BTreeMap<ShardIndex, Shard>,
    /// Where the reply to each pending request is sent.
    reply_senders: BTreeMap<CallerId, oneshot::Sender<LedgerReply>>,
    last_caller_id: u64,
    tx: mpsc::Sender<Message>,
}

impl LedgerTask {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>, cx: CancellationToken) {
        loop {
            let now = self.node.clock.now();
            let due = self.shards.values().filter_map(Shard::next_deadline).min();
            let wait = due.map_or(MAX_IDLE_WAIT, |at| at.saturating_duration_since(now));
            tokio::select! {
                Some(message) = rx.recv() => self.receive(message),
                () = tokio::time::sleep(wait) => self.tick(),
                () = cx.cancelled() => return,
            }
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Request(request, reply) => {
                self.last_caller_id += 1;
                let caller = CallerId(self.last_caller_id);
                self.reply_senders.insert(caller, reply);
                let shard = request.key().shard();
                self.handle(shard, request.into_input(caller));
            }
            Message::StoreResult(shard, input) => self.handle(shard, input),
        }
    }

    fn tick(&mut self) {
        let now = self.node.clock.now();
        let due: Vec<ShardIndex> = self
            .shards
            .iter()
            .filter(|(_, shard)| shard.next_deadline().is_some_and(|at| at <= now))
            .map(|(index, _)| *index)
            .collect();
        for shard in due {
            self.handle(shard, ShardInput::Tick);
        }
    }

    fn handle(&mut self, index: ShardIndex, input: ShardInput) {
        let at = Moment::read(&*self.node.clock);
        let mut out = Vec::new();
        let node = &self.node;
        let shard = self.shards.entry(index).or_insert_with(|| {
            let me = Owner {
                process: node.name.clone(),
                incarnation: node.incarnation,
            };
            Shard::new(index, me, rand::random())
        });
        shard.handle(at, input, &mut out);
        for output in out {
            self.execute(index, output);
        }
    }

    fn execute(&mut self, index: ShardIndex, output: ShardOutput) {
        match output {
            ShardOutput::Read(op, name) => self.read(index, op, name),
            ShardOutput::Write(op, name, if_version, content) => {
                self.write(index, op, name, if_version, *content);
            }
            ShardOutput::Remove(name, version) => {
                let platform = self.platform.clone();
                tokio::spawn(async move {
                    // On failure, an object that nothing refers to remains in the store, which
                    // does no harm.
                    let _ = platform.remove(&object_name(name), version).await;
                });
            }
            ShardOutput::Reply(caller, reply) => {
                if let Some(tx) = self.reply_senders.remove(&caller) {
                    let _ = tx.send(reply);
                }
            }
            ShardOutput::Acquired(term) => {
                let event = EventKind::ShardAcquired {
                    shard: index.0,
                    term,
                };
                self.node.timeline.record(event);
            }
            ShardOutput::Lost => {
                let event = EventKind::ShardLost { shard: index.0 };
                self.node.timeline.record(event);
            }
        }
    }

    fn read(&self, index: ShardIndex, op: OpId, name: ObjectName) {
        let platform = self.platform.clone();
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let result = read_object(&platform, name).await;
            let _ = tx
                .send(Message::StoreResult(index, ShardInput::Read(op, result)))
                .await;
        });
    }

    fn write(
        &self,
        index: ShardIndex,
        op: OpId,
        name: ObjectName,
        if_version: u64,
        content: StoredObject,
    ) {
        let platform = self.platform.clone();
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let result = write_object(&platform, name, if_version, content).await;
            let message = Message::StoreResult(index, ShardInput::Written(op, result));
            let _ = tx.send(message).await;
        });
    }
}

fn object_name(name: ObjectName) -> String {
    match name {
        ObjectName::Shard(shard) => format!("wisteriawick/ledger/{}", shard.0),
        ObjectName::Segment(shard, number) => {
            format!("wisteriawick/ledger/{}/segment/{number}", shard.0)
        }
    }
}

async fn read_object(platform: &PlatformClient, name: ObjectName) -> ReadResult {
    let path = object_name(name);
    let result = match name {
        ObjectName::Shard(_) => platform
            .read::<ShardSnapshotWire>(&path)
            .await
            .and_then(|found| {
                convert(found, |wire| {
                    ShardSnapshot::try_from(wire).map(StoredObject::Snapshot)
                })
            }),
        ObjectName::Segment(..) => platform.read::<SegmentWire>(&path).await.and_then(|found| {
            convert(found, |wire| {
                wire.try_into_records().map(StoredObject::Segment)
            })
        }),
    };
    match result {
        Ok(Some(object)) => ReadResult::Found(object.version, object.value),
        Ok(None) => ReadResult::Missing,
        Err(e @ PlatformError::Malformed(_)) => {
            // Granting claims without this object could run a call twice.
            log::error!("{path}: {e}");
            ReadResult::Unavailable
        }
        Err(_) => ReadResult::Unavailable,
    }
}

/// Decodes an object that was found in the store.
fn convert<W, E: std::fmt::Display>(
    found: Option<Object<W>>,
    decode: impl FnOnce(W) -> Result<StoredObject, E>,
) -> Result<Option<Object<StoredObject>>, PlatformError> {
    let Some(object) = found else {
        return Ok(None);
    };
    let value = decode(object.value).map_err(|e| PlatformError::Malformed(e.to_string()))?;
    let version = object.version;
    Ok(Some(Object { version, value }))
}

async fn write_object(
    platform: &PlatformClient,
    name: ObjectName,
    if_version: u64,
    content: StoredObject,
) -> WriteResult {
    let path = object_name(name);
    let result = match &content {
        StoredObject::Snapshot(snapshot) => {
            let wire = ShardSnapshotWire::from(snapshot);
            platform.write(&path, if_version, &wire).await
        }
        StoredObject::Segment(records) => {
            let wire = SegmentWire::new(records.iter().map(|(key, record)| (key, record)));
            platform.write(&path, if_version, &wire).await
        }
    };
    match result {
        Ok(version) => WriteResult::Written(version),
        Err(PlatformError::Conflict { .. }) => WriteResult::Conflict,
        // Any other error leaves the result open, even where the platform reports that nothing
        // changed; the shard finds out by reading the object.
        Err(_) => WriteResult::Unknown,
    }
}
