//! The steward: elected by a majority of the view's voters, renewed while it lives; it brings the next view about,
//! keeps the roll of members, and grants duties.

use crate::message::{DUTIES_MOST, PART};
use crate::{Command, Epoch, Message, Micros, Ownership, ProcessId, Round, Settings, Term, View, names};
use std::collections::BTreeMap;

/// A candidate asks so often in a beat: at 30% loss every second question stays without an answer.
const ASKS: Micros = 6;

/// A try to be elected.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Campaign {
    round: Round,
    /// Not elected by then, it is tried again with a higher round.
    until: Micros,
    /// Voters that said yes, and the next view that each has taken.
    yes: BTreeMap<ProcessId, Option<(Round, View)>>,
    /// Voters that granted the lease, each from when it was asked last.
    granted: BTreeMap<ProcessId, Micros>,
    /// What is proposed, and who has taken it.
    proposed: Option<(View, Vec<ProcessId>)>,
    /// Whether a majority has said yes.
    elected: bool,
}

/// See the module's page.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Steward {
    campaign: Option<Campaign>,
    /// The lease: under which term's epoch and round, and until when by our clock.
    lease: Option<(Epoch, Round, Micros)>,
    /// The highest round heard of in this view.
    highest: u32,
    next: Micros,
    /// Steps of the terms given, in all rounds.
    step: u32,
    roll_at: Micros,
    /// How often the roll is told at each beat yet.
    retold: u8,
    /// Members that may count on being on the roll: which process, and until when by our clock.
    stays: BTreeMap<u16, (u64, Micros)>,
    /// Members that did not ask again in time: they are off the roll until they do, whatever membership believes.
    lapsed: BTreeMap<u16, u64>,
}

/// So often in a beat a member asks to stay: at 30% loss one in 10^8 spans passes without a question that came.
const STAY_ASKS: Micros = 2;

/// A changed roll is told at so many beats one after another, since a part may be lost.
const RETOLD: u8 = 4;

impl Steward {
    /// The lease, while it lasts: its round, and until when.
    pub(crate) fn lease(&self, now: Micros) -> Option<((Epoch, Round), Micros)> {
        self.lease.filter(|lease| now < lease.2).map(|(epoch, round, until)| ((epoch, round), until))
    }

    pub(crate) fn next(&self) -> Micros {
        self.stays.values().map(|stay| stay.1).fold(self.next, Micros::min)
    }

    /// Another view: tries and rounds begin anew, a lease goes on for what is left of it.
    pub(crate) fn enter(&mut self, now: Micros, beat: Micros) {
        (self.campaign, self.highest) = (None, 0);
        self.next = if self.lease(now).is_some() { now } else { now + beat };
    }

    /// A campaign may begin sooner.
    pub(crate) fn hurry(&mut self, now: Micros, after: Micros) {
        if self.campaign.is_none() {
            self.next = self.next.min(now + after);
        }
    }

    /// A voter said no.
    pub(crate) fn refused(
        &mut self,
        now: Micros,
        promised: Round,
        left: Micros,
        rank: u64,
        settings: &Settings,
    ) {
        self.highest = self.highest.max(promised.count);
        let Some(campaign) = &self.campaign else { return };
        if promised > campaign.round {
            // Tried again with a higher one, at once if we hold the lease: it must be renewed.
            let wait =
                if self.lease(now).is_some() { 0 } else { left.min(settings.lease) + settings.beat / 4 };
            (self.campaign, self.next) = (None, now + wait);
        } else if !campaign.elected && left > 0 {
            // All hear at about the same time that it is free: in turn, or each takes votes from the others.
            let turn = rank * settings.beat / 4;
            (self.campaign, self.next) = (None, now + left.min(2 * settings.lease) + turn);
        }
    }

    /// A member goes by itself.
    pub(crate) fn let_go(&mut self, who: ProcessId) {
        if self.stays.get(&who.ordinal).is_some_and(|stay| stay.0 == who.incarnation) {
            self.stays.remove(&who.ordinal);
        }
    }

    /// Ends all; the round whose lease is given back.
    pub(crate) fn resign(&mut self, now: Micros) -> Option<Round> {
        self.campaign = None;
        self.lease.take().filter(|lease| now < lease.2).map(|lease| lease.1)
    }
}

