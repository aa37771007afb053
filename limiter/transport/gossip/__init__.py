"""Gossip messages between limiters, over UDP."""
