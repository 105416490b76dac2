//! Tenant queues and deficit round-robin.
use super::*;

impl Dispatcher {
    pub(super) fn take(&mut self, now: Millis, new: NewJob, out: &mut Vec<Action>) {
        let class = new.class.min(self.settings.classes.len() - 1);
        let tenant = new.tenant.min(self.tenants.len() - 1);
        let lane = usize::from(!self.shares.within(now, tenant));
        let deadline = now + new.time_left;
        let grant = now + GRANT * self.settings.classes[class].latency_objective;
        let worth = |class: usize| self.settings.classes[class].priority_weight;
        let held = |id: &JobId| self.jobs.get(id).map_or(0.0, |job| worth(job.class));
        let queue = &self.tenants[tenant].lanes[lane].queue;
        // What is worth most for its work goes first, and the last of a full queue gives way to it.
        let place = queue.iter().take_while(|id| held(id) >= worth(class)).count();
        let full = queue.len() >= self.tenants[tenant].depth;
        let last = queue.back().copied().filter(|_| full && place < queue.len());
        let fits = !full || last.is_some();
        let key = new.affinity_key.as_deref().map(hash);
        let ran = |PriorExecution { worker, age }| Attempt {
            worker,
            sent_at: now - age,
            may_have_run: true,
            ..Attempt::default()
        };
        let job = Job {
            class,
            tenant,
            lane,
            key,
            key_popularity: key.map_or(0.0, |key| self.key_shares.add(now, key)),
            deadline,
            queue_deadline: grant.min(deadline - DEADLINE_MARGIN),
            slots: new.slots.max(1.0),
            queued: fits,
            attempts: new.prior_execution.map(ran).into_iter().collect(),
            ..Job::default()
        };
        self.due.push(job.queue_deadline, new.id);
        if lane == 0 {
            self.budget.within.add(now, RATE_TIME, self.runs[class].shortest * job.slots);
            let mean = self.budget.within.sum / self.shares.seen_for(now).max(TICK);
            self.budget.floor = FLOOR_LOAD.0 * mean + FLOOR_LOAD.1 * mean.sqrt();
        }
        self.jobs.insert(new.id, job);
        if let Some(last) = last {
            self.finish(last, out);
        }
        if fits && self.resend(now, &self.jobs[&new.id]) != Resend::Never {
            self.tenants[tenant].lanes[lane].queue.insert(place, new.id);
        } else {
            self.finish(new.id, out);
        }
    }

    /// Sends queued jobs while the budget allows, work within tenants' shares first.
    pub(super) fn drain(&mut self, now: Millis, out: &mut Vec<Action>) {
        // Workers that had no room a moment ago have none now; looking again for each event costs too much.
        if now < self.stuck_until {
            return;
        }
        for lane in 0..LANES {
            self.drain_lane(now, lane, out);
        }
    }

    pub(super) fn drain_lane(&mut self, now: Millis, lane: usize, out: &mut Vec<Action>) {
        let tenants = self.tenants.len();
        let quantum = self.tenants.iter().map(|t| t.weight).fold(f64::INFINITY, f64::min);
        let mut fruitless = 0;
        while fruitless < tenants * 8 && self.tenants.iter().any(|t| !t.lanes[lane].queue.is_empty()) {
            let turn = self.turn[lane];
            let queue = &mut self.tenants[turn];
            let weight = queue.weight / quantum;
            let state = &mut queue.lanes[lane];
            if !self.visited[lane] {
                state.credit += weight;
            }
            self.visited[lane] = true;
            let mut skipped = 0;
            while skipped < LOOK_PAST {
                let state = &self.tenants[turn].lanes[lane];
                let Some(&id) = state.queue.get(skipped) else { break };
                let slots = self.jobs.get(&id).map_or(1.0, |job| job.slots);
                if state.credit < slots {
                    break;
                }
                if !self.budget_has_room(lane, slots) {
                    self.budget.bound |= lane == 0;
                    return;
                }
                // A job that no worker can take now must not hold up the ones behind it.
                let Some(worker) = self.choose(now, id) else {
                    skipped += 1;
                    continue;
                };
                let state = &mut self.tenants[turn].lanes[lane];
                state.queue.remove(skipped);
                state.credit -= slots;
                fruitless = 0;
                self.send(now, id, worker, out);
            }
            if skipped == LOOK_PAST {
                self.stuck_until = now + STUCK;
            }
            let state = &mut self.tenants[turn].lanes[lane];
            if state.queue.is_empty() {
                state.credit = 0.0;
            }
            state.credit = state.credit.min(8.0 * weight);
            fruitless += 1;
            self.turn[lane] = (turn + 1) % tenants;
            self.visited[lane] = false;
        }
    }

    pub(super) fn unqueue(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.queued) {
            job.queued = false;
            self.tenants[job.tenant].lanes[job.lane].queue.retain(|&queued| queued != id);
        }
    }
}
