"""Test that a server which is silent for a second keeps its connections."""

from __future__ import annotations

import socket

import testtools

from calicopath_clients.http1.connections import set_socket_timeouts

MAX_SILENCE_S = 1.5
"""A sound replica may be silent for a second or so."""

MAX_DETECTION_S = 3.0
"""A connection that is silent for good must be closed by then."""


def option(sock: socket.socket, number: int) -> int:
    """Return a TCP option of a socket."""
    return sock.getsockopt(socket.IPPROTO_TCP, number)


class SilentServer(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.sock = socket.socket()
        self.addCleanup(self.sock.close)
        set_socket_timeouts(self.sock)
        self.user_timeout_s = option(self.sock, socket.TCP_USER_TIMEOUT) / 1000
        self.idle_s = option(self.sock, socket.TCP_KEEPIDLE)
        self.interval_s = option(self.sock, socket.TCP_KEEPINTVL)

    def idle_closed_after_s(self) -> int:
        """Return the silence after which Linux closes an idle connection.

        With a user timeout it is checked at each probe but the first, and the count is ignored.
        """
        silence_s = self.idle_s + self.interval_s
        while silence_s < self.user_timeout_s:
            silence_s += self.interval_s
        return silence_s

    def test_a_request_that_is_not_acknowledged_for_a_second(self) -> None:
        self.assertGreater(self.user_timeout_s, MAX_SILENCE_S)

    def test_an_idle_connection_whose_probe_is_not_answered_for_a_second(self) -> None:
        self.assertGreater(self.idle_closed_after_s(), MAX_SILENCE_S)

    def test_a_connection_that_is_silent_for_good(self) -> None:
        self.assertLessEqual(self.user_timeout_s, MAX_DETECTION_S)
        self.assertLessEqual(self.idle_closed_after_s(), MAX_DETECTION_S)
