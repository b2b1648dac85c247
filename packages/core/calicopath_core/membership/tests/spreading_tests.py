"""Test that a change reaches every box within seconds and never reverts, whichever box fails."""

from __future__ import annotations

import asyncio
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from calicopath_core.membership.members import RELAYS_PER_DOMAIN
from calicopath_core.membership.messages import Entry, Push, encode
from testkit.cases import VirtualCase
from testkit.fleet import PeerFleet
from testkit.virtual import run_virtual

KEY = 'config/endpoints/drafting-1'
IN_FORCE_S = 5.0
"""Documented limit for every box that reaches the platform or a peer that does."""


class Spreading(VirtualCase):
    def test_only_the_relays_of_each_domain_watch_the_platform(self) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=24, failure_domains=4)
            await fleet.start()
            self.assertEqual(4 * RELAYS_PER_DOMAIN, len(fleet.relays()))
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_change_is_in_force_everywhere_well_within_the_promise(self) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=24, failure_domains=4)
            await fleet.start()
            took = await fleet.wait_in_force(KEY, fleet.put(KEY, 1))
            self.assertLess(took, 1.0)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_third_of_all_messages_lost_is_healed_by_digests(self) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=24, failure_domains=4, loss=0.33)
            await fleet.start()
            for number in range(20):
                took = await fleet.wait_in_force(KEY, fleet.put(KEY, number))
                self.assertLess(took, IN_FORCE_S)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_all_relays_killed_at_the_moment_of_the_change(self) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=24, failure_domains=4)
            await fleet.start()
            for name in fleet.relays():
                await fleet.boxes.pop(name).kill()
            took = await fleet.wait_in_force(KEY, fleet.put(KEY, 1))
            self.assertLess(took, IN_FORCE_S + 1)
            await asyncio.sleep(10)
            self.assertEqual(4 * RELAYS_PER_DOMAIN, len(fleet.relays()))
            await fleet.stop()

        self.run_virtual(scenario())

    def test_every_watch_gone_silent_is_healed_by_reading_everything(self) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=24, failure_domains=4)
            await fleet.start()
            for box in fleet.boxes.values():
                box.store.deliver = lambda stored: []
            took = await fleet.wait_in_force(KEY, fleet.put(KEY, 1))
            self.assertLess(took, IN_FORCE_S)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_box_cut_from_the_platform_follows_through_its_peers(self) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=8, failure_domains=4)
            await fleet.start()
            for name in list(fleet.boxes)[:7]:
                fleet.boxes[name].store.cut = True
            took = await fleet.wait_in_force(KEY, fleet.put(KEY, 1))
            self.assertLess(took, IN_FORCE_S)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_domains_that_lose_each_other_follow_the_platform_each_by_itself(self) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=24, failure_domains=4)
            await fleet.start()
            domain = {record.name: record.failure_domain for record in fleet.records}
            fleet.network.blocked = lambda source, target: domain[source] != domain[target]
            took = await fleet.wait_in_force(KEY, fleet.put(KEY, 1))
            self.assertLess(took, IN_FORCE_S)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_domain_cut_from_all_catches_up_when_it_is_back(self) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=24, failure_domains=4)
            await fleet.start()
            cut = {item.name for item in fleet.records if item.failure_domain == 'domain-1'}
            fleet.network.blocked = lambda source, target: (source in cut) != (target in cut)
            for name in cut:
                fleet.boxes[name].store.cut = True
            versions = [fleet.put(f'config/endpoints/e-{n}', n) for n in range(300)]
            await asyncio.sleep(120)
            ages = [fleet.boxes[name].gossip.contact_age_s() or 0.0 for name in cut]
            self.assertGreater(min(ages), 100)
            fleet.network.blocked = lambda source, target: False
            for name in cut:
                fleet.boxes[name].store.cut = False
            await asyncio.sleep(IN_FORCE_S)
            digests = {box.view.digest for box in fleet.boxes.values()}
            self.assertEqual(1, len(digests))
            self.assertEqual(300, len(versions))
            await fleet.stop()

        self.run_virtual(scenario())


class Relays(VirtualCase):
    def test_large_domains_keep_to_their_few_relays(self) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=120, failure_domains=3)
            await fleet.start(30)
            counts = []
            for _ in range(10):
                await asyncio.sleep(2)
                counts.append(len(fleet.relays()))
            self.assertLessEqual(max(counts), 2 * 3 * RELAYS_PER_DOMAIN)
            self.assertGreaterEqual(min(counts), 3 * RELAYS_PER_DOMAIN)
            await fleet.stop()

        self.run_virtual(scenario())


