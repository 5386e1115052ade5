"""The agent's account of its engine's prefix cache.

What was prefilled here is known at once. The engine's cache events come late
and with gaps, so they only correct the account: an eviction removes a block, a
gap lowers nothing. The account is bounded and forgets the least used blocks. A
wrong guess costs some prefill and never an answer.
"""

import collections

DEFAULT_MAX_BLOCKS = 4096


class PrefixCacheIndex:
    """The blocks that an engine is thought to hold."""

    def __init__(self, max_blocks=DEFAULT_MAX_BLOCKS):
        self.max_blocks = max_blocks
        self.blocks = collections.OrderedDict()
        self.last_event = 0
        self.generation = 0
        self.fresh = collections.OrderedDict()

    def record_prefilled(self, prefix):
        """Note that a prompt's blocks are in the engine now."""
        for block in prefix:
            if block not in self.blocks:
                self.fresh[block] = True
            self.blocks[block] = True
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.max_blocks:
            self.blocks.popitem(last=False)

    def apply_event(self, number, action, block):
        """Correct the account by one of the engine's events."""
        if number <= self.last_event:
            return
        self.last_event = number
        if action == "evicted":
            self.blocks.pop(block, None)
        else:
            self.record_prefilled((block,))

    def clear(self):
        """Note that the engine started again with an empty cache."""
        self.blocks.clear()
        self.fresh.clear()
        self.last_event = 0
        self.generation += 1

    def take_new_blocks(self, limit):
        """Return the blocks that are new since the last call, a few at most."""
        taken = tuple(self.fresh)[-limit:]
        self.fresh.clear()
        return taken

    def held(self, prefix):
        """Return how many leading blocks of a prompt the engine holds."""
        count = 0
        for block in prefix:
            if block not in self.blocks:
                break
            count += 1
        return count

    def most_recent_blocks(self, count):
        """Return the blocks that were used last, for entries to know of."""
        blocks = []
        for block in reversed(self.blocks):
            if len(blocks) == count:
                break
            blocks.append(block)
        return tuple(blocks)
