//! `brackenledge-simulator members`: tiers of any size on a virtual clock, to see how soon membership notices a death, how
//! often it is wrong, and what it costs.

use brackenledge_membership::{Command, Membership, Millis, ProcessId, SwimConfig};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Instant;

#[derive(clap::Args)]
pub struct Options {
    /// Sizes of the tiers, one row each.
    #[arg(long, value_delimiter = ',', default_value = "4,40,300")]
    schedulers: Vec<usize>,
    /// Parts of the messages that are lost, one row each.
    #[arg(long, value_delimiter = ',', default_value = "0,0.1,0.3,0.5")]
    loss: Vec<f64>,
    /// Length of each run on the virtual clock.
    #[arg(long, default_value_t = 10.0)]
    minutes: f64,
    /// For all that is random.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// A message takes up to so long one way.
const ON_THE_WAY: std::ops::Range<Millis> = 1.0..20.0;
/// One process is killed this often, and back after half of it.
const KILL_EVERY: Millis = 30_000.0;
/// The first of it is not counted: the tier finds together.
const SETTLING: Millis = 30_000.0;

enum Event {
    Timer(usize, u64),
    Message(usize, Vec<u8>),
    Kill,
    Back(usize),
}

struct Due(u64, u64, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.1 == other.1
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// What one run shows.
#[derive(Default)]
struct Figures {
    /// Times from a death until the first, and until each, has noticed.
    first: Vec<Millis>,
    each: Vec<Millis>,
    /// Living processes that were given up by anybody, each counted once in 10 s; and by how many of the others.
    false_deaths: usize,
    false_views: usize,
    bytes: u64,
    messages: u64,
    cpu: f64,
}

struct World {
    now: Millis,
    rng: ChaCha8Rng,
    loss: f64,
    queue: BinaryHeap<Reverse<Due>>,
    serial: u64,
    members: Vec<Option<Membership>>,
    armed: Vec<u64>,
    /// The dead, when they died, and who has noticed.
    dead: BTreeMap<ProcessId, (Millis, usize)>,
    wrong: BTreeMap<ProcessId, Millis>,
    figures: Figures,
}

impl World {
    /// Rounded up and one more: a timer that comes a rounding error early would be set again for ever.
    fn push(&mut self, at: Millis, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse(Due((at * 1_000.0).ceil() as u64 + 1, self.serial, event)));
    }

    fn start(&mut self, at: usize) {
        let number = self.members.len();
        let seeds = (0..number).filter(|&other| other != at).map(|other| other as u16).collect();
        let me = ProcessId { ordinal: at as u16, incarnation: 1 + self.now as u64 };
        let config = SwimConfig::for_cluster_size(number);
        self.members[at] = Some(Membership::new(self.now, me, seeds, &config, self.serial));
        self.arm(at);
    }

    fn arm(&mut self, at: usize) {
        let Some(next) = self.members[at].as_ref().map(Membership::next_timeout) else { return };
        if next.is_finite() {
            self.armed[at] += 1;
            let armed = self.armed[at];
            self.push(next.max(self.now), Event::Timer(at, armed));
        }
    }

    fn carry_out(&mut self, at: usize) {
        let counts = self.now >= SETTLING;
        while let Some(order) = self.members[at].as_mut().and_then(Membership::poll_command) {
            match order {
                Command::Send { to, bytes } => {
                    if counts {
                        self.figures.bytes += bytes.len() as u64;
                        self.figures.messages += 1;
                    }
                    let (lost, way) =
                        (self.rng.random::<f64>() < self.loss, self.rng.random_range(ON_THE_WAY));
                    if !lost {
                        self.push(self.now + way, Event::Message(usize::from(to), bytes));
                    }
                }
                Command::MemberDown(process) if counts => {
                    let running = self.members[usize::from(process.ordinal)].as_ref();
                    if let Some((died, noticed)) = self.dead.get_mut(&process) {
                        *noticed += 1;
                        if *noticed == 1 {
                            self.figures.first.push(self.now - *died);
                        }
                        self.figures.each.push(self.now - *died);
                    } else if running.is_some_and(|member| member.me() == process) {
                        self.figures.false_views += 1;
                        let last = self.wrong.insert(process, self.now);
                        self.figures.false_deaths +=
                            usize::from(last.is_none_or(|at| at < self.now - 10_000.0));
                    }
                }
                _ => {}
            }
        }
        self.arm(at);
    }
}

fn play(schedulers: usize, loss: f64, minutes: f64, seed: u64) -> Figures {
    let mut world = World {
        now: 0.0,
        rng: ChaCha8Rng::seed_from_u64(seed),
        loss,
        queue: BinaryHeap::new(),
        serial: 0,
        members: (0..schedulers).map(|_| None).collect(),
        armed: vec![0; schedulers],
        dead: BTreeMap::new(),
        wrong: BTreeMap::new(),
        figures: Figures::default(),
    };
    (0..schedulers).for_each(|at| world.start(at));
    world.push(SETTLING, Event::Kill);
    let (end, began) = (SETTLING + minutes * 60_000.0, Instant::now());
    while let Some(Reverse(Due(at, _, event))) = world.queue.pop() {
        world.now = at as f64 / 1_000.0;
        if world.now > end {
            break;
        }
        match event {
            Event::Timer(at, armed) => {
                if world.armed[at] == armed
                    && let Some(member) = &mut world.members[at]
                {
                    member.handle_timeout(world.now);
                    world.carry_out(at);
                }
            }
            Event::Message(to, bytes) => {
                if let Some(member) = &mut world.members[to] {
                    member.handle_message(world.now, &bytes);
                    world.carry_out(to);
                }
            }
            Event::Kill => {
                let at = world.rng.random_range(0..schedulers);
                if let Some(member) = world.members[at].take() {
                    world.dead.insert(member.me(), (world.now, 0));
                    world.push(world.now + KILL_EVERY / 2.0, Event::Back(at));
                }
                world.push(world.now + KILL_EVERY, Event::Kill);
            }
            Event::Back(at) => world.start(at),
        }
    }
    world.figures.cpu = began.elapsed().as_secs_f64() / (end / 1_000.0) / schedulers as f64;
    world.figures
}

fn quantile(times: &mut [Millis], part: f64) -> Millis {
    times.sort_by(f64::total_cmp);
    let at = (part * times.len() as f64) as usize;
    times.get(at.min(times.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
}

/// Plays all that was asked for and prints a table.
pub fn run(options: &Options) -> Result<bool, String> {
    if options.schedulers.iter().any(|n| !(2..=1_000).contains(n)) {
        return Err("--schedulers: give numbers from 2 to 1000".into());
    }
    if options.loss.iter().any(|loss| !(0.0..=0.9).contains(loss)) {
        return Err("--loss: give numbers from 0 to 0.9".into());
    }
    println!(
        "| schedulers | loss | first to notice, median s | each, median | each, 99th | false deaths an hour | views of \
         them | bytes a second, each sends | messages a second | CPU of one, part of a core |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for &schedulers in &options.schedulers {
        for &loss in &options.loss {
            let mut figures = play(schedulers, loss, options.minutes, options.seed);
            let each = options.minutes * 60.0 * schedulers as f64;
            let hours = options.minutes / 60.0;
            println!(
                "| {schedulers} | {loss} | {:.2} | {:.2} | {:.2} | {:.1} | {} | {:.0} | {:.1} | {:.4} |",
                quantile(&mut figures.first, 0.5) / 1_000.0,
                quantile(&mut figures.each, 0.5) / 1_000.0,
                quantile(&mut figures.each, 0.99) / 1_000.0,
                figures.false_deaths as f64 / hours,
                figures.false_views,
                figures.bytes as f64 / each,
                figures.messages as f64 / each,
                figures.cpu
            );
        }
    }
    Ok(true)
}
