"""Tests the prefix cache index and the parsing of prompt headers."""

import pytest

from wheatroute.edge import prefix_cache
from wheatroute.edge.prefix_cache import PreferredServers, PrefixCacheIndex
from wheatroute.edge.prompt_headers import PrefixBlock, TokenCount, parse_prefix_blocks, parse_token_count

BLOCKS = (PrefixBlock("a", 100), PrefixBlock("b", 20), PrefixBlock("c", 3))


def test_tokens_count_as_cached_up_to_the_first_block_that_is_missing_or_expired():
    index = PrefixCacheIndex(ttl_s=10.0)
    assert index.uncached_tokens("s", BLOCKS, 0.0) == 123
    index.record_use("s", BLOCKS[:1], 0.0)
    index.record_use("s", BLOCKS[2:], 0.0)
    assert index.uncached_tokens("s", BLOCKS, 10.0) == 23
    assert index.uncached_tokens("another", BLOCKS, 10.0) == 123
    assert index.uncached_tokens("s", BLOCKS, 10.1) == 123
    assert index.uncached_tokens("s", (), 0.0) == 0


def test_a_changed_ttl_counts_for_blocks_that_are_already_known():
    index = PrefixCacheIndex(ttl_s=10.0)
    index.record_use("s", BLOCKS, 0.0)
    index.set_ttl(5.0)
    assert index.uncached_tokens("s", BLOCKS, 6.0) == 123


def test_the_least_recently_used_entries_are_dropped(monkeypatch):
    monkeypatch.setattr(prefix_cache, "MAX_ENTRIES", 2)
    index, preferred = PrefixCacheIndex(ttl_s=10.0), PreferredServers()
    for block in (BLOCKS[0], BLOCKS[1], BLOCKS[0], BLOCKS[2]):
        index.record_use("s", [block], 0.0)
        preferred.record(block.id, "s")
    cached = [index.uncached_tokens("s", (block,), 0.0) == 0 for block in BLOCKS]
    assert cached == [preferred.is_preferred(block.id, "s") for block in BLOCKS] == [True, False, True]
    assert not preferred.is_preferred(None, "s")
    assert not preferred.is_preferred("a", "another")


@pytest.mark.parametrize(
    ("header", "blocks"),
    [("", ()), ("a:100, b:20,c:3", BLOCKS), ("a:100,b,c:3", BLOCKS[:1]), (":1", ()), ("a:-1", ())],
)
def test_prefix_blocks_are_read_up_to_the_first_malformed_one(header, blocks):
    assert parse_prefix_blocks(header) == blocks


@pytest.mark.parametrize(
    ("header", "count"),
    [("100, 20", TokenCount(100, 20)), ("", None), ("100", None), ("100,x", None), ("1,2,3", None)],
)
def test_a_token_count_needs_two_numbers(header, count):
    assert parse_token_count(header) == count
