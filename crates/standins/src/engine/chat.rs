//! Chat completions of the engine stand-in, streamed or in one piece.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

use crate::engine::DRIP_INTERVAL;
use crate::engine::DRIP_PROMPT;
use crate::engine::ENDLESS_PROMPT;
use crate::engine::Engine;
use crate::engine::KILL_PROMPT;
use crate::http_server::Body;
use crate::http_server::json as json_response;
use crate::http_server::response;

/// Request header with the number of events that the caller has already received;
/// the stream continues after them.
const RESUME_HEADER: &str = "x-resume-events";
/// Tokens of a response when the request sets no `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;

/// Size of a part of a stream that goes on without end.
const ENDLESS_FRAME_BYTES: usize = 16 * 1024;

/// Returns the text with which an engine completes a prompt in this many tokens.
pub fn expected_completion(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// Returns a token that depends on the prompt and on its index in the response.
fn token(prompt: &str, index: u64) -> String {
    let seed = prompt.bytes().fold(index + 1, |acc, byte| {
        acc.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    format!("t{index}-{:03x} ", seed & 0xfff)
}

struct ChatRequest {
    prompt: String,
    tokens: u64,
    stream: bool,
    /// Events that the caller has already received.
    resume_from: u64,
}

async fn read_chat_request(req: Request<Incoming>) -> Option<ChatRequest> {
    let resume_from = req
        .headers()
        .get(RESUME_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let body = req.into_body().collect().await.ok()?.to_bytes();
    let body: Value = serde_json::from_slice(&body).ok()?;
    let messages = body["messages"].as_array()?;
    let prompt = messages
        .iter()
        .filter_map(|message| message["content"].as_str())
        .collect::<Vec<_>>()
        .join("\n");
    Some(ChatRequest {
        prompt,
        tokens: body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS),
        stream: body["stream"].as_bool().unwrap_or(false),
        resume_from,
    })
}

pub(super) async fn complete(engine: &Engine, req: Request<Incoming>) -> Response<Body> {
    let Some(chat) = read_chat_request(req).await else {
        let body = json!({ "error": "the body is not a chat request" });
        return json_response(StatusCode::BAD_REQUEST, &body);
    };
    tokio::time::sleep(engine.config.first_token_delay).await;
    if chat.prompt.contains(KILL_PROMPT) {
        engine.kill();
        // The crash drops the connection, which ends this task.
        std::future::pending::<()>().await;
    }
    if chat.stream {
        return stream_tokens(engine.clone(), chat);
    }
    let generation_time =
        engine.config.token_interval * u32::try_from(chat.tokens).unwrap_or(u32::MAX);
    tokio::time::sleep(generation_time).await;
    let body = json!({
        "object": "chat.completion",
        "choices": [{
            "index": 0,
            "message": {
                "role": "assistant",
                "content": expected_completion(&chat.prompt, chat.tokens),
            },
            "finish_reason": "stop",
        }],
    });
    json_response(StatusCode::OK, &body)
}

fn stream_tokens(engine: Engine, chat: ChatRequest) -> Response<Body> {
    let start = chat.resume_from;
    let events = stream::unfold((engine, chat, start), |(engine, chat, index)| async move {
        let data = if index < chat.tokens {
            wait_for_token(&engine, &chat, index).await;
            chunk(&chat.prompt, index)
        } else if index == chat.tokens {
            "data: [DONE]\n\n".to_string()
        } else if chat.prompt.contains(ENDLESS_PROMPT) {
            "x".repeat(ENDLESS_FRAME_BYTES)
        } else if chat.prompt.contains(DRIP_PROMPT) {
            tokio::time::sleep(DRIP_INTERVAL).await;
            "x".to_string()
        } else {
            return None;
        };
        let frame = Frame::data(Bytes::from(data));
        Some((Ok::<_, std::io::Error>(frame), (engine, chat, index + 1)))
    });
    let mut res = response(StatusCode::OK, "text/event-stream", "");
    *res.body_mut() = BodyExt::boxed(StreamBody::new(SyncStream::new(events)));
    res
}

/// Waits until a token is due, and for as long as the engine is stalled.
async fn wait_for_token(engine: &Engine, chat: &ChatRequest, index: u64) {
    if index > chat.resume_from {
        tokio::time::sleep(engine.config.token_interval).await;
    }
    while engine.lock().stalled {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn chunk(prompt: &str, index: u64) -> String {
    let body = json!({
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": { "content": token(prompt, index) } }],
    });
    format!("data: {body}\n\n")
}

/// Makes a stream `Sync`, which a boxed body requires. The mutex is never locked,
/// since the stream is polled only through a unique reference.
struct SyncStream(std::sync::Mutex<std::pin::Pin<Box<dyn stream::Stream<Item = Item> + Send>>>);

type Item = Result<Frame<Bytes>, std::io::Error>;

impl SyncStream {
    fn new(inner: impl stream::Stream<Item = Item> + Send + 'static) -> Self {
        Self(std::sync::Mutex::new(Box::pin(inner)))
    }
}

impl stream::Stream for SyncStream {
    type Item = Item;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Item>> {
        let inner = self.get_mut().0.get_mut().expect("no holder panics");
        inner.as_mut().poll_next(cx)
    }
}
