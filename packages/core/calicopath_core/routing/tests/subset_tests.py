"""Test that subsets are stable, prefer the local failure domain and spread the load."""

from __future__ import annotations

import testtools

from calicopath_core.routing.subset import SUBSET_SIZE, SubsetChooser
from calicopath_core.structure.endpoints import Endpoint, EndpointState
from calicopath_core.structure.stages import StageKind

FAILURE_DOMAIN_COUNT = 4


def endpoints(count: int) -> list[Endpoint]:
    """Return endpoints spread over a few failure domains."""
    return [
        Endpoint(
            f'e-{n}', 's', StageKind.ENGINE, 'http://h:1', f'domain-{n % FAILURE_DOMAIN_COUNT}', 8
        )
        for n in range(count)
    ]


def chooser(box: int = 0, domain: int = 0) -> SubsetChooser:
    """Return the chooser of a numbered box in a numbered failure domain."""
    return SubsetChooser(box=f'box-{box}', failure_domain=f'domain-{domain}')


class Subsets(testtools.TestCase):
    def test_few_endpoints_are_all_taken(self) -> None:
        self.assertEqual(9, len(chooser().choose(endpoints(9))))

    def test_most_are_of_the_own_domain_and_some_of_others(self) -> None:
        chosen = chooser().choose(endpoints(400))
        local = [item for item in chosen if item.failure_domain == 'domain-0']
        self.assertEqual((SUBSET_SIZE, 18), (len(chosen), len(local)))

    def test_a_domain_with_too_few_is_filled_from_others(self) -> None:
        found = [item for item in endpoints(400) if item.failure_domain != 'domain-0']
        self.assertEqual(SUBSET_SIZE, len(chooser().choose(found)))

    def test_one_endpoint_that_leaves_moves_one_place_at_most(self) -> None:
        all_endpoints = endpoints(400)
        before = {item.name for item in chooser().choose(all_endpoints)}
        for index in range(0, 400, 7):
            drained = [*all_endpoints]
            drained[index] = all_endpoints[index]._replace(state=EndpointState.DRAINING)
            after = {item.name for item in chooser().choose(drained)}
            self.assertLessEqual(len(after - before), 1)
            self.assertNotIn(all_endpoints[index].name, after)

    def test_boxes_spread_over_the_endpoints(self) -> None:
        all_endpoints = endpoints(400)
        counts: dict[str, int] = {}
        for number in range(200):
            for item in chooser(number, number % FAILURE_DOMAIN_COUNT).choose(all_endpoints):
                counts[item.name] = counts.get(item.name, 0) + 1
        self.assertEqual(400, len(counts))
        self.assertLess(max(counts.values()), 3 * 200 * SUBSET_SIZE / 400)
