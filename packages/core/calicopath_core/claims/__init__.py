"""Make sure that a request marked not repeatable runs at most once, on any box.

A key is claimed by conditional update before its call leaves; a claim that exists is never run
again by anyone but its holder. Claims are grouped by shard and by the time within the key, and one
update carries all that wait for a group. Old claims are dropped by raising their group's threshold:
every key whose own time is not above it counts as claimed. This is the pruned multistamp of Adya
and Liskov, "Lazy Consistency Using Loosely Synchronized Clocks", section 5.3: dropping too much, or
a clock that is wrong, costs refusals and never safety.
"""
