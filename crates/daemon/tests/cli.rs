//! The command-line client against running instances.

use std::io::Write;
use std::time::Duration;

use assert_matches::assert_matches;
use basilramp_cli::{
    CallArgs, ChangeOptions, Command, Config, Connection, Error, ImportArgs, ItemCommand,
    OutputFormat, Secret, SettleArgs,
};
use basilramp_fakes::Launcher;
use basilramp_fakes::cluster::{
    ACCOUNTS, Cluster, OPERATORS, Options, account_key, name, operator_token, place_config,
    set_item,
};
use basilramp_fakes::service::Fault;
use basilramp_wire::api::Budget;
use basilramp_wire::config::ItemKind;
use basilramp_wire::engine::Order;
use basilramp_wire::error::Kind as ErrorKind;
use tempfile::NamedTempFile;
use tokio::time::{Instant, sleep};

const SHEET: &str = "\
service,place,from,until,ready,headroom_percent,model,version
assistant,floor,06:00,22:00,2,25,base,1
assistant,floor,22:00,24:00,1,10,base,1
";

/// The timeout of every wait for an expected state.
const WAIT: Duration = Duration::from_secs(20);

async fn start() -> Cluster {
    let launcher = Launcher {
        program: env!("CARGO_BIN_EXE_basilrampd").into(),
        arguments: Vec::new(),
    };
    let mut options = Options::new(launcher, 2);
    options.edits = vec![set_item("floor", place_config("a", true))];
    options.timeout_ms = 1_000;
    Cluster::start(options).await.unwrap()
}

/// Runs a command against an instance, and returns its outcome and output.
async fn run(cluster: &Cluster, index: usize, command: Command) -> (Result<(), Error>, String) {
    let config = Config {
        connection: Connection {
            operator_address: cluster.operator_address(index),
            caller_address: cluster.caller_address(index),
            operator_token: Some(Secret::new(&operator_token(OPERATORS[0]))),
            account_key: Some(Secret::new(&account_key(ACCOUNTS[0]))),
            timeout_ms: 10_000,
        },
        output: OutputFormat::Table,
        command,
    };
    let mut out = Vec::new();
    let outcome = basilramp_cli::run(&config, &mut out).await;
    (outcome, String::from_utf8(out).unwrap())
}

/// Runs a command that must succeed, and returns its output.
async fn run_successfully(cluster: &Cluster, index: usize, command: Command) -> String {
    let (outcome, text) = run(cluster, index, command).await;
    outcome.unwrap_or_else(|error| panic!("{error}"));
    text
}

/// Repeats a command until its output contains every expected text.
async fn wait_for_output(
    cluster: &Cluster,
    index: usize,
    command: impl Fn() -> Command,
    expected: &[&str],
) {
    let deadline = Instant::now() + WAIT;
    loop {
        let text = run_successfully(cluster, index, command()).await;
        if expected.iter().all(|expected| text.contains(expected)) {
            return;
        }
        assert!(Instant::now() < deadline, "{expected:?} not in {text}");
        sleep(Duration::from_millis(50)).await;
    }
}

fn import_command(sheet: &NamedTempFile, base: Option<u64>) -> Command {
    Command::ImportPlans(ImportArgs {
        sheet: sheet.path().to_owned(),
        keep_unlisted: false,
        options: ChangeOptions {
            base,
            reason: "the morning's sheet".to_owned(),
            dry_run: false,
        },
    })
}

