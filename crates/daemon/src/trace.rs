//! Spans, one for each hop.

/// Returns the trace context of the request that this task works on.
pub(crate) fn current() -> Option<String> {
    None
}

/// Runs a future within a trace context that came with its request.
pub(crate) async fn scope<F: Future>(_traceparent: Option<String>, future: F) -> F::Output {
    future.await
}

/// Lets a spawned future stay within the spawning task's trace context.
pub(crate) async fn inherit<F: Future>(future: F) -> F::Output {
    future.await
}
