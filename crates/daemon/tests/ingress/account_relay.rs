//! Requests with keys that one instance relays to another.

use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::Behaviour;
use http::StatusCode;

use crate::accounts::{
    ALPHA_KEY, ALPHA_SPARE_KEY, BETA_KEY, NEW_KEY, VERSION, accounts, assert_account,
    changed_accounts, forge, send,
};
use crate::lost_path::{Failure, Site};
use crate::support::{Turn, configure_accounts, to_public_host, wait_for, with_key};

/// A key of no account.
const UNKNOWN_KEY: &str = "sk-unknown-51c0e7";

/// An instance that has lost its path and does not reach the store has an older configuration than the
/// one that it relays to. Guards against a key that is accepted there though it was revoked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relayed_request_with_a_revoked_key_is_rejected() {
    let site = Site::spawn(2).await;
    site.cut_and_wait(0, Failure::Refusal).await;
    configure_accounts(&site.store, VERSION, &accounts());
    for instance in &site.instances {
        instance.wait_for_config(VERSION).await;
    }
    let relaying = &site.instances[0];
    let request =
        |attempt: &str, key: &str| forge(with_key(Turn::first("chat", attempt).request(), key));
    for (attempt, key, account) in [("t1", ALPHA_KEY, "alpha"), ("t2", BETA_KEY, "beta")] {
        let reply = send(relaying, request(attempt, key)).await;
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
        let runs = site.runs(attempt);
        assert_eq!(runs.len(), 1);
        assert_account(&runs, Some(account));
    }
    let public = to_public_host(request("open", ALPHA_KEY));
    assert_eq!(send(relaying, public).await.status, StatusCode::OK);
    assert_account(&site.runs("open"), None);
    // The turn is stored for its account alone.
    let next = |attempt: &str, key: &str| {
        with_key(
            Turn::chained("chat", attempt, Some("t1"), "more").request(),
            key,
        )
    };
    let reply = send(&site.instances[1], next("n1", BETA_KEY)).await;
    assert_eq!(reply.status, StatusCode::NOT_FOUND);
    let reply = send(&site.instances[1], next("n2", ALPHA_KEY)).await;
    assert_eq!(reply.status, StatusCode::OK);

    site.views[0].set_rejecting(true);
    relaying.wait_for_event("E0711").await;
    configure_accounts(&site.store, VERSION + 1, &changed_accounts());
    site.instances[1].wait_for_config(VERSION + 1).await;
    let reply = send(relaying, request("revoked", ALPHA_KEY)).await;
    assert_eq!(reply.status, StatusCode::UNAUTHORIZED, "{reply:?}");
    assert!(site.runs("revoked").is_empty());
    let reply = send(relaying, request("kept", ALPHA_SPARE_KEY)).await;
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    assert_account(&site.runs("kept"), Some("alpha"));
    // The instance has got the newer configuration from the other one.
    let reply = send(relaying, request("added", NEW_KEY)).await;
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    assert_account(&site.runs("added"), Some("alpha"));
    // A key that it doesn't know may be in a configuration that no instance here knows.
    let reply = send(relaying, request("unknown", UNKNOWN_KEY)).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{reply:?}");
    assert!(site.runs("unknown").is_empty());
    for instance in &site.instances {
        let log = instance.log_text();
        for key in [ALPHA_KEY, ALPHA_SPARE_KEY, BETA_KEY, NEW_KEY, UNKNOWN_KEY] {
            assert!(!log.contains(key));
        }
    }
}

/// A turn ran before its instance lost the path, and its key was revoked meanwhile. The response of the
/// other instance, which did not run it, must not tell the caller that nothing ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_turn_that_may_have_run_is_not_rejected_as_unauthorized() {
    let slow = Behaviour::Respond {
        events: 3,
        interval_ms: 1_200,
    };
    let site = Site::spawn_with(2, slow).await;
    configure_accounts(&site.store, VERSION, &accounts());
    for instance in &site.instances {
        instance.wait_for_config(VERSION).await;
    }
    let cut = async {
        wait_for("the turn runs", || async {
            (!site.runs("t1").is_empty()).then_some(())
        })
        .await;
        configure_accounts(&site.store, VERSION + 1, &changed_accounts());
        site.instances[1].wait_for_config(VERSION + 1).await;
        site.cut(0, Failure::Silence);
    };
    let request = with_key(Turn::first("advice", "t1").request(), ALPHA_KEY);
    let (reply, ()) = tokio::join!(site.instances[0].send(request), cut);
    let reply = reply.unwrap();
    let may_have_run = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
    assert!(may_have_run.contains(&reply.status), "{reply:?}");
}

/// A stream that the relaying instance began itself goes on through another instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_goes_on_through_another_instance_keeps_its_account() {
    let slow = Behaviour::Respond {
        events: 3,
        interval_ms: 300,
    };
    let site = Site::spawn_with(2, slow).await;
    configure_accounts(&site.store, VERSION, &accounts());
    for instance in &site.instances {
        instance.wait_for_config(VERSION).await;
    }
    let request = with_key(forge(Turn::first("advice", "t1").request()), ALPHA_KEY);
    let cut = async {
        wait_for("the stream begins", || async {
            (!site.runs("t1").is_empty()).then_some(())
        })
        .await;
        tokio::time::sleep(Duration::from_millis(450)).await;
        site.cut(0, Failure::Reset);
    };
    let started_at = Instant::now();
    let (reply, ()) = tokio::join!(site.instances[0].send(request), cut);
    let reply = reply.unwrap();
    assert!(
        reply.is_complete,
        "{reply:?} after {:?}",
        started_at.elapsed()
    );
    let runs = site.runs("t1");
    assert!(runs.len() > 1, "{runs:?}");
    assert_account(&runs, Some("alpha"));
}
