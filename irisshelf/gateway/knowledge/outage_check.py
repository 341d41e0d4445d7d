"""Finds out whether the store was away, or only this instance was cut off.

What follows depends on it: entries of servers that are gone after an outage of
the store may have lapsed, and are kept for a while; see ``catalog.directory``.
Other instances also know which servers have announced that they leave.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import gevent

from irisshelf import boottime
from irisshelf.coordination import facts
from irisshelf.coordination import store_contact
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway.knowledge import contact_exchange
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.gateway.knowledge import server_list
from irisshelf.gateway.knowledge import store_timing

# When other instances are asked whether the store was away, counted from the
# moment at which this one regained it. A partition may end a little later.
_ASK_PEERS_AFTER_S = (0.0, 0.4, 1.2)


class OutageCheck:
    """Notes when the store answers, and asks other instances after a loss.

    Args:
        inst: The instance.
        listed: The server list, which is notified.
        peers: The other instances; None if there are none.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        listed: server_list.ServerList,
        peers: peer_discovery.PeerDiscovery | None,
    ):
        self._inst = inst
        self._listed = listed
        self._contact = store_contact.StoreContact()
        self._exchange: contact_exchange.ContactExchange | None = None
        if peers is not None:
            self._exchange = contact_exchange.ContactExchange(
                contact=self._contact,
                departures=inst.eligible.availability.departures,
                peers=peers,
                log=inst.log,
                rng=inst.rng,
                now=inst.now,
            )

    def record_answer(self, at_s: float) -> None:
        """Records an answer of the store, directly or by the watcher.

        Args:
            at_s: When the store gave it, in monotonic seconds, at the earliest.
        """
        loss = self._contact.record_answer(at_s, self._max_gap_s())
        if self._contact.lost or not self._listed.store_down:
            return
        self._listed.on_store_regained(at_s)
        if loss is not None and self._exchange is not None:
            gevent.spawn(self._assess, loss)

    def record_failure(self) -> None:
        """Records that a call to the store has failed."""
        self._contact.record_failure(boottime.now())
        self._listed.on_store_lost()

    def _assess(self, loss: store_contact.Loss) -> None:
        """Asks other instances until one had the store all the time."""
        asked_after_s = 0.0
        available_s = loss.regained_s
        for after_s in _ASK_PEERS_AFTER_S:
            gevent.sleep(after_s - asked_after_s)
            asked_after_s = after_s
            lost_s = boottime.now() - loss.last_answer_s
            answers = self._exchange.ask(lost_s + self._missed_s())
            self._apply_leaving(answers)
            found_s = store_contact.available_since_s(
                loss,
                [answer.interval for answer in answers],
                self._max_gap_s(),
            )
            available_s = min(available_s, found_s)
            self._listed.on_store_available_since(
                available_s, loss.regained_s, boottime.now()
            )
            if available_s == -math.inf:
                break
        self._log(loss, available_s, len(answers))

    def _apply_leaving(
        self, answers: Iterable[contact_exchange.Answer]
    ) -> None:
        for key in {key for answer in answers for key in answer.leaving}:
            self._inst.servers.apply_fact(facts.ServerLeaving(server=key))

    def _log(
        self, loss: store_contact.Loss, available_s: float, answers: int
    ) -> None:
        away = available_s > -math.inf
        later_s = loss.regained_s - available_s
        self._inst.log.instance(
            "store_outage_assessed",
            away=away,
            lost_for_s=round(loss.regained_s - loss.last_answer_s, 3),
            regained_later_s=round(later_s, 3) if away else None,
            answers=answers,
        )

    def _missed_s(self) -> float:
        return store_timing.missed_s(self._inst.cfg.bounds)

    def _max_gap_s(self) -> float:
        return store_timing.max_gap_s(self._inst.cfg.bounds)
