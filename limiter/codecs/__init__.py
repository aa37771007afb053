"""Codecs of formats that several packages use: gossip datagrams and the text form of settings."""
