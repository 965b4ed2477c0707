//! Injected faults: signals to instances, and failures of links, the store and upstreams.

use std::time::Duration;

use basilramp_fakes::relay::{Cut, Door, Relay};
use basilramp_fakes::user_platform::{Behaviour, Mode};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

use super::environment::{Environment, INSTANCES, UPSTREAMS};
use crate::support::IMMEDIATE_RESPONSE;

/// The injected faults, by name.
pub(super) struct Fault;

impl Fault {
    pub(super) const NAMES: [&'static str; 25] = [
        "instance killed",
        "instance stopped",
        "instance paused",
        "instance SIGHUP",
        "store link cut",
        "store link cut one way",
        "store link slow",
        "store link reset",
        "store busy",
        "store silent",
        "store slow",
        "store loses responses",
        "store history expired",
        "partitions unavailable",
        "upstream link cut",
        "upstream link reset",
        "upstream misbehaves",
        "upstream draining",
        "upstream limited",
        "configuration changed",
        "keys changed",
        "links silent",
        "links reset",
        "links refused",
        "upstream crashed",
    ];
}

/// Injects random faults one after the other until the deadline. Returns their names.
pub(super) async fn inject_faults(
    environment: &Environment,
    mut random: ChaCha8Rng,
    deadline: Instant,
) -> Vec<&'static str> {
    let mut injected = Vec::new();
    while Instant::now() < deadline {
        let name = Fault::NAMES[random.random_range(0..Fault::NAMES.len())];
        let duration = Duration::from_millis(random.random_range(200..1_500));
        match name.split_once(' ') {
            Some(("instance", _)) => {
                inject_instance_fault(environment, name, duration, &mut random).await
            }
            Some(("store", "link cut" | "link cut one way" | "link slow" | "link reset")) => {
                inject_store_link_fault(environment, name, duration, &mut random).await;
            }
            Some(("links", _)) => inject_link_fault(environment, name, duration, &mut random).await,
            Some(("upstream", _)) => {
                inject_upstream_fault(environment, name, duration, &mut random).await
            }
            _ => inject_store_fault(environment, name, duration).await,
        }
        injected.push(name);
        sleep(Duration::from_millis(random.random_range(0..400))).await;
    }
    injected
}

async fn inject_instance_fault(
    environment: &Environment,
    name: &str,
    duration: Duration,
    random: &mut ChaCha8Rng,
) {
    let index = random.random_range(0..INSTANCES);
    let mut instance = environment.instances[index].lock().await;
    match name {
        "instance killed" => {
            instance.signal("KILL");
            sleep(duration / 3).await;
            environment.restart(index, &mut instance).await;
        }
        "instance stopped" => {
            instance.signal("TERM");
            instance.wait_for_exit().await;
            environment.restart(index, &mut instance).await;
        }
        "instance paused" => {
            instance.signal("STOP");
            sleep(duration).await;
            instance.signal("CONT");
        }
        _ => instance.signal("HUP"),
    }
}

async fn inject_store_link_fault(
    environment: &Environment,
    name: &str,
    duration: Duration,
    random: &mut ChaCha8Rng,
) {
    let relay = &environment.store_relays[random.random_range(0..INSTANCES)];
    match name {
        "store link cut" => relay.cut(Cut::Both),
        "store link cut one way" if random.random() => relay.cut(Cut::FromTarget),
        "store link cut one way" => relay.cut(Cut::ToTarget),
        "store link slow" => relay.set_delay_ms(random.random_range(20..300)),
        _ => relay.reset_connections(),
    }
    sleep(duration).await;
    relay.heal();
}

/// Lets the links of an instance to all upstreams fail.
async fn inject_link_fault(
    environment: &Environment,
    name: &str,
    duration: Duration,
    random: &mut ChaCha8Rng,
) {
    let links = &environment.links[random.random_range(0..INSTANCES)];
    for link in links {
        match name {
            "links silent" => {
                link.cut(Cut::Both);
                link.set_door(Door::Silent);
            }
            "links reset" => {
                link.set_door(Door::Refusing);
                link.reset_connections();
            }
            _ => link.set_door(Door::Refusing),
        }
    }
    sleep(2 * duration).await;
    links.iter().for_each(Relay::heal);
}

async fn inject_store_fault(environment: &Environment, name: &str, duration: Duration) {
    let store = &environment.store;
    match name {
        "store busy" => store.set_mode(Mode::Unavailable),
        "store silent" => store.set_mode(Mode::Unresponsive),
        "store slow" => store.set_mode(Mode::Slow(200)),
        "store loses responses" => store.set_mode(Mode::LosesResponses),
        "store history expired" => store.discard_history(),
        "partitions unavailable" => store.set_unavailable_partitions(&['0', '3', '6', '9', 'c']),
        _ => {
            let mut configuration = environment.configuration.lock().await;
            if name == "keys changed" {
                configuration.change_keys();
            }
            configuration.write(store);
        }
    }
    sleep(duration).await;
    store.set_mode(Mode::Up);
    store.set_unavailable_partitions(&[]);
}

async fn inject_upstream_fault(
    environment: &Environment,
    name: &str,
    duration: Duration,
    random: &mut ChaCha8Rng,
) {
    let index = random.random_range(0..UPSTREAMS);
    let (upstream, relay) = (
        &environment.upstreams[index],
        &environment.upstream_relays[index],
    );
    let misbehaviours = [
        Behaviour::Full,
        Behaviour::OtherUpstream,
        Behaviour::LosesResponse,
        Behaviour::BreaksOff(1),
        Behaviour::BreaksOff(2),
        Behaviour::WrongAttempt,
        Behaviour::Unsigned,
        Behaviour::Respond {
            events: 3,
            interval_ms: 150,
        },
    ];
    match name {
        "upstream link cut" => relay.cut(Cut::Both),
        "upstream link reset" => relay.reset_connections(),
        "upstream crashed" => {
            // It is started again like one that a request crashed.
            upstream.crash();
            relay.reset_connections();
            return;
        }
        "upstream draining" => {
            upstream.register_at(&environment.store, "draining", relay.address())
        }
        "upstream limited" => {
            let limits = ["0", "1.5", "20", "many"];
            upstream.set_rate_limit(Some(limits[random.random_range(0..limits.len())]));
        }
        _ => upstream.set_behaviour(misbehaviours[random.random_range(0..misbehaviours.len())]),
    }
    sleep(duration).await;
    relay.heal();
    upstream.set_behaviour(IMMEDIATE_RESPONSE);
    upstream.set_rate_limit(None);
    upstream.register_at(&environment.store, "ready", relay.address());
}
