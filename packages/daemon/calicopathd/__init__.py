"""Give the decisions of `calicopath_core` sockets: the daemon that runs on every box."""
