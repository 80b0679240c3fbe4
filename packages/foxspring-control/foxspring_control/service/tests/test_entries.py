"""Tests of entry leases, pushed tables and target ownership."""

import unittest
from typing import Any

import msgspec
from foxspring_model import (
    ClaimKey,
    ConfigurationPush,
    EntryHeartbeat,
    EntryLeaseGrant,
    HeartbeatRejected,
    OwnershipUpdate,
    Proposal,
    ProposalResult,
    Query,
    QueryResult,
)

from foxspring_control._replication import ProposeOutcome
from foxspring_control.raft import LeadershipChange
from foxspring_control.service._ownership import Candidates, plan_owners
from foxspring_control.service.tests.builders import Site
from foxspring_control.state.tests.builders import CONFIGURATION, entry_info


class SiteTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.site = Site()
        self.addCleanup(self.site.close)

    def heartbeat(self, number: int = 1, incarnation: int = 1) -> Any:
        """Send a heartbeat of an up-to-date entry and return the granted leases."""
        site = self.site
        info = entry_info(number, incarnation)
        view = site.leader.view
        message = EntryHeartbeat(
            info, site.clock.now_ms, view.revision, view.ownership_version
        )
        site.sent[info.link_address].clear()
        site.core.receive(info.link_address, message)
        return site.pop_sent(info.entry_id, EntryLeaseGrant)


class LeaseTest(SiteTestCase):
    def test_an_entry_that_lacks_the_configuration_gets_it_and_no_lease(self) -> None:
        site = self.site
        site.start()
        site.driver.configure()
        site.sent.clear()
        info = entry_info(1)
        version = site.leader.view.ownership_version
        old = EntryHeartbeat(info, site.clock.now_ms, 0, version)
        site.clock.advance(1_000)
        site.core.receive(info.link_address, old)
        self.assertEqual(site.pop_sent("entry-1", EntryLeaseGrant), [])
        self.assertEqual(site.pop_sent("entry-1", ConfigurationPush)[0].revision, 1)
        site.core.receive(info.link_address, old._replace(confirmed_revision=1))
        self.assertEqual(site.pop_sent("entry-1", EntryLeaseGrant)[0].revision, 1)

    def test_an_entry_that_lost_a_target_gets_no_lease_without_the_update(self) -> None:
        site = self.site
        site.start()
        target = next(
            t for t, owner in site.leader.view.owners().items() if owner == "entry-1"
        )
        before = site.leader.view.ownership_version
        site.driver.own(target, "entry-2")
        info = entry_info(1)
        site.sent.clear()
        for version, granted in ((before, 0), (before + 1, 1)):
            message = EntryHeartbeat(info, site.clock.now_ms, 0, version)
            site.core.receive(info.link_address, message)
            with self.subTest(version=version):
                grants = site.pop_sent("entry-1", EntryLeaseGrant)
                self.assertEqual(len(grants), granted)
        gained = EntryHeartbeat(entry_info(2), site.clock.now_ms, 0, before)
        site.core.receive(gained.entry.link_address, gained)
        self.assertEqual(len(site.pop_sent("entry-2", EntryLeaseGrant)), 1)

    def test_a_leader_without_its_own_lease_grants_none(self) -> None:
        self.site.start()
        self.assertEqual(len(self.heartbeat()), 1)
        self.site.log.leads = False
        self.assertEqual(self.heartbeat(), [])

    def test_a_change_applied_during_the_read_barrier_prevents_the_lease(
        self,
    ) -> None:
        site = self.site
        site.start()
        waiting: list[Any] = []
        site.log.read_barrier = waiting.append  # type: ignore[assignment,method-assign]
        self.heartbeat()
        site.driver.configure()

        for on_done in waiting:
            on_done(ProposeOutcome("applied"))
        self.assertEqual(site.pop_sent("entry-1", EntryLeaseGrant), [])

    def test_a_new_leader_waits_a_full_lease_before_it_removes_an_entry(self) -> None:
        site = self.site
        site.start()
        site.entries.clear()
        site.elect(term=2)
        lease_ms = site.settings.entry_lease_expiry_ms()
        site.run(lease_ms - 200)
        self.assertEqual(len(site.leader.view.entries), 2)
        self.assertEqual(
            site.query("in_force", revision=9)["waiting_for"][0], "entry-1"
        )
        site.run(400)
        self.assertEqual(site.leader.view.entries, {})
        self.assertTrue(all(o == "" for o in site.leader.view.owners().values()))

    def test_a_stale_process_of_an_entry_gets_no_answer(self) -> None:
        site = self.site
        site.start()
        site.add_entry(1, incarnation=2)
        site.run(500)
        self.assertEqual(self.heartbeat(1, incarnation=1), [])
        self.assertEqual(len(self.heartbeat(1, incarnation=2)), 1)

    def test_a_follower_replies_with_the_leader(self) -> None:
        site = self.site
        change = LeadershipChange(False, 3, "control-2", "127.0.0.1:2")
        site.core.on_leadership(change)
        messages = (
            EntryHeartbeat(entry_info(1), 0, 0, 0),
            Proposal("p", "asker", "SubmitJob", b""),
            Query("q", "asker", "jobs"),
        )
        for message in messages:
            site.core.receive("asker", message)
        self.assertEqual(
            site.sent["asker"],
            [
                HeartbeatRejected("control-1", "control-2"),
                ProposalResult("p", "not_leader", "control-2"),
                QueryResult("q", "not_leader", "control-2"),
            ],
        )


