"""Route calls to the owners of their keys."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
from attrs import define, field

from eelgrassmount.calls.request import Outcome
from eelgrassmount.errors import BadFrameError
from eelgrassmount.gen.ttypes import Message, Route
from eelgrassmount.keys.owner import wait_change
from eelgrassmount.keys.placement import choose_successors, find_home, find_slot
from eelgrassmount.keys.syntax import BadKey, CallerKey, MintedKey, parse_key
from eelgrassmount.peer.codec import decode_outcome, encode_call
from eelgrassmount.peer.port import PeerFailure
from eelgrassmount.verdict import MayHaveRun, NotRun, Reason

if TYPE_CHECKING:
    from eelgrassmount.calls.request import Call
    from eelgrassmount.keys.core import Core
    from eelgrassmount.keys.follower import Follower
    from eelgrassmount.keys.minted import Minter
    from eelgrassmount.keys.owner import Owner
    from eelgrassmount.keys.slot_state import SlotState
    from eelgrassmount.keys.views import View

MAX_RELAY_ATTEMPTS = 2
MAX_ROUTE_ATTEMPTS = 8
ATTEMPT_TIMEOUT_S = 0.5
LOOKUP_RETRY_DELAY_S = 0.1
MAX_LOOKUP_RETRY_S = 1.0


@define
class OwnerRouter:
    """Finds the owner of a key at this node, in this failure domain or in another."""

    core: Core
    follower: Follower
    owner: Owner
    minter: Minter
    _forwarding: set[str] = field(factory=set)

    async def enter(self, call: Call) -> Outcome:
        """Run a call of a local caller, retrying while its owner is unknown.

        A node that has just started doesn't know the owners yet, and an owner may be
        moving. A retry can't run a key twice.
        """
        started_s = self.core.timers.read()
        outcome = await self.run(call)
        while _is_owner_unknown(outcome) and self._may_retry_lookup(call, started_s):
            await anyio.sleep(LOOKUP_RETRY_DELAY_S)
            outcome = await self.run(call)
        return outcome

    def _may_retry_lookup(self, call: Call, started_s: float) -> bool:
        # without the log no owner is replaced, so a retry is futile
        if not self.core.shared_state.log_reachable:
            return False
        now_s = self.core.timers.read()
        in_time = now_s + LOOKUP_RETRY_DELAY_S < call.context.deadline_s
        return in_time and now_s - started_s < MAX_LOOKUP_RETRY_S

    async def run(self, call: Call) -> Outcome:
        """Route the call to the owner of its key, which runs it.

        Refusals are *may have run* if an earlier attempt of the key may have run,
        even if this attempt was certainly not run.
        """
        late = call.context.deadline_s <= self.core.timers.read()
        if late or self.core.may_be_backlogged():
            self.core.count("key-late")
            return Outcome(MayHaveRun(Reason.DEADLINE))
        match parse_key(call.context.key):
            case BadKey():
                self.core.count("key-malformed")
                return Outcome(NotRun(Reason.KEY_MALFORMED))
            case MintedKey() as key:
                return await self._run_minted(key, call)
            case CallerKey() as key:
                return await self._run_caller_key(key, call)

    async def receive(self, call: Call) -> Outcome:
        """Handle a call that another node routed to the owner of its key."""
        if call.context.call_id in self._forwarding:
            # two nodes consider each other the owner
            self.core.count("route-loop")
            return Outcome(MayHaveRun(Reason.OWNER_CHANGING))
        return await self.run(call)

    async def _run_caller_key(self, key: CallerKey, call: Call) -> Outcome:
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
        return await self._run_in_slot(self.core.slot_states[find_slot(key.text)], call)

    async def _run_in_slot(self, slot_state: SlotState, call: Call) -> Outcome:
        for _ in range(MAX_ROUTE_ATTEMPTS):
            view = slot_state.view
            outcome = await self._try_slot(slot_state, call)
            if not _is_owner_changing(outcome):
                break
            if not await self._wait_for_newer_view(slot_state, view, call):
                break
        return outcome or self._refuse_unreachable()

    async def _try_slot(self, slot_state: SlotState, call: Call) -> Outcome | None:
        view = slot_state.view
        if view.primary == self.core.node_id:
            return await self.owner.run(slot_state, call)
        if not view.version:
            return Outcome(MayHaveRun(Reason.OWNER_CHANGING))
        if view.primary.address == self.core.node_id.address:
            return None
        gone = self.core.read_roster().is_gone(view.primary)
        # an unresponsive address could use up the whole deadline
        limit_s = ATTEMPT_TIMEOUT_S if gone else math.inf
        return await self._forward(view.primary.address, call, limit_s)

    def _refuse_unreachable(self) -> Outcome:
        # even if nothing was sent: an earlier attempt of the key may have run
        self.core.count("owner-unreachable")
        return Outcome(MayHaveRun(Reason.OWNER_UNREACHABLE))

    async def _wait_for_newer_view(
        self, slot_state: SlotState, tried: View, call: Call
    ) -> bool:
        """Wait for a later view than ``tried``; return whether to retry."""
        remaining_s = call.context.deadline_s - self.core.timers.read()
        if remaining_s <= 0:
            return False
        if slot_state.view == tried:
            await self.follower.refresh()
        if slot_state.view != tried:
            return True
        gone = self.core.read_roster().is_gone(tried.primary)
        if gone and not self.core.shared_state.log_reachable:
            return False
        await wait_change(slot_state, min(remaining_s, ATTEMPT_TIMEOUT_S))
        return True

    async def _run_minted(self, key: MintedKey, call: Call) -> Outcome:
        identity = self.core.shared_state.identity
        if key.incarnation == identity.incarnation:
            return await self.minter.run(key, call)
        if key.failure_domain != identity.failure_domain:
            return await self._relay(key.failure_domain, key.address, call)
        if self._is_live(key):
            outcome = await self._forward(key.address, call)
            if not _is_owner_changing(outcome):
                return outcome
        return await self._ask_successors(key, call)

    def _is_live(self, key: MintedKey) -> bool:
        roster = self.core.read_roster()
        live = roster.known - roster.gone
        return any(
            node.incarnation == key.incarnation and node.address == key.address
            for node in live
        )

    async def _ask_successors(self, key: MintedKey, call: Call) -> Outcome:
        outcome = await self.minter.answer_for_departed(key, call)
        if outcome is not None:
            return outcome
        for successor in choose_successors(
            key.incarnation, self.core.read_roster().eligible
        ):
            if successor != self.core.node_id:
                outcome = await self._forward(successor.address, call)
                if not _is_owner_changing(outcome):
                    return outcome
        return self._refuse_unreachable()

    async def _relay(self, domain: str, preferred: str, call: Call) -> Outcome:
        """Send a call to a node of another failure domain, which routes it on."""
        addresses = self._find_relays(domain)
        if preferred in addresses:
            addresses = [preferred, *addresses]
        for address in addresses[:MAX_RELAY_ATTEMPTS]:
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
        """Send a call to its owner or to a node that routes it; safe to retry.

        ``None`` means that no answer arrived, whether or not the call was sent.
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
                # the link was lost, but the node may be alive
                reply = await self._ask(address, call, limit_s)
        finally:
            self._forwarding.discard(call_id)
        return self._read_reply(reply)

    async def _ask(
        self, address: str, call: Call, limit_s: float
    ) -> Message | PeerFailure:
        now_s = self.core.timers.read()
        remaining_s = call.context.deadline_s - now_s
        if remaining_s <= 0:
            return PeerFailure(address, sent=True)
        message = Message(call=encode_call(call, Route.OWN, now_s))
        return await self.core.peers.request(
            address, message, min(remaining_s, limit_s)
        )

    def _read_reply(self, reply: Message | PeerFailure) -> Outcome | None:
        if isinstance(reply, PeerFailure) or reply.outcome is None:
            return None
        try:
            return decode_outcome(reply.outcome)
        except BadFrameError:
            self.core.count("owner-bad-answer")
            return Outcome(MayHaveRun(Reason.BAD_ANSWER))


def _is_owner_unknown(outcome: Outcome) -> bool:
    unreachable = outcome.verdict == MayHaveRun(Reason.OWNER_UNREACHABLE)
    return unreachable or _is_owner_changing(outcome)


def _is_owner_changing(outcome: Outcome | None) -> bool:
    """Return whether the owner didn't answer, or a non-owner did."""
    return outcome is None or outcome.verdict == MayHaveRun(Reason.OWNER_CHANGING)