impl Ownership {
    /// Begins a try, goes on with one, or renews.
    pub(crate) fn campaign(&mut self, now: Micros) {
        let held = self.stewardship.lease(now).is_some();
        if !held && self.stewardship.lease.take().is_some() {
            self.lost(now, "its lease ran out");
        }
        if held && self.stewardship.stays.values().any(|stay| now >= stay.1) {
            self.beat(now);
        }
        if now < self.stewardship.next || !self.votes(self.me) {
            return;
        }
        let beat = self.settings.beat;
        if self.void() && (now < self.started + self.settings.wait || self.alive.len() < self.quorum()) {
            return;
        }
        // A voter that has granted the lease, and hears from its holder, leaves it be.
        if !held && !self.void() && self.steward.is_some() && now < self.heard_at + 2 * beat {
            self.stewardship.next = self.heard_at + 2 * beat + self.rank() * beat / 4;
            return;
        }
        // Not elected by now: others may be trying too, so each tries again at its own pace, with a higher round.
        let stale = self.stewardship.campaign.as_ref().is_some_and(|c| !c.elected && now >= c.until);
        let soon = now + beat / ASKS;
        if let Some(campaign) = self.stewardship.campaign.as_ref().filter(|c| !c.elected && !stale) {
            // Votes may have been lost, this way or that.
            let (round, epoch) = (campaign.round, self.view.epoch);
            self.stewardship.next = soon;
            self.tell_voters(Message::Ask { from: self.me, epoch, round });
            return;
        }
        if self.stewardship.campaign.is_none() || stale {
            self.stewardship.highest += 1;
            let round = Round { count: self.stewardship.highest, by: self.me.ordinal };
            self.stewardship.campaign = Some(Campaign {
                round,
                until: now + beat + self.rank() * beat / 4,
                yes: BTreeMap::new(),
                granted: BTreeMap::new(),
                proposed: None,
                elected: false,
            });
            self.stewardship.next = soon;
            let own = self.vote_on_ask(now, self.me, round);
            self.tell_voters(Message::Ask { from: self.me, epoch: self.view.epoch, round });
            match own {
                Message::Yes { accepted, .. } => self.seen_yes(now, self.me, round, accepted),
                Message::No { promised, left, .. } => {
                    let (settings, rank) = (self.settings, self.rank());
                    self.stewardship.refused(now, promised, left, rank, &settings);
                }
                _ => {}
            }
            return;
        }
        // Until it has the lease, it asks as often as before.
        self.stewardship.next = if held { now + beat } else { soon };
        self.renew(now);
        self.bring_view_about(now);
        if self.stewardship.lease(now).is_some() {
            self.beat(now);
        }
    }

    fn tell_voters(&mut self, message: Message) {
        if self.void() {
            self.tell_all(message);
            return;
        }
        let others: Vec<ProcessId> =
            self.view.voters.iter().copied().filter(|&voter| voter != self.me).collect();
        others.into_iter().for_each(|voter| self.send(voter, message.clone()));
    }

    pub(crate) fn seen_yes(
        &mut self,
        now: Micros,
        from: ProcessId,
        round: Round,
        accepted: Option<(Round, View)>,
    ) {
        let (quorum, void) = (self.quorum(), self.void());
        let Some(campaign) = self.stewardship.campaign.as_mut().filter(|c| c.round == round) else { return };
        // A seat votes once, whichever process sits there.
        campaign.yes.retain(|voter, _| voter.ordinal != from.ordinal || *voter == from);
        campaign.yes.insert(from, accepted);
        if campaign.elected || campaign.yes.len() < quorum {
            return;
        }
        campaign.elected = true;
        let voters: Vec<ProcessId> = campaign.yes.keys().copied().collect();
        let taken = campaign.yes.values().flatten().max_by_key(|taken| taken.0).map(|taken| taken.1.clone());
        if void {
            // The first view is whatever was taken before, or made of those who are here.
            let view = taken.unwrap_or_else(|| self.first_view(voters));
            self.propose(now, view);
            return;
        }
        if let Some(next) = taken {
            // It may have been chosen: nothing else may be. The lease comes first.
            if let Some(campaign) = &mut self.stewardship.campaign {
                campaign.proposed = Some((next, Vec::new()));
            }
        }
        self.renew(now);
    }

