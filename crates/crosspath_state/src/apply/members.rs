//! Membership changes: joining, naming a guard, eviction, handover of partitions and leaving.

use snafu::{OptionExt as _, ensure};

use super::Context;
use crate::conflict::{Conflict, NotGuardSnafu, NotMemberSnafu, NotOwnerSnafu};
use crate::member::Member;
use crate::name::DaemonName;
use crate::partition::{self, Ownership};
use crate::record::{Membership, Writer};
use crate::state::State;
use crate::time::Wall;

impl State {
    pub(super) fn apply_membership(
        &mut self,
        context: &Context<'_>,
        change: &Membership,
    ) -> Result<(), Conflict> {
        if let Membership::Join = change {
            self.join(context);
            return Ok(());
        }
        self.check_member(context.writer)?;
        let daemon = &context.writer.daemon;
        match change {
            Membership::Join => Ok(()),
            Membership::Guard { guard } => self.set_guard(daemon, guard),
            Membership::Evict { member } => self.evict(context, member),
            Membership::Handover { partitions, to } => self.hand_over(daemon, partitions, to),
            Membership::Leave => {
                self.leave(context);
                Ok(())
            }
        }
    }

    fn check_member(&self, writer: &Writer) -> Result<(), Conflict> {
        let daemon = writer.daemon.clone();
        ensure!(self.is_member(writer), NotMemberSnafu { daemon });
        Ok(())
    }

    /// Makes the writer a member. A new incarnation knows no claim of the previous one, so the
    /// partitions that it already owns are known to it only from now on.
    fn join(&mut self, context: &Context<'_>) {
        let daemon = &context.writer.daemon;
        let incarnation = context.writer.incarnation;
        let joined = context.offset;
        let member = Member { incarnation, joined, guard: None, inherited: false };
        self.members.insert(daemon.clone(), member);
        let ownership = Ownership { owner: daemon.clone(), since: context.written_at };
        if self.partitions.is_empty() {
            self.partitions = (0..partition::COUNT).map(|_| ownership.clone()).collect();
        }
        self.reassign_partitions(daemon, daemon, context.written_at);
    }

    fn reassign_partitions(&mut self, from: &DaemonName, to: &DaemonName, since: Wall) {
        for ownership in self.partitions.iter_mut().filter(|own| own.owner == *from) {
            *ownership = Ownership { owner: to.clone(), since };
        }
    }

    fn set_guard(&mut self, daemon: &DaemonName, guard: &DaemonName) -> Result<(), Conflict> {
        let known = self.members.contains_key(guard) && guard != daemon;
        ensure!(known, NotMemberSnafu { daemon: guard.clone() });
        if let Some(member) = self.members.get_mut(daemon) {
            member.guard = Some(guard.clone());
            member.inherited = false;
        }
        Ok(())
    }

    fn evict(&mut self, context: &Context<'_>, evicted: &Writer) -> Result<(), Conflict> {
        self.check_member(evicted)?;
        let daemon = &context.writer.daemon;
        let member = self.members.get(&evicted.daemon);
        let guard = member.and_then(|member| member.guard.as_ref());
        let member = evicted.daemon.clone();
        ensure!(guard == Some(daemon), NotGuardSnafu { daemon: daemon.clone(), member });
        self.remove_member(&evicted.daemon, Some(daemon), context.written_at);
        Ok(())
    }

    /// Removes a member; its partitions and the members that it guarded pass to `successor`.
    fn remove_member(&mut self, daemon: &DaemonName, successor: Option<&DaemonName>, since: Wall) {
        self.members.remove(daemon);
        let guarded = self.members.iter().filter(|(_, other)| other.guard.as_ref() == Some(daemon));
        let guarded: Vec<_> = guarded.map(|(name, _)| name.clone()).collect();
        for name in guarded {
            if let Some(member) = self.members.get_mut(&name) {
                member.guard = successor.filter(|successor| **successor != name).cloned();
                member.inherited = true;
            }
        }
        match successor {
            Some(successor) => self.reassign_partitions(daemon, successor, since),
            None => self.partitions.clear(),
        }
    }

    fn hand_over(
        &mut self,
        daemon: &DaemonName,
        partitions: &[u16],
        to: &Writer,
    ) -> Result<(), Conflict> {
        self.check_member(to)?;
        for partition in partitions {
            let partition = *partition;
            let owner = self.owner(partition).map(|own| &own.owner);
            let owned = owner == Some(daemon);
            ensure!(owned, NotOwnerSnafu { daemon: daemon.clone(), partition });
        }
        for partition in partitions {
            let ownership = self.partitions.get_mut(usize::from(*partition));
            let ownership = ownership
                .context(NotOwnerSnafu { daemon: daemon.clone(), partition: *partition })?;
            ownership.owner = to.daemon.clone();
        }
        Ok(())
    }

    fn leave(&mut self, context: &Context<'_>) {
        let daemon = &context.writer.daemon;
        let guard = self.members.get(daemon).and_then(|member| member.guard.clone());
        let successor = guard.or_else(|| self.members.keys().find(|name| *name != daemon).cloned());
        self.remove_member(daemon, successor.as_ref(), context.written_at);
    }
}
