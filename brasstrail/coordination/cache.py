"""An index of the blocks that an engine's prefix cache is expected to hold.

A block is identified by the hash in `data.Work.prefix`. Blocks of prompts that were
prefilled through this process are added at once. The engine's cache events arrive late
and with gaps, so they only correct the index: an eviction removes a block, and a gap
removes nothing. The index is bounded and drops the
least recently used blocks. A wrongly listed block costs some prefill and never an
answer.
"""

import collections

DEFAULT_MAX_BLOCKS = 4096


class PrefixCacheIndex:
    """The blocks that an engine is expected to hold, least recently used first.

    Attributes
    ----------
    last_event : the number of the last event of the engine that was applied.
    generation : how many times the engine's cache was reset.
    fresh : the blocks added since the last `take_new_blocks`.
    """

    def __init__(self, max_blocks=DEFAULT_MAX_BLOCKS):
        self.max_blocks = max_blocks
        self.blocks = collections.OrderedDict()
        self.last_event = 0
        self.generation = 0
        self.fresh = collections.OrderedDict()

    def record_prefilled(self, prefix):
        """Add the blocks of a prompt that the engine has prefilled."""
        for block in prefix:
            if block not in self.blocks:
                self.fresh[block] = True
            self.blocks[block] = True
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.max_blocks:
            self.blocks.popitem(last=False)

    def apply_event(self, number, action, block):
        """Apply one of the engine's cache events; repeated events are ignored."""
        if number <= self.last_event:
            return
        self.last_event = number
        if action == "evicted":
            self.blocks.pop(block, None)
        else:
            self.record_prefilled((block,))

    def clear(self):
        """Empty the index, because the engine has restarted with an empty cache."""
        self.blocks.clear()
        self.fresh.clear()
        self.last_event = 0
        self.generation += 1

    def take_new_blocks(self, limit):
        """Return the newest `limit` blocks added since the last call."""
        taken = tuple(self.fresh)[-limit:]
        self.fresh.clear()
        return taken

    def held(self, prefix):
        """Return how many leading blocks of a prompt are in the index."""
        count = 0
        for block in prefix:
            if block not in self.blocks:
                break
            count += 1
        return count

    def most_recent_blocks(self, count):
        """Return the `count` most recently used blocks, to be reported to entries."""
        blocks = []
        for block in reversed(self.blocks):
            if len(blocks) == count:
                break
            blocks.append(block)
        return tuple(blocks)
