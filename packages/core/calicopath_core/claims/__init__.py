"""Ensure that a request marked as not repeatable runs at most once across all boxes.

A key is claimed by a conditional update before its call is sent; only the holder of a claim runs
the request. Claims are grouped by shard and by the time in the key, and one update carries all
waiting operations of a group. Old claims are pruned by raising the threshold of their group: every
key whose time is not above the threshold counts as claimed. This is the pruned multistamp of Adya
and Liskov, "Lazy Consistency Using Loosely Synchronized Clocks", section 5.3: pruning too much, or
a wrong clock, causes refusals but never a second run.
"""
