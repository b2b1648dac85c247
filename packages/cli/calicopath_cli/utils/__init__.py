"""Hold small helpers of the command line."""
