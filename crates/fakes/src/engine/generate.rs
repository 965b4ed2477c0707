//! Chat completions: queueing, prefill, decode and the stream of chunks.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilramp_wire::engine::{
    Choice, Chunk, Completion, Delta, HOLDER_HEADER, Message, PromptDetails, REQUEST_HEADER, Usage,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::{mpsc, oneshot};

use super::state::{RequestRecord, Stage};
use super::{Fault, Shared, lock, text};
use crate::http::{Body, HandlerResult, full_response};

/// Number of chunks buffered for a slow reader.
const BUFFERED_CHUNKS: usize = 1;

type Sender = mpsc::Sender<io::Result<Frame<Bytes>>>;

/// The stream ended early because the reader disconnected or a fault broke it.
#[derive(Debug)]
struct StreamEnded(Stage);

/// A request in the queue or the batch; dropping it removes the request with its final stage.
struct RequestGuard {
    shared: Arc<Shared>,
    index: usize,
    stage: Stage,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        lock(&self.shared).finish_request(self.index, self.stage);
    }
}

/// Handles `POST /v1/chat/completions`.
pub(super) fn handle(shared: Arc<Shared>, headers: &HeaderMap, body: &Bytes) -> HandlerResult {
    let completion: Completion = match serde_json::from_slice(body) {
        Ok(completion) => completion,
        Err(error) => return Ok(full_response(StatusCode::BAD_REQUEST, error.to_string())),
    };
    if !completion.stream || completion.messages.is_empty() || completion.max_tokens == 0 {
        return Ok(full_response(
            StatusCode::BAD_REQUEST,
            "not a streamed completion",
        ));
    }
    if !lock(&shared).models.contains(&completion.model) {
        return Ok(full_response(StatusCode::NOT_FOUND, "model not loaded"));
    }
    let (sender, mut receiver) = mpsc::channel(BUFFERED_CHUNKS);
    start_completion(shared, headers, completion, sender);
    let stream = futures_util::stream::poll_fn(move |context| receiver.poll_recv(context));
    let mut response: Response<Body> = Response::new(BodyExt::boxed(StreamBody::new(stream)));
    let content_type = HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    Ok(response)
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Enqueues a request and spawns a task that generates its completion.
fn start_completion(
    shared: Arc<Shared>,
    headers: &HeaderMap,
    completion: Completion,
    sender: Sender,
) {
    let contents = completion.messages.iter();
    let contents = contents.map(|message| message.content.clone()).collect();
    let mut state = lock(&shared);
    let record = RequestRecord {
        request_id: header_text(headers, REQUEST_HEADER),
        holder: header_text(headers, HOLDER_HEADER),
        traceparent: header_text(headers, "traceparent"),
        model: completion.model.clone(),
        contents,
        prompt_tokens: text::count_prompt_tokens(&completion.messages),
        cached_tokens: 0,
        output_tokens: 0,
        started: false,
        stage: Stage::Waiting,
        received_at: Instant::now(),
        epoch: state.epoch,
    };
    let holder = record.holder.clone();
    let (index, admitted) = state.enqueue(record, completion.priority);
    let fault = state.next_fault();
    drop(state);
    let generation = Generation {
        shared: Arc::clone(&shared),
        index,
        holder,
        completion,
        fault,
        sender: sender.clone(),
        frames: 0,
    };
    let guard = RequestGuard {
        shared,
        index,
        stage: Stage::Cancelled,
    };
    tokio::spawn(drive_generation(guard, generation.run(admitted), sender));
}

/// Runs a generation until it ends or the reader disconnects.
async fn drive_generation(
    mut guard: RequestGuard,
    generation: impl Future<Output = Result<(), StreamEnded>>,
    sender: Sender,
) {
    let result = tokio::select! {
        biased;
        result = generation => result,
        () = sender.closed() => return,
    };
    guard.stage = match result {
        Ok(()) => Stage::Done,
        Err(StreamEnded(stage)) => stage,
    };
    if guard.stage == Stage::Broken {
        let error = io::Error::from(io::ErrorKind::ConnectionAborted);
        // A send error means that the reader has disconnected, so there is no stream to break.
        let _ = sender.send(Err(error)).await;
    }
}

/// The generation of one completion.
struct Generation {
    shared: Arc<Shared>,
    index: usize,
    holder: String,
    completion: Completion,
    fault: Option<Fault>,
    sender: Sender,
    frames: u64,
}

impl Generation {
    async fn run(mut self, admitted: oneshot::Receiver<()>) -> Result<(), StreamEnded> {
        admitted.await.map_err(|_| StreamEnded(Stage::Broken))?;
        if self.is_poisoned() {
            lock(&self.shared).poison_crashes += 1;
            self.shared.crash();
            return Err(StreamEnded(Stage::Broken));
        }
        if let Some(Fault::DelayStart(ms)) = self.fault {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        let cached = self.prefill().await;
        let output = self.decode().await?;
        self.finish(cached, output).await
    }

    /// Returns whether a message contains the poison marker.
    fn is_poisoned(&self) -> bool {
        let marker = lock(&self.shared).options.poison_marker.clone();
        let mut messages = self.completion.messages.iter();
        !marker.is_empty() && messages.any(|message| message.content.contains(&marker))
    }

    /// Simulates the prefill of the uncached tokens, and returns the number of cached ones.
    async fn prefill(&self) -> u64 {
        let (cached, span) = {
            let mut state = lock(&self.shared);
            let cached = state
                .cache
                .cached_tokens(&self.holder, &self.completion.messages);
            let record = &mut state.requests[self.index];
            record.cached_tokens = cached;
            let uncached = record.prompt_tokens - cached;
            let ms = uncached as f64 / state.options.prefill_tokens_per_ms;
            (cached, state.scaled_duration(ms))
        };
        tokio::time::sleep(span).await;
        let mut state = lock(&self.shared);
        let current = state.requests[self.index].epoch == state.epoch;
        if current {
            state.cache.insert(&self.holder, &self.completion.messages);
            state.publish_load();
        }
        cached
    }

    /// Streams the output tokens and returns the whole text.
    async fn decode(&mut self) -> Result<String, StreamEnded> {
        let messages = self.completion.messages.iter();
        let contents: Vec<&str> = messages.map(|message| message.content.as_str()).collect();
        let seed = lock(&self.shared).options.seed;
        let tokens = text::completion_tokens(seed, &contents, self.completion.max_tokens);
        let mut due = tokio::time::Instant::now();
        for (index, token) in tokens.iter().enumerate() {
            let span = {
                let state = lock(&self.shared);
                state.scaled_duration(state.options.decode_ms_per_token)
            };
            due += span;
            tokio::time::sleep_until(due).await;
            if index == tokens.len() / 2 {
                self.apply_midstream_fault().await?;
            }
            lock(&self.shared).requests[self.index].output_tokens += 1;
            self.send(Some(token), None, None).await?;
        }
        Ok(tokens.concat())
    }

    /// Applies the faults that take effect halfway through the output.
    async fn apply_midstream_fault(&self) -> Result<(), StreamEnded> {
        match self.fault {
            Some(Fault::BreakStream) => Err(StreamEnded(Stage::Broken)),
            Some(Fault::Crash) => {
                self.shared.crash();
                Err(StreamEnded(Stage::Broken))
            }
            Some(Fault::Hang) => std::future::pending().await,
            Some(Fault::DelayStart(_) | Fault::DuplicateEvents) | None => Ok(()),
        }
    }

    /// Sends the finish reason, the token usage and the end marker.
    async fn finish(&mut self, cached: u64, output: String) -> Result<(), StreamEnded> {
        let usage = self.cache_completion(cached, output);
        let reason = if usage.completion_tokens == u64::from(self.completion.max_tokens) {
            "length"
        } else {
            "stop"
        };
        self.send(None, Some(reason), None).await?;
        self.send(None, None, Some(usage)).await?;
        self.send_data("[DONE]").await
    }

    /// Caches the prompt with the completion, and returns the token usage.
    fn cache_completion(&self, cached: u64, output: String) -> Usage {
        let mut messages = self.completion.messages.clone();
        messages.push(Message {
            role: "assistant".to_owned(),
            content: output,
        });
        let mut state = lock(&self.shared);
        let record = &state.requests[self.index];
        let usage = Usage {
            prompt_tokens: record.prompt_tokens,
            completion_tokens: record.output_tokens,
            prompt_tokens_details: PromptDetails {
                cached_tokens: cached,
            },
        };
        if record.epoch == state.epoch {
            state.cache.insert(&self.holder, &messages);
            state.publish_load();
        }
        usage
    }

    async fn send(
        &mut self,
        token: Option<&str>,
        finish_reason: Option<&str>,
        usage: Option<Usage>,
    ) -> Result<(), StreamEnded> {
        let choice = Choice {
            delta: Delta {
                content: token.map(str::to_owned),
            },
            finish_reason: finish_reason.map(str::to_owned),
        };
        let chunk = Chunk {
            id: format!("chatcmpl-{}", self.index),
            choices: if usage.is_some() {
                Vec::new()
            } else {
                vec![choice]
            },
            usage,
        };
        let data = serde_json::to_string(&chunk).map_err(|_| StreamEnded(Stage::Broken))?;
        self.send_data(&data).await
    }

    /// Sends one server-sent event, or two with the same event id if duplicates are injected.
    async fn send_data(&mut self, data: &str) -> Result<(), StreamEnded> {
        self.frames += 1;
        let text = format!("id: {}\ndata: {data}\n\n", self.frames);
        let copies = if self.fault == Some(Fault::DuplicateEvents) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let frame = Frame::data(Bytes::from(text.clone()));
            let sent = self.sender.send(Ok(frame)).await;
            sent.map_err(|_| StreamEnded(Stage::Cancelled))?;
        }
        Ok(())
    }
}