class InForceTest(SiteTestCase):
    def test_a_change_is_in_force_when_all_confirmed_or_lost_their_lease(self) -> None:
        site = self.site
        site.start(entries=3)
        del site.entries["entry-3"]
        revision = site.driver.configure()
        first = site.query("in_force", revision=revision)
        self.assertFalse(first["in_force"])
        self.assertEqual(first["waiting_for"], ["entry-1", "entry-2", "entry-3"])
        site.run(1_000)
        held = site.query("in_force", revision=revision)
        self.assertEqual(held["waiting_for"], ["entry-3"])
        site.run(2_000)
        self.assertTrue(site.query("in_force", revision=revision)["in_force"])

    def test_an_entry_that_missed_many_changes_catches_up_with_one_push(
        self,
    ) -> None:
        site = self.site
        site.start(entries=2, targets=4)
        cut = site.entries.pop("entry-1")
        for number in range(300):
            site.driver.configure(CONFIGURATION + f"# {number}\n")
            site.driver.own(f"target-{number % 4 + 1}", "" if number % 2 else "entry-2")
        site.run(60_000)
        site.sent.clear()
        site.entries["entry-1"] = cut
        site.run(1_000)
        pushes = site.sent[cut.info.link_address]
        tables = [m for m in pushes if isinstance(m, OwnershipUpdate)]
        configurations = [m for m in pushes if isinstance(m, ConfigurationPush)]
        self.assertEqual([c.revision for c in configurations], [300])
        self.assertLessEqual(len(tables), 2)
        self.assertEqual(site.entries["entry-1"].revision, 300)
        self.assertGreater(site.entries["entry-1"].lease_until_ms, site.clock.now_ms)


class OwnershipTest(SiteTestCase):
    def test_a_flapping_entry_causes_few_ownership_moves(self) -> None:
        site = self.site
        site.start(entries=3, targets=12, settle_ms=20_000)
        moves = 0
        for _ in range(10):
            before = site.leader.view.owners()
            flapping = site.entries.pop("entry-3")
            site.run(4_000)
            site.entries["entry-3"] = flapping
            site.run(8_000)
            after = site.leader.view.owners()
            moves += sum(before[t] != after[t] for t in before)
        self.assertLessEqual(moves, 12)
        self.assertNotIn("", site.leader.view.owners().values())

    def test_a_draining_entry_loses_its_targets(self) -> None:
        site = self.site
        site.start(entries=2, targets=6)
        held = site.entries["entry-1"]
        draining = held.info._replace(draining=True)
        site.entries["entry-1"] = held._replace(info=draining)
        site.run(3_000)
        self.assertEqual(set(site.leader.view.owners().values()), {"entry-2"})

    def test_plans_are_balanced_with_few_moves(self) -> None:
        names = tuple(f"e{n}" for n in range(8))
        everyone = Candidates(names, names, names)
        fresh = plan_owners(
            {f"t{n:03}": "" for n in range(100)}, frozenset(), everyone, 8
        )
        owners = {a.target_id: a.entry_id for a in fresh}
        counts = [list(owners.values()).count(name) for name in names]
        self.assertLessEqual(max(counts) - min(counts), 1)
        self.assertEqual(plan_owners(owners, frozenset(), everyone, 8), ())
        left = Candidates(names[1:], names[1:], names[1:])
        moved = plan_owners(owners, frozenset(), left, 8)
        self.assertEqual(len(moved), counts[0])
        silent = frozenset(t for t, owner in owners.items() if owner == "e0")
        self.assertEqual(plan_owners(owners, silent, left, 8), ())


class ProposalTest(SiteTestCase):
    def test_a_key_claim_gets_its_proposal_id(self) -> None:
        site = self.site
        site.start()
        body = msgspec.msgpack.encode(ClaimKey("k", "f", "entry-1", 1))
        states = []
        for proposal_id in ("p1", "p1", "p2"):
            site.core.receive("x", Proposal(proposal_id, "asker", "ClaimKey", body))
            result = site.sent["asker"].pop()
            states.append(msgspec.json.decode(result.result)["key_state"])
        self.assertEqual(states, ["claimed", "claimed", "pending"])