class Restarts(VirtualCase):
    def test_a_box_restarted_while_the_platform_is_down_gets_its_view_from_a_ready_peer(
        self,
    ) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=4, failure_domains=2)
            await fleet.start()
            versions = {f'config/e/{n}': fleet.put(f'config/e/{n}', n) for n in range(500)}
            await asyncio.sleep(3)
            fleet.state.down = True
            fleet.state.end_watches()
            record = fleet.records[0]
            await fleet.boxes[record.name].kill()
            new = fleet.boxes[record.name] = fleet.new_box(record, started_ms=5000)
            new.start()
            self.assertFalse(new.is_synced)
            await asyncio.sleep(5)
            self.assertTrue(new.is_synced)
            self.assertEqual(
                versions, {key: item.version for key, item in new.view.entries.items()}
            )
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_box_with_an_older_copy_takes_nobody_back(self) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=4, failure_domains=2)
            await fleet.start()
            old = fleet.put(KEY, 1)
            await asyncio.sleep(1)
            new = fleet.put(KEY, 2)
            await asyncio.sleep(1)
            stale = encode(Push('ghost', [Entry(KEY, old, {'n': 1})]))
            for box in fleet.boxes.values():
                box.gossip.on_data(stale)
            await asyncio.sleep(3)
            for box in fleet.boxes.values():
                self.assertEqual(new, box.view.version(KEY))
            await fleet.stop()

        self.run_virtual(scenario())

    def test_a_restarted_box_whose_clock_is_behind_is_heard_at_once(self) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=3, failure_domains=1)
            await fleet.start()
            record = fleet.records[0]
            await fleet.boxes[record.name].kill()
            fleet.boxes[record.name] = fleet.new_box(record, started_ms=-5000)
            fleet.boxes[record.name].start()
            await asyncio.sleep(4)
            known = fleet.boxes['box-1'].gossip.members.members[record.name]
            self.assertEqual(-5000, known.info.started_ms)
            await fleet.stop()

        self.run_virtual(scenario())

    def test_nonsense_from_the_network_is_counted_and_dropped(self) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=2, failure_domains=1)
            await fleet.start(2)
            rng = random.Random(9)
            for _ in range(200):
                fleet.boxes['box-0'].gossip.on_data(rng.randbytes(rng.randrange(40)))
            self.assertEqual(200, fleet.boxes['box-0'].gossip.counts.undecodable)
            await fleet.stop()

        self.run_virtual(scenario())


class Histories(VirtualCase):
    @settings(derandomize=True, deadline=None, max_examples=25)
    @given(
        st.integers(0, 2**16),
        st.lists(
            st.tuples(st.sampled_from(['put', 'kill', 'cut', 'heal', 'outage']), st.integers(0, 7)),
            min_size=4,
            max_size=14,
        ),
    )
    def test_views_never_go_back_and_agree_once_faults_end(
        self, seed: int, steps: list[tuple[str, int]]
    ) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=8, failure_domains=4, seed=seed, loss=0.1)
            await fleet.start(2)
            held: dict[tuple[str, str], int] = {}
            for number, (action, which) in enumerate(steps):
                await self.act(fleet, action, which, number)
                await asyncio.sleep(0.7)
                self.check_monotonic(fleet, held)
            await self.heal(fleet)
            await asyncio.sleep(12)
            self.check_monotonic(fleet, held)
            newest = {key: item.version for key, item in fleet.state.objects.items()}
            for box in fleet.boxes.values():
                versions = {key: item.version for key, item in box.view.entries.items()}
                self.assertEqual(newest, versions)
            await fleet.stop()

        run_virtual(scenario())

    async def act(self, fleet: PeerFleet, action: str, which: int, number: int) -> None:
        """Execute one step of a history on box `which`."""
        name = f'box-{which}'
        if action == 'put':
            fleet.put(f'config/endpoints/e-{which % 3}', number)
        elif action == 'cut':
            fleet.boxes[name].store.cut = True
        elif action == 'outage':
            fleet.state.down = True
            fleet.state.end_watches()
        elif action == 'heal':
            await self.heal(fleet)
        else:
            await fleet.boxes[name].kill()
            fleet.boxes[name] = fleet.new_box(fleet.records[which], started_ms=number + 1)
            fleet.boxes[name].start()

    async def heal(self, fleet: PeerFleet) -> None:
        """End every fault."""
        fleet.state.down = False
        for box in fleet.boxes.values():
            box.store.cut = False

    def check_monotonic(self, fleet: PeerFleet, held: dict[tuple[str, str], int]) -> None:
        """Check that no version goes back within one incarnation of a box."""
        for name, box in fleet.boxes.items():
            incarnation = f'{name}@{box.gossip.members.own.started_ms}'
            for key, entry in box.view.entries.items():
                self.assertGreaterEqual(entry.version, held.get((incarnation, key), 0))
                held[incarnation, key] = entry.version


class LargeConfigurations(VirtualCase):
    def test_boxes_leave_the_platform_alone_while_relays_read_everything_seldom(self) -> None:
        async def scenario() -> None:
            fleet = PeerFleet(count=24, failure_domains=4)
            for number in range(1000):
                fleet.put(f'config/endpoints/e-{number}', number)
            await fleet.start()
            before = sum(box.roles.direct_reads for box in fleet.boxes.values())
            await asyncio.sleep(60)
            after = sum(box.roles.direct_reads for box in fleet.boxes.values())
            ages = [box.gossip.contact_age_s() or 0.0 for box in fleet.boxes.values()]
            # Occasionally a contact takes more than `STALE_CONTACT_S` to reach all boxes.
            self.assertLess(after - before, 6)
            self.assertLess(max(ages), IN_FORCE_S)
            await fleet.stop()

        self.run_virtual(scenario())
