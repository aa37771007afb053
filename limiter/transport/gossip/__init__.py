"""Datagrams between limiters, over UDP."""
