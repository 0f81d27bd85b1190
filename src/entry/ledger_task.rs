//! The task that owns this entry's ledger shards.

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

/// Messages that wait for the task.
const QUEUE: usize = 1_024;
/// Longest wait without a look at the deadlines.
const IDLE: Duration = Duration::from_secs(3_600);

/// What a caller asks of the ledger.
#[derive(Clone, Debug)]
pub(crate) enum LedgerRequest {
    /// Claim a call.
    Claim(Claim),
    /// Record an answer.
    Settle {
        key: KeyDigest,
        claim: ClaimId,
        answer: RecordedResponse,
    },
    /// Give a claim up.
    Release { key: KeyDigest, claim: ClaimId },
    /// Ask how far a call got.
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
            Self::Settle { key, claim, answer } => ShardInput::Settle {
                caller,
                key,
                claim,
                response: answer,
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
    Ask(LedgerRequest, oneshot::Sender<LedgerReply>),
    Store(ShardIndex, ShardInput),
}

/// A handle to the task.
#[derive(Clone, Debug)]
pub(crate) struct LedgerHandle {
    tx: mpsc::Sender<Message>,
}

impl LedgerHandle {
    pub(crate) fn spawn(node: Arc<Node>, platform: PlatformClient, cx: CancellationToken) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE);
        let task = LedgerTask {
            node,
            platform,
            shards: BTreeMap::new(),
            callers: BTreeMap::new(),
            next_caller: 0,
            tx: tx.clone(),
        };
        tokio::spawn(task.run(rx, cx));
        Self { tx }
    }

    /// Asks the shards that are owned here.
    pub(crate) async fn ask(&self, request: LedgerRequest) -> LedgerReply {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.send(Message::Ask(request, tx)).await;
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
    callers: BTreeMap<CallerId, oneshot::Sender<LedgerReply>>,
    next_caller: u64,
    tx: mpsc::Sender<Message>,
}

impl LedgerTask {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>, cx: CancellationToken) {
        loop {
            let now = self.node.clock.now();
            let due = self.shards.values().filter_map(Shard::next_deadline).min();
            let wait = due.map_or(IDLE, |at| at.saturating_duration_since(now));
            tokio::select! {
                Some(message) = rx.recv() => self.take(message),
                () = tokio::time::sleep(wait) => self.tick(),
                () = cx.cancelled() => return,
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Ask(request, reply) => {
                self.next_caller += 1;
                let caller = CallerId(self.next_caller);
                self.callers.insert(caller, reply);
                let shard = request.key().shard();
                self.handle(shard, request.into_input(caller));
            }
            Message::Store(shard, input) => self.handle(shard, input),
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
            self.carry_out(index, output);
        }
    }

    fn carry_out(&mut self, index: ShardIndex, output: ShardOutput) {
        match output {
            ShardOutput::Read(op, name) => self.read(index, op, name),
            ShardOutput::Write(op, name, if_version, content) => {
                self.write(index, op, name, if_version, *content);
            }
            ShardOutput::Remove(name, version) => {
                let platform = self.platform.clone();
                tokio::spawn(async move {
                    // An object that stays is only litter.
                    let _ = platform.remove(&object_name(name), version).await;
                });
            }
            ShardOutput::Reply(caller, reply) => {
                if let Some(tx) = self.callers.remove(&caller) {
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
                .send(Message::Store(index, ShardInput::Read(op, result)))
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
            let message = Message::Store(index, ShardInput::Written(op, result));
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
            // Granting on a damaged object could run a call twice.
            log::error!("{path}: {e}");
            ReadResult::Unavailable
        }
        Err(_) => ReadResult::Unavailable,
    }
}

fn convert<W, E: std::fmt::Display>(
    found: Option<Object<W>>,
    read: impl FnOnce(W) -> Result<StoredObject, E>,
) -> Result<Option<Object<StoredObject>>, PlatformError> {
    let Some(object) = found else {
        return Ok(None);
    };
    let value = read(object.value).map_err(|e| PlatformError::Malformed(e.to_string()))?;
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
        StoredObject::Snapshot(image) => {
            let wire = ShardSnapshotWire::from(image);
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
        // Also where the platform says that nothing changed: reading back settles it.
        Err(_) => WriteResult::Unknown,
    }
}
