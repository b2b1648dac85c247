"""Implement the daemon that runs on every box: sockets and processes around `calicopath_core`."""
