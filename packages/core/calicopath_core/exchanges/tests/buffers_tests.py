"""Test that the answers of a box share one bound, and which of them make way."""

from __future__ import annotations

import testtools

from calicopath_core.backends.base import AnswerTooLarge
from calicopath_core.exchanges.buffers import AnswerBuffers

MAX_BYTES = 1000


class Buffers(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.buffers = AnswerBuffers(max_bytes=MAX_BYTES)

    def test_an_answer_may_take_all_room_and_gives_it_back(self) -> None:
        for _ in range(3):
            with self.buffers.open(repeatable=True) as buffer:
                buffer.add(b'x' * MAX_BYTES)
                self.assertEqual(MAX_BYTES, len(buffer.take()))
        self.assertEqual(0, self.buffers.size)

    # An answer without end took memory from all others of the box.
    def test_an_answer_without_end_makes_way_for_the_others(self) -> None:
        for repeatable in (True, False):
            with (
                self.buffers.open(repeatable=True) as sound,
                self.buffers.open(repeatable=repeatable) as endless,
            ):
                sound.add(b'x' * 300)
                with self.assertRaisesRegex(AnswerTooLarge, ''):
                    while True:
                        endless.add(b'x' * 100)
                self.assertEqual(b'x' * 300, sound.take())

    def test_an_answer_that_was_dropped_while_it_waited_is_no_answer(self) -> None:
        with (
            self.buffers.open(repeatable=True) as first,
            self.buffers.open(repeatable=False) as second,
        ):
            first.add(b'x' * 600)
            second.add(b'x' * 600)
            self.assertRaises(AnswerTooLarge, first.take)
            self.assertEqual(b'x' * 600, second.take())
