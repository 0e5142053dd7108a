"""The way of a call to the owner of its key."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.calls.request import Outcome
from eelgrassmount.errors import BadFrameError
from eelgrassmount.gen.ttypes import Message, Route
from eelgrassmount.keys.owner import wait_change
from eelgrassmount.keys.placement import choose_heirs, find_home, find_slot
from eelgrassmount.keys.syntax import BadKey, MintedKey, OwnKey, parse_key
from eelgrassmount.peer.codec import decode_outcome, encode_call
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.verdict import MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from eelgrassmount.calls.request import Call
    from eelgrassmount.keys.core import Core
    from eelgrassmount.keys.follower import Follower
    from eelgrassmount.keys.holder import SlotHolder
    from eelgrassmount.keys.minted import Minter
    from eelgrassmount.keys.owner import Owner
    from eelgrassmount.keys.views import View

RELAYS = 2
ROUTE_ATTEMPTS = 8
RETRY_S = 0.5
ASK_AGAIN_S = 0.1
ASK_LIMIT_S = 1.0


@define
class OwnerRoutes:
    """Finds the owner of a key, here, in this failure domain or in another."""

    core: Core
    follower: Follower
    owner: Owner
    minter: Minter
    _forwarding: set[str] = field(factory=set)

    async def enter(self, call: Call) -> Outcome:
        """Run a call that entered here, asking again for an owner not found.

        A node that has just started knows too little for a moment, and an owner
        that moves is found a moment later. Asking again can't run a key twice.
        """
        started_s = self.core.timers.read()
        outcome = await self.run(call)
        while _is_unfound(outcome) and self._may_ask_again(call, started_s):
            await anyio.sleep(ASK_AGAIN_S)
            outcome = await self.run(call)
        return outcome

    def _may_ask_again(self, call: Call, started_s: float) -> bool:
        # without the log, no owner is replaced and nothing is to be hoped for
        if not self.core.shared_state.log_reachable:
            return False
        now_s = self.core.timers.read()
        in_time = now_s + ASK_AGAIN_S < call.context.deadline_s
        return in_time and now_s - started_s < ASK_LIMIT_S

    async def run(self, call: Call) -> Outcome:
        """Find the owner of the call's key and let it run the call.

        Refusals are *may have run* wherever an earlier sending of the key may
        have been run, also when this very sending certainly was not.
        """
        late = call.context.deadline_s <= self.core.timers.read()
        if late or self.core.may_be_backlog():
            self.core.count("key-late")
            return Outcome(MayHaveRun(Reason.DEADLINE))
        match parse_key(call.context.key):
            case BadKey():
                self.core.count("key-malformed")
                return Outcome(NotRun(Reason.KEY_MALFORMED))
            case MintedKey() as key:
                return await self._run_minted(key, call)
            case OwnKey() as key:
                return await self._run_own(key, call)

    async def receive(self, call: Call) -> Outcome:
        """Act on a call that another node sent to the owner of its key."""
        if call.context.call_id in self._forwarding:
            # two nodes that take each other for the owner
            self.core.count("route-loop")
            return Outcome(MayHaveRun(Reason.OWNER_CHANGING))
        return await self.run(call)

    async def _run_own(self, key: OwnKey, call: Call) -> Outcome:
        domains = self.core.shared_state.configuration.document.failure_domains
        home = find_home(key.text, key.failure_domain, domains)
        if not domains:
            self.core.count("key-no-configuration")
            return Outcome(MayHaveRun(Reason.NO_CONFIGURATION))
        if not home:
            self.core.count("key-malformed")
            return Outcome(NotRun(Reason.KEY_MALFORMED))
        if home != self.core.shared_state.identity.failure_domain:
            return await self._relay(home, "", call)
        return await self._run_in_slot(self.core.holders[find_slot(key.text)], call)

    async def _run_in_slot(self, holder: SlotHolder, call: Call) -> Outcome:
        for _ in range(ROUTE_ATTEMPTS):
            view = holder.view
            outcome = await self._try_slot(holder, call)
            if not _is_changing(outcome):
                break
            if not await self._await_later(holder, view, call):
                break
        return outcome or self._refuse_unreachable()

    async def _try_slot(self, holder: SlotHolder, call: Call) -> Outcome | None:
        view = holder.view
        if view.primary == self.core.me:
            return await self.owner.run(holder, call)
        if not view.version:
            return Outcome(MayHaveRun(Reason.OWNER_CHANGING))
        if view.primary.address == self.core.me.address:
            return None
        gone = self.core.read_roster().is_gone(view.primary)
        # a dead address may swallow everything until the deadline
        limit_s = RETRY_S if gone else math.inf
        return await self._forward(view.primary.address, call, limit_s)

    def _refuse_unreachable(self) -> Outcome:
        # also when nothing was sent: an earlier sending of the key may have run
        self.core.count("owner-unreachable")
        return Outcome(MayHaveRun(Reason.OWNER_UNREACHABLE))

    async def _await_later(self, holder: SlotHolder, tried: View, call: Call) -> bool:
        """Wait for a later view than the one tried; tell whether to try again."""
        left_s = call.context.deadline_s - self.core.timers.read()
        if left_s <= 0:
            return False
        if holder.view == tried:
            await self.follower.refresh()
        if holder.view != tried:
            return True
        gone = self.core.read_roster().is_gone(tried.primary)
        if gone and not self.core.shared_state.log_reachable:
            return False
        await wait_change(holder, min(left_s, RETRY_S))
        return True

    async def _run_minted(self, key: MintedKey, call: Call) -> Outcome:
        identity = self.core.shared_state.identity
        if key.incarnation == identity.incarnation:
            return await self.minter.run(key, call)
        if key.failure_domain != identity.failure_domain:
            return await self._relay(key.failure_domain, key.address, call)
        if self._is_live(key):
            outcome = await self._forward(key.address, call)
            if not _is_changing(outcome):
                return outcome
        return await self._ask_heirs(key, call)

    def _is_live(self, key: MintedKey) -> bool:
        roster = self.core.read_roster()
        live = roster.known - roster.gone
        return any(
            node.incarnation == key.incarnation and node.address == key.address
            for node in live
        )

    async def _ask_heirs(self, key: MintedKey, call: Call) -> Outcome:
        outcome = await self.minter.answer_for(key, call)
        if outcome is not None:
            return outcome
        for heir in choose_heirs(key.incarnation, self.core.read_roster().fit):
            if heir != self.core.me:
                outcome = await self._forward(heir.address, call)
                if not _is_changing(outcome):
                    return outcome
        return self._refuse_unreachable()

    async def _relay(self, domain: str, preferred: str, call: Call) -> Outcome:
        """Send a call to a node of another failure domain, which finds the owner."""
        addresses = self._find_relays(domain)
        if preferred in addresses:
            addresses = [preferred, *addresses]
        for address in addresses[:RELAYS]:
            outcome = await self._forward(address, call)
            if outcome is not None:
                return outcome
        return self._refuse_unreachable()

    def _find_relays(self, domain: str) -> list[str]:
        summaries = self.core.shared_state.members.summaries.values()
        addresses = {
            address
            for summary in summaries
            if summary.failure_domain == domain
            for address in summary.addresses
        }
        ordered = sorted(addresses)
        self.core.rng.shuffle(ordered)
        return ordered

    async def _forward(
        self, address: str, call: Call, limit_s: float = math.inf
    ) -> Outcome | None:
        """Send a call towards its owner; sending it twice can't run it twice.

        ``None`` means that no answer came, whether or not the call was sent.
        """
        call_id = call.context.call_id
        if call.context.deadline_s <= self.core.timers.read():
            return Outcome(MayHaveRun(Reason.DEADLINE))
        if call_id in self._forwarding:
            return Outcome(MayHaveRun(Reason.OWNER_CHANGING))
        self._forwarding.add(call_id)
        try:
            reply = await self._ask(address, call, limit_s)
            if isinstance(reply, PeerFailure) and reply.sent:
                # its link was lost, and the node may be well
                reply = await self._ask(address, call, limit_s)
        finally:
            self._forwarding.discard(call_id)
        return self._read_reply(reply)

    async def _ask(
        self, address: str, call: Call, limit_s: float
    ) -> Message | PeerFailure:
        now_s = self.core.timers.read()
        left_s = call.context.deadline_s - now_s
        if left_s <= 0:
            return PeerFailure(address, sent=True)
        message = Message(call=encode_call(call, Route.OWN, now_s))
        return await self.core.peers.request(address, message, min(left_s, limit_s))

    def _read_reply(self, reply: Message | PeerFailure) -> Outcome | None:
        if isinstance(reply, PeerFailure) or reply.outcome is None:
            return None
        try:
            return decode_outcome(reply.outcome)
        except BadFrameError:
            self.core.count("owner-bad-answer")
            return Outcome(MayHaveRun(Reason.BAD_ANSWER))


def _is_unfound(outcome: Outcome) -> bool:
    unreachable = outcome.verdict == MayHaveRun(Reason.OWNER_UNREACHABLE)
    return unreachable or _is_changing(outcome)


def _is_changing(outcome: Outcome | None) -> bool:
    """Tell whether the owner was not found: no answer, or not from the owner."""
    return outcome is None or outcome.verdict == MayHaveRun(Reason.OWNER_CHANGING)
