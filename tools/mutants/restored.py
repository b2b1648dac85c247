"""List what breaks the following of a store that comes back from a copy, with tests that fail."""

from __future__ import annotations

from tools.mutants.mutant import CORE, Mutant

FEED = f'{CORE}/fleet/tests/restored_feed_tests.py::Feeding'
TABLE = f'{CORE}/fleet/tests/replicas_tests.py::Draining'
FLEET = 'packages/daemon/calicopathd/gateway/tests/restored_store_tests.py::RestoredStore'
CLAIMS = f'{CORE}/claims/tests/claims_tests.py::Claiming'
VIEW = f'{CORE}/store/tests/feed_tests.py::Restored'
ADAPTER = 'platform/calicopath_platform/tests/store_tests.py::Eras'

RESTORED_MUTANTS = (
    Mutant(
        'lists of a later era count',
        f'{CORE}/fleet/feed.py',
        'if self.position is not None and listing.position < self.position:',
        'if self.position is not None and listing.position[1] < self.position[1]:',
        FLEET,
    ),
    Mutant(
        'a watch answered in a later era',
        f'{CORE}/fleet/feed.py',
        'if found.position.era > since.era:',
        'if False:',
        FEED,
    ),
    Mutant(
        'an answer of an earlier era',
        f'{CORE}/fleet/feed.py',
        'if found.position.era < since.era:',
        'if False:',
        FEED,
    ),
    Mutant(
        'updates of one era follow on another',
        f'{CORE}/fleet/feed.py',
        ' and since.era == position.era:',
        ':',
        FEED,
    ),
    Mutant(
        'lost history without a pause',
        f'{CORE}/fleet/feed.py',
        'if losses > 1:',
        'if False:',
        FEED,
    ),
    Mutant(
        'draining is taken back',
        f'{CORE}/fleet/replicas.py',
        'replica = replica._replace(draining=True)',
        'pass',
        TABLE,
    ),
    Mutant(
        'what is gone is back',
        f'{CORE}/fleet/restoring.py',
        'if is_same_incarnation(held.tombstones[name].record, records[name]):',
        'if False:',
        FLEET,
    ),
    Mutant(
        'what is back is held back for ever',
        f'{CORE}/fleet/restoring.py',
        'due = [name for name, item in held.unconfirmed.items() if item.confirmed_at <= now]',
        'due: list[str] = []',
        FLEET,
    ),
    Mutant(
        'what the copy lacks is dropped',
        f'{CORE}/fleet/restoring.py',
        'if kind in KEPT_KINDS:',
        'if False:',
        FLEET,
    ),
    Mutant(
        'records are written once',
        f'{CORE}/fleet/registration.py',
        'if self.feed.position is None or self.is_leaving():',
        'if True:',
        FLEET,
    ),
    Mutant(
        'a box that leaves lists itself',
        f'{CORE}/fleet/registration.py',
        'if self.feed.position is None or self.is_leaving():',
        'if self.feed.position is None:',
        FLEET,
    ),
    Mutant(
        'relays are written down once',
        f'{CORE}/fleet/subscription.py',
        'relays == self.recorded_relays and self.recorded_era >= self.era()',
        'relays == self.recorded_relays',
        FLEET,
    ),
    Mutant(
        'blocked requests are kept once',
        f'{CORE}/crashes/keeping.py',
        'blocked != self.written or self.written_era < self.era()',
        'blocked != self.written',
        FLEET,
    ),
    Mutant(
        'boxes that have ended stay listed',
        f'{CORE}/fleet/subscription.py',
        'for box in self.stale_boxes():',
        'for box in ():',
        FLEET,
    ),
    Mutant(
        'pages of two eras',
        'platform/calicopath_platform/store.py',
        'elif reply.era != position.era:',
        'elif False:',
        ADAPTER,
    ),
    Mutant(
        'lost claims are granted again',
        f'{CORE}/claims/groups.py',
        'if self.was_restored(self.version):',
        'if False:',
        CLAIMS,
    ),
    Mutant(
        'lost claims are not written again',
        f'{CORE}/claims/groups.py',
        'self.needs_rewrite = True',
        'pass',
        CLAIMS,
    ),
    Mutant(
        'versions without eras',
        f'{CORE}/store/versions.py',
        'return version.era << STORE_NUMBER_BITS | version.number',
        'return version.number',
        VIEW,
    ),
)
