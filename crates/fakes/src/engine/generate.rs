//! Chat completions: queue, prefill, decode and the stream of chunks.

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

use super::state::{Run, Stage};
use super::{Fault, Shared, lock, text};
use crate::http::{Answer, Body, whole};

/// Chunks that may wait for a slow reader.
const BUFFERED_CHUNKS: usize = 1;

type Sender = mpsc::Sender<io::Result<Frame<Bytes>>>;

/// The stream ended early: the reader went away, or a fault broke it.
#[derive(Debug)]
struct Ended(Stage);

/// A request's place in the engine, left when dropped.
struct Place {
    shared: Arc<Shared>,
    index: usize,
    stage: Stage,
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.shared).leave(self.index, self.stage);
    }
}

/// Answers `POST /v1/chat/completions`.
pub(super) fn handle(shared: Arc<Shared>, headers: &HeaderMap, body: &Bytes) -> Answer {
    let completion: Completion = match serde_json::from_slice(body) {
        Ok(completion) => completion,
        Err(error) => return Ok(whole(StatusCode::BAD_REQUEST, error.to_string())),
    };
    if !completion.stream || completion.messages.is_empty() || completion.max_tokens == 0 {
        return Ok(whole(StatusCode::BAD_REQUEST, "not a streamed completion"));
    }
    if !lock(&shared).models.contains(&completion.model) {
        return Ok(whole(StatusCode::NOT_FOUND, "model not loaded"));
    }
    let (sender, mut receiver) = mpsc::channel(BUFFERED_CHUNKS);
    start(shared, headers, completion, sender);
    let stream = futures_util::stream::poll_fn(move |context| receiver.poll_recv(context));
    let mut response: Response<Body> = Response::new(BodyExt::boxed(StreamBody::new(stream)));
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    Ok(response)
}

