//! What strikes from outside: signals, links, the store, upstreams.

use std::time::Duration;

use basilramp_fakes::relay::Cut;
use basilramp_fakes::user_platform::{Behaviour, Mode};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

use super::world::{INSTANCES, UPSTREAMS, World};
use crate::support::{ANSWERS, configure};

pub(super) struct Fault;

impl Fault {
    pub(super) const NAMES: [&'static str; 19] = [
        "instance killed",
        "instance stopped",
        "instance paused",
        "instance hung up",
        "store link cut",
        "store link cut one way",
        "store link slow",
        "store link reset",
        "store busy",
        "store silent",
        "store slow",
        "store loses answers",
        "store forgets",
        "parts away",
        "upstream link cut",
        "upstream link reset",
        "upstream misbehaves",
        "upstream leaves",
        "configuration changed",
    ];
}

/// Strikes again and again until the time is over; returns what struck.
pub(super) async fn strike(
    world: &World,
    mut random: ChaCha8Rng,
    ends: Instant,
) -> Vec<&'static str> {
    let mut struck = Vec::new();
    while Instant::now() < ends {
        let name = Fault::NAMES[random.random_range(0..Fault::NAMES.len())];
        let lasts = Duration::from_millis(random.random_range(200..1_500));
        match name.split_once(' ') {
            Some(("instance", _)) => signal(world, name, lasts, &mut random).await,
            Some(("store", "link cut" | "link cut one way" | "link slow" | "link reset")) => {
                link(world, name, lasts, &mut random).await;
            }
            Some(("upstream", _)) => upstream(world, name, lasts, &mut random).await,
            _ => store(world, name, lasts).await,
        }
        struck.push(name);
        sleep(Duration::from_millis(random.random_range(0..400))).await;
    }
    struck
}

async fn signal(world: &World, name: &str, lasts: Duration, random: &mut ChaCha8Rng) {
    let index = random.random_range(0..INSTANCES);
    let mut instance = world.instances[index].lock().await;
    match name {
        "instance killed" => {
            instance.signal("KILL");
            sleep(lasts / 3).await;
            world.restart(index, &mut instance).await;
        }
        "instance stopped" => {
            instance.signal("TERM");
            instance.wait_end().await;
            world.restart(index, &mut instance).await;
        }
        "instance paused" => {
            instance.signal("STOP");
            sleep(lasts).await;
            instance.signal("CONT");
        }
        _ => instance.signal("HUP"),
    }
}

async fn link(world: &World, name: &str, lasts: Duration, random: &mut ChaCha8Rng) {
    let relay = &world.store_relays[random.random_range(0..INSTANCES)];
    match name {
        "store link cut" => relay.cut(Cut::Both),
        "store link cut one way" if random.random() => relay.cut(Cut::FromTarget),
        "store link cut one way" => relay.cut(Cut::ToTarget),
        "store link slow" => relay.set_delay_ms(random.random_range(20..300)),
        _ => relay.reset_connections(),
    }
    sleep(lasts).await;
    relay.heal();
}

async fn store(world: &World, name: &str, lasts: Duration) {
    let store = &world.store;
    match name {
        "store busy" => store.set_mode(Mode::Unavailable),
        "store silent" => store.set_mode(Mode::Unresponsive),
        "store slow" => store.set_mode(Mode::Slow(200)),
        "store loses answers" => store.set_mode(Mode::LosesResponses),
        "store forgets" => store.discard_history(),
        "parts away" => store.set_unavailable_partitions(&['0', '3', '6', '9', 'c']),
        _ => {
            let mut version = world.version.lock().await;
            *version += 1;
            configure(store, *version);
        }
    }
    sleep(lasts).await;
    store.set_mode(Mode::Up);
    store.set_unavailable_partitions(&[]);
}

async fn upstream(world: &World, name: &str, lasts: Duration, random: &mut ChaCha8Rng) {
    let index = random.random_range(0..UPSTREAMS);
    let (upstream, relay) = (&world.upstreams[index], &world.upstream_relays[index]);
    let misbehaviours = [
        Behaviour::Full,
        Behaviour::OtherUpstream,
        Behaviour::LosesResponse,
        Behaviour::BreaksOff(1),
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
        "upstream leaves" => upstream.register_at(&world.store, "draining", relay.address()),
        _ => upstream.set_behaviour(misbehaviours[random.random_range(0..misbehaviours.len())]),
    }
    sleep(lasts).await;
    relay.heal();
    upstream.set_behaviour(ANSWERS);
    upstream.register_at(&world.store, "ready", relay.address());
}
