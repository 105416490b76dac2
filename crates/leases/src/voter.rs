//! A voter's memory in one view: what it has promised, taken and granted. It is gone with the process, and with the
//! view.

use crate::{Message, Micros, Ownership, ProcessId, Round, View};

/// See the module's page.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Voter {
    /// No older round is heard.
    promised: Round,
    /// The next view, as taken last.
    accepted: Option<(Round, View)>,
    /// The lease granted: to whom (`None`: to nobody that we know, yet not free), in which round, and until when by our
    /// clock.
    granted: Option<(Option<ProcessId>, Round, Micros)>,
}

impl Voter {
    /// Time until the lease is free for a candidate.
    fn left(&self, now: Micros, candidate: ProcessId) -> Micros {
        match self.granted {
            Some((holder, _, until)) if holder != Some(candidate) => until.saturating_sub(now),
            _ => 0,
        }
    }

    /// The lease may be held from before, by this process if it is known.
    pub(crate) fn block(&mut self, until: Micros, holder: Option<ProcessId>) {
        self.granted = Some((holder, Round::default(), until));
    }

    /// The holder gives its lease back; whether it was the holder.
    pub(crate) fn release(&mut self, from: ProcessId, round: Round) -> bool {
        let held = self.granted.is_some_and(|(holder, of, _)| holder == Some(from) && of == round);
        if held {
            self.granted = None;
        }
        held
    }
}

impl Ownership {
    fn refuse(&self, from: ProcessId, now: Micros) -> Message {
        let (promised, left) = (self.voter.promised, self.voter.left(now, from));
        Message::No { from: self.me, epoch: self.view.epoch, promised, left }
    }

    pub(crate) fn vote_on_ask(&mut self, now: Micros, from: ProcessId, round: Round) -> Message {
        if round < self.voter.promised || round.by != from.ordinal || self.voter.left(now, from) > 0 {
            return self.refuse(from, now);
        }
        self.voter.promised = round;
        let accepted = self.voter.accepted.clone();
        Message::Yes { from: self.me, epoch: self.view.epoch, round, accepted }
    }

    pub(crate) fn vote_on_lease(
        &mut self,
        now: Micros,
        from: ProcessId,
        round: Round,
        asked: Micros,
    ) -> Message {
        if round < self.voter.promised || round.by != from.ordinal || self.voter.left(now, from) > 0 {
            return self.refuse(from, now);
        }
        self.voter.promised = round;
        self.voter.granted = Some((Some(from), round, now + self.settings.blocked()));
        Message::Granted { from: self.me, epoch: self.view.epoch, round, asked }
    }

    pub(crate) fn vote_on_view(&mut self, from: ProcessId, round: Round, next: View) -> Message {
        if round < self.voter.promised || round.by != from.ordinal {
            return Message::No {
                from: self.me,
                epoch: self.view.epoch,
                promised: self.voter.promised,
                left: 0,
            };
        }
        self.voter.promised = round;
        self.voter.accepted = Some((round, next));
        Message::Taken { from: self.me, epoch: self.view.epoch, round }
    }
}