fn read(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Takes a request and generates its answer in a task.
fn start(shared: Arc<Shared>, headers: &HeaderMap, completion: Completion, sender: Sender) {
    let contents = completion.messages.iter();
    let contents = contents.map(|message| message.content.clone()).collect();
    let mut state = lock(&shared);
    let run = Run {
        request: read(headers, REQUEST_HEADER),
        holder: read(headers, HOLDER_HEADER),
        traceparent: read(headers, "traceparent"),
        model: completion.model.clone(),
        contents,
        prompt_tokens: text::prompt_tokens(&completion.messages),
        cached_tokens: 0,
        output_tokens: 0,
        started: false,
        stage: Stage::Waiting,
        at: Instant::now(),
        epoch: state.epoch,
    };
    let holder = run.holder.clone();
    let (index, admitted) = state.enter(run, completion.priority);
    let fault = state.take_fault();
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
    let place = Place {
        shared,
        index,
        stage: Stage::Cancelled,
    };
    tokio::spawn(follow(place, generation.run(admitted), sender));
}

/// Drives a generation to its end, or until the reader goes away.
async fn follow(
    mut place: Place,
    generation: impl Future<Output = Result<(), Ended>>,
    sender: Sender,
) {
    let result = tokio::select! {
        biased;
        result = generation => result,
        () = sender.closed() => return,
    };
    place.stage = match result {
        Ok(()) => Stage::Done,
        Err(Ended(stage)) => stage,
    };
    if place.stage == Stage::Broken {
        let broken = io::Error::from(io::ErrorKind::ConnectionAborted);
        // The reader may be gone already, which needs no breaking.
        let _ = sender.send(Err(broken)).await;
    }
}

/// The work on one request.
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
    async fn run(mut self, admitted: oneshot::Receiver<()>) -> Result<(), Ended> {
        admitted.await.map_err(|_| Ended(Stage::Broken))?;
        if self.is_poisoned() {
            lock(&self.shared).poisonings += 1;
            self.shared.crash();
            return Err(Ended(Stage::Broken));
        }
        if let Some(Fault::Late(ms)) = self.fault {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        let cached = self.prefill().await;
        let output = self.decode().await?;
        self.finish(cached, output).await
    }

    fn is_poisoned(&self) -> bool {
        let marker = lock(&self.shared).options.poison.clone();
        let mut messages = self.completion.messages.iter();
        !marker.is_empty() && messages.any(|message| message.content.contains(&marker))
    }

    /// Computes what is not cached, and returns how many tokens were.
    async fn prefill(&self) -> u64 {
        let (cached, span) = {
            let mut state = lock(&self.shared);
            let cached = state.cache.cached(&self.holder, &self.completion.messages);
            let run = &mut state.runs[self.index];
            run.cached_tokens = cached;
            let left = run.prompt_tokens - cached;
            let ms = left as f64 / state.options.prefill_tokens_per_ms;
            (cached, state.span(ms))
        };
        tokio::time::sleep(span).await;
        let mut state = lock(&self.shared);
        let current = state.runs[self.index].epoch == state.epoch;
        if current {
            state.cache.hold(&self.holder, &self.completion.messages);
            state.publish();
        }
        cached
    }

    /// Streams the answer's tokens and returns its text.
    async fn decode(&mut self) -> Result<String, Ended> {
        let messages = self.completion.messages.iter();
        let contents: Vec<&str> = messages.map(|message| message.content.as_str()).collect();
        let seed = lock(&self.shared).options.seed;
        let tokens = text::answer_tokens(seed, &contents, self.completion.max_tokens);
        let mut due = tokio::time::Instant::now();
        for (index, token) in tokens.iter().enumerate() {
            let span = {
                let state = lock(&self.shared);
                state.span(state.options.decode_ms)
            };
            due += span;
            tokio::time::sleep_until(due).await;
            if index == tokens.len() / 2 {
                self.fault_midway().await?;
            }
            lock(&self.shared).runs[self.index].output_tokens += 1;
            self.send(Some(token), None, None).await?;
        }
        Ok(tokens.concat())
    }

    /// Applies the faults that strike in mid-stream.
    async fn fault_midway(&self) -> Result<(), Ended> {
        match self.fault {
            Some(Fault::Break) => Err(Ended(Stage::Broken)),
            Some(Fault::Crash) => {
                self.shared.crash();
                Err(Ended(Stage::Broken))
            }
            Some(Fault::Hang) => std::future::pending().await,
            Some(Fault::Late(_) | Fault::Repeat) | None => Ok(()),
        }
    }

    /// Sends the reason of the end, the usage and the end itself.
    async fn finish(&mut self, cached: u64, output: String) -> Result<(), Ended> {
        let usage = self.hold_answer(cached, output);
        let reason = if usage.completion_tokens == u64::from(self.completion.max_tokens) {
            "length"
        } else {
            "stop"
        };
        self.send(None, Some(reason), None).await?;
        self.send(None, None, Some(usage)).await?;
        self.send_data("[DONE]").await
    }

    /// Holds the answer with its prompt, and returns the usage.
    fn hold_answer(&self, cached: u64, output: String) -> Usage {
        let mut messages = self.completion.messages.clone();
        messages.push(Message {
            role: "assistant".to_owned(),
            content: output,
        });
        let mut state = lock(&self.shared);
        let run = &state.runs[self.index];
        let usage = Usage {
            prompt_tokens: run.prompt_tokens,
            completion_tokens: run.output_tokens,
            prompt_tokens_details: PromptDetails {
                cached_tokens: cached,
            },
        };
        if run.epoch == state.epoch {
            state.cache.hold(&self.holder, &messages);
            state.publish();
        }
        usage
    }

    async fn send(
        &mut self,
        token: Option<&str>,
        finish_reason: Option<&str>,
        usage: Option<Usage>,
    ) -> Result<(), Ended> {
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
        let data = serde_json::to_string(&chunk).map_err(|_| Ended(Stage::Broken))?;
        self.send_data(&data).await
    }

    /// Sends one server-sent event; a repeated one has the same event id.
    async fn send_data(&mut self, data: &str) -> Result<(), Ended> {
        self.frames += 1;
        let text = format!("id: {}\ndata: {data}\n\n", self.frames);
        let times = if self.fault == Some(Fault::Repeat) {
            2
        } else {
            1
        };
        for _ in 0..times {
            let frame = Frame::data(Bytes::from(text.clone()));
            let sent = self.sender.send(Ok(frame)).await;
            sent.map_err(|_| Ended(Stage::Cancelled))?;
        }
        Ok(())
    }
}
