//! Calls of a program run in order, and its history stays complete and free of turns of other
//! programs while owners are killed and suspended.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use basilramp_fakes::caller;
use basilramp_fakes::cluster::{Cluster, name};
use basilramp_wire::api::FinalEvent;
use basilramp_wire::error::{Executed, Kind};

use crate::support::{
    assert_rejected, call_until_settled, create, other_address, start, wait_for_owner, wait_until,
};

const PROGRAMS: usize = 6;
const TURNS: u32 = 5;

/// Runs the turns of a program one after the other, and rotates over the addresses of instances.
async fn run_turns(
    cluster: &Cluster,
    addresses: &[SocketAddr],
    program: &str,
    number: usize,
) -> Vec<FinalEvent> {
    let mut responses = Vec::new();
    for position in 0..TURNS {
        let request = format!("r{position}");
        let input = format!("program {number} asks question {position}");
        let call = caller::call_request(&request, position, name::MODEL, &input);
        let address = addresses[(number + position as usize) % addresses.len()];
        let response = call_until_settled(cluster, address, program, &call).await;
        responses.push(response.result.expect("the call succeeds"));
    }
    responses
}

/// Checks that the recorded turns match the responses, and that each prompt of the program is the
/// prefix of its history that ends with the input of the turn.
async fn check_history(cluster: &Cluster, program: &str, number: usize, responses: &[FinalEvent]) {
    let address = crate::support::any_address(cluster);
    let read = cluster.caller(0).get_program(address, program).await;
    let read = read.expect("the program is readable");
    assert_eq!(read.turns.len(), TURNS as usize);
    let mut contents: Vec<String> = Vec::new();
    for (turn, response) in read.turns.iter().zip(responses) {
        assert_eq!(turn.position, response.position);
        assert_eq!(
            (&turn.output, &turn.hash),
            (&response.output, &response.hash)
        );
        let expected = format!("program {number} asks question {}", turn.position);
        assert_eq!(turn.input, expected);
        contents.push(turn.input.clone());
        contents.push(turn.output.clone());
    }
    let runs = cluster.engines.iter().flat_map(|engine| engine.requests());
    for run in runs.filter(|run| run.holder == program) {
        assert_eq!(
            run.contents,
            contents[..run.contents.len()],
            "the prompt differs from the history"
        );
        assert_eq!(
            run.contents.len() % 2,
            1,
            "the prompt does not end with an input"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn histories_stay_complete_and_separate_when_owners_are_killed_and_frozen() {
    let mut cluster = start(3).await;
    let mut programs = Vec::new();
    for number in 0..PROGRAMS {
        programs.push(create(&cluster, &format!("p{number}")).await.id);
    }
    let killed = wait_for_owner(&cluster, &programs[0]).await;
    let mut owners = BTreeSet::from([killed]);
    let mut frozen = killed;
    for program in &programs {
        frozen = wait_for_owner(&cluster, program).await;
        owners.insert(frozen);
        if frozen != killed {
            break;
        }
    }
    assert!(
        owners.len() > 1,
        "one instance owns all programs, none is left to suspend"
    );
    // All calls go to the third instance, which neither fails nor is suspended.
    let address = (0..3).find(|index| *index != killed && *index != frozen);
    let address = cluster
        .caller_address(address.expect("there are three instances"))
        .expect("the instance is running");

    let mut killed_process = cluster.instances[killed]
        .process
        .take()
        .expect("the instance is running");
    let mut runs_of_turns = Vec::new();
    for (number, program) in programs.iter().enumerate() {
        runs_of_turns.push(run_turns(
            &cluster,
            std::slice::from_ref(&address),
            program,
            number,
        ));
    }
    let faults = async {
        let runs = || {
            cluster
                .engines
                .iter()
                .map(|engine| engine.requests().len())
                .sum::<usize>()
        };
        wait_until("calls run", || runs() > PROGRAMS).await;
        killed_process.kill().expect("the process is killed");
        let process = cluster.instances[frozen].process.as_ref();
        let process = process.expect("the instance is running");
        process.freeze().expect("the process is suspended");
        let before = runs();
        wait_until("calls run at the other instances", || runs() > before + 2).await;
        process.thaw().expect("the process resumes");
    };
    let (responses, ()) = tokio::join!(futures_util::future::join_all(runs_of_turns), faults);
    cluster
        .wait_for_instance(frozen)
        .await
        .expect("the owner becomes ready again");
    for (number, program) in programs.iter().enumerate() {
        check_history(&cluster, program, number, &responses[number]).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn only_one_of_two_concurrent_calls_gets_a_position() {
    let cluster = start(3).await;
    let program = create(&cluster, "p").await;
    let owner = wait_for_owner(&cluster, &program.id).await;
    let first = caller::call_request("a", 0, name::MODEL, "one");
    let second = caller::call_request("b", 0, name::MODEL, "two");
    let addresses = [
        cluster
            .caller_address(owner)
            .expect("the instance is running"),
        other_address(&cluster, owner),
    ];
    let caller = cluster.caller(0);
    let (first, second) = tokio::join!(
        caller.call(addresses[0], &program.id, &first),
        caller.call(addresses[1], &program.id, &second),
    );
    let rejected = match (&first.result, &second.result) {
        (Ok(_), Err(_)) => &second,
        (Err(_), Ok(_)) => &first,
        both => panic!("expected one success and one rejection: {both:?}"),
    };
    assert_rejected(rejected, Kind::OutOfOrder, Executed::No);
    let runs = cluster.engines.iter().flat_map(|engine| engine.requests());
    assert_eq!(runs.count(), 1, "the rejected call ran");
}

/// The connection to a killed owner is lost while a read waits for its reply. The read is repeated
/// at the next owner, as it changes nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_read_outlives_the_loss_of_its_owner() {
    let mut cluster = start(3).await;
    let program = create(&cluster, "p").await;
    let owner = wait_for_owner(&cluster, &program.id).await;
    let address = other_address(&cluster, owner);
    let reader = cluster.caller(0);
    let read = reader.get_program(address, &program.id).await;
    read.expect("the program is readable over a connection to its owner");
    cluster.kill(owner).expect("the process is killed");
    let read = reader.get_program(address, &program.id).await;
    let read = read.expect("the program is readable after the takeover");
    assert_eq!(read.id, program.id);
}