    fn first_view(&self, mut voters: Vec<ProcessId>) -> View {
        let mut wanted = self.settings.voters.min(voters.len());
        wanted -= usize::from(wanted.is_multiple_of(2) && wanted > 1);
        voters.sort_by_key(|voter| (voter.ordinal != self.me.ordinal, voter.ordinal));
        voters.truncate(wanted);
        voters.sort();
        let era = self.unix.max(self.seen.era.saturating_add(1));
        View { epoch: Epoch { era, number: 1 }, voters }
    }

    /// Asks all voters for the lease, from now on.
    fn renew(&mut self, now: Micros) {
        let Some(round) = self.stewardship.campaign.as_ref().filter(|c| c.elected).map(|c| c.round) else {
            return;
        };
        if self.void() {
            return;
        }
        let epoch = self.view.epoch;
        self.tell_voters(Message::Lease { from: self.me, epoch, round, asked: now });
        if let Message::Granted { .. } = self.vote_on_lease(now, self.me, round, now) {
            self.seen_granted(now, self.me, round, now);
        }
    }

    pub(crate) fn seen_granted(&mut self, now: Micros, from: ProcessId, round: Round, asked: Micros) {
        let (quorum, held, epoch) = (self.quorum(), self.settings.held(), self.view.epoch);
        let had = self.stewardship.lease(now);
        let Some(campaign) = self.stewardship.campaign.as_mut().filter(|c| c.elected && c.round == round)
        else {
            return;
        };
        // No time that has not come yet: the message is not ours.
        if asked > now {
            return;
        }
        let last = campaign.granted.entry(from).or_insert(asked);
        *last = asked.max(*last);
        let mut asked: Vec<Micros> = campaign.granted.values().copied().collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        let Some(since) = asked.get(quorum - 1) else { return };
        let until = since + held;
        if until <= now {
            return;
        }
        self.stewardship.lease = Some((epoch, round, until));
        if had.map(|(of, _)| of) != Some((epoch, round)) {
            self.elected(now, round, had.is_some());
        }
    }

    /// We hold the lease under a new round.
    fn elected(&mut self, now: Micros, round: Round, before: bool) {
        if !before {
            // What the steward before granted is over with its lease.
            self.duties.clear_granted();
            self.grant_stays(now, round);
            self.log(format!("steward of view {}.{}", self.view.epoch.era, self.view.epoch.number));
        }
        self.steward = Some((self.me, round));
        self.heard_at = now;
        self.stewardship.roll_at = now;
        self.stewardship.retold = RETOLD;
        self.bring_view_about(now);
        self.beat(now);
        self.ask_for_duties(now);
    }

    /// What the steward before granted is not known: all of its roll may count on it, but for itself.
    fn grant_stays(&mut self, now: Micros, round: Round) {
        let stay = self.settings.stay;
        (self.stewardship.stays, self.stewardship.lapsed) = (BTreeMap::new(), BTreeMap::new());
        if stay == 0 {
            return;
        }
        // Whoever was steward between it and us had a higher round than it, and we have a higher one still.
        let last = self.steward.filter(|(_, known)| known.count + 1 == round.count).map(|known| known.0);
        let until = now + stay + stay / self.settings.drift;
        for (&ordinal, &incarnation) in self.roll.1.iter().filter(|member| *member.0 != self.me.ordinal) {
            if last == Some(ProcessId { ordinal, incarnation }) {
                self.stewardship.lapsed.insert(ordinal, incarnation);
            } else {
                self.stewardship.stays.insert(ordinal, (incarnation, until));
            }
        }
    }

    pub(crate) fn hear_stay(&mut self, now: Micros, from: ProcessId, asked: Micros) {
        let stay = self.settings.stay;
        let ours = self.stewardship.lease(now).is_some_and(|((epoch, _), _)| epoch == self.view.epoch);
        if !ours || stay == 0 {
            return;
        }
        if self.stewardship.lapsed.get(&from.ordinal) == Some(&from.incarnation) {
            self.stewardship.lapsed.remove(&from.ordinal);
        }
        if self.roll.1.get(&from.ordinal) != Some(&from.incarnation) {
            return;
        }
        self.stewardship
            .stays
            .insert(from.ordinal, (from.incarnation, now + stay + stay / self.settings.drift));
        self.send(from, Message::Stays { from: self.me, asked, lasts: stay });
    }

