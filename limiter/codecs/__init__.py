"""Codecs of the formats that several packages share: gossip datagrams and settings."""
