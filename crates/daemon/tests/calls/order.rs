//! Calls run in order, and histories stay whole and unmixed, while owners die and freeze.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use basilramp_fakes::caller;
use basilramp_fakes::cluster::{Cluster, name};
use basilramp_wire::api::FinalEvent;
use basilramp_wire::error::{Executed, Kind};

use crate::support::{assert_refused, call_until_settled, create, other, owner, start, until};

const PROGRAMS: usize = 6;
const TURNS: u32 = 5;

/// Runs the turns of a program one after the other, each through another instance.
async fn drive(
    cluster: &Cluster,
    doors: &[SocketAddr],
    program: &str,
    number: usize,
) -> Vec<FinalEvent> {
    let mut answers = Vec::new();
    for position in 0..TURNS {
        let request = format!("r{position}");
        let input = format!("program {number} asks question {position}");
        let call = caller::call_request(&request, position, name::MODEL, &input);
        let door = doors[(number + position as usize) % doors.len()];
        let answer = call_until_settled(cluster, door, program, &call).await;
        answers.push(answer.result.expect("the call is answered"));
    }
    answers
}

async fn check(cluster: &Cluster, program: &str, number: usize, answers: &[FinalEvent]) {
    let at = crate::support::any(cluster);
    let read = cluster.caller(0).get_program(at, program).await;
    let read = read.expect("the program is read");
    assert_eq!(read.turns.len(), TURNS as usize);
    let mut contents: Vec<String> = Vec::new();
    for (turn, answer) in read.turns.iter().zip(answers) {
        assert_eq!(turn.position, answer.position);
        assert_eq!((&turn.output, &turn.hash), (&answer.output, &answer.hash));
        let asked = format!("program {number} asks question {}", turn.position);
        assert_eq!(turn.input, asked);
        contents.push(turn.input.clone());
        contents.push(turn.output.clone());
    }
    let runs = cluster.engines.iter().flat_map(|engine| engine.requests());
    for run in runs.filter(|run| run.holder == program) {
        assert_eq!(
            run.contents,
            contents[..run.contents.len()],
            "a mixed prompt"
        );
        assert_eq!(run.contents.len() % 2, 1, "a prompt ends with its input");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn histories_are_whole_and_unmixed_over_a_kill_and_a_freeze() {
    let mut cluster = start(3).await;
    let mut programs = Vec::new();
    for number in 0..PROGRAMS {
        programs.push(create(&cluster, &format!("p{number}")).await.id);
    }
    let killed = owner(&cluster, &programs[0]).await;
    let mut owners = BTreeSet::from([killed]);
    let mut frozen = killed;
    for program in &programs {
        frozen = owner(&cluster, program).await;
        owners.insert(frozen);
        if frozen != killed {
            break;
        }
    }
    assert!(owners.len() > 1, "one instance owns all programs");
    // The door that never fails is the third instance.
    let door = (0..3).find(|index| *index != killed && *index != frozen);
    let door = cluster
        .caller_address(door.expect("there are three"))
        .expect("it runs");

    let mut victim = cluster.instances[killed].process.take().expect("it runs");
    let mut drives = Vec::new();
    for (number, program) in programs.iter().enumerate() {
        drives.push(drive(
            &cluster,
            std::slice::from_ref(&door),
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
        until("calls are under way", || runs() > PROGRAMS).await;
        victim.kill().expect("it is killed");
        let process = cluster.instances[frozen].process.as_ref();
        let process = process.expect("it runs");
        process.freeze().expect("it is frozen");
        let before = runs();
        until("others go on", || runs() > before + 2).await;
        process.thaw().expect("it goes on");
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(drives), faults);
    cluster
        .wait_for_instance(frozen)
        .await
        .expect("it joins again");
    for (number, program) in programs.iter().enumerate() {
        check(&cluster, program, number, &answers[number]).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_position_is_given_to_one_of_two_rivals() {
    let cluster = start(3).await;
    let program = create(&cluster, "p").await;
    let owner = owner(&cluster, &program.id).await;
    let first = caller::call_request("a", 0, name::MODEL, "one");
    let rival = caller::call_request("b", 0, name::MODEL, "two");
    let doors = [
        cluster.caller_address(owner).expect("it runs"),
        other(&cluster, owner),
    ];
    let caller = cluster.caller(0);
    let (first, rival) = tokio::join!(
        caller.call(doors[0], &program.id, &first),
        caller.call(doors[1], &program.id, &rival),
    );
    let refused = match (&first.result, &rival.result) {
        (Ok(_), Err(_)) => &rival,
        (Err(_), Ok(_)) => &first,
        both => panic!("one is answered and one refused: {both:?}"),
    };
    assert_refused(refused, Kind::OutOfOrder, Executed::No);
    let runs = cluster.engines.iter().flat_map(|engine| engine.requests());
    assert_eq!(runs.count(), 1, "a refused call was run");
}
