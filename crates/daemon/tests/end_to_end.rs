//! End to end: a program is created, called and read through three different instances.

use assert_matches::assert_matches;
use basilramp_fakes::Launcher;
use basilramp_fakes::caller;
use basilramp_fakes::cluster::{Cluster, Options, name};

#[tokio::test(flavor = "multi_thread")]
async fn a_program_is_created_called_and_read_through_three_instances() {
    let launcher = Launcher {
        program: env!("CARGO_BIN_EXE_basilrampd").into(),
        arguments: Vec::new(),
    };
    let cluster = Cluster::start(Options::new(launcher, 3)).await.unwrap();
    let [first, second, third] = [0, 1, 2].map(|index| cluster.caller_address(index).unwrap());
    let client = cluster.caller(0);

    let program = client
        .create_root(first, "r1", caller::program_budget(10_000))
        .await
        .unwrap();
    let call = caller::call_request("c1", 0, name::MODEL, "which sealant for a tin roof?");
    let response = client.call(second, &program.id, &call).await;
    let completed = assert_matches!(&response.result, Ok(completed) => completed);
    assert_eq!(response.token_text(), completed.output);
    assert!(!completed.output.is_empty());

    let read = client.get_program(third, &program.id).await.unwrap();
    assert_eq!(read.turns.len(), 1);
    assert_eq!(read.turns[0].output, completed.output);
    assert_eq!(read.spent, completed.usage.charged());
    let rows = cluster.platform.rows(&format!("program/{}", program.id));
    assert!(rows.iter().any(|(sort, _)| sort == "turn/00000000"));
}