fn call_command(service: &str, keep: bool) -> CallArgs {
    CallArgs {
        program: None,
        position: None,
        service: service.to_owned(),
        input: "two bags of coarse grit".to_owned(),
        max_tokens: 16,
        budget: Budget::of_tokens(10_000),
        request_id: Some("r1".to_owned()),
        keep_running: keep,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_imported_sheet_takes_effect_on_every_instance() {
    let cluster = start().await;
    let mut sheet = NamedTempFile::new().unwrap();
    sheet.write_all(SHEET.as_bytes()).unwrap();

    let text = run_successfully(&cluster, 0, import_command(&sheet, None)).await;
    assert!(text.ends_with("accepted as version 2\n"), "{text}");
    let list = || Command::Item(ItemKind::Plan, ItemCommand::List);
    let expected = ["assistant/floor/0600", "assistant/floor/2200"];
    wait_for_output(&cluster, 1, list, &expected).await;

    let name = "assistant/floor/2200".to_owned();
    let history = Command::Item(ItemKind::Plan, ItemCommand::History { name });
    let history = run_successfully(&cluster, 1, history).await;
    assert!(
        history.contains("ada") && history.contains("the morning's sheet"),
        "{history}"
    );

    let again = run_successfully(&cluster, 1, import_command(&sheet, None)).await;
    assert!(again.ends_with("nothing to change\n"), "{again}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sheet_of_many_rows_is_imported_as_one_change() {
    const ROWS: u32 = 250;
    let cluster = start().await;
    let mut sheet = NamedTempFile::new().unwrap();
    writeln!(sheet, "service,place,from,until,ready,headroom_percent").unwrap();
    for row in 0..ROWS {
        let [from, until] =
            [row * 5, row * 5 + 5].map(|minute| format!("{:02}:{:02}", minute / 60, minute % 60));
        writeln!(sheet, "assistant,floor,{from},{until},1,10").unwrap();
    }
    let text = run_successfully(&cluster, 0, import_command(&sheet, None)).await;
    assert!(text.ends_with("accepted as version 2\n"), "{text}");
    for index in [0, 1] {
        let list = || Command::Item(ItemKind::Plan, ItemCommand::List);
        wait_for_output(&cluster, index, list, &["floor/0000", "floor/2045"]).await;
        let plans = run_successfully(&cluster, index, list()).await;
        assert_eq!(plans.lines().count(), 1 + ROWS as usize);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stale_import_reports_the_conflicting_change() {
    let cluster = start().await;
    let operators = cluster.operator_address(0).unwrap();
    let edits = vec![set_item("yard", place_config("b", false))];
    cluster
        .operator(1)
        .apply_edits(operators, 1, edits)
        .await
        .unwrap();
    let mut sheet = NamedTempFile::new().unwrap();
    sheet.write_all(SHEET.as_bytes()).unwrap();

    let (outcome, _) = run(&cluster, 0, import_command(&sheet, Some(1))).await;
    let changes = assert_matches!(outcome, Err(Error::StaleBase { base: 1, changes }) => changes);
    assert_eq!(
        changes,
        ["2 ben: set place yard: failure_domain=b fencing=false"]
    );
    let plans = run_successfully(
        &cluster,
        0,
        Command::Item(ItemKind::Plan, ItemCommand::List),
    )
    .await;
    assert_eq!(plans, "none\n");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_prints_its_output_and_ends_its_program() {
    let cluster = start().await;
    let text = run_successfully(
        &cluster,
        1,
        Command::RunCall(call_command(name::MODEL, false)),
    )
    .await;
    let runs: Vec<_> = cluster
        .engines
        .iter()
        .flat_map(|engine| engine.requests())
        .collect();
    assert_eq!(runs.len(), 1);
    let tokens = format!("{} output", runs[0].output_tokens);
    assert!(text.contains(&tokens), "{text}");
    let id = runs[0].holder.clone();
    let program = run_successfully(&cluster, 0, Command::ShowProgram { id }).await;
    assert!(program.contains("state     ended"), "{program}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_in_doubt_can_be_settled_only_once() {
    let cluster = start().await;
    cluster.store.fault_next(Fault::CloseAfterEffect);
    let (outcome, _) = run(
        &cluster,
        0,
        Command::RunCall(call_command(name::ORDER, true)),
    )
    .await;
    let error = assert_matches!(outcome, Err(error) => error);
    assert_eq!(error.exit_code(), 5);
    let rejected = assert_matches!(error, Error::Rejected(rejected) => rejected);
    assert_eq!(rejected.kind, ErrorKind::InDoubt);

    let effects = cluster.store.effects();
    assert_eq!(effects.len(), 1);
    let (program, _) = effects[0].idempotency_key.split_once('.').unwrap();
    let settle = SettleArgs {
        program: program.to_owned(),
        position: 0,
        executed: true,
        response: "order 17".to_owned(),
        reason: "seen in the shop's own list".to_owned(),
    };
    let text = run_successfully(&cluster, 1, Command::SettleCall(settle.clone())).await;
    assert!(text.contains("done") && text.contains("order 17"), "{text}");

    let (again, _) = run(&cluster, 1, Command::SettleCall(settle)).await;
    let rejected = assert_matches!(again, Err(Error::Rejected(rejected)) => rejected);
    assert_eq!(rejected.kind, ErrorKind::Invalid);
    assert_eq!(cluster.store.effects().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_manual_order_reaches_its_engine_exactly_once() {
    let cluster = start().await;
    let order = || Command::SendOrder {
        upstream: "e1".to_owned(),
        order: Order::Load {
            model: "extra@1".to_owned(),
        },
    };
    wait_for_output(
        &cluster,
        1,
        || Command::ListUpstreams,
        &["e0", "e1", "ready"],
    )
    .await;
    let deadline = Instant::now() + WAIT;
    let text = loop {
        // Orders fail while the engine's home is still moving between instances.
        match run(&cluster, 1, order()).await {
            (Ok(()), text) => break text,
            (Err(error), _) => assert!(Instant::now() < deadline, "{error}"),
        }
        sleep(Duration::from_millis(50)).await;
    };
    let number = text.trim().rsplit(' ').next().unwrap();
    let fencing: u64 = number.parse().unwrap();
    let deadline = Instant::now() + WAIT;
    while cluster.engines[1].received_orders().is_empty() {
        assert!(Instant::now() < deadline, "the engine received no order");
        sleep(Duration::from_millis(20)).await;
    }
    let orders = cluster.engines[1].received_orders();
    assert_eq!(orders[0].fencing, fencing);
    let loads = orders
        .iter()
        .filter(|received| matches!(received.order, Order::Load { .. }));
    assert_eq!(loads.count(), 1);
    assert_eq!(cluster.engines[0].received_orders().len(), 0);

    let unknown = Command::SendOrder {
        upstream: "e9".to_owned(),
        order: Order::Unload {
            model: "extra@1".to_owned(),
        },
    };
    let (outcome, _) = run(&cluster, 0, unknown).await;
    let rejected = assert_matches!(outcome, Err(Error::Rejected(rejected)) => rejected);
    assert_eq!(rejected.kind, ErrorKind::NotFound);
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_and_the_configuration_can_be_listed() {
    let cluster = start().await;
    wait_for_output(&cluster, 0, || Command::ListInstances, &["i0", "i1"]).await;
    let snapshot = run_successfully(&cluster, 0, Command::ShowConfig).await;
    assert!(snapshot.starts_with("version 1\n"), "{snapshot}");
    let log = run_successfully(&cluster, 1, Command::ConfigLog { after: 0 }).await;
    assert!(log.contains("first configuration"), "{log}");
}