    pub(crate) fn hear_stays(&mut self, now: Micros, from: ProcessId, asked: Micros, lasts: Micros) {
        let known = self.steward.is_some_and(|steward| steward.0 == from);
        if !known || asked > now || asked < self.started || self.leaving {
            self.dropped += 1;
            return;
        }
        let lasts = lasts.min(self.settings.stay);
        self.stay = self.stay.max(asked + lasts - lasts / self.settings.drift);
    }

    /// Asks the steward, on the roll or not: who was left out comes back by asking.
    pub(crate) fn ask_to_stay(&mut self, now: Micros) {
        let Some((steward, _)) = self.steward.filter(|steward| steward.0 != self.me) else { return };
        if self.settings.stay == 0 || now < self.stay_asked + self.settings.beat / STAY_ASKS {
            return;
        }
        self.stay_asked = now;
        self.send(steward, Message::Stay { from: self.me, asked: now });
    }

    /// Who is to be on the roll: all alive that have not failed to ask, and those who may count on it.
    fn wanted_roll(&mut self, now: Micros) -> BTreeMap<u16, u64> {
        let Steward { stays, lapsed, .. } = &mut self.stewardship;
        lapsed.extend(stays.iter().filter(|stay| now >= stay.1.1).map(|(&ordinal, stay)| (ordinal, stay.0)));
        stays.retain(|_, stay| now < stay.1);
        let mut wanted = self.alive.clone();
        wanted.retain(|ordinal, incarnation| lapsed.get(ordinal) != Some(incarnation));
        wanted.extend(stays.iter().map(|(&ordinal, stay)| (ordinal, stay.0)));
        if self.settings.stay > 0 {
            // Whoever is new has as long to ask as who has asked.
            let until = now + self.settings.stay + self.settings.stay / self.settings.drift;
            let others = wanted.iter().filter(|member| *member.0 != self.me.ordinal);
            for (&ordinal, &incarnation) in others {
                stays.entry(ordinal).or_insert((incarnation, until));
            }
        }
        wanted
    }

    fn lost(&mut self, now: Micros, why: &str) {
        self.duties.clear_granted();
        self.stewardship.campaign = None;
        self.stewardship.next = now + self.settings.beat;
        self.log(format!("steward no longer: {why}"));
    }

    /// Proposes the next view where one is needed, or goes on proposing.
    fn bring_view_about(&mut self, now: Micros) {
        if self.void() {
            let next = self.stewardship.campaign.as_ref().and_then(|c| c.proposed.clone());
            next.into_iter().for_each(|(view, _)| self.propose(now, view));
            return;
        }
        // Only under a lease: two that propose at once would only hinder one another.
        if self.stewardship.lease(now).is_none() {
            return;
        }
        let begun = self.stewardship.campaign.as_ref().and_then(|c| c.proposed.as_ref().map(|p| p.0.clone()));
        let Some(next) = begun.or_else(|| self.wanted_view()) else { return };
        self.propose(now, next);
    }

    /// Voters that are gone are replaced by members that are here; there are as many as wanted, an odd number, and
    /// never fewer than three where the tier has so many seats.
    fn wanted_view(&self) -> Option<View> {
        let lives = |voter: &ProcessId| self.alive.get(&voter.ordinal) == Some(&voter.incarnation);
        let mut voters: Vec<ProcessId> = self.view.voters.iter().copied().filter(lives).collect();
        let others = self.alive.iter().map(|(&ordinal, &incarnation)| ProcessId { ordinal, incarnation });
        let mut spare: Vec<ProcessId> = others.filter(|process| !voters.contains(process)).collect();
        let mut wanted = self.settings.voters.min(self.alive.len());
        wanted -= usize::from(wanted.is_multiple_of(2) && wanted > 1);
        let least = self.view.voters.len().min(3);
        if wanted < least {
            // Too few are left to replace the dead: the dead stay, and are missed.
            return None;
        }
        spare.truncate(wanted.saturating_sub(voters.len()));
        voters.extend(spare);
        voters.sort_by_key(|voter| (*voter != self.me, voter.ordinal));
        voters.truncate(wanted);
        voters.sort();
        let Epoch { era, number } = self.view.epoch;
        let same =
            voters.len() == self.view.voters.len() && voters.iter().all(|v| self.view.voters.contains(v));
        (!same).then_some(View { epoch: Epoch { era, number: number + 1 }, voters })
    }

