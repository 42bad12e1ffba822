"""Who lives, who hears whom, and how words spread. No I/O; it informs, and never grants a right."""

from herongap.gossip.book import Book, Standing
from herongap.gossip.gossip import Gossip, Terms
from herongap.gossip.words import Datagram, Unreadable, Word, read, write

__all__ = ["Book", "Datagram", "Gossip", "Standing", "Terms", "Unreadable", "Word", "read", "write"]
