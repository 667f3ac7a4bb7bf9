//! The sum of the hosts' shares never passes a server's slots, whatever order news arrives in.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sandshelf_cases::cases;
use sandshelf_model::{HostId, ServerId};
use sandshelf_route::{MembershipView, SlotShare};

const SLOTS: u32 = 8;
const SERVERS: usize = 6;

/// Entry hosts, the view's row, and hosts that have died but are not listed as gone yet.
struct ShareWorld {
    hosts: BTreeMap<HostId, SlotShare>,
    dead: Vec<HostId>,
    row: MembershipView,
    source: ChaCha8Rng,
    names: u32,
    seed: u64,
}

impl ShareWorld {
    fn new(seed: u64) -> Self {
        Self {
            hosts: BTreeMap::new(),
            dead: Vec::new(),
            row: MembershipView::default(),
            source: ChaCha8Rng::seed_from_u64(seed),
            names: 0,
            seed,
        }
    }

    fn pick(&mut self) -> Option<HostId> {
        let hosts: Vec<HostId> = self.hosts.keys().cloned().collect();
        if hosts.is_empty() {
            return None;
        }
        let position = self.source.random_range(0..hosts.len());
        Some(hosts[position].clone())
    }

    fn step(&mut self) {
        match self.source.random_range(0..100) {
            0..6 if self.hosts.len() < 9 => self.join(),
            6..9 => self.die(),
            9..12 => self.leave(),
            12..40 => self.read_row(),
            40..85 => self.tell(),
            85..95 => self.list_gone(),
            _ => self.rewrite(),
        }
    }

    fn join(&mut self) {
        self.names += 1;
        let host = HostId::from(format!("host-{}", self.names));
        let mut share = SlotShare::new(host.clone());
        share.note_view(&self.row);
        self.hosts.insert(host, share);
    }

    /// Writes a view with this host in it and those that it knows to be gone out of it.
    fn rewrite(&mut self) {
        let Some(host) = self.pick() else { return };
        let share = &self.hosts[&host];
        if share.version() != self.row.version {
            return;
        }
        let mut members: Vec<HostId> = self.row.members.clone();
        members.retain(|member| !share.is_gone(member));
        if !members.contains(&host) {
            members.push(host);
        }
        members.sort();
        if members != self.row.members {
            self.row = share.next_view(members);
        }
    }

    fn die(&mut self) {
        if self.hosts.len() < 3 {
            return;
        }
        if let Some(host) = self.pick() {
            self.hosts.remove(&host);
            self.dead.push(host);
        }
    }

    /// A planned stop: the host writes itself out and uses nothing from then on.
    fn leave(&mut self) {
        let Some(host) = self.pick() else { return };
        let share = &self.hosts[&host];
        if self.hosts.len() < 3 || share.version() != self.row.version {
            return;
        }
        let members = self.row.members.iter().filter(|member| **member != host);
        self.row = share.next_view(members.cloned().collect());
        self.hosts.remove(&host);
        self.dead.push(host);
    }

    fn read_row(&mut self) {
        if let Some(host) = self.pick() {
            let row = self.row.clone();
            if let Some(share) = self.hosts.get_mut(&host) {
                share.note_view(&row);
            }
        }
    }

    /// One host hears which view another uses.
    fn tell(&mut self) {
        let (Some(from), Some(to)) = (self.pick(), self.pick()) else {
            return;
        };
        let version = self.hosts[&from].version();
        if let Some(share) = self.hosts.get_mut(&to) {
            share.note_reached(&from, version);
        }
    }

    /// The platform lists a dead host as gone; one host hears of it.
    fn list_gone(&mut self) {
        if self.dead.is_empty() {
            return;
        }
        let position = self.source.random_range(0..self.dead.len());
        let gone = self.dead[position].clone();
        if let Some(host) = self.pick() {
            if let Some(share) = self.hosts.get_mut(&host) {
                share.note_gone(&gone);
                share.prune();
            }
        }
    }

    fn check(&self, step: usize) {
        for number in 0..SERVERS {
            let server = ServerId::from(format!("server-{number}"));
            let sum: u32 = self
                .hosts
                .values()
                .map(|share| share.usable(&server, SLOTS))
                .sum();
            assert!(
                sum <= SLOTS,
                "seed {} step {step}: {sum} of {SLOTS} slots of {server} are in use",
                self.seed
            );
        }
    }

    /// Lets all news arrive everywhere.
    fn settle(&mut self) {
        for _ in 0..40 {
            for host in self.hosts.keys().cloned().collect::<Vec<_>>() {
                let row = self.row.clone();
                let share = self.hosts.get_mut(&host).expect("it is there");
                share.note_view(&row);
                self.dead.iter().for_each(|gone| {
                    share.note_gone(gone);
                });
                let versions: Vec<(HostId, u64)> = self
                    .hosts
                    .iter()
                    .map(|(host, share)| (host.clone(), share.version()))
                    .collect();
                let share = self.hosts.get_mut(&host).expect("it is there");
                for (other, version) in versions {
                    share.note_reached(&other, version);
                }
                share.prune();
            }
            self.rewrite();
        }
    }
}

fn never_over_the_sum(seeds: u64, steps: usize) {
    for seed in 0..seeds {
        let mut world = ShareWorld::new(seed);
        world.join();
        world.rewrite();
        for step in 0..steps {
            world.step();
            world.check(step);
        }
        world.settle();
        let server = ServerId::from("server-0");
        let shares = world.hosts.values();
        let sum: u32 = shares.map(|share| share.usable(&server, SLOTS)).sum();
        assert_eq!(
            sum, SLOTS,
            "seed {seed}: slots lie idle after all news arrived"
        );
    }
}

/// Shares of many servers are near even between hosts.
fn near_even(hosts: usize) {
    let names: Vec<HostId> = (0..hosts).map(|n| HostId::from(format!("h{n}"))).collect();
    let view = MembershipView {
        version: 1,
        members: names.clone(),
        earlier: Vec::new(),
    };
    for name in &names {
        let mut share = SlotShare::new(name.clone());
        share.note_view(&view);
        let sum: u32 = (0..65)
            .map(|n| share.usable(&ServerId::from(format!("server-{n}")), SLOTS))
            .sum();
        let even = 65 * SLOTS / hosts as u32;
        assert!(
            sum > even * 6 / 10 && sum < even * 14 / 10,
            "{name}: {sum} of {even}"
        );
    }
}

cases! {
    sum_holds_in_any_order_of_news => never_over_the_sum(40, 400);
    six_hosts_share_evenly => near_even(6);
    nine_hosts_share_evenly => near_even(9);
}