    fn propose(&mut self, now: Micros, next: View) {
        let Some(campaign) = self.stewardship.campaign.as_mut().filter(|c| c.elected) else { return };
        let round = campaign.round;
        if campaign.proposed.as_ref().is_none_or(|proposed| proposed.0 != next) {
            campaign.proposed = Some((next.clone(), Vec::new()));
        }
        let epoch = self.view.epoch;
        self.tell_voters(Message::Propose { from: self.me, epoch, round, next: next.clone() });
        if let Message::Taken { .. } = self.vote_on_view(self.me, round, next) {
            self.seen_taken(now, self.me, round);
        }
    }

    pub(crate) fn seen_taken(&mut self, now: Micros, from: ProcessId, round: Round) {
        let quorum = self.quorum();
        let Some(campaign) = self.stewardship.campaign.as_mut().filter(|c| c.elected && c.round == round)
        else {
            return;
        };
        let Some((next, taken)) = &mut campaign.proposed else { return };
        if !taken.iter().any(|voter| voter.ordinal == from.ordinal) {
            taken.push(from);
        }
        if taken.len() < quorum {
            return;
        }
        let next = next.clone();
        let Epoch { era, number } = next.epoch;
        self.log(format!("view {era}.{number} chosen: voters {}", names(&next.voters)));
        self.enter(now, next);
        // What we hold from the view before goes on; others wait for it to end, and we may go on renewing it here.
        if self.stewardship.lease(now).is_some() {
            self.voter.block(now + self.settings.blocked(), Some(self.me));
        }
        let round = Round::default();
        let news = Message::News {
            from: self.me,
            view: self.view.clone(),
            steward: Some(self.me),
            round,
            duties: Vec::new(),
        };
        self.tell_all(news);
        // Elected anew, in the new view, as soon as the others may have heard of it.
        self.stewardship.next = now + 1;
    }

    /// Tells all that the view has a steward, who owns what, and now and then who is a member.
    fn beat(&mut self, now: Micros) {
        let Some(((epoch, round), _)) = self.stewardship.lease(now) else { return };
        if epoch != self.view.epoch {
            return;
        }
        self.heard_at = now;
        let duties = self.duties.told(now);
        let duties = duties.into_iter().take(DUTIES_MOST).collect();
        let steward = Some(self.me);
        let news = Message::News { from: self.me, view: self.view.clone(), steward, round, duties };
        self.tell_all(news);
        let wanted = self.wanted_roll(now);
        let changed = wanted != self.roll.1;
        if !changed && now < self.stewardship.roll_at {
            return;
        }
        // Told again, at first at each beat and then at every tenth: a part may have been lost.
        self.stewardship.retold = if changed { RETOLD } else { self.stewardship.retold.saturating_sub(1) };
        let beats = if self.stewardship.retold > 0 { 1 } else { 10 };
        self.stewardship.roll_at = now + beats * self.settings.beat;
        if changed || (self.roll.0.epoch, self.roll.0.round) != (epoch, round) {
            self.stewardship.step += 1;
            self.roll = (Term { epoch, round, step: self.stewardship.step }, wanted);
        }
        let members: Vec<ProcessId> =
            self.roll.1.iter().map(|(&ordinal, &incarnation)| ProcessId { ordinal, incarnation }).collect();
        let (term, parts) = (self.roll.0, members.chunks(PART).count() as u8);
        for (part, members) in members.chunks(PART).enumerate() {
            let (part, members) = (part as u8, members.to_vec());
            self.tell_all(Message::Roll { from: self.me, term, part, parts, members });
        }
    }

    /// The next term that this steward gives.
    pub(crate) fn next_term(&mut self, now: Micros) -> Option<(Term, Micros)> {
        let ((epoch, round), until) = self.stewardship.lease(now)?;
        self.stewardship.step += 1;
        Some((Term { epoch, round, step: self.stewardship.step }, until))
    }

    pub(crate) fn lasts(&self, now: Micros) -> Option<Micros> {
        self.stewardship.lease(now).map(|(_, until)| (until - now).min(self.settings.lease))
    }

    pub(crate) fn owns(&mut self, duty: u8, term: Option<Term>) {
        self.commands.push_back(Command::Owns(duty, term));
    }
}
