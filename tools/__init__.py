"""Hold the programs behind the commands of the Makefile."""
