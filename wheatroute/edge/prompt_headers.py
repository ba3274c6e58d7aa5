"""Parses the request headers that describe a prompt: its prefix blocks and its size in tokens. No I/O."""

from __future__ import annotations

import hashlib

import msgspec

MAX_PREFIX_BLOCKS = 256
MAX_DIGITS = 15  # of a number in a header
MAX_ID_CHARACTERS = 64  # longest id of a block that is kept as it is


class PrefixBlock(msgspec.Struct, frozen=True):
    """One block of a prompt's prefix; `id` is its hash, `tokens` its size."""

    id: str
    tokens: int


class TokenCount(msgspec.Struct, frozen=True):
    """Tokens of a request: those of the prompt, and the maximum that it may generate."""

    prompt: int
    max_generated: int

    @property
    def total(self) -> int:
        """Maximum number of tokens that the request may use."""
        return self.prompt + self.max_generated


def parse_prefix_blocks(header: str) -> tuple[PrefixBlock, ...]:
    """Returns the blocks of a `Prefix-Hash` header (`HASH:TOKENS,...`) up to the first malformed one.

    Only the first `MAX_PREFIX_BLOCKS` are used, so that the estimate of what a server has cached gets less
    precise beyond them.
    """
    blocks: list[PrefixBlock] = []
    for text in header.split(",", MAX_PREFIX_BLOCKS)[:MAX_PREFIX_BLOCKS] if header else ():
        name, _, tokens = text.strip().partition(":")
        count = parse_number(tokens)
        if not name or count is None:
            break
        blocks.append(PrefixBlock(_short_id(name), count))
    return tuple(blocks)


def _short_id(block_id: str) -> str:
    """Returns a block's id, or its hash if it is long: ids are kept long after their requests."""
    if len(block_id) <= MAX_ID_CHARACTERS:
        return block_id
    return hashlib.blake2b(block_id.encode(), digest_size=MAX_ID_CHARACTERS // 2).hexdigest()


def parse_token_count(header: str) -> TokenCount | None:
    """Returns the value of a `Token-Count` header (`PROMPT,MAX_GENERATED`), None if there is no valid one."""
    prompt_text, _, generated_text = header.partition(",")
    prompt, generated = parse_number(prompt_text), parse_number(generated_text)
    if prompt is None or generated is None:
        return None
    return TokenCount(prompt, generated)


def parse_number(text: str) -> int | None:
    """Returns a whole number, None if the text isn't one or has more than `MAX_DIGITS` digits."""
    digits = text.strip()
    if not digits.isascii() or not digits.isdecimal() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)
