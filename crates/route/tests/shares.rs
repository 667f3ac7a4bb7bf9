//! The sum of the hosts' shares never exceeds a server's slots, in whatever order the hosts learn of views and failures.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sandshelf_cases::cases;
use sandshelf_model::{HostId, ServerId};
use sandshelf_route::{MembershipView, SlotShare};

const SLOTS: u32 = 8;
const SERVERS: usize = 6;

/// The running entry hosts, the stored membership view, and the hosts that have stopped.
///
/// Each running host learns at a random time that a stopped host is gone.
struct ShareWorld {
    hosts: BTreeMap<HostId, SlotShare>,
    stopped: Vec<HostId>,
    row: MembershipView,
    rng: ChaCha8Rng,
    started_hosts: u32,
    seed: u64,
}

impl ShareWorld {
    fn new(seed: u64) -> Self {
        Self {
            hosts: BTreeMap::new(),
            stopped: Vec::new(),
            row: MembershipView::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            started_hosts: 0,
            seed,
        }
    }

    fn pick_host(&mut self) -> Option<HostId> {
        let hosts: Vec<HostId> = self.hosts.keys().cloned().collect();
        if hosts.is_empty() {
            return None;
        }
        let position = self.rng.random_range(0..hosts.len());
        Some(hosts[position].clone())
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..6 if self.hosts.len() < 9 => self.join(),
            6..9 => self.crash(),
            9..12 => self.leave(),
            12..40 => self.read_row(),
            40..85 => self.report_version(),
            85..95 => self.list_gone(),
            _ => self.write_view(),
        }
    }

    fn join(&mut self) {
        self.started_hosts += 1;
        let host = HostId::from(format!("host-{}", self.started_hosts));
        let mut share = SlotShare::new(host.clone());
        share.note_view(&self.row);
        self.hosts.insert(host, share);
    }

    /// A random host writes a view that includes itself and excludes the hosts that it knows to be gone.
    fn write_view(&mut self) {
        let Some(host) = self.pick_host() else { return };
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

    fn crash(&mut self) {
        if self.hosts.len() < 3 {
            return;
        }
        if let Some(host) = self.pick_host() {
            self.hosts.remove(&host);
            self.stopped.push(host);
        }
    }

    /// A planned stop: the host writes a view without itself and uses no slot from then on.
    fn leave(&mut self) {
        let Some(host) = self.pick_host() else { return };
        let share = &self.hosts[&host];
        if self.hosts.len() < 3 || share.version() != self.row.version {
            return;
        }
        let members = self.row.members.iter().filter(|member| **member != host);
        self.row = share.next_view(members.cloned().collect());
        self.hosts.remove(&host);
        self.stopped.push(host);
    }

    fn read_row(&mut self) {
        if let Some(host) = self.pick_host() {
            let row = self.row.clone();
            if let Some(share) = self.hosts.get_mut(&host) {
                share.note_view(&row);
            }
        }
    }

    /// One host receives the version of the view that another uses.
    fn report_version(&mut self) {
        let (Some(from), Some(to)) = (self.pick_host(), self.pick_host()) else {
            return;
        };
        let version = self.hosts[&from].version();
        if let Some(share) = self.hosts.get_mut(&to) {
            share.note_reached(&from, version);
        }
    }

    /// The platform lists a stopped host as gone; one host reads that.
    fn list_gone(&mut self) {
        if self.stopped.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.stopped.len());
        let gone = self.stopped[position].clone();
        if let Some(host) = self.pick_host() {
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

    /// Delivers all views, versions and failures to all hosts.
    fn deliver_all(&mut self) {
        for _ in 0..40 {
            for host in self.hosts.keys().cloned().collect::<Vec<_>>() {
                let row = self.row.clone();
                let share = self.hosts.get_mut(&host).expect("the host is running");
                share.note_view(&row);
                self.stopped.iter().for_each(|gone| {
                    share.note_gone(gone);
                });
                let versions: Vec<(HostId, u64)> = self
                    .hosts
                    .iter()
                    .map(|(host, share)| (host.clone(), share.version()))
                    .collect();
                let share = self.hosts.get_mut(&host).expect("the host is running");
                for (other, version) in versions {
                    share.note_reached(&other, version);
                }
                share.prune();
            }
            self.write_view();
        }
    }
}

fn shares_never_exceed_slots(seeds: u64, steps: usize) {
    for seed in 0..seeds {
        let mut world = ShareWorld::new(seed);
        world.join();
        world.write_view();
        for step in 0..steps {
            world.step();
            world.check(step);
        }
        world.deliver_all();
        let server = ServerId::from("server-0");
        let shares = world.hosts.values();
        let sum: u32 = shares.map(|share| share.usable(&server, SLOTS)).sum();
        assert_eq!(
            sum, SLOTS,
            "seed {seed}: slots are unused after all hosts have the newest view"
        );
    }
}

/// The shares of many servers, summed per host, differ from an even share by less than 40 percent.
fn shares_are_nearly_even(hosts: usize) {
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
            "{name}: {sum} slots, even share {even}"
        );
    }
}

cases! {
    sum_holds_in_any_order_of_events => shares_never_exceed_slots(40, 400);
    six_hosts_share_evenly => shares_are_nearly_even(6);
    nine_hosts_share_evenly => shares_are_nearly_even(9);
}
