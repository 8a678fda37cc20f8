"""The deterministic answers of the model engine's stand-in."""

import hashlib

TOKEN_BYTES = 4


def prompt_text(messages):
    """Join chat messages into the text that the engine reads.

    :param messages: list of dicts with ``role`` and ``content``.
    :return: the text, a string.
    """
    return "".join(f"{item['role']}\n{item['content']}\n" for item in messages)


def count_tokens(text):
    """Count the tokens of a text, four UTF-8 bytes each.

    :param text: a string.
    :return: the number of tokens, rounded up.
    """
    return -(-len(text.encode()) // TOKEN_BYTES)


def make_answer(salt, model, text, max_tokens):
    """Compute the tokens that the engine answers to a prompt.

    :param salt: cache salt of the request.
    :param model: model and version as ``NAME@VERSION``.
    :param text: the prompt's text.
    :param max_tokens: number of tokens to make.
    :return: a list of strings.
    """
    seed = hashlib.sha256(f"{salt}|{model}|{text}".encode()).digest()
    tokens = []
    for index in range(max_tokens):
        word = hashlib.sha256(seed + index.to_bytes(4, "big")).hexdigest()[:6]
        tokens.append(word if index == 0 else " " + word)
    return tokens


def piece_data(salt, key, size):
    """Compute the bytes that the engine exports for a cache piece.

    :param salt: cache salt that the piece belongs to.
    :param key: piece key.
    :param size: number of bytes.
    :return: bytes of that length.
    """
    block = hashlib.sha256(f"{salt}|{key}".encode()).digest()
    return (block * (size // len(block) + 1))[:size]
